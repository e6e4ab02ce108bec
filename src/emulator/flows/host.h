/**
 * @file host.h
 * An emulated host (upstream). It accepts flows from the load balancer, runs
 * requests in slots and sends its responses to the callers directly.
 */
#ifndef CAROB_EMULATOR_FLOWS_HOST_H
#define CAROB_EMULATOR_FLOWS_HOST_H

#include "testbed.h"

typedef struct host host_t;

/** How a host treats packets. */
typedef enum host_state {
	HOST_READY,
	HOST_DRAINING, /* closes each flow after its next response */
	HOST_CRASHED,  /* has crashed: ignores packets and sends none */
} host_state_t;

/** Options of a host. */
typedef struct host_options {
	uint64_t number; /* id, also in its key in the store */
	size_t zone;
	size_t service;
	uint32_t slots;	      /* requests that run at once */
	uint32_t queue;	      /* requests that may wait for a slot */
	uint32_t mean_run_ms; /* mean time that a request runs */
	carob_addr_t addr;
} host_options_t;

/**
 * Starts a host.
 *
 * @param out receives the host; release it with `host_free`
 * @param testbed the testbed, which must outlive the host
 * @param options copied
 * @return 0 or a negative code
 */
int host_new(host_t **out, testbed_t *testbed, const host_options_t *options);

/** Stops and releases a host, without closing its flows. */
void host_free(host_t *host);

/** Changes how a host treats packets. */
void host_set_state(host_t *host, host_state_t state);

/** @return how a host treats packets */
host_state_t host_state(const host_t *host);

/** Makes a host cold for `ms` milliseconds: its requests run longer. */
void host_set_cold(host_t *host, uint32_t ms);

/** @return the time for which a host stays cold, in milliseconds */
uint32_t host_cold_ms(const host_t *host);

/** @return the options of a host, borrowed */
const host_options_t *host_options(const host_t *host);

/** @return the monotonic time of the host's start */
uint64_t host_started_ns(const host_t *host);

/** @return whether a flow from `caller` to `route` is open at the host */
bool host_has_flow(const host_t *host, carob_endpoint_t caller,
		   carob_endpoint_t route);

/**
 * Records a fault of the host or its links that lasts `ms` milliseconds. The
 * host counts as disturbed for TESTBED_CONTACT_MS longer.
 */
void host_record_fault(host_t *host, uint64_t ms);

/** @return whether a host has not crashed and counts as undisturbed */
bool host_is_undisturbed(const host_t *host);

#endif
