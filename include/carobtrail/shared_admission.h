/**
 * @file shared_admission.h
 * Admission control by the load of all instances: what admission.h decides by
 * the load of one instance, decided by a view (load_view.h). It applies once a
 * view has been received, and as long as the number of instances is known;
 * before and after that, admission.h applies.
 *
 * The room of a service is its slots times the requests per slot that are still
 * answered within the route's target. Each instance has a limit on its own
 * requests in progress: its load at the time of the view plus its part of the
 * free room, and at least its part of the whole room. The part of a zone is the
 * same for all zones with upstreams, that of an instance the same for all
 * instances of its zone. If more is in progress
 * than there is room, each instance reduces its load by the same factor.
 *
 * Above the limit a new flow is deferred if its caller's next SYN copy will
 * find room, and refused otherwise. Routes of a higher priority have a higher
 * limit; the lowest priority keeps a part of the room (`low_priority_floor`).
 * Under overload, callers that have been accepted more often than others yield
 * to them, and callers that were turned away go first.
 *
 * See docs/design/shared-admission.md.
 */
#ifndef CAROBTRAIL_SHARED_ADMISSION_H
#define CAROBTRAIL_SHARED_ADMISSION_H

#include "carobtrail/admission.h"
#include "carobtrail/caller_sketch.h"
#include "carobtrail/service_load.h"

/** Priorities that are told apart; lower ones count as the last of them. */
#define CAROB_ADMISSION_PRIORITIES 4
/** Buckets of the SYN copies that are expected; each is 50 ms long. */
#define CAROB_ADMISSION_RETURN_BUCKETS 16
/** Default of `low_priority_floor`. */
#define CAROB_LOW_PRIORITY_FLOOR_DEFAULT 0.1

/** Reasons of a decision: X(name, text). */
#define CAROB_SHARED_REASONS(X)                                                \
	X(CAROB_SHARED_NONE, "")                                               \
	X(CAROB_SHARED_WITHIN_LIMIT, "within_limit")                           \
	X(CAROB_SHARED_FLOOR, "floor")                                         \
	X(CAROB_SHARED_NO_ROOM, "no_room")                                     \
	X(CAROB_SHARED_CALLER_SHARE, "caller_share")

typedef enum carob_shared_reason {
#define X(name, text) name,
	CAROB_SHARED_REASONS(X)
#undef X
	CAROB_SHARED_REASON_COUNT
} carob_shared_reason_t;

/** What a decision was made by, for logs; all zero if none was made. */
typedef struct carob_shared_load {
	carob_shared_reason_t reason;
	double own;	    /* own requests in progress */
	double others;	    /* requests in progress at other instances */
	double room;	    /* requests of all instances that fit */
	double limit;	    /* own requests that fit */
	double slots;	    /* slots that accept flows */
	bool view_is_fresh; /* false: `others` is not used */
	uint32_t instances;
	uint32_t view_age_ms;
} carob_shared_load_t;

/** An overload of a service, from the first flow that was turned away. */
typedef struct carob_overload {
	bool is_active;
	uint64_t begun_ns;
	uint64_t last_ns; /* time of the last flow that was turned away */
	uint64_t refused;
	uint64_t deferred;
} carob_overload_t;

/** State of one service. */
typedef struct carob_shared_service {
	carob_service_load_t load;
	/** Part of the requests per slot that is used; lower when late. */
	double depth_factor;
	/** First SYNs per second, by priority, a mean of about a second. */
	double arrivals_per_s[CAROB_ADMISSION_PRIORITIES];
	uint64_t arrivals_ns;
	double floor_tokens; /* flows that the lowest priority may open */
	uint64_t floor_ns;
	/** SYN copies expected, by time; see CAROB_ADMISSION_RETURN_BUCKETS. */
	uint32_t returns[CAROB_ADMISSION_RETURN_BUCKETS];
	uint64_t returns_at; /* number of the current bucket */
	/** Callers that were accepted more often yield under overload. */
	double caller_level;
	uint64_t caller_level_ns;
	carob_overload_t overload;
} carob_shared_service_t;

/** Counters by priority; the last one is that of all lower priorities. */
typedef struct carob_shared_counters {
	uint64_t refused[CAROB_SHARED_REASON_COUNT][CAROB_ADMISSION_PRIORITIES];
	uint64_t deferred[CAROB_SHARED_REASON_COUNT][CAROB_ADMISSION_PRIORITIES];
	uint64_t floor_used; /* accepted by the floor of the lowest priority */
	uint64_t overloads;  /* begun */
} carob_shared_counters_t;

/** Shared admission control of an instance. */
typedef struct carob_shared_admission carob_shared_admission_t;

/**
 * Creates a shared admission control.
 *
 * @param out receives it; release it with `carob_shared_admission_free`
 * @param low_priority_floor part of the room for the lowest priority, 0 to 1
 * @param now_ns monotonic time; also varies the hash of callers
 * @return 0 or CAROB_ENOMEM
 */
int carob_shared_admission_new(carob_shared_admission_t **out,
			       double low_priority_floor, uint64_t now_ns);

/** Releases a shared admission control; `admission` may be NULL. */
void carob_shared_admission_free(carob_shared_admission_t *admission);

/** Changes the part of the room that the lowest priority keeps. */
void carob_shared_admission_set_floor(carob_shared_admission_t *admission,
				      double low_priority_floor);

/** @return whether the load of all instances, or their number, is known */
bool carob_shared_admission_applies(const carob_shared_admission_t *admission,
				    const carob_load_view_t *view,
				    uint64_t now_ns);

/**
 * Decides what to do with a new flow.
 *
 * @param out receives what the decision was made by
 * @param admission the state of all services; without memory for the flow's
 *        service, the flow is accepted
 * @param table the upstreams with their slots and load
 * @param query the flow; `carob_shared_admission_applies` holds for its view
 * @return what to do with the flow
 */
carob_admission_verdict_t
carob_shared_admission_decide(carob_shared_load_t *out,
			      carob_shared_admission_t *admission,
			      const carob_upstream_table_t *table,
			      const carob_admission_query_t *query);

/**
 * Learns from a response.
 *
 * @param admission the state of all services
 * @param service the service that has responded
 * @param ms the response time, in milliseconds
 * @param target_ms target of the route, not 0
 */
void carob_shared_admission_record_response(carob_shared_admission_t *admission,
					    carob_name_id_t service,
					    uint32_t ms, uint32_t target_ms);

/** Ends overloads that are over, with a log line; call it periodically. */
void carob_shared_admission_check(carob_shared_admission_t *admission,
				  const carob_upstream_table_t *table,
				  uint64_t now_ns);

/** @return the counters, borrowed */
const carob_shared_counters_t *
carob_shared_admission_counters(const carob_shared_admission_t *admission);

/** @return the text of a reason, for logs and metrics */
const char *carob_shared_reason_text(carob_shared_reason_t reason);

#endif
