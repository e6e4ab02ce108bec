/**
 * @file ledger.h
 * Checks the records of callers against those of upstreams.
 */
#ifndef CAROB_EMULATOR_LEDGER_H
#define CAROB_EMULATOR_LEDGER_H

#include "emulator/ledger/record.h"

/** Kinds of faults: X(name, key, meaning). */
#define CAROB_LEDGER_FAULTS(X)                                                 \
	X(CAROB_FAULT_LOST, "lost",                                            \
	  "not cancelled, and no final response by deadline and bound")        \
	X(CAROB_FAULT_DOUBLED, "doubled",                                      \
	  "a non-idempotent request ran more than once")                       \
	X(CAROB_FAULT_FALSE_NOT_RUN, "false_not_run",                          \
	  "the caller received \"not run\" for a request that ran")            \
	X(CAROB_FAULT_MISROUTED, "misrouted",                                  \
	  "run by another service's upstream, or another request's response")  \
	X(CAROB_FAULT_BROKEN_FLOW, "broken_flows",                             \
	  "a feed with too long a gap, an older sequence number, the content " \
	  "of another request, or an end without reason")                      \
	X(CAROB_FAULT_LATE, "late",                                            \
	  "the final response arrived after the deadline")

/** A kind of fault. */
typedef enum carob_ledger_fault {
#define X(name, key, meaning) name,
	CAROB_LEDGER_FAULTS(X)
#undef X
	CAROB_FAULT_COUNT
} carob_ledger_fault_t;

/** Results of a check. */
typedef struct carob_ledger_report {
	uint64_t calls; /* including feeds */
	uint64_t feeds;
	uint64_t answered;
	uint64_t cancelled; /* cancelled by the caller */
	uint64_t refused;   /* calls refused as "not run" and not cancelled */
	uint64_t unknown; /* calls answered "outcome unknown", not cancelled */
	uint64_t runs;
	uint64_t runs_without_call; /* runs whose caller has no record */
	uint64_t wasted_us; /* slot time of completed runs of cancelled calls */
	uint64_t busy_us;   /* slot time of all runs except feeds */
	uint64_t faults[CAROB_FAULT_COUNT];
} carob_ledger_report_t;

/** Receiver of the faults that a check finds. */
typedef struct carob_ledger_listener carob_ledger_listener_t;
struct carob_ledger_listener {
	/** Called for each fault. */
	void (*fault)(carob_ledger_listener_t *listener,
		      carob_ledger_fault_t fault, uint64_t rid);
};

/** Bounds of the check. */
typedef struct carob_ledger_bounds {
	/* Time after the deadline until a request without a final response
	 * counts as lost. */
	uint64_t answer_us;
	uint64_t gap_us; /* longest gap of a feed that is not broken */
	carob_ledger_listener_t *listener; /* may be NULL */
} carob_ledger_bounds_t;

/** Records of callers and upstreams by request id. */
typedef struct carob_ledger carob_ledger_t;

/** Creates an empty ledger. @return 0 or CAROB_ENOMEM */
int carob_ledger_new(carob_ledger_t **out);

/** Releases a ledger; NULL is ignored. */
void carob_ledger_free(carob_ledger_t *ledger);

/** Adds a caller's record. @return 0, CAROB_EEXISTS or CAROB_ENOMEM */
int carob_ledger_add_call(carob_ledger_t *ledger,
			  const carob_call_record_t *record);

/** Adds an upstream's record. @return 0 or CAROB_ENOMEM */
int carob_ledger_add_run(carob_ledger_t *ledger,
			 const carob_run_record_t *record);

/** Adds all records of a file. @return 0 or a negative code */
int carob_ledger_load(carob_ledger_t *ledger, const char *path);

/** Checks all records. */
void carob_ledger_check(carob_ledger_report_t *out,
			const carob_ledger_t *ledger,
			const carob_ledger_bounds_t *bounds);

/**
 * @return whether no request was lost, doubled, misrouted or falsely reported
 *         as "not run", and no flow broken; late responses are allowed
 */
bool carob_ledger_report_clean(const carob_ledger_report_t *report);

/** @return the key of a kind of fault, such as "lost" */
const char *carob_ledger_fault_key(carob_ledger_fault_t fault);

#endif
