/**
 * @file host.h
 * A host behind the balancer: takes flows, runs requests in slots, answers
 * callers directly.
 */
#ifndef CAROB_EMULATOR_FLOWS_HOST_H
#define CAROB_EMULATOR_FLOWS_HOST_H

#include "bed.h"

typedef struct host host_t;

/** What a host does with packets. */
typedef enum host_state {
	HOST_READY,
	HOST_DRAINING, /* closes each flow after its next answer */
	HOST_DARK,     /* takes nothing, says nothing */
} host_state_t;

/** Options of a host. */
typedef struct host_options {
	uint64_t number; /* its id */
	size_t zone;
	size_t service;
	uint32_t slots;
	uint32_t queue;
	uint32_t work_ms; /* mean */
	carob_addr_t addr;
} host_options_t;

/**
 * Starts a host.
 *
 * @param out receives it; release it with `host_free`
 * @param bed what it belongs to
 * @param options what it is
 * @return 0 or a negative code
 */
int host_new(host_t **out, bed_t *bed, const host_options_t *options);

/** Ends a host: its flows are gone. */
void host_free(host_t *host);

/** Changes what it does with packets. */
void host_set_state(host_t *host, host_state_t state);

/** @return what it does with packets */
host_state_t host_state(const host_t *host);

/** @return its options, borrowed */
const host_options_t *host_options(const host_t *host);

/** @return when its state changed, monotonic */
uint64_t host_since_ns(const host_t *host);

/** @return whether a flow is open at the host */
bool host_has_flow(const host_t *host, carob_endpoint_t caller,
		   carob_endpoint_t route);

/** Notes trouble on it or its links, for `ms` and the contact time. */
void host_trouble(host_t *host, uint64_t ms);

/** @return whether it lives and has been without trouble for long enough */
bool host_in_touch(const host_t *host);

#endif
