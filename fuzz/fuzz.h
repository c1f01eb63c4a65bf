#ifndef TARRAGONFLOW_FUZZ_H
#define TARRAGONFLOW_FUZZ_H

#include <assert.h>
#include <stddef.h>
#include <stdint.h>

/** The entry of a libFuzzer target: one input; the result is always 0. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
