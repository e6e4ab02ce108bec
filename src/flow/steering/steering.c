#include "flow/steering/steering_priv.h"

#include "carobtrail/errors.h"
#include "carobtrail/failure_detector.h"

#include <stdlib.h>

/* Callers retransmit a SYN after 200 ms and 600 ms. Copies that arrive at
 * shorter intervals were delayed in a queue on their way here, and are no
 * evidence that the upstream does not answer. */
#define SYN_RETRANSMIT_MS_MIN 100
/* A caller whose attempt was reset tries again at once; one that had no answer
 * gives an attempt up after 1.4 s, and copies its SYN after 200 ms. */
#define ATTEMPT_MS_MAX 200
/* Quantile of the times from a SYN to the caller's next packet. A reset takes
 * as long to arrive, so an attempt that follows sooner is that of another user
 * with the address of the caller. */
#define CONNECT_QUANTILE 0.1

static const struct {
	carob_steer_verdict_t verdict;
	const char *text;
} reasons[] = {
#define X(name, verdict, text) {CAROB_STEER_##verdict, text},
	CAROB_STEER_REASONS(X)
#undef X
};

const char *carob_steer_reason_text(carob_steer_reason_t reason)
{
	return reasons[reason].text;
}

carob_steer_verdict_t carob_steering_verdict(carob_steer_reason_t reason)
{
	return reasons[reason].verdict;
}

static void set_decision(carob_steer_result_t *out, carob_steering_t *steering,
			 carob_steer_reason_t reason)
{
	out->reason = reason;
	out->verdict = reasons[reason].verdict;
	steering->counters.reasons[reason]++;
}

static void forward(carob_steer_result_t *out, carob_steering_t *steering,
		    carob_steer_reason_t reason, carob_upstream_index_t to)
{
	out->upstream = &steering->upstreams->items[to];
	set_decision(out, steering, reason);
}

carob_upstream_index_t carob_steering_place(const carob_steering_t *steering,
					    const carob_route_t *route,
					    const carob_flow_packet_t *packet,
					    carob_upstream_index_t except)
{
	uint64_t hash = carob_flow_hash(packet);
	carob_placement_query_t query = {
		.service = carob_route_choose_service(route, hash),
		.home_zone = steering->home_zone,
		.flow_hash = hash,
		.except = except,
		.once = !route->idempotent,
		.now_ns = carob_steering_now_ns(steering),
		.view = steering->load_view,
	};

	return carob_placement_choose(steering->upstreams, &query);
}

/* Returns whether callers of a route who were there before this instance may
 * still be waiting. They all come at once if no instance was there. The time
 * until the catalogue is read, in which packets wait, does not count. */
static bool is_after_start(const carob_steering_t *steering,
			   const carob_route_t *route)
{
	return carob_steering_now_ns(steering) - steering->serving_ns <
	       route->timeout_ms * CAROB_NS_PER_MS;
}

carob_steer_reason_t
carob_steering_reason_unplaced(const carob_steering_t *steering,
			       const carob_route_t *route,
			       const carob_flow_packet_t *packet)
{
	carob_name_id_t service =
		carob_route_choose_service(route, carob_flow_hash(packet));

	if (!carob_pace_withholds(steering->upstreams, service,
				  carob_steering_now_ns(steering)))
		return CAROB_STEER_NO_UPSTREAM;
	return packet->syn_copy < CAROB_SYN_COPY_LAST
		       ? CAROB_STEER_PACE_DEFERRED
		       : CAROB_STEER_PACED;
}

static carob_admission_verdict_t
decide_admission(carob_steer_result_t *out, carob_steering_t *steering,
		 const carob_flow_packet_t *packet, const carob_route_t *route,
		 carob_name_id_t service)
{
	carob_admission_query_t query = {
		.service = service,
		.home_zone = steering->home_zone,
		.urgent = route->priority <
			  steering->routes->config.least_priority,
		.syn_copy = packet->syn_copy,
		.after_start = is_after_start(steering, route),
		.view = steering->load_view,
		.now_ns = carob_steering_now_ns(steering),
		.caller_ip = packet->caller.ip,
		.priority = route->priority,
		.least_priority = steering->routes->config.least_priority,
		.target_ms = route->target_ms,
	};

	if (carob_shared_admission_applies(steering->shared_admission,
					   query.view, query.now_ns))
		return carob_shared_admission_decide(&out->shared_load,
						     steering->shared_admission,
						     steering->upstreams,
						     &query);
	carob_admission_measure(&out->load, &steering->admission,
				steering->upstreams, &query);
	return carob_admission_decide(&steering->admission, &out->load, &query);
}

/* Finds out whether the last attempt of the caller was reset by its upstream,
 * which this instance does not see: it has not opened, and the caller tries
 * again sooner than a SYN without an answer would let it.
 * @return the upstream of that attempt, or CAROB_UPSTREAM_NONE */
static carob_upstream_index_t
find_refused_attempt(carob_steering_t *steering,
		     const carob_flow_packet_t *packet)
{
	uint32_t now = carob_steering_now_ms(steering);
	carob_flow_packet_t key = *packet;
	carob_attempt_t attempt;
	carob_flow_t *flow;
	uint64_t connect_ms;

	if (!carob_attempt_table_exchange(&attempt, &steering->attempts, packet,
					  now) ||
	    packet->syn_copy > 0 || now - attempt.ms >= ATTEMPT_MS_MAX)
		return CAROB_UPSTREAM_NONE;
	connect_ms = carob_histogram_quantile(&steering->counters.connect_ms,
					      CONNECT_QUANTILE);
	if (connect_ms == 0 || now - attempt.ms < connect_ms)
		return CAROB_UPSTREAM_NONE;
	key.caller = attempt.caller;
	flow = carob_flow_table_find(&steering->flows, &key);
	if (!flow || flow->phase != CAROB_FLOW_OPENING)
		return CAROB_UPSTREAM_NONE;
	carob_failure_detector_record_refusal(steering->upstreams,
					      flow->upstream,
					      carob_steering_now_ns(steering));
	/* Otherwise the attempt counts as load until it expires. */
	carob_steering_set_pending(steering, flow, false);
	return flow->upstream;
}

/* Notes that a service is overloaded, in all zones. */
static void note_refusal(carob_steering_t *steering, carob_name_id_t service)
{
	CAROB_UPSTREAM_GROUPS_OF (group, steering->upstreams, service)
		group->overloaded_ns = carob_steering_now_ns(steering);
}

static void steer_new_syn(carob_steer_result_t *out, carob_steering_t *steering,
			  const carob_flow_packet_t *packet,
			  const carob_route_t *route)
{
	carob_upstream_index_t except = CAROB_UPSTREAM_NONE;
	carob_admission_verdict_t admission;
	carob_upstream_index_t to;
	carob_flow_t *flow;

	carob_steering_check_overdue(steering);
	if (steering->load_view)
		except = find_refused_attempt(steering, packet);
	to = carob_steering_place(steering, route, packet, except);
	/* Slow start does not hold back `except`, which is meant for copies of
	 * a SYN; this is a new flow. */
	if (except != CAROB_UPSTREAM_NONE && to == except)
		to = carob_steering_place(steering, route, packet,
					  CAROB_UPSTREAM_NONE);
	if (to == CAROB_UPSTREAM_NONE) {
		set_decision(out, steering,
			     carob_steering_reason_unplaced(steering, route,
							    packet));
		return;
	}
	admission = decide_admission(out, steering, packet, route,
				     steering->upstreams->items[to].service);
	if (admission != CAROB_ADMISSION_ACCEPT) {
		note_refusal(steering, steering->upstreams->items[to].service);
		set_decision(out, steering,
			     admission == CAROB_ADMISSION_DEFER
				     ? CAROB_STEER_DEFERRED
				     : CAROB_STEER_OVERLOADED);
		return;
	}
	carob_pace_record_flow(&steering->pace, &steering->upstreams->items[to],
			       carob_steering_now_ns(steering));
	flow = carob_steering_add_flow(steering, packet, CAROB_FLOW_OPENING,
				       to);
	if (flow)
		carob_steering_set_pending(steering, flow, true);
	forward(out, steering, CAROB_STEER_PLACED, to);
}

/* Handles a SYN copy whose flow is on an upstream of an evacuated zone: nothing
 * new may be sent there. An open flow stays, and its upstream has the SYN. If
 * an opening one has no other upstream, a copy that was delayed in a queue is
 * dropped: the flow may be open by now, and a reset would end it. */
static void steer_evacuated_syn(carob_steer_result_t *out,
				carob_steering_t *steering,
				const carob_flow_packet_t *packet,
				const carob_route_t *route, carob_flow_t *flow)
{
	uint32_t now = carob_steering_now_ms(steering);
	bool timely = now - flow->last_packet_ms >= SYN_RETRANSMIT_MS_MIN &&
		      carob_steering_is_evidence(steering, packet);
	carob_steer_reason_t reason;
	carob_upstream_index_t to;

	if (flow->phase != CAROB_FLOW_OPENING) {
		set_decision(out, steering, CAROB_STEER_EVACUATED_DROPPED);
		return;
	}
	carob_steering_touch_flow(steering, flow);
	to = carob_steering_place(steering, route, packet, flow->upstream);
	if (to != CAROB_UPSTREAM_NONE) {
		out->passed_over = &steering->upstreams->items[flow->upstream];
		carob_pace_record_flow(&steering->pace,
				       &steering->upstreams->items[to],
				       carob_steering_now_ns(steering));
		carob_steering_bind_flow(steering, flow, to);
		forward(out, steering, CAROB_STEER_EVACUATED_MOVED, to);
		return;
	}
	if (!timely) {
		set_decision(out, steering, CAROB_STEER_EVACUATED_DROPPED);
		return;
	}
	reason = carob_steering_reason_unplaced(steering, route, packet);
	if (reason != CAROB_STEER_PACE_DEFERRED)
		carob_steering_remove_flow(steering, flow);
	set_decision(out, steering, reason);
}

/* Tries another upstream for a retransmitted SYN, since the one that got the
 * last SYN has not answered. */
static void steer_retransmitted_syn(carob_steer_result_t *out,
				    carob_steering_t *steering,
				    const carob_flow_packet_t *packet,
				    const carob_route_t *route,
				    carob_flow_t *flow)
{
	uint32_t now = carob_steering_now_ms(steering);
	carob_upstream_t *tried = &steering->upstreams->items[flow->upstream];
	carob_steer_reason_t reason;
	carob_upstream_index_t to;

	if (flow->phase != CAROB_FLOW_OPENING ||
	    now - flow->last_packet_ms < SYN_RETRANSMIT_MS_MIN) {
		forward(out, steering, CAROB_STEER_REPEATED, flow->upstream);
		return;
	}
	carob_steering_touch_flow(steering, flow);
	if (!carob_steering_is_evidence(steering, packet)) {
		forward(out, steering, CAROB_STEER_REPEATED, flow->upstream);
		return;
	}
	carob_failure_detector_record_syn(steering->upstreams, flow->upstream,
					  carob_steering_now_ns(steering));
	/* On its own, this instance avoids the upstream until it answers. */
	if (steering->load_view)
		carob_steering_meter_answer(steering, flow->upstream, true);
	carob_pace_record_missing(&steering->pace, tried,
				  carob_steering_now_ns(steering));
	carob_steering_check_silent(steering, flow->upstream);
	out->passed_over = tried;
	to = carob_steering_place(steering, route, packet, flow->upstream);
	if (to == CAROB_UPSTREAM_NONE) {
		reason =
			carob_steering_reason_unplaced(steering, route, packet);
		if (reason != CAROB_STEER_PACE_DEFERRED)
			carob_steering_remove_flow(steering, flow);
		set_decision(out, steering, reason);
		return;
	}
	/* A copy of the SYN to the same upstream is no new flow there. */
	if (to != flow->upstream)
		carob_pace_record_flow(&steering->pace,
				       &steering->upstreams->items[to],
				       carob_steering_now_ns(steering));
	carob_steering_bind_flow(steering, flow, to);
	forward(out, steering, CAROB_STEER_PLACED_AGAIN, to);
}

static void steer_syn(carob_steer_result_t *out, carob_steering_t *steering,
		      const carob_flow_packet_t *packet)
{
	carob_flow_t *flow = carob_flow_table_find(&steering->flows, packet);
	const carob_route_t *route = NULL;

	if (!steering->routes->buckets) {
		set_decision(out, steering, CAROB_STEER_NO_CONFIG);
		return;
	}
	if (carob_route_table_find(&route, steering->routes, packet->route) !=
	    CAROB_ROUTE_FOUND) {
		out->reset_seq = 0;
		set_decision(out, steering, CAROB_STEER_NO_ROUTE);
		return;
	}
	if (steering->serving_ns == 0)
		steering->serving_ns = carob_steering_now_ns(steering);
	carob_pace_update(&steering->pace, steering->upstreams,
			  steering->routes, steering->load_view,
			  carob_steering_now_ns(steering));
	carob_outlier_detector_update(&steering->outliers, steering->upstreams,
				      steering->load_view,
				      carob_steering_now_ns(steering));
	if (flow && flow->first_seq == packet->seq &&
	    steering->upstreams->items[flow->upstream].evacuated) {
		steer_evacuated_syn(out, steering, packet, route, flow);
		return;
	}
	if (flow && flow->first_seq == packet->seq) {
		steer_retransmitted_syn(out, steering, packet, route, flow);
		return;
	}
	/* A new SYN on a known flow: the caller has reused the port. */
	if (flow)
		carob_steering_remove_flow(steering, flow);
	steer_new_syn(out, steering, packet, route);
}

/* Returns whether a request on an open flow is reset because its upstream is
 * known to be gone. A packet that was read late, or when the own link is
 * congested, does not count: an answer may be waiting behind it. */
static bool should_reset_gone(const carob_steering_t *steering,
			      const carob_flow_packet_t *packet,
			      carob_upstream_index_t upstream,
			      const carob_route_t *route)
{
	return route && route->idempotent && packet->data_bytes > 0 &&
	       !packet->fin && !packet->rst &&
	       carob_steering_is_evidence(steering, packet) &&
	       carob_steering_is_gone(steering, upstream);
}

static void steer_unknown_flow(carob_steer_result_t *out,
			       carob_steering_t *steering,
			       const carob_flow_packet_t *packet,
			       const carob_route_t *route)
{
	carob_upstream_index_t to = CAROB_UPSTREAM_NONE;
	carob_flow_t *flow;

	if (packet->steering_tag != 0)
		to = carob_upstream_table_by_tag(steering->upstreams,
						 packet->steering_tag);
	if (to == CAROB_UPSTREAM_NONE) {
		set_decision(out, steering, CAROB_STEER_UNKNOWN_TAG);
		return;
	}
	if (should_reset_gone(steering, packet, to, route)) {
		out->upstream = &steering->upstreams->items[to];
		set_decision(out, steering, CAROB_STEER_UPSTREAM_GONE);
		return;
	}
	forward(out, steering, CAROB_STEER_BY_TAG, to);
	if (packet->rst)
		return;
	flow = carob_steering_add_flow(steering, packet, CAROB_FLOW_OPEN, to);
	if (!flow)
		return;
	flow->taken_over = true;
	flow->last_seq = packet->seq - 1;
	carob_steering_track_packet(steering, flow, packet);
}

/* Returns whether the packet is a request to a silent upstream which the caller
 * may safely retry elsewhere. Other requests are forwarded: the upstream may
 * still respond, late. */
static bool should_reset_request(const carob_steering_t *steering,
				 const carob_flow_packet_t *packet,
				 const carob_flow_t *flow,
				 const carob_route_t *route)
{
	return route && route->idempotent && packet->data_bytes > 0 &&
	       flow->phase == CAROB_FLOW_OPEN &&
	       carob_steering_is_silent(steering, flow->upstream);
}

static void steer_known_flow(carob_steer_result_t *out,
			     carob_steering_t *steering,
			     const carob_flow_packet_t *packet,
			     carob_flow_t *flow, const carob_route_t *route)
{
	if (flow->phase == CAROB_FLOW_OPENING)
		carob_steering_open_flow(steering, flow, packet);
	if (should_reset_request(steering, packet, flow, route)) {
		out->upstream = &steering->upstreams->items[flow->upstream];
		carob_steering_remove_flow(steering, flow);
		set_decision(out, steering, CAROB_STEER_UPSTREAM_SILENT);
		return;
	}
	/* A packet that acknowledges more shows that the upstream serves. */
	if (flow->phase == CAROB_FLOW_OPEN &&
	    (int32_t)(packet->ack - flow->last_ack) <= 0 &&
	    should_reset_gone(steering, packet, flow->upstream, route)) {
		out->upstream = &steering->upstreams->items[flow->upstream];
		carob_steering_remove_flow(steering, flow);
		set_decision(out, steering, CAROB_STEER_UPSTREAM_GONE);
		return;
	}
	forward(out, steering, CAROB_STEER_KNOWN_FLOW, flow->upstream);
	carob_steering_track_packet(steering, flow, packet);
}

void carob_steering_packet(carob_steer_result_t *out,
			   carob_steering_t *steering,
			   const carob_flow_packet_t *packet)
{
	const carob_route_t *route = NULL;
	carob_flow_t *flow;

	*out = (carob_steer_result_t){.reset_seq = packet->ack};
	steering->reads_late = !carob_steering_is_evidence(steering, packet);
	if (packet->syn && packet->has_ack) {
		/* Callers accept no connections, so they send no SYN-ACK. */
		set_decision(out, steering, CAROB_STEER_FORGED);
		return;
	}
	if (packet->syn) {
		steer_syn(out, steering, packet);
		return;
	}
	flow = carob_flow_table_find(&steering->flows, packet);
	if (carob_route_table_find(&route, steering->routes, packet->route) ==
	    CAROB_ROUTE_DROPPED) {
		if (flow)
			carob_steering_remove_flow(steering, flow);
		set_decision(out, steering, CAROB_STEER_ROUTE_DROPPED);
		return;
	}
	if (flow)
		steer_known_flow(out, steering, packet, flow, route);
	else
		steer_unknown_flow(out, steering, packet, route);
}

size_t carob_steering_flow_count(const carob_steering_t *steering)
{
	return steering->flows.count;
}

const carob_steering_counters_t *
carob_steering_counters(const carob_steering_t *steering)
{
	return &steering->counters;
}

const carob_shared_counters_t *
carob_steering_shared_counters(const carob_steering_t *steering)
{
	return steering->shared_admission ? carob_shared_admission_counters(
						    steering->shared_admission)
					  : NULL;
}

void carob_steering_set_low_priority_floor(carob_steering_t *steering,
					   double floor)
{
	if (steering->shared_admission)
		carob_shared_admission_set_floor(steering->shared_admission,
						 floor);
}

int carob_steering_new(carob_steering_t **out,
		       const carob_steering_options_t *options)
{
	carob_steering_t *steering;
	int error;

	if (options->version != CAROB_STEERING_OPTIONS_VERSION ||
	    !options->clock || !options->routes || !options->upstreams)
		return carob_error_set(CAROB_EINVALID,
				       "steering options: unsupported version "
				       "or a required member is NULL");
	steering = calloc(1, sizeof(*steering));
	if (!steering)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate steering");
	steering->expiry_visitor.visit = carob_steering_expire_flow;
	steering->clock = options->clock;
	steering->routes = options->routes;
	steering->upstreams = options->upstreams;
	steering->link = options->link;
	steering->load_view = options->load_view;
	steering->reset_gone = options->reset_gone;
	steering->silent_upstream = CAROB_UPSTREAM_NONE;
	error = carob_name_table_add(&steering->home_zone,
				     &options->upstreams->zones,
				     options->home_zone);
	if (!error && options->load_view)
		error = carob_shared_admission_new(
			&steering->shared_admission,
			options->low_priority_floor,
			carob_steering_now_ns(steering));
	if (error) {
		free(steering);
		return error;
	}
	*out = steering;
	return 0;
}

void carob_steering_set_pace(carob_steering_t *steering,
			     const carob_pace_options_t *options)
{
	carob_pace_options_t own = *options;

	own.home_zone = steering->home_zone;
	carob_pace_configure(&steering->pace, &own);
}

const carob_pace_t *carob_steering_pace(const carob_steering_t *steering)
{
	return &steering->pace;
}

const carob_outlier_detector_t *
carob_steering_outliers(const carob_steering_t *steering)
{
	return &steering->outliers;
}

void carob_steering_free(carob_steering_t *steering)
{
	if (!steering)
		return;
	carob_admission_dispose(&steering->admission);
	carob_pace_dispose(&steering->pace);
	carob_shared_admission_free(steering->shared_admission);
	carob_flow_table_dispose(&steering->flows);
	free(steering);
}
