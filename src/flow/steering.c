#include "carobtrail/steering.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/silence.h"

#include <stdlib.h>

/* Callers repeat a SYN after 200 ms and 600 ms. Copies that come closer
 * together waited in a queue and say nothing about the upstream. */
#define SYN_REPEAT_MS_MIN 100
/* A caller gives up a SYN after 1.4 s. */
#define OPENING_MS_MAX 2000
/* The last acknowledgements after a FIN, repeated at most 1.6 s apart. */
#define CLOSING_MS_MAX 4000
/* A request that takes longer no longer counts as load. */
#define PENDING_MS_MAX 10000
/* Idle flows that the configuration says nothing about. */
#define IDLE_MS_DEFAULT 60000
/* Of a hundred answers, one takes longer than the usual time. */
#define USUAL_QUANTILE 0.99
/* Calls of the sweep until it has seen the whole table. */
#define SWEEP_PARTS 8

struct carob_steering {
	carob_flow_visitor_t expiry;
	const carob_clock_t *clock;
	const carob_route_table_t *routes;
	carob_upstream_table_t *upstreams;
	carob_name_id_t home_zone;
	carob_flow_table_t flows;
	carob_admission_t admission;
	carob_upstream_index_t silent; /* whose flows are to be reset */
	carob_steering_counters_t counters;
};

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

static uint64_t now_ns(const carob_steering_t *steering)
{
	return carob_clock_now_ns(steering->clock);
}

static uint32_t now_ms(const carob_steering_t *steering)
{
	return (uint32_t)(now_ns(steering) / CAROB_NS_PER_MS);
}

static void decide(carob_steer_result_t *out, carob_steering_t *steering,
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
	decide(out, steering, reason);
}

static bool counts_as_open(const carob_flow_t *flow)
{
	return flow->upstream != CAROB_UPSTREAM_NONE &&
	       (flow->phase == CAROB_FLOW_OPENING ||
		flow->phase == CAROB_FLOW_OPEN);
}

static void set_pending(carob_steering_t *steering, carob_flow_t *flow,
			bool pending)
{
	carob_upstream_t *upstream =
		&steering->upstreams->items[flow->upstream];

	if (flow->pending == pending)
		return;
	flow->pending = pending;
	if (pending)
		upstream->pending++;
	else
		upstream->pending--;
}

/* Takes a flow's load off its upstream. */
static void unbind(carob_steering_t *steering, carob_flow_t *flow)
{
	if (!counts_as_open(flow))
		return;
	set_pending(steering, flow, false);
	steering->upstreams->items[flow->upstream].open_flows--;
}

static void bind_to(carob_steering_t *steering, carob_flow_t *flow,
		    carob_upstream_index_t upstream)
{
	bool pending = flow->pending;

	if (flow->upstream == upstream)
		return;
	unbind(steering, flow);
	flow->upstream = upstream;
	steering->upstreams->items[upstream].open_flows++;
	set_pending(steering, flow, pending);
}

static void forget(carob_steering_t *steering, carob_flow_t *flow)
{
	unbind(steering, flow);
	carob_flow_table_remove(&steering->flows, flow);
}

/* Adds a flow whose upstream is known. @return NULL if there is no room */
static carob_flow_t *remember(carob_steering_t *steering,
			      const carob_flow_packet_t *packet,
			      carob_flow_phase_t phase,
			      carob_upstream_index_t upstream)
{
	carob_flow_t *flow;

	if (carob_flow_table_add(&flow, &steering->flows, packet) != 0) {
		steering->counters.not_remembered++;
		return NULL;
	}
	flow->phase = (uint8_t)phase;
	flow->first_seq = packet->seq;
	flow->last_seq = packet->seq;
	flow->last_ack = packet->ack;
	flow->since_ms = now_ms(steering);
	flow->used_ms = flow->since_ms;
	bind_to(steering, flow, upstream);
	return flow;
}

static carob_upstream_index_t place(const carob_steering_t *steering,
				    const carob_route_t *route,
				    const carob_flow_packet_t *packet,
				    carob_upstream_index_t except)
{
	uint64_t hash = carob_flow_hash(packet);
	carob_placement_query_t query = {
		.service = carob_route_service(route, hash),
		.home_zone = steering->home_zone,
		.flow_hash = hash,
		.except = except,
		.now_ns = now_ns(steering),
	};

	return carob_placement_choose(steering->upstreams, &query);
}

static bool admits(carob_steer_result_t *out, carob_steering_t *steering,
		   const carob_route_t *route, carob_name_id_t service)
{
	carob_admission_query_t query = {
		.service = service,
		.home_zone = steering->home_zone,
		.urgent = route->priority <
			  steering->routes->config.least_priority,
	};

	return carob_admission_admits(&out->load, &steering->admission,
				      steering->upstreams, &query);
}

static void steer_new_syn(carob_steer_result_t *out, carob_steering_t *steering,
			  const carob_flow_packet_t *packet,
			  const carob_route_t *route)
{
	carob_upstream_index_t to =
		place(steering, route, packet, CAROB_UPSTREAM_NONE);
	carob_flow_t *flow;

	if (to == CAROB_UPSTREAM_NONE) {
		decide(out, steering, CAROB_STEER_NO_UPSTREAM);
		return;
	}
	if (!admits(out, steering, route,
		    steering->upstreams->items[to].service)) {
		decide(out, steering, CAROB_STEER_OVERLOADED);
		return;
	}
	flow = remember(steering, packet, CAROB_FLOW_OPENING, to);
	if (flow)
		set_pending(steering, flow, true);
	forward(out, steering, CAROB_STEER_PLACED, to);
}

static bool is_silent(const carob_steering_t *steering,
		      carob_upstream_index_t upstream)
{
	uint64_t usual_ms;

	if (steering->upstreams->items[upstream].failures == 0)
		return false;
	usual_ms = carob_histogram_quantile(&steering->counters.answer_ms,
					    USUAL_QUANTILE);
	return carob_silence_is_silent(steering->upstreams, upstream,
				       usual_ms * CAROB_NS_PER_MS,
				       now_ns(steering));
}

static void note_if_silent(carob_steering_t *steering,
			   carob_upstream_index_t upstream)
{
	if (is_silent(steering, upstream))
		steering->silent = upstream;
}

/* The upstream of the first SYN has not answered: another one is tried. */
static void steer_repeated_syn(carob_steer_result_t *out,
			       carob_steering_t *steering,
			       const carob_flow_packet_t *packet,
			       const carob_route_t *route, carob_flow_t *flow)
{
	uint32_t now = now_ms(steering);
	carob_upstream_index_t to;

	if (flow->phase != CAROB_FLOW_OPENING ||
	    now - flow->used_ms < SYN_REPEAT_MS_MIN) {
		forward(out, steering, CAROB_STEER_REPEATED, flow->upstream);
		return;
	}
	flow->used_ms = now;
	carob_silence_note_syn(steering->upstreams, flow->upstream,
			       now_ns(steering));
	note_if_silent(steering, flow->upstream);
	out->passed_over = &steering->upstreams->items[flow->upstream];
	to = place(steering, route, packet, flow->upstream);
	if (to == CAROB_UPSTREAM_NONE) {
		forget(steering, flow);
		decide(out, steering, CAROB_STEER_NO_UPSTREAM);
		return;
	}
	bind_to(steering, flow, to);
	forward(out, steering, CAROB_STEER_PLACED_AGAIN, to);
}

static void steer_syn(carob_steer_result_t *out, carob_steering_t *steering,
		      const carob_flow_packet_t *packet)
{
	carob_flow_t *flow = carob_flow_table_find(&steering->flows, packet);
	const carob_route_t *route = NULL;

	if (!steering->routes->buckets) {
		decide(out, steering, CAROB_STEER_NO_CONFIG);
		return;
	}
	if (carob_route_table_find(&route, steering->routes, packet->route) !=
	    CAROB_ROUTE_FOUND) {
		out->reset_seq = 0;
		decide(out, steering, CAROB_STEER_NO_ROUTE);
		return;
	}
	if (flow && flow->first_seq == packet->seq) {
		steer_repeated_syn(out, steering, packet, route, flow);
		return;
	}
	if (flow)
		forget(steering, flow); /* the caller uses the port again */
	steer_new_syn(out, steering, packet, route);
}

/* The tag in the first packet after the SYN names the upstream that has
 * answered, whichever one was tried last. */
static void open_flow(carob_steering_t *steering, carob_flow_t *flow,
		      const carob_flow_packet_t *packet)
{
	carob_upstream_index_t to = carob_upstream_table_by_tag(
		steering->upstreams, packet->steering_tag);
	uint32_t now = now_ms(steering);

	if (packet->rst)
		return;
	if (packet->steering_tag != 0 && to != CAROB_UPSTREAM_NONE)
		bind_to(steering, flow, to);
	flow->phase = CAROB_FLOW_OPEN;
	flow->last_ack = packet->ack;
	set_pending(steering, flow, false);
	carob_histogram_record(&steering->counters.connect_ms,
			       now - flow->since_ms);
	carob_silence_note_answer(steering->upstreams, flow->upstream,
				  now_ns(steering));
}

static void note_answer(carob_steering_t *steering, const carob_flow_t *flow,
			uint32_t ms)
{
	carob_endpoint_t endpoint = {flow->route_ip, flow->route_port};
	const carob_route_t *route = NULL;

	carob_histogram_record(&steering->counters.answer_ms, ms);
	(void)carob_route_table_find(&route, steering->routes, endpoint);
	if (route && route->target_ms > 0)
		carob_admission_note_answer(
			&steering->admission,
			steering->upstreams->items[flow->upstream].service,
			ms <= route->target_ms, now_ns(steering));
}

static void track_answer(carob_steering_t *steering, carob_flow_t *flow,
			 const carob_flow_packet_t *packet)
{
	bool advanced = (int32_t)(packet->ack - flow->last_ack) > 0;

	if (!packet->has_ack || !advanced)
		return;
	flow->last_ack = packet->ack;
	if (!flow->pending)
		return;
	set_pending(steering, flow, false);
	note_answer(steering, flow, now_ms(steering) - flow->since_ms);
	carob_silence_note_answer(steering->upstreams, flow->upstream,
				  now_ns(steering));
}

static void note_repeated_request(carob_steering_t *steering,
				  carob_flow_t *flow)
{
	steering->counters.repeated_data++;
	if (flow->repeated || !flow->pending)
		return;
	flow->repeated = true;
	carob_silence_note_request(steering->upstreams, flow->upstream,
				   now_ns(steering));
	note_if_silent(steering, flow->upstream);
}

static void track_request(carob_steering_t *steering, carob_flow_t *flow,
			  const carob_flow_packet_t *packet)
{
	bool is_new = (int32_t)(packet->seq - flow->last_seq) > 0;

	if (packet->data_bytes == 0)
		return;
	if (!is_new) {
		note_repeated_request(steering, flow);
		return;
	}
	flow->last_seq = packet->seq;
	if (!flow->pending)
		flow->since_ms = now_ms(steering);
	flow->repeated = false;
	set_pending(steering, flow, true);
}

static void track(carob_steering_t *steering, carob_flow_t *flow,
		  const carob_flow_packet_t *packet)
{
	flow->used_ms = now_ms(steering);
	if (packet->rst) {
		forget(steering, flow);
		return;
	}
	if (flow->phase != CAROB_FLOW_OPEN)
		return;
	track_answer(steering, flow, packet);
	track_request(steering, flow, packet);
	if (packet->fin) {
		unbind(steering, flow);
		flow->phase = CAROB_FLOW_CLOSING;
	}
}

static void steer_unknown_flow(carob_steer_result_t *out,
			       carob_steering_t *steering,
			       const carob_flow_packet_t *packet)
{
	carob_upstream_index_t to = CAROB_UPSTREAM_NONE;
	carob_flow_t *flow;

	if (packet->steering_tag != 0)
		to = carob_upstream_table_by_tag(steering->upstreams,
						 packet->steering_tag);
	if (to == CAROB_UPSTREAM_NONE) {
		decide(out, steering, CAROB_STEER_UNKNOWN_TAG);
		return;
	}
	forward(out, steering, CAROB_STEER_BY_TAG, to);
	if (packet->rst)
		return;
	flow = remember(steering, packet, CAROB_FLOW_OPEN, to);
	if (!flow)
		return;
	flow->last_seq = packet->seq - 1;
	track(steering, flow, packet);
}

/* A request to an upstream that has fallen silent. One that its caller may
 * not repeat goes on: it may still be answered, late. */
static bool waits_in_vain(const carob_steering_t *steering,
			  const carob_flow_packet_t *packet,
			  const carob_flow_t *flow, const carob_route_t *route)
{
	return route && route->idempotent && packet->data_bytes > 0 &&
	       flow->phase == CAROB_FLOW_OPEN &&
	       is_silent(steering, flow->upstream);
}

static void steer_known_flow(carob_steer_result_t *out,
			     carob_steering_t *steering,
			     const carob_flow_packet_t *packet,
			     carob_flow_t *flow, const carob_route_t *route)
{
	if (flow->phase == CAROB_FLOW_OPENING)
		open_flow(steering, flow, packet);
	if (waits_in_vain(steering, packet, flow, route)) {
		out->upstream = &steering->upstreams->items[flow->upstream];
		forget(steering, flow);
		decide(out, steering, CAROB_STEER_UPSTREAM_SILENT);
		return;
	}
	forward(out, steering, CAROB_STEER_KNOWN_FLOW, flow->upstream);
	track(steering, flow, packet);
}

void carob_steering_packet(carob_steer_result_t *out,
			   carob_steering_t *steering,
			   const carob_flow_packet_t *packet)
{
	const carob_route_t *route = NULL;
	carob_flow_t *flow;

	*out = (carob_steer_result_t){.reset_seq = packet->ack};
	if (packet->syn && packet->has_ack) {
		/* callers answer SYNs of nobody */
		decide(out, steering, CAROB_STEER_FORGED);
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
			forget(steering, flow);
		decide(out, steering, CAROB_STEER_ROUTE_DROPPED);
		return;
	}
	if (flow)
		steer_known_flow(out, steering, packet, flow, route);
	else
		steer_unknown_flow(out, steering, packet);
}

static void conclude(carob_steer_explanation_t *out,
		     const carob_steering_t *steering,
		     carob_steer_reason_t reason, carob_upstream_index_t to)
{
	out->reason = reason;
	out->verdict = reasons[reason].verdict;
	if (to != CAROB_UPSTREAM_NONE)
		out->upstream = &steering->upstreams->items[to];
}

static void explain_new(carob_steer_explanation_t *out,
			const carob_steering_t *steering,
			const carob_flow_packet_t *packet,
			const carob_route_t *route)
{
	carob_upstream_index_t to;

	if (!steering->routes->buckets) {
		conclude(out, steering, CAROB_STEER_NO_CONFIG,
			 CAROB_UPSTREAM_NONE);
		return;
	}
	if (!route) {
		conclude(out, steering, CAROB_STEER_NO_ROUTE,
			 CAROB_UPSTREAM_NONE);
		return;
	}
	to = place(steering, route, packet, CAROB_UPSTREAM_NONE);
	conclude(out, steering,
		 to == CAROB_UPSTREAM_NONE ? CAROB_STEER_NO_UPSTREAM
					   : CAROB_STEER_PLACED,
		 to);
}

static void explain_tag(carob_steer_explanation_t *out,
			const carob_steering_t *steering, uint32_t tag)
{
	carob_upstream_index_t to =
		carob_upstream_table_by_tag(steering->upstreams, tag);

	conclude(out, steering,
		 to == CAROB_UPSTREAM_NONE ? CAROB_STEER_UNKNOWN_TAG
					   : CAROB_STEER_BY_TAG,
		 to);
}

void carob_steering_explain(carob_steer_explanation_t *out,
			    const carob_steering_t *steering,
			    const carob_flow_packet_t *packet)
{
	const carob_flow_t *flow =
		carob_flow_table_find(&steering->flows, packet);
	const carob_route_t *route = NULL;
	bool dropped = carob_route_table_find(&route, steering->routes,
					      packet->route) ==
		       CAROB_ROUTE_DROPPED;

	*out = (carob_steer_explanation_t){
		.config_version = steering->routes->config.version,
		.remembered = flow != NULL,
		.idle_ms = flow ? now_ms(steering) - flow->used_ms : 0,
	};
	if (dropped)
		conclude(out, steering, CAROB_STEER_ROUTE_DROPPED,
			 CAROB_UPSTREAM_NONE);
	else if (flow)
		conclude(out, steering, CAROB_STEER_KNOWN_FLOW, flow->upstream);
	else if (packet->steering_tag != 0)
		explain_tag(out, steering, packet->steering_tag);
	else
		explain_new(out, steering, packet, route);
}

typedef struct silent_flows {
	carob_flow_visitor_t visitor;
	carob_steering_t *steering;
	carob_reset_sender_t *sender;
	uint64_t count;
} silent_flows_t;

static bool reset_waiting(carob_flow_visitor_t *visitor, carob_flow_t *flow)
{
	silent_flows_t *silent = (silent_flows_t *)visitor;
	carob_steering_t *steering = silent->steering;
	carob_flow_packet_t packet = {
		.caller = {flow->caller_ip, flow->caller_port},
		.route = {flow->route_ip, flow->route_port},
	};
	const carob_route_t *route = NULL;

	if (flow->upstream != steering->silent || !flow->pending ||
	    flow->phase != CAROB_FLOW_OPEN)
		return false;
	(void)carob_route_table_find(&route, steering->routes, packet.route);
	if (!route || !route->idempotent)
		return false;
	silent->sender->send(silent->sender, &packet, flow->last_ack);
	silent->count++;
	unbind(steering, flow);
	return true;
}

void carob_steering_reset_silent(carob_steering_t *steering,
				 carob_reset_sender_t *sender)
{
	silent_flows_t silent = {.visitor.visit = reset_waiting,
				 .steering = steering,
				 .sender = sender};

	if (steering->silent == CAROB_UPSTREAM_NONE)
		return;
	carob_flow_table_sweep(&steering->flows, steering->flows.cap,
			       &silent.visitor);
	steering->counters.reasons[CAROB_STEER_UPSTREAM_SILENT] += silent.count;
	if (silent.count > 0)
		CAROB_LOG(
			CAROB_EV_UPSTREAM_SILENCE,
			CAROB_FIELD_CSTR(
				"upstream",
				steering->upstreams->items[steering->silent].id),
			CAROB_FIELD_U64("flows_reset", silent.count));
	steering->silent = CAROB_UPSTREAM_NONE;
}

static uint32_t idle_limit_ms(const carob_steering_t *steering,
			      const carob_flow_t *flow)
{
	uint32_t configured = steering->routes->config.idle_timeout_ms;

	if (flow->phase == CAROB_FLOW_OPENING)
		return OPENING_MS_MAX;
	if (flow->phase == CAROB_FLOW_CLOSING)
		return CLOSING_MS_MAX;
	return configured ? configured : IDLE_MS_DEFAULT;
}

static bool is_expired(carob_flow_visitor_t *visitor, carob_flow_t *flow)
{
	carob_steering_t *steering = (carob_steering_t *)visitor;
	uint32_t now = now_ms(steering);

	if (flow->pending && now - flow->since_ms > PENDING_MS_MAX)
		set_pending(steering, flow, false);
	if (now - flow->used_ms <= idle_limit_ms(steering, flow))
		return false;
	unbind(steering, flow);
	return true;
}

void carob_steering_sweep(carob_steering_t *steering)
{
	size_t places = steering->flows.cap / SWEEP_PARTS;

	carob_flow_table_sweep(&steering->flows, places, &steering->expiry);
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

int carob_steering_new(carob_steering_t **out,
		       const carob_steering_options_t *options)
{
	carob_steering_t *steering;
	int error;

	if (options->version != CAROB_STEERING_OPTIONS_VERSION ||
	    !options->clock || !options->routes || !options->upstreams)
		return carob_error_set(CAROB_EINVALID, "steering options");
	steering = calloc(1, sizeof(*steering));
	if (!steering)
		return carob_error_set(CAROB_ENOMEM, "steering");
	steering->expiry.visit = is_expired;
	steering->clock = options->clock;
	steering->routes = options->routes;
	steering->upstreams = options->upstreams;
	steering->silent = CAROB_UPSTREAM_NONE;
	error = carob_name_table_add(&steering->home_zone,
				     &options->upstreams->zones,
				     options->home_zone);
	if (error) {
		free(steering);
		return error;
	}
	*out = steering;
	return 0;
}

void carob_steering_free(carob_steering_t *steering)
{
	if (!steering)
		return;
	carob_admission_dispose(&steering->admission);
	carob_flow_table_dispose(&steering->flows);
	free(steering);
}
