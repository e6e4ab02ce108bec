/**
 * @file checker.h
 * Checks the guarantees of the load balancer against what callers and hosts
 * observe. It counts requests and prints each violation as a line on standard
 * output.
 */
#ifndef CAROB_EMULATOR_FLOWS_CHECKER_H
#define CAROB_EMULATOR_FLOWS_CHECKER_H

#include "carobtrail/clock.h"
#include "carobtrail/flow_packet.h"

/** Most instances of a testbed, and most hosts over a whole run. */
#define CHECKER_INSTANCES_MAX 32
#define CHECKER_HOSTS_MAX     512
/** Most requests of a run; higher ids share counters with lower ones. */
#define CHECKER_REQUESTS_MAX (1024 * 1024)

/** Guarantees, each named after its violation. */
typedef enum checker_guarantee {
	/** A caller received data that is not the response to its request. */
	CHECKER_WRONG_ANSWER,
	/** A request that is not idempotent ran more than once. */
	CHECKER_RUN_TWICE,
	/** An open flow was reset although its host still had it. */
	CHECKER_FLOW_BROKEN,
	/** A packet arrived altered, or was not sent by an end of a flow. */
	CHECKER_PACKET_CHANGED,
	/** A new flow reached a host of another service. */
	CHECKER_WRONG_SERVICE,
	/** A new flow reached a host long after it began to drain. */
	CHECKER_DRAINED,
	/** A new flow reached a host long after its route was removed. */
	CHECKER_OLD_ROUTE,
	/** A new flow was refused long after its route was added. */
	CHECKER_NEW_ROUTE,
	/** A SYN reached a host long after its zone was evacuated. */
	CHECKER_EVACUATED,
	/** Too many requests failed long after the last fault. */
	CHECKER_NOT_SERVED,
	CHECKER_GUARANTEE_COUNT
} checker_guarantee_t;

/** How a request ended. */
typedef enum checker_outcome {
	CHECKER_SERVED,
	CHECKER_LATE,
	CHECKER_FAILED,
	CHECKER_OUTCOME_COUNT
} checker_outcome_t;

/** State of the checker; zero-initialise it and set `clock`. */
typedef struct checker {
	const carob_clock_t *clock;
	uint64_t violations[CHECKER_GUARANTEE_COUNT];
	uint64_t outcomes[CHECKER_OUTCOME_COUNT];
	uint64_t resets;      /* resets that instances sent, on any flow */
	uint64_t connects;    /* flows that hosts have accepted */
	uint64_t misdirected; /* packets meant for another host */
	/* The store and each instance count as disturbed until these times. */
	uint64_t store_disturbed_until_ns;
	uint64_t instance_disturbed_until_ns[CHECKER_INSTANCES_MAX];
	uint64_t last_fault_end_ns; /* end of the last fault of an instance or
				       of the store */
	/* Outcomes of requests that ended long after the last fault. */
	uint64_t recovered_outcomes[CHECKER_OUTCOME_COUNT];
	uint8_t runs[CHECKER_REQUESTS_MAX]; /* how often each request ran */
} checker_t;

/** Reports a violated guarantee, with printf-like details. */
void checker_report_violation(checker_t *checker, checker_guarantee_t guarantee,
			      const char *fmt, ...) CAROB_PRINTF(3, 4);

/**
 * Records a fault of an instance, or of the store, that lasts `ms`
 * milliseconds from now on. Violations that the fault may cause are excused
 * until CONTACT_NS (see checker.c) after its end.
 */
void checker_record_instance_fault(checker_t *checker, size_t instance,
				   uint64_t ms);
void checker_record_store_fault(checker_t *checker, uint64_t ms);

/** @return whether no recent fault of an instance excuses violations */
bool checker_instance_undisturbed(const checker_t *checker, size_t instance);

/** @return whether no recent fault of the store excuses violations */
bool checker_store_undisturbed(const checker_t *checker);

/** Records that a host began to run a request. */
void checker_record_run(checker_t *checker, uint64_t id, bool idempotent);

/** Records how a request ended. */
void checker_record_outcome(checker_t *checker, checker_outcome_t outcome);

/** Checks that requests were served long after the last fault. */
void checker_check_recovery(checker_t *checker);

/** Prints all counts as JSON. @return the number of violations */
uint64_t checker_print_report(const checker_t *checker);

#endif
