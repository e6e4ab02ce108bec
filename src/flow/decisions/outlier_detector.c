#include "carobtrail/outlier_detector.h"

#include "carobtrail/load_meter.h"
#include "carobtrail/log.h"

/* How much more than the lower quartile an upstream has to fail to be ejected,
 * and below which it returns. Of 20 responses in the memory of the meters, an
 * upstream that fails 1 in 50 fails 5 or more once in 20,000 times. Where many
 * responses are late, shares differ by chance, hence the factor. */
#define EJECT_SHARE  0.2
#define EJECT_FACTOR 2
#define RETURN_SHARE 0.15
/* Share from which on an ejected upstream is failing, and that of its group up
 * to which it is: where others are late too, it may be well and have a queue.
 * The few responses that one instance sees are no evidence: in a crowd,
 * upstreams with a queue were taken for failing ones. */
#define FAILING_SHARE	  0.4
#define FAILING_USUAL_MAX 0.05
/* How long it has to be so. When routers move callers to other instances, their
 * requests seem unanswered here once; other responses then outweigh them. */
#define FAILING_NS (CAROB_NS_PER_S)
/* Responses that are assumed to have been in time, beside those that were seen:
 * of two both have to fail, of ten more than two. */
#define PRIOR_RESPONSES 5.0
/* Load of a group in requests per slot from which on requests wait, and how
 * long a group counts as overloaded after it or a refusal: until the meters
 * have forgotten most of it. What is late or shed then says nothing about an
 * upstream of its own. */
#define BUSY_PER_SLOT 1.0
#define OVERLOAD_NS   (3 * CAROB_NS_PER_S)
/* How long an upstream of which nothing is known stays ejected, and the longest
 * time: one that recovers has its share within 2 s. */
#define UNKNOWN_NS     (CAROB_NS_PER_S)
#define UNKNOWN_NS_MAX (2 * CAROB_NS_PER_S)
/* An ejection this long after a return is the first in a row. */
#define IN_A_ROW_NS (10 * CAROB_NS_PER_S)
/* Minimum time between two updates, per upstream of the table and at all. */
#define UPDATE_NS_MIN	       (100 * CAROB_NS_PER_MS)
#define UPDATE_NS_PER_UPSTREAM 25000
/* Shares are compared in steps of this part. */
#define STEPS 32

typedef struct evidence {
	bool is_shared;	   /* by the reports of other instances */
	double instances;  /* of them */
	double remembered; /* responses that they remember of an upstream */
	uint64_t now_ns;
} evidence_t;

/* The shares of the upstreams of one group. */
typedef struct shares {
	uint32_t counts[STEPS + 1];
	uint32_t count;
	uint32_t ejected;
	bool is_overloaded;
} shares_t;

static bool is_known(const carob_upstream_t *upstream,
		     const evidence_t *evidence)
{
	return evidence->is_shared ? upstream->others_answered
				   : carob_load_meter_is_known(upstream);
}

/* Share of the remembered responses that were late, missing or failed. */
static double raw_share(const carob_upstream_t *upstream,
			const evidence_t *evidence)
{
	const carob_upstream_meter_t *meter = &upstream->meter;

	if (evidence->is_shared)
		return upstream->others_late;
	return meter->answered > 0 ? meter->late / meter->answered : 0;
}

/* The same, lower the fewer responses are remembered. */
static double failed_share(const carob_upstream_t *upstream,
			   const evidence_t *evidence)
{
	double remembered = evidence->is_shared ? evidence->remembered
						: upstream->meter.answered;

	return raw_share(upstream, evidence) * remembered /
	       (remembered + PRIOR_RESPONSES);
}

static uint32_t step_of(double share)
{
	return (uint32_t)(share * STEPS + 0.5);
}

/* Reports tell shares only. How many responses they stand for is estimated from
 * those that this instance has seen itself. */
static void estimate_remembered(evidence_t *evidence,
				const carob_upstream_table_t *table,
				const carob_upstream_group_t *group)
{
	double sum = 0;

	for (uint32_t i = 0; i < group->count; i++)
		sum += table->items[group->members[i]].meter.answered;
	evidence->remembered =
		group->count > 0 ? evidence->instances * sum / group->count : 0;
}

static bool was_overloaded(const carob_upstream_group_t *group, uint64_t now_ns)
{
	return group->overloaded_ns != 0 &&
	       now_ns - group->overloaded_ns < OVERLOAD_NS;
}

bool carob_outlier_detector_is_overloaded(const carob_upstream_table_t *table,
					  const carob_upstream_t *upstream,
					  uint64_t now_ns)
{
	return upstream->group != CAROB_INDEX_END &&
	       was_overloaded(&table->groups[upstream->group], now_ns);
}

static void note_load(carob_upstream_group_t *group, const evidence_t *evidence)
{
	if (evidence->is_shared && group->load.per_slot > BUSY_PER_SLOT)
		group->overloaded_ns = evidence->now_ns;
}

static void collect_shares(shares_t *out, const carob_upstream_table_t *table,
			   const carob_upstream_group_t *group,
			   const evidence_t *evidence)
{
	*out = (shares_t){.count = group->count,
			  .is_overloaded =
				  was_overloaded(group, evidence->now_ns)};
	for (uint32_t i = 0; i < group->count; i++) {
		const carob_upstream_t *upstream =
			&table->items[group->members[i]];

		out->counts[step_of(failed_share(upstream, evidence))]++;
		out->ejected += upstream->outlier.ejected;
	}
}

static uint32_t lower_quartile(const shares_t *shares)
{
	uint32_t below = 0;
	uint32_t step = 0;

	while (step < STEPS &&
	       4 * (below + shares->counts[step]) < shares->count)
		below += shares->counts[step++];
	return step;
}

static void log_change(carob_log_event_t event,
		       const carob_upstream_table_t *table,
		       const carob_upstream_t *upstream,
		       const evidence_t *evidence, uint32_t usual)
{
	CAROB_LOG(event, CAROB_FIELD_CSTR("upstream", upstream->id),
		  CAROB_FIELD_CSTR("service",
				   carob_name_table_text(&table->services,
							 upstream->service)),
		  CAROB_FIELD_U64(
			  "failed_percent",
			  (uint64_t)(100 * failed_share(upstream, evidence))),
		  CAROB_FIELD_U64("usual_percent", 100 * usual / STEPS),
		  CAROB_FIELD_U64("known", is_known(upstream, evidence)),
		  CAROB_FIELD_U64("reported", evidence->is_shared),
		  CAROB_FIELD_U64("in_a_row", upstream->outlier.in_a_row));
}

static void eject(carob_upstream_t *upstream, uint64_t now_ns)
{
	carob_upstream_outlier_t *state = &upstream->outlier;

	if (now_ns - state->changed_ns >= IN_A_ROW_NS)
		state->in_a_row = 0;
	if (state->in_a_row < UINT8_MAX)
		state->in_a_row++;
	state->ejected = true;
	state->changed_ns = now_ns;
	state->known_ns = now_ns;
}

/* Returns how long an upstream of which nothing is known stays ejected. */
static uint64_t unknown_ns(const carob_upstream_outlier_t *state)
{
	uint64_t ns = UNKNOWN_NS;

	for (uint8_t i = 1; i < state->in_a_row && ns < UNKNOWN_NS_MAX; i++)
		ns *= 2;
	return ns < UNKNOWN_NS_MAX ? ns : UNKNOWN_NS_MAX;
}

static bool may_return(carob_upstream_t *upstream, const evidence_t *evidence,
		       double usual)
{
	carob_upstream_outlier_t *state = &upstream->outlier;

	if (is_known(upstream, evidence)) {
		state->known_ns = evidence->now_ns;
		return raw_share(upstream, evidence) < usual + RETURN_SHARE;
	}
	return evidence->now_ns - state->known_ns >= unknown_ns(state);
}

static bool may_eject(const carob_upstream_t *upstream,
		      const evidence_t *evidence, const shares_t *shares,
		      double usual)
{
	return !shares->is_overloaded &&
	       2 * (shares->ejected + 1) <= shares->count &&
	       failed_share(upstream, evidence) >=
		       EJECT_FACTOR * usual + EJECT_SHARE;
}

static bool fails_most(const carob_upstream_t *upstream,
		       const evidence_t *evidence, const shares_t *shares,
		       double usual)
{
	return evidence->is_shared && upstream->outlier.ejected &&
	       is_known(upstream, evidence) && !shares->is_overloaded &&
	       usual <= FAILING_USUAL_MAX &&
	       raw_share(upstream, evidence) >= FAILING_SHARE;
}

static void update_failing(carob_upstream_t *upstream,
			   const evidence_t *evidence, const shares_t *shares,
			   double usual)
{
	carob_upstream_outlier_t *state = &upstream->outlier;

	if (!fails_most(upstream, evidence, shares, usual))
		state->failing_since_ns = 0;
	else if (state->failing_since_ns == 0)
		state->failing_since_ns = evidence->now_ns;
	state->failing = state->failing_since_ns != 0 &&
			 evidence->now_ns - state->failing_since_ns >=
				 FAILING_NS;
}

static void update_upstream(carob_outlier_detector_t *detector,
			    const carob_upstream_table_t *table,
			    carob_upstream_t *upstream,
			    const evidence_t *evidence, shares_t *shares)
{
	uint32_t step = lower_quartile(shares);
	double usual = (double)step / STEPS;

	if (!upstream->outlier.ejected &&
	    may_eject(upstream, evidence, shares, usual)) {
		log_change(CAROB_EV_UPSTREAM_EJECTED, table, upstream, evidence,
			   step);
		eject(upstream, evidence->now_ns);
		detector->ejections++;
		shares->ejected++;
	} else if (upstream->outlier.ejected &&
		   may_return(upstream, evidence, usual)) {
		upstream->outlier.ejected = false;
		upstream->outlier.changed_ns = evidence->now_ns;
		detector->returns++;
		shares->ejected--;
		log_change(CAROB_EV_UPSTREAM_RETURNED, table, upstream,
			   evidence, step);
	}
	update_failing(upstream, evidence, shares, usual);
	detector->failing += upstream->outlier.failing;
}

static void update_group(carob_outlier_detector_t *detector,
			 carob_upstream_table_t *table,
			 carob_upstream_group_t *group, evidence_t *evidence)
{
	shares_t shares;

	note_load(group, evidence);
	estimate_remembered(evidence, table, group);
	collect_shares(&shares, table, group, evidence);
	for (uint32_t i = 0; i < group->count; i++)
		update_upstream(detector, table,
				&table->items[group->members[i]], evidence,
				&shares);
	detector->ejected += shares.ejected;
}

static void fade_meters(carob_upstream_table_t *table, uint64_t now_ns)
{
	for (size_t i = 0; i < table->count; i++)
		carob_load_meter_fade(&table->items[i], now_ns);
}

void carob_outlier_detector_update(carob_outlier_detector_t *detector,
				   carob_upstream_table_t *table,
				   const carob_load_view_t *view,
				   uint64_t now_ns)
{
	evidence_t evidence = {
		.is_shared = carob_load_view_is_fresh(view, now_ns),
		.instances = carob_load_view_all_instances(view, now_ns),
		.now_ns = now_ns,
	};
	uint64_t interval_ns = table->count * UPDATE_NS_PER_UPSTREAM;

	if (now_ns < detector->next_update_ns)
		return;
	if (interval_ns < UPDATE_NS_MIN)
		interval_ns = UPDATE_NS_MIN;
	detector->next_update_ns = now_ns + interval_ns;
	fade_meters(table, now_ns);
	detector->ejected = 0;
	detector->failing = 0;
	for (size_t i = 0; i < table->group_count; i++)
		update_group(detector, table, &table->groups[i], &evidence);
}
