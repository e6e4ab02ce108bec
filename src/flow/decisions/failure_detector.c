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
/* Other upstreams are known to answer if one has answered within this time. */
#define LAST_ANSWER_AGE_NS_MAX (200 * CAROB_NS_PER_MS)

static carob_upstream_group_t *group_of(const carob_upstream_table_t *table,
					carob_upstream_index_t index)
{
	uint32_t group = table->items[index].group;

	return group == CAROB_INDEX_END ? NULL : &table->groups[group];
}

/* Counts a SYN that the zone has not answered. SYNs in a row to one upstream
 * count once: it may be the only one that does not answer. */
static void count_unanswered(const carob_upstream_table_t *table,
			     carob_upstream_index_t index, uint64_t now_ns)
{
	carob_upstream_group_t *group = group_of(table, index);

	if (!group || now_ns - group->answered_ns < ZONE_ANSWER_AGE_NS_MIN ||
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
	upstream->unanswered_syns = 0;
	upstream->repeated_requests = 0;
	upstream->stalled = false;
	upstream->avoid_until_ns = 0;
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
	count_unanswered(table, index, now_ns);
	if (upstream->unanswered_syns < SYNS_TO_AVOID)
		return;
	avoid_ns = upstream->unanswered_syns * AVOID_NS;
	if (avoid_ns > AVOID_NS_MAX)
		avoid_ns = AVOID_NS_MAX;
	upstream->avoid_until_ns = now_ns + avoid_ns;
	if (upstream->unanswered_syns == SYNS_TO_AVOID)
		log_avoided(upstream);
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
