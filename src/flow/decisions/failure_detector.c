#include "carobtrail/failure_detector.h"

#include "carobtrail/log.h"

/* Number of consecutive unanswered SYNs from which on an upstream is avoided.
 * A single one may have been lost. */
#define SYNS_TO_AVOID 2
/* How long an upstream is avoided, per unanswered SYN. */
#define AVOID_NS     (500 * CAROB_NS_PER_MS)
#define AVOID_NS_MAX (4 * CAROB_NS_PER_S)
/* Minimum sum of unanswered SYNs and retransmitted requests, with at least one
 * of each, for an upstream to be silent. */
#define EVIDENCE_MIN 3
/* An upstream is silent only if it has not answered for this multiple of the
 * usual response time. */
#define RESPONSE_TIME_FACTOR 2
/* Minimum time without an answer for an upstream to be silent. It is longer
 * than a caller waits before it first retransmits a SYN. */
#define SILENT_NS_MIN (250 * CAROB_NS_PER_MS)
/* Maximum age of the latest evidence. It is far less than 4 s, the time after
 * the disruption of an upstream in which the guarantees to callers allow resets
 * of its flows. */
#define EVIDENCE_AGE_NS_MAX (1500 * CAROB_NS_PER_MS)
/* Minimum age of a stalled request. Callers retransmit a request 0.2, 0.6, 1.4
 * and 3 s after they sent it, so the third retransmission reaches this age. An
 * upstream refuses requests before its queueing delay gets this long. */
#define STALL_NS_MIN (1200 * CAROB_NS_PER_MS)
/* Tolerance when the time of a request is compared with that of an answer. A
 * request may arrive in the packet that acknowledges the handshake, and flows
 * store their times in whole milliseconds. */
#define TIME_TOLERANCE_NS (2 * CAROB_NS_PER_MS)
/* An answer from the zone that is younger than this came while the caller
 * waited to retransmit its SYN, at least 200 ms; the zone is not cut off. */
#define ZONE_ANSWER_AGE_NS_MIN (150 * CAROB_NS_PER_MS)
/* The same for a caller whose SYN was reset: it tries again after the time of a
 * round trip. */
#define REFUSED_ANSWER_AGE_NS_MIN (20 * CAROB_NS_PER_MS)
/* Other upstreams are known to answer if one has answered within this time. */
#define LAST_ANSWER_AGE_NS_MAX (200 * CAROB_NS_PER_MS)
/* Minimum wait of an overdue request. Callers retransmit a request 0.2 and 0.6
 * s after they sent it; a request that merely waits in a queue reaches the
 * first of the two. */
#define OVERDUE_NS_MIN (500 * CAROB_NS_PER_MS)
/* For how long the latest overdue request is evidence that an upstream or a
 * zone is gone. A cut link may heal meanwhile; FLOW in
 * docs/design/load-and-pace.md allows resets until 4 s after a disruption. */
#define OVERDUE_AGE_NS_MAX (3 * CAROB_NS_PER_S)
/* An upstream that dies leaves requests unanswered until its entry expires. An
 * overdue request of a longer time before the removal has another cause. */
#define OVERDUE_BEFORE_REMOVAL_NS (5 * CAROB_NS_PER_S)
/* Number of silent upstreams that are evidence against a whole zone. Two may
 * have failed by chance. */
#define SILENT_IN_ZONE_MIN 3
/* For an upstream to be gone, some other one must have answered within this
 * time. An instance with little load gets an answer a few times a second. */
#define OTHERS_ANSWER_AGE_NS_MAX (CAROB_NS_PER_S)

static carob_upstream_group_t *group_of(const carob_upstream_table_t *table,
					carob_upstream_index_t index)
{
	uint32_t group = table->items[index].group;

	return group == CAROB_INDEX_END ? NULL : &table->groups[group];
}

/* Counts a SYN that the zone has not answered, unless the zone has answered
 * another one within `answer_age_ns`. SYNs in a row to one upstream count once:
 * it may be the only one that does not answer. */
static void count_unanswered(const carob_upstream_table_t *table,
			     carob_upstream_index_t index,
			     uint64_t answer_age_ns, uint64_t now_ns)
{
	carob_upstream_group_t *group = group_of(table, index);

	if (!group || now_ns - group->answered_ns < answer_age_ns ||
	    (group->unanswered > 0 && group->last_unanswered == index))
		return;
	group->unanswered++;
	group->last_unanswered = index;
}

void carob_failure_detector_record_answer(carob_upstream_table_t *table,
					  carob_upstream_index_t index,
					  uint64_t now_ns)
{
	carob_upstream_t *upstream = &table->items[index];
	carob_upstream_group_t *group = group_of(table, index);

	if (upstream->unanswered_syns >= SYNS_TO_AVOID || upstream->stalled)
		CAROB_LOG(CAROB_EV_UPSTREAM_ANSWERS,
			  CAROB_FIELD_CSTR("upstream", upstream->id),
			  CAROB_FIELD_U64("failures",
					  upstream->unanswered_syns));
	carob_upstream_discard_evidence(upstream);
	upstream->answered_ns = now_ns;
	table->answered_ns = now_ns;
	if (!group)
		return;
	group->answered_ns = now_ns;
	group->unanswered = 0;
}

static void log_avoided(const carob_upstream_t *upstream)
{
	CAROB_LOG(CAROB_EV_UPSTREAM_AVOIDED,
		  CAROB_FIELD_CSTR("upstream", upstream->id),
		  CAROB_FIELD_U64("failures", upstream->unanswered_syns),
		  CAROB_FIELD_U64("waiting", upstream->repeated_requests),
		  CAROB_FIELD_U64("stalled", upstream->stalled),
		  CAROB_FIELD_U64("pending", upstream->pending));
}

void carob_failure_detector_record_syn(carob_upstream_table_t *table,
				       carob_upstream_index_t index,
				       uint64_t now_ns)
{
	carob_upstream_t *upstream = &table->items[index];
	uint64_t avoid_ns;

	upstream->unanswered_syns++;
	upstream->evidence_ns = now_ns;
	count_unanswered(table, index, ZONE_ANSWER_AGE_NS_MIN, now_ns);
	if (upstream->unanswered_syns < SYNS_TO_AVOID)
		return;
	avoid_ns = upstream->unanswered_syns * AVOID_NS;
	if (avoid_ns > AVOID_NS_MAX)
		avoid_ns = AVOID_NS_MAX;
	upstream->avoid_until_ns = now_ns + avoid_ns;
	if (upstream->unanswered_syns == SYNS_TO_AVOID)
		log_avoided(upstream);
}

void carob_failure_detector_record_refusal(carob_upstream_table_t *table,
					   carob_upstream_index_t index,
					   uint64_t now_ns)
{
	table->items[index].refused_syns++;
	count_unanswered(table, index, REFUSED_ANSWER_AGE_NS_MIN, now_ns);
}

void carob_failure_detector_record_request(carob_upstream_table_t *table,
					   carob_upstream_index_t index,
					   uint64_t now_ns)
{
	table->items[index].repeated_requests++;
	table->items[index].evidence_ns = now_ns;
}

void carob_failure_detector_record_stall(carob_upstream_table_t *table,
					 carob_upstream_index_t index,
					 uint64_t since_ns, uint64_t now_ns)
{
	carob_upstream_t *upstream = &table->items[index];

	if (now_ns - since_ns < STALL_NS_MIN ||
	    upstream->answered_ns > since_ns + TIME_TOLERANCE_NS)
		return;
	upstream->evidence_ns = now_ns;
	upstream->avoid_until_ns = now_ns + AVOID_NS_MAX;
	if (upstream->stalled)
		return;
	upstream->stalled = true;
	log_avoided(upstream);
}

void carob_failure_detector_record_overdue(carob_upstream_table_t *table,
					   carob_upstream_index_t index,
					   uint64_t since_ns, uint64_t usual_ns,
					   uint64_t now_ns)
{
	carob_upstream_t *upstream = &table->items[index];
	uint64_t overdue_ns_min = RESPONSE_TIME_FACTOR * usual_ns;

	if (overdue_ns_min < OVERDUE_NS_MIN)
		overdue_ns_min = OVERDUE_NS_MIN;
	if (now_ns - since_ns < overdue_ns_min ||
	    upstream->answered_ns > since_ns + TIME_TOLERANCE_NS)
		return;
	upstream->overdue_ns = now_ns;
}

/* Returns whether an upstream was removed and has answered nothing since. */
static bool is_removed(const carob_upstream_t *upstream)
{
	return upstream->used && upstream->state == CAROB_UPSTREAM_GONE &&
	       upstream->answered_ns < upstream->removed_ns;
}

/* Returns whether there is evidence against a removed upstream. */
static bool is_overdue(const carob_upstream_t *upstream)
{
	return is_removed(upstream) && upstream->overdue_ns != 0 &&
	       upstream->overdue_ns + OVERDUE_BEFORE_REMOVAL_NS >=
		       upstream->removed_ns;
}

static bool is_recent(uint64_t overdue_ns, uint64_t now_ns)
{
	return now_ns - overdue_ns < OVERDUE_AGE_NS_MAX;
}

/* Returns whether several upstreams of the zone fell silent together with this
 * one, and none of the zone has answered since its removal. */
static bool is_zone_silent(const carob_upstream_table_t *table,
			   const carob_upstream_t *upstream, uint64_t now_ns)
{
	uint64_t latest_ns = 0;
	uint32_t silent = 0;

	for (size_t i = 0; i < table->count; i++) {
		const carob_upstream_t *other = &table->items[i];

		if (!other->used || other->zone != upstream->zone)
			continue;
		if (other->answered_ns >= upstream->removed_ns)
			return false;
		if (!is_overdue(other))
			continue;
		silent++;
		if (other->overdue_ns > latest_ns)
			latest_ns = other->overdue_ns;
	}
	return silent >= SILENT_IN_ZONE_MIN && is_recent(latest_ns, now_ns);
}

bool carob_failure_detector_is_gone(const carob_upstream_table_t *table,
				    carob_upstream_index_t index,
				    uint64_t now_ns)
{
	const carob_upstream_t *upstream = &table->items[index];

	if (!is_removed(upstream) ||
	    now_ns - table->answered_ns >= OTHERS_ANSWER_AGE_NS_MAX)
		return false;
	return (is_overdue(upstream) && upstream->stalled &&
		is_recent(upstream->overdue_ns, now_ns)) ||
	       is_zone_silent(table, upstream, now_ns);
}

/* When the time to avoid the upstream has passed, one flow at a time may probe
 * whether it answers again. */
bool carob_failure_detector_is_avoided(const carob_upstream_t *upstream,
				       uint64_t now_ns)
{
	if (upstream->unanswered_syns < SYNS_TO_AVOID && !upstream->stalled)
		return false;
	return now_ns < upstream->avoid_until_ns || upstream->pending > 0;
}

bool carob_failure_detector_has_evidence(const carob_upstream_t *upstream)
{
	if (upstream->stalled)
		return true;
	return upstream->unanswered_syns > 0 &&
	       upstream->repeated_requests > 0 &&
	       upstream->unanswered_syns + upstream->repeated_requests >=
		       EVIDENCE_MIN;
}

bool carob_failure_detector_is_silent(const carob_upstream_table_t *table,
				      carob_upstream_index_t index,
				      uint64_t usual_ns, uint64_t now_ns)
{
	const carob_upstream_t *upstream = &table->items[index];
	uint64_t silent_ns_min = RESPONSE_TIME_FACTOR * usual_ns;

	if (!carob_failure_detector_has_evidence(upstream))
		return false;
	if (silent_ns_min < SILENT_NS_MIN)
		silent_ns_min = SILENT_NS_MIN;
	return now_ns - upstream->evidence_ns < EVIDENCE_AGE_NS_MAX &&
	       now_ns - upstream->answered_ns >= silent_ns_min &&
	       now_ns - table->answered_ns < LAST_ANSWER_AGE_NS_MAX;
}
