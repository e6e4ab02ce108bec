/**
 * @file judge.h
 * What callers and hosts see, held against the promises: counts requests, and
 * reports each broken promise as a line on standard output.
 */
#ifndef CAROB_EMULATOR_FLOWS_JUDGE_H
#define CAROB_EMULATOR_FLOWS_JUDGE_H

#include "carobtrail/clock.h"
#include "carobtrail/flow_packet.h"

/** Most instances of a bed, and most hosts over its whole time. */
#define JUDGE_INSTANCES_MAX 32
#define JUDGE_HOSTS_MAX	    512
/** Most requests of a run. */
#define JUDGE_REQUESTS_MAX (1024 * 1024)

/** Promises. */
typedef enum judge_promise {
	JUDGE_WRONG_ANSWER,   /* not the caller's own, or not whole */
	JUDGE_RUN_TWICE,      /* a request that may run once */
	JUDGE_FLOW_BROKEN,    /* a reset that the flow's host did not send */
	JUDGE_PACKET_CHANGED, /* or one that nobody wrote */
	JUDGE_WRONG_SERVICE,
	JUDGE_DRAINED,	  /* a new flow long after the host began to drain */
	JUDGE_OLD_ROUTE,  /* a new flow long after its route was dropped */
	JUDGE_NEW_ROUTE,  /* refused long after its route was added */
	JUDGE_NOT_SERVED, /* long after the last trouble */
	JUDGE_PROMISE_COUNT
} judge_promise_t;

/** How a request ended. */
typedef enum judge_outcome {
	JUDGE_SERVED,
	JUDGE_LATE,
	JUDGE_FAILED,
	JUDGE_OUTCOME_COUNT
} judge_outcome_t;

/** What is judged; zero-initialise it and set `clock`. */
typedef struct judge {
	const carob_clock_t *clock;
	uint64_t broken[JUDGE_PROMISE_COUNT];
	uint64_t outcomes[JUDGE_OUTCOME_COUNT];
	uint64_t resets; /* that instances sent, on open flows and others */
	uint64_t connects;
	uint64_t misdirected;	   /* packets meant for another host */
	uint64_t store_trouble_ns; /* until then the store counts as unstable */
	uint64_t instance_trouble_ns[JUDGE_INSTANCES_MAX];
	uint64_t last_trouble_ns;		     /* of any kind */
	uint64_t calm_outcomes[JUDGE_OUTCOME_COUNT]; /* long after all of it */
	uint8_t runs[JUDGE_REQUESTS_MAX];
} judge_t;

/** Reports a broken promise, with printf-like detail. */
void judge_broken(judge_t *judge, judge_promise_t promise, const char *fmt, ...)
	CAROB_PRINTF(3, 4);

/**
 * Notes trouble with an instance, or with the store, for `ms` from now on. It
 * excuses for the contact time longer.
 */
void judge_instance_trouble(judge_t *judge, size_t instance, uint64_t ms);
void judge_store_trouble(judge_t *judge, uint64_t ms);

/** @return whether an instance has been without trouble for long enough */
bool judge_instance_in_touch(const judge_t *judge, size_t instance);

/** @return whether the store has been without trouble for long enough */
bool judge_store_stable(const judge_t *judge);

/** Notes that a host began to work on a request. */
void judge_run(judge_t *judge, uint64_t id, bool idempotent);

/** Notes how a request ended. */
void judge_outcome(judge_t *judge, judge_outcome_t outcome);

/** Judges whether requests are served long after the last trouble. */
void judge_recovery(judge_t *judge);

/** Prints all counts. @return how many promises were broken */
uint64_t judge_report(const judge_t *judge);

#endif
