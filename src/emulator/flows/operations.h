/**
 * @file operations.h
 * Operations in a run: the configuration and the entries of hosts in the
 * store, and a random series of planned changes and of faults.
 */
#ifndef CAROB_EMULATOR_FLOWS_OPERATIONS_H
#define CAROB_EMULATOR_FLOWS_OPERATIONS_H

#include "testbed.h"

/** Options of the operations. */
typedef struct operations_options {
	uint32_t hosts_a_zone; /* hosts for small requests in each zone */
	uint32_t gap_ms;       /* mean time between events; 0: no events */
	bool faults;	       /* whether events may be faults */
} operations_options_t;

/**
 * Starts all hosts and writes the first configuration.
 *
 * @param out receives the operations; release them with `operations_free`. It
 *            is also set when a host cannot be started
 * @param testbed the testbed, which owns the hosts
 * @param options copied
 * @return 0 or a negative code
 */
int operations_new(operations_t **out, testbed_t *testbed,
		   const operations_options_t *options);

/** Schedules the next event of the series. */
void operations_schedule_event(operations_t *operations);

/**
 * Writes the configuration, the evacuations and the entries of all hosts that
 * live into the store again, each at a random time within `within_ms`.
 */
void operations_rewrite(operations_t *operations, uint32_t within_ms);

/**
 * Evacuates a random zone for `ms` milliseconds, unless one is evacuated
 * already or there is only one. Its hosts are cold at the end.
 */
void operations_evacuate_zone(operations_t *operations, uint32_t ms);

/** Ends the series; events in progress run to their end. */
void operations_stop_events(operations_t *operations);

/** Releases the operations; the testbed keeps the hosts. */
void operations_free(operations_t *operations);

#endif
