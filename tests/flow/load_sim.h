/**
 * @file load_sim.h
 * Simulates the callers, instances and upstreams of a deployment on a manual
 * clock, in one process. Instances are steerings with own tables, so placement,
 * admission and the failure detector decide as in the daemon. With `share_load`
 * they get each other's load as reports would bring it, late by `view_age_ms`.
 */
#ifndef CAROB_TESTS_LOAD_SIM_H
#define CAROB_TESTS_LOAD_SIM_H

#include "carobtrail/steering.h"

#define LOAD_SIM_ZONES	    3
#define LOAD_SIM_KINDS_MAX  4
#define LOAD_SIM_FAULTS_MAX 4
/** Interval of load reports. */
#define LOAD_SIM_REPORT_MS 250

/** A kind of request; each has a route of its own. */
typedef struct load_sim_kind {
	double per_s; /* requests a second, from all zones */
	uint32_t work_ms;
	uint32_t target_ms;
	uint32_t deadline_ms;
	uint32_t flow_requests; /* mean number of requests of a flow */
	uint32_t priority;
	bool idempotent;
} load_sim_kind_t;

typedef enum load_sim_fault_kind {
	LOAD_SIM_NONE,
	LOAD_SIM_SURGE, /* multiplies the demand of each zone by `factors` */
	LOAD_SIM_SLOW,	/* upstreams take `factors[0]` times as long */
	LOAD_SIM_HANG,	/* upstreams answer nothing */
	LOAD_SIM_SHED,	/* upstreams shed each request at once */
	/** A part `factors[0]` of the requests ends soon with an error, or in a
	 * reset by the upstream. */
	LOAD_SIM_ERRORS,
	LOAD_SIM_RESETS,
	LOAD_SIM_KILLED,     /* all instances are away */
	LOAD_SIM_CUT,	     /* zone `zone` is cut off from the others */
	LOAD_SIM_NO_REPORTS, /* views are not renewed */
} load_sim_fault_kind_t;

/** A fault, or a change of the demand, for some time. */
typedef struct load_sim_fault {
	load_sim_fault_kind_t kind;
	double from_s;
	double to_s;
	double factors[LOAD_SIM_ZONES];
	/** It affects each upstream whose index is a multiple of `every`. */
	uint32_t every;
	/** If not 0, it affects this share of them instead, by a hash. */
	double share;
	uint32_t zone;
} load_sim_fault_t;

/** What to simulate. */
typedef struct load_sim_options {
	uint32_t instances; /* in all zones */
	uint32_t upstreams; /* in all zones, 2 slots each */
	size_t kind_count;
	load_sim_kind_t kinds[LOAD_SIM_KINDS_MAX];
	load_sim_fault_t faults[LOAD_SIM_FAULTS_MAX];
	double seconds;
	uint32_t retries;
	/** The slowest upstreams take 1 + `unevenness` times as long. */
	double unevenness;
	uint32_t callers; /* addresses of callers in each zone */
	/** Upstreams acknowledge a request at once, so that callers repeat it
	 * only if it got lost; otherwise they repeat it until the response. */
	bool acks_requests;
	bool share_load;
	uint32_t view_age_ms; /* a multiple of LOAD_SIM_REPORT_MS */
	uint64_t seed;
} load_sim_options_t;

/** Requests of one kind or zone. */
typedef struct load_sim_counts {
	uint32_t offered;
	uint32_t in_time;
	uint32_t late;
	uint32_t failed; /* no response until the deadline or the last try */
} load_sim_counts_t;

typedef struct load_sim_result {
	load_sim_counts_t all;
	load_sim_counts_t kinds[LOAD_SIM_KINDS_MAX];
	load_sim_counts_t zones[LOAD_SIM_ZONES]; /* zone of the caller */
	uint32_t attempts;
	uint32_t refused; /* attempts that an instance reset */
	uint32_t shed;	  /* attempts that an upstream shed */
	/** Of these, how many while an upstream had a free slot. */
	uint32_t shed_with_room;
	uint64_t ejections;  /* by outlier detection, of all instances */
	uint32_t unanswered; /* SYNs that reached no upstream that answers */
	uint32_t placed;     /* flows that were opened */
	uint32_t crossed;    /* of these, flows to another zone */
	/** Highest and mean number of responses of the upstreams that are
	 * neither slow nor hanging. */
	double busiest_to_mean;
	/** Largest change of the share of flows that crossed, from one second
	 * to the next, after the first half of the time. */
	double crossed_swing;
	/** Responses of an upstream that was slow or hanging, to those of all
	 * upstreams, from 2 s after the end of the fault on. */
	double recovered;
} load_sim_result_t;

/** Runs a simulation; ends the process if memory runs out. */
void load_sim_run(load_sim_result_t *out, const load_sim_options_t *options);

/** @return share of the requests that were served in time, at most 1 */
double load_sim_in_time(const load_sim_counts_t *counts);

#endif
