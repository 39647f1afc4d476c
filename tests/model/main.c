/*
 * kcf-model - random event orders over the state machines, from a seed.
 *
 * usage: kcf-model config|once SEED ORDERS
 * Prints the first order that breaks an invariant and exits with 1.
 */
#include "model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int main(int argc, char **argv)
{
	long seed;
	long sequences;
	bool (*run)(guint32 seed);

	if (argc != 4)
		return 2;
	run = !strcmp(argv[1], "once") ? model_once : model_config;
	seed = strtol(argv[2], NULL, 10);
	sequences = strtol(argv[3], NULL, 10);
	for (long i = 0; i < sequences; i++) {
		if (run((guint32)(seed + i)))
			continue;
		printf("%s: seed %ld breaks an invariant\n", argv[1], seed + i);
		return 1;
	}
	printf("%s: %ld orders from seed %ld hold\n", argv[1], sequences, seed);
	return 0;
}
