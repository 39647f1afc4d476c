/*
 * fuzz - targets for each decoder of bytes from outside.
 *
 * Each target is an LLVMFuzzerTestOneInput by another name, so that one
 * program can drive all with seeded mutations in CI; a build with
 * -DKCF_FUZZ=ON by clang links each with libFuzzer as well.
 */
#ifndef KCF_FUZZ_H
#define KCF_FUZZ_H

#include <stddef.h>
#include <stdint.h>

int fuzz_datagram(const uint8_t *data, size_t size);
int fuzz_settings(const uint8_t *data, size_t size);
int fuzz_resource(const uint8_t *data, size_t size);
int fuzz_record(const uint8_t *data, size_t size);
int fuzz_events(const uint8_t *data, size_t size);
int fuzz_headers(const uint8_t *data, size_t size);
int fuzz_platform(const uint8_t *data, size_t size);

#endif
