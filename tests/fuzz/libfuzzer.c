/*
 * Entry of one target for libFuzzer; FUZZ_TARGET names it.
 */
#include "fuzz.h"

#include <sodium.h>

int LLVMFuzzerInitialize(int *argc, char ***argv);
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	return sodium_init() < 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	return FUZZ_TARGET(data, size);
}
