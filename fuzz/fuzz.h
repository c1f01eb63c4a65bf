#ifndef TARRAGONFLOW_FUZZ_H
#define TARRAGONFLOW_FUZZ_H

#include <assert.h>
#include <stddef.h>
#include <stdint.h>

/** Entry point of a libFuzzer target: handles one input, returns 0. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
