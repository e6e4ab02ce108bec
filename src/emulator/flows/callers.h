/**
 * @file callers.h
 * Emulated callers. Each sends requests of one kind, many in one long flow or
 * one per flow, retries them as far as the kind allows, and checks every
 * response.
 */
#ifndef CAROB_EMULATOR_FLOWS_CALLERS_H
#define CAROB_EMULATOR_FLOWS_CALLERS_H

#include "testbed.h"

/**
 * Starts the callers.
 *
 * @param out receives them; release them with `callers_free`
 * @param testbed the testbed, with its router running
 * @param count number of callers in each zone
 * @return 0 or a negative code
 */
int callers_new(callers_t **out, testbed_t *testbed, size_t count);

/** Stops and releases all callers. */
void callers_free(callers_t *callers);

#endif
