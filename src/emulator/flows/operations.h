/**
 * @file operations.h
 * What the operator and the hosts do in a run: the configuration, entries of
 * hosts in the store, and a random series of planned changes and troubles.
 */
#ifndef CAROB_EMULATOR_FLOWS_OPERATIONS_H
#define CAROB_EMULATOR_FLOWS_OPERATIONS_H

#include "bed.h"

/** How often each kind of event comes: a share of all, in percent. */
typedef struct operations_options {
	uint32_t hosts_a_zone; /* of the service for requests */
	uint32_t gap_ms;       /* between events, on average; 0: none */
	bool troubles;	       /* also what is not planned */
} operations_options_t;

/** Starts all hosts and writes the first configuration. */
int operations_new(operations_t **out, bed_t *bed,
		   const operations_options_t *options);

/** Begins the series of events. */
void operations_begin(operations_t *operations);

/** Ends the series; what has begun goes on to its end. */
void operations_calm(operations_t *operations);

/** Releases the operations; hosts stay with the bed. */
void operations_free(operations_t *operations);

#endif
