#include "flow/decisions/pace_priv.h"

#include "carobtrail/log.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Share of a paced upstream at the beginning of its ramp, and how much it is
 * higher if all upstreams of the zone are paced. One upstream alone would
 * attract all new flows; a whole zone has to carry them soon. */
#define SHARE_FIRST	 0.1
#define SHARE_FIRST_ZONE 0.4
/* The smallest share. It still lets a recovery be noticed. */
#define SHARE_MIN  0.05
#define SHARE_UP   1.5
#define SHARE_DOWN 0.5
/* Weight of the answers that decide a step of the share. One answer says too
 * little: the work of requests varies by more than the slow start. */
#define VOTES 3
/* A missing answer says more than a slow one, but a packet may be lost. */
#define VOTES_MISSING 2
/* An answer is slow from this multiple of the usual time on. An upstream that
 * has just started takes about 1.6 times as long and is not slow by this. */
#define SLOW_FACTOR 2.5
/* Responses after which the usual time of a route can be used, and the step of
 * its estimate as a fraction of it. */
#define USUAL_SAMPLES_MIN 8
#define USUAL_STEP	  0.05
/* The time in which the lower limit of the share rises to 1 is the rest of the
 * cold time, within these bounds. A longer ramp would leave slots idle: an
 * upstream that has just started can carry more than half of its load. */
#define RISE_MS_MIN 5000
#define RISE_MS_MAX 15000
/* Time constant of the average of new flows per second, in seconds. */
#define SENT_AVERAGE_S 10.0
/* Time in which an upstream at the full share would receive as many open flows
 * as a warm one has, in seconds. */
#define CATCH_UP_S 4.0
/* Maximum of the rate of refills, as a multiple of the share. */
#define REFILL_FACTOR_MAX 2.0
/* Minimum time between two updates, per upstream of the table and at all: an
 * update reads all upstreams. */
#define UPDATE_NS_MIN	       (100 * CAROB_NS_PER_MS)
#define UPDATE_NS_PER_UPSTREAM 25000

static bool is_on(const carob_pace_t *pace)
{
	return pace->options.cold_overage > 0;
}

static bool is_paced(const carob_upstream_t *upstream)
{
	return upstream->pace.ramping || upstream->pace.bounded;
}

void carob_pace_configure(carob_pace_t *pace,
			  const carob_pace_options_t *options)
{
	if (options->seed != pace->options.seed || !is_on(pace))
		carob_rng_init(&pace->rng, options->seed);
	pace->options = *options;
	pace->next_update_ns = 0;
}

static float refilled(const carob_upstream_pace_t *state, uint64_t now_ns)
{
	double tokens = state->tokens +
			state->per_s * (double)(now_ns - state->refilled_ns) /
				CAROB_NS_PER_S;

	return tokens < 1 ? (float)tokens : 1;
}

bool carob_pace_allows(const carob_upstream_t *upstream, uint64_t now_ns)
{
	const carob_upstream_pace_t *state = &upstream->pace;

	if (state->bounded && !carob_pace_window_is_open(state, now_ns))
		return false;
	if (!state->ramping || state->free)
		return true;
	if (upstream->open_flows > 0 &&
	    (float)upstream->open_flows >= state->open_max)
		return false;
	return refilled(state, now_ns) >= 1;
}

bool carob_pace_withholds(const carob_upstream_table_t *table,
			  carob_name_id_t service, uint64_t now_ns)
{
	CAROB_UPSTREAMS_OF (i, table, service)
		if (carob_upstream_accepts(&table->items[i]) &&
		    !carob_pace_allows(&table->items[i], now_ns))
			return true;
	return false;
}

static double sent_per_s(const carob_upstream_t *upstream, uint64_t now_ns)
{
	double passed_s =
		(double)(now_ns - upstream->pace.sent_ns) / CAROB_NS_PER_S;

	return upstream->pace.sent_per_s * exp(-passed_s / SENT_AVERAGE_S);
}

void carob_pace_record_flow(const carob_pace_t *pace,
			    carob_upstream_t *upstream, uint64_t now_ns)
{
	carob_upstream_pace_t *state = &upstream->pace;

	if (!is_on(pace))
		return;
	state->sent_per_s =
		(float)(sent_per_s(upstream, now_ns) + 1 / SENT_AVERAGE_S);
	state->sent_ns = now_ns;
	if (state->bounded && now_ns >= state->window_ns)
		state->window_ns +=
			((now_ns - state->window_ns) / state->period_ns + 1) *
			state->period_ns;
	if (state->ramping) {
		state->tokens = refilled(state, now_ns) - 1;
		state->refilled_ns = now_ns;
	}
}

static void log_ramp(carob_log_event_t event,
		     const carob_upstream_table_t *table,
		     const carob_upstream_t *upstream)
{
	CAROB_LOG(event, CAROB_FIELD_CSTR("upstream", upstream->id),
		  CAROB_FIELD_CSTR("service",
				   carob_name_table_text(&table->services,
							 upstream->service)),
		  CAROB_FIELD_CSTR("zone",
				   carob_name_table_text(&table->zones,
							 upstream->zone)),
		  CAROB_FIELD_U64("bounded", upstream->pace.bounded),
		  CAROB_FIELD_U64("share_percent",
				  (uint64_t)(100 * upstream->pace.share)),
		  CAROB_FIELD_U64("rise_ms", upstream->pace.rise_ms));
}

static carob_pace_peers_t *peers_of(const carob_pace_t *pace,
				    const carob_upstream_t *upstream)
{
	size_t index = upstream->service * pace->zones + upstream->zone;

	return upstream->zone < pace->zones && index < pace->peers_cap
		       ? &pace->peers[index]
		       : NULL;
}

static double first_share(const carob_pace_t *pace,
			  const carob_upstream_t *upstream)
{
	const carob_pace_peers_t *peers = peers_of(pace, upstream);
	double slots;

	if (!peers || peers->paced_slots == 0)
		return SHARE_FIRST;
	slots = (double)peers->warm_slots + peers->paced_slots;
	return SHARE_FIRST + SHARE_FIRST_ZONE * peers->paced_slots / slots;
}

static uint32_t rise_ms(const carob_upstream_t *upstream, uint64_t now_ns)
{
	uint64_t cold_ms = 0;

	if (upstream->cold_until_ns > now_ns)
		cold_ms = (upstream->cold_until_ns - now_ns) / CAROB_NS_PER_MS;
	if (cold_ms < RISE_MS_MIN)
		return RISE_MS_MIN;
	return cold_ms < RISE_MS_MAX ? (uint32_t)cold_ms : RISE_MS_MAX;
}

static void set_floor(carob_upstream_pace_t *state, double share,
		      uint64_t now_ns)
{
	state->share = (float)share;
	state->floor_share = (float)share;
	state->floor_ns = now_ns;
	state->fast = 0;
	state->slow = 0;
}

static void begin_ramp(carob_pace_t *pace, const carob_upstream_table_t *table,
		       carob_upstream_t *upstream, double share,
		       uint64_t now_ns)
{
	carob_upstream_pace_t *state = &upstream->pace;

	state->ramping = true;
	state->free = false;
	state->level = (float)carob_rng_unit(&pace->rng);
	/* Instances begin at different levels, so that they do not send their
	 * first flow at the same time. One of so many as the share is has a
	 * whole token, as in the steady state of `refill_factor`. */
	state->tokens = 1;
	if (share < 1)
		state->tokens =
			(float)(carob_rng_unit(&pace->rng) / (1 - share));
	state->refilled_ns = now_ns;
	state->per_s = 0;
	state->open_max = 0;
	state->rise_ms = rise_ms(upstream, now_ns);
	set_floor(state, share, now_ns);
	pace->next_update_ns = 0;
	pace->counters.begun++;
	log_ramp(CAROB_EV_UPSTREAM_PACED, table, upstream);
}

static void end_ramp(carob_pace_t *pace, const carob_upstream_table_t *table,
		     carob_upstream_t *upstream)
{
	upstream->pace.ramping = false;
	pace->counters.ended++;
	log_ramp(CAROB_EV_UPSTREAM_NOT_PACED, table, upstream);
}

/* Ends the pace of an upstream that is gone or no longer accepts flows. */
static void forget(carob_upstream_t *upstream)
{
	upstream->pace.known = false;
	upstream->pace.ramping = false;
	upstream->pace.bounded = false;
	upstream->pace.period_ns = 0;
}

static bool fit_peers(carob_pace_t *pace, const carob_upstream_table_t *table)
{
	size_t cap = table->services.count * table->zones.count;
	carob_pace_peers_t *peers;

	if (cap > pace->peers_cap) {
		peers = realloc(pace->peers, cap * sizeof(*peers));
		if (!peers)
			return false;
		pace->peers = peers;
		pace->peers_cap = cap;
	}
	pace->zones = table->zones.count;
	memset(pace->peers, 0, pace->peers_cap * sizeof(*pace->peers));
	return true;
}

/* Returns whether an upstream has to be paced from now on: it was not known, or
 * is another incarnation. At the start of the instance all are unknown, and
 * only those that are cold are paced. */
static bool is_due(const carob_pace_t *pace, const carob_upstream_t *upstream,
		   uint64_t now_ns)
{
	if (upstream->pace.known &&
	    upstream->pace.started_ms == upstream->started_ms)
		return false;
	return pace->begun || upstream->cold_until_ns > now_ns;
}

static void add_to_peers(const carob_pace_t *pace,
			 const carob_upstream_t *upstream, uint64_t now_ns)
{
	carob_pace_peers_t *peers = peers_of(pace, upstream);

	if (!peers)
		return;
	if (is_paced(upstream) || is_due(pace, upstream, now_ns)) {
		peers->paced_slots += upstream->slots;
	} else if (upstream->avoid_until_ns == 0) {
		peers->warm_slots += upstream->slots;
		peers->open_flows += upstream->open_flows;
		peers->per_s += sent_per_s(upstream, now_ns);
	}
}

/* Returns what the warm upstreams receive that an upstream is compared with:
 * those of its zone, or of all zones if its zone has none. */
static carob_pace_peers_t warm_peers(const carob_pace_t *pace,
				     const carob_upstream_t *upstream)
{
	const carob_pace_peers_t *home = peers_of(pace, upstream);
	carob_pace_peers_t sum = {0};

	if (!home || home->warm_slots > 0)
		return home ? *home : sum;
	for (size_t zone = 0; zone < pace->zones; zone++) {
		const carob_pace_peers_t *peers =
			&pace->peers[upstream->service * pace->zones + zone];

		sum.per_s += peers->per_s;
		sum.open_flows += peers->open_flows;
		sum.warm_slots += peers->warm_slots;
	}
	return sum;
}

/* Raises the share to its lower limit, which rises to 1 with time. */
static void raise_share(carob_upstream_pace_t *state, uint64_t now_ns)
{
	double passed_ms = (double)(now_ns - state->floor_ns) / CAROB_NS_PER_MS;
	double limit = state->floor_share +
		       (1 - state->floor_share) * passed_ms / state->rise_ms;

	if (limit > 1)
		limit = 1;
	if (state->share < (float)limit)
		state->share = (float)limit;
}

/* Returns the rate of refills for a share, as a multiple of the share. Between
 * a refill and the next flow that is placed on the upstream anyway, the bucket
 * is full and gains nothing. With 1 / (1 - share) the upstream receives its
 * share of such flows. The maximum applies to an upstream that attracts more
 * flows than that: it would receive them all at the end. */
static double refill_factor(double share)
{
	return share < 1 - 1 / REFILL_FACTOR_MAX ? 1 / (1 - share)
						 : REFILL_FACTOR_MAX;
}

static void set_share_limits(const carob_pace_t *pace,
			     carob_upstream_t *upstream, uint64_t now_ns)
{
	carob_upstream_pace_t *state = &upstream->pace;
	carob_pace_peers_t peers = warm_peers(pace, upstream);
	double slots = peers.warm_slots ? peers.warm_slots : 1;
	double part = state->share * upstream->slots / slots;

	state->tokens = refilled(state, now_ns);
	state->refilled_ns = now_ns;
	state->free = peers.warm_slots == 0;
	state->per_s = (float)(part * refill_factor(state->share) *
			       (peers.per_s + peers.open_flows / CATCH_UP_S));
	/* The random level rounds to a whole number so that the sum over the
	 * instances is right. */
	state->open_max = (float)(part * peers.open_flows) + state->level;
}

static double cold_rate(const carob_route_table_t *routes,
			const carob_upstream_t *upstream, uint64_t now_ns)
{
	const carob_service_config_t *service =
		carob_route_table_service(routes, upstream->service);

	return service && upstream->cold_until_ns > now_ns ? service->cold_per_s
							   : 0;
}

/* Applies or lifts the bound. The ramp that follows it begins where one of a
 * warm upstream does, since the bound may have kept the upstream empty. */
static void update_bound(carob_pace_t *pace, carob_upstream_t *upstream,
			 double cold_per_s, uint64_t now_ns)
{
	carob_upstream_pace_t *state = &upstream->pace;
	bool was_bounded = state->bounded;

	if (cold_per_s > 0) {
		state->bounded = true;
		carob_pace_set_windows(
			pace, state, cold_per_s,
			upstream->zone == pace->options.home_zone, now_ns);
		return;
	}
	state->bounded = false;
	state->period_ns = 0;
	if (was_bounded) {
		state->rise_ms = RISE_MS_MIN;
		set_floor(state, first_share(pace, upstream), now_ns);
	}
}

static void update_upstream(carob_pace_t *pace, carob_upstream_table_t *table,
			    carob_upstream_t *upstream, double cold_per_s,
			    uint64_t now_ns)
{
	carob_upstream_pace_t *state = &upstream->pace;
	bool is_new = is_due(pace, upstream, now_ns);

	if (state->started_ms != upstream->started_ms)
		state->period_ns = 0;
	state->known = true;
	state->started_ms = upstream->started_ms;
	update_bound(pace, upstream, cold_per_s, now_ns);
	/* While the bound applies, the announced rate decides. */
	if (is_new)
		begin_ramp(pace, table, upstream,
			   state->bounded ? 1 : first_share(pace, upstream),
			   now_ns);
	if (!state->ramping)
		return;
	raise_share(state, now_ns);
	if (state->share >= 1 && !state->bounded)
		end_ramp(pace, table, upstream);
	else
		set_share_limits(pace, upstream, now_ns);
}

static void update_all(carob_pace_t *pace, carob_upstream_table_t *table,
		       const carob_route_table_t *routes, uint64_t now_ns)
{
	pace->paced = 0;
	for (size_t i = 0; i < table->count; i++) {
		carob_upstream_t *upstream = &table->items[i];

		if (!carob_upstream_accepts(upstream))
			forget(upstream);
		else
			add_to_peers(pace, upstream, now_ns);
	}
	for (size_t i = 0; i < table->count; i++) {
		carob_upstream_t *upstream = &table->items[i];

		if (!carob_upstream_accepts(upstream))
			continue;
		update_upstream(pace, table, upstream,
				cold_rate(routes, upstream, now_ns), now_ns);
		pace->paced += is_paced(upstream);
	}
}

/* Lifts all limits after the pace was turned off. */
static void turn_off(carob_pace_t *pace, carob_upstream_table_t *table)
{
	for (size_t i = 0; i < table->count; i++)
		forget(&table->items[i]);
	pace->paced = 0;
	pace->begun = false;
}

void carob_pace_update(carob_pace_t *pace, carob_upstream_table_t *table,
		       const carob_route_table_t *routes,
		       const carob_load_view_t *view, uint64_t now_ns)
{
	bool changed;

	if (!is_on(pace)) {
		if (pace->begun)
			turn_off(pace, table);
		return;
	}
	changed = !pace->begun || pace->seen_changes != table->changes ||
		  pace->seen_version != routes->config.version;
	pace->instance_count = carob_pace_count_instances(pace, view, now_ns);
	if (!changed && (pace->paced == 0 || now_ns < pace->next_update_ns))
		return;
	if (!fit_peers(pace, table))
		return;
	pace->seen_changes = table->changes;
	pace->seen_version = routes->config.version;
	update_all(pace, table, routes, now_ns);
	pace->begun = true;
	pace->next_update_ns = now_ns + table->count * UPDATE_NS_PER_UPSTREAM;
	if (pace->next_update_ns < now_ns + UPDATE_NS_MIN)
		pace->next_update_ns = now_ns + UPDATE_NS_MIN;
}

/* Changes the share by the majority of the latest answers, once there are
 * enough of them. */
static void vote(carob_pace_t *pace, carob_upstream_t *upstream, int fast,
		 int slow, uint64_t now_ns)
{
	carob_upstream_pace_t *state = &upstream->pace;
	double share = state->share;

	if (!state->ramping)
		return;
	state->fast = (uint8_t)(state->fast + fast);
	state->slow = (uint8_t)(state->slow + slow);
	if (state->fast + state->slow < VOTES)
		return;
	if (state->fast > state->slow) {
		pace->counters.raised++;
		state->share = share * SHARE_UP < 1 ? (float)(share * SHARE_UP)
						    : 1;
		state->fast = 0;
		state->slow = 0;
		return;
	}
	pace->counters.lowered++;
	share *= SHARE_DOWN;
	set_floor(state, share > SHARE_MIN ? share : SHARE_MIN, now_ns);
}

static carob_pace_usual_t *usual_time(carob_pace_t *pace,
				      const carob_upstream_t *upstream,
				      carob_endpoint_t route)
{
	uint64_t key = carob_hash_u64((uint64_t)route.ip << 16 | route.port) ^
		       carob_hash_u64((uint64_t)upstream->service + 1);
	carob_pace_usual_t *usual =
		&pace->usual[key & (CAROB_PACE_USUAL_COUNT - 1)];

	if (usual->key != key)
		*usual = (carob_pace_usual_t){.key = key};
	return usual;
}

/* Follows the median: as many responses move the estimate up as down. */
static void learn_usual_time(carob_pace_usual_t *usual, double ms)
{
	if (usual->samples < USUAL_SAMPLES_MIN) {
		usual->samples++;
		usual->ms += (ms - usual->ms) / usual->samples;
	} else if (ms > usual->ms) {
		usual->ms *= 1 + USUAL_STEP;
	} else if (ms < usual->ms) {
		usual->ms *= 1 - USUAL_STEP;
	}
}

void carob_pace_record_response(carob_pace_t *pace, carob_upstream_t *upstream,
				carob_endpoint_t route, uint32_t ms,
				uint64_t now_ns)
{
	carob_pace_usual_t *usual;

	if (!is_on(pace))
		return;
	usual = usual_time(pace, upstream, route);
	if (!is_paced(upstream))
		/* Times are whole milliseconds; 0 would never rise. */
		learn_usual_time(usual, ms > 0 ? ms : 1);
	else if (usual->samples >= USUAL_SAMPLES_MIN && !upstream->pace.free)
		vote(pace, upstream, ms <= SLOW_FACTOR * usual->ms,
		     ms > SLOW_FACTOR * usual->ms, now_ns);
}

void carob_pace_record_missing(carob_pace_t *pace, carob_upstream_t *upstream,
			       uint64_t now_ns)
{
	if (is_on(pace))
		vote(pace, upstream, 0, VOTES_MISSING, now_ns);
}

void carob_pace_record_answer(carob_pace_t *pace,
			      const carob_upstream_table_t *table,
			      carob_upstream_t *upstream, uint64_t now_ns)
{
	if (!is_on(pace) || upstream->avoid_until_ns == 0 ||
	    upstream->pace.ramping || !carob_upstream_accepts(upstream))
		return;
	if (!is_paced(upstream))
		pace->paced++;
	begin_ramp(pace, table, upstream, first_share(pace, upstream), now_ns);
}

void carob_pace_dispose(carob_pace_t *pace)
{
	free(pace->peers);
	memset(pace, 0, sizeof(*pace));
}
