#ifndef TARRAGONFLOW_ADMIT_WORK_LEFT_H
#define TARRAGONFLOW_ADMIT_WORK_LEFT_H

#include <stdint.h>

#include "tarragonflow/admit/cost.h"

/**
 * What a backend server still has to do, in requests of mean cost per slot, and
 * its representation as a load in packet headers. Pure functions.
 */

/**
 * Work left at a server with @slots slots, in requests of mean cost per slot:
 * the mean of the work that it has now and of the work to be expected of its
 * open connections and waiting SYNs.
 */
double work_left(const struct cost *cost, uint32_t slots, int64_t now_ms);

/**
 * Load that stands for @per_slot requests per slot: linear up to one request,
 * ADMIT_LOAD_SLOTS_FULL, and increasing ever more slowly above. The greatest
 * load is PACKET_LOAD_SCALE.
 */
uint16_t work_left_encode(double per_slot);

/** Requests per slot for which the load @load stands. */
double work_left_decode(uint16_t load);

/** The load @load plus @requests requests of mean cost at a server with @slots
 * slots. PACKET_LOAD_FULL stays the same. */
uint16_t work_left_add(uint16_t load, double requests, uint32_t slots);

#endif
