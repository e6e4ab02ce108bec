/**
 * @file judge.h
 * Checks the guarantees of the load balancer against what callers and hosts
 * observe. It counts requests and prints each violation as a line on standard
 * output.
 */
#ifndef CAROB_EMULATOR_FLOWS_JUDGE_H
#define CAROB_EMULATOR_FLOWS_JUDGE_H

#include "carobtrail/clock.h"
#include "carobtrail/flow_packet.h"

/** Most instances of a testbed, and most hosts over a whole run. */
#define JUDGE_INSTANCES_MAX 32
#define JUDGE_HOSTS_MAX	    512
/** Most requests of a run; higher ids share counters with lower ones. */
#define JUDGE_REQUESTS_MAX (1024 * 1024)

/** Guarantees, each named after its violation. */
typedef enum judge_promise {
	/** A caller received data that is not the response to its request. */
	JUDGE_WRONG_ANSWER,
	/** A request that is not idempotent ran more than once. */
	JUDGE_RUN_TWICE,
	/** An open flow was reset although its host still had it. */
	JUDGE_FLOW_BROKEN,
	/** A packet arrived altered, or was not sent by an end of a flow. */
	JUDGE_PACKET_CHANGED,
	/** A new flow reached a host of another service. */
	JUDGE_WRONG_SERVICE,
	/** A new flow reached a host long after it began to drain. */
	JUDGE_DRAINED,
	/** A new flow reached a host long after its route was removed. */
	JUDGE_OLD_ROUTE,
	/** A new flow was refused long after its route was added. */
	JUDGE_NEW_ROUTE,
	/** Too many requests failed long after the last fault. */
	JUDGE_NOT_SERVED,
	JUDGE_PROMISE_COUNT
} judge_promise_t;

/** How a request ended. */
typedef enum judge_outcome {
	JUDGE_SERVED,
	JUDGE_LATE,
	JUDGE_FAILED,
	JUDGE_OUTCOME_COUNT
} judge_outcome_t;

/** State of the checker; zero-initialise it and set `clock`. */
typedef struct judge {
	const carob_clock_t *clock;
	uint64_t broken[JUDGE_PROMISE_COUNT];
	uint64_t outcomes[JUDGE_OUTCOME_COUNT];
	uint64_t resets;      /* sent by instances, on open and other flows */
	uint64_t connects;    /* flows that hosts have accepted */
	uint64_t misdirected; /* packets meant for another host */
	/* The store and each instance count as disturbed until these times. */
	uint64_t store_trouble_ns;
	uint64_t instance_trouble_ns[JUDGE_INSTANCES_MAX];
	uint64_t last_trouble_ns; /* end of the last fault of any kind */
	uint64_t calm_outcomes[JUDGE_OUTCOME_COUNT]; /* long after that end */
	uint8_t runs[JUDGE_REQUESTS_MAX]; /* how often each request ran */
} judge_t;

/** Reports a violated guarantee, with printf-like details. */
void judge_broken(judge_t *judge, judge_promise_t promise, const char *fmt, ...)
	CAROB_PRINTF(3, 4);

/**
 * Records a fault of an instance, or of the store, that lasts `ms`
 * milliseconds from now on. Violations that it may cause are excused for the
 * contact time longer.
 */
void judge_instance_trouble(judge_t *judge, size_t instance, uint64_t ms);
void judge_store_trouble(judge_t *judge, uint64_t ms);

/** @return whether no recent fault of an instance excuses violations */
bool judge_instance_in_touch(const judge_t *judge, size_t instance);

/** @return whether no recent fault of the store excuses violations */
bool judge_store_stable(const judge_t *judge);

/** Records that a host began to run a request. */
void judge_run(judge_t *judge, uint64_t id, bool idempotent);

/** Records how a request ended. */
void judge_outcome(judge_t *judge, judge_outcome_t outcome);

/** Checks that requests were served long after the last fault. */
void judge_recovery(judge_t *judge);

/** Prints all counts as JSON. @return the number of violations */
uint64_t judge_report(const judge_t *judge);

#endif
