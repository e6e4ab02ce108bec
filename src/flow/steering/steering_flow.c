/* State of single flows, and how packets change it. */
#include "flow/steering/steering_priv.h"

#include "carobtrail/failure_detector.h"
#include "carobtrail/load_meter.h"

/* The usual response time is this quantile of all response times. */
#define USUAL_TIME_QUANTILE 0.99
/* Callers retransmit a request after 200 ms or more. Copies that are read at
 * shorter intervals were delayed in a queue on their way here: the upstream has
 * not seen them before and may well answer. */
#define RETRANSMIT_MS_MIN 100
/* A copy that waited longer in the receive buffer of this instance is no
 * evidence either: what shows that the upstream has answered may wait behind
 * it. */
#define EVIDENCE_AGE_MS_MAX 50

static bool counts_as_open(const carob_flow_t *flow)
{
	return flow->upstream != CAROB_UPSTREAM_NONE &&
	       (flow->phase == CAROB_FLOW_OPENING ||
		flow->phase == CAROB_FLOW_OPEN);
}

/* Counts the load of an upstream before it changes. */
static void meter_load(const carob_steering_t *steering,
		       carob_upstream_index_t upstream)
{
	if (steering->load_view)
		carob_load_meter_advance(&steering->upstreams->items[upstream],
					 carob_steering_now_ns(steering));
}

void carob_steering_meter_answer(const carob_steering_t *steering,
				 carob_upstream_index_t upstream, bool late)
{
	carob_load_meter_record(&steering->upstreams->items[upstream], late);
}

void carob_steering_meter_missing(const carob_steering_t *steering,
				  carob_flow_t *flow)
{
	if (flow->missing)
		return;
	flow->missing = true;
	carob_steering_meter_answer(steering, flow->upstream, true);
}

void carob_steering_set_overdue(const carob_steering_t *steering,
				carob_flow_t *flow, bool overdue)
{
	carob_upstream_t *upstream;

	if (flow->overdue == overdue)
		return;
	upstream = &steering->upstreams->items[flow->upstream];
	flow->overdue = overdue;
	if (overdue)
		upstream->overdue++;
	else
		upstream->overdue--;
}

void carob_steering_touch_flow(const carob_steering_t *steering,
			       carob_flow_t *flow)
{
	flow->last_packet_ms = carob_steering_now_ms(steering);
	carob_steering_set_overdue(steering, flow, false);
}

void carob_steering_set_pending(carob_steering_t *steering, carob_flow_t *flow,
				bool pending)
{
	carob_upstream_t *upstream =
		&steering->upstreams->items[flow->upstream];

	if (flow->pending == pending)
		return;
	carob_steering_set_overdue(steering, flow, false);
	meter_load(steering, flow->upstream);
	flow->pending = pending;
	if (pending)
		upstream->pending++;
	else
		upstream->pending--;
}

void carob_steering_unbind_flow(carob_steering_t *steering, carob_flow_t *flow)
{
	if (!counts_as_open(flow))
		return;
	carob_steering_set_pending(steering, flow, false);
	meter_load(steering, flow->upstream);
	steering->upstreams->items[flow->upstream].open_flows--;
}

void carob_steering_bind_flow(carob_steering_t *steering, carob_flow_t *flow,
			      carob_upstream_index_t upstream)
{
	bool pending = flow->pending;

	if (flow->upstream == upstream)
		return;
	carob_steering_unbind_flow(steering, flow);
	flow->upstream = upstream;
	meter_load(steering, upstream);
	steering->upstreams->items[upstream].open_flows++;
	carob_steering_set_pending(steering, flow, pending);
}

void carob_steering_remove_flow(carob_steering_t *steering, carob_flow_t *flow)
{
	carob_steering_unbind_flow(steering, flow);
	carob_flow_table_remove(&steering->flows, flow);
}

carob_flow_t *carob_steering_add_flow(carob_steering_t *steering,
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
	flow->request_ms = carob_steering_now_ms(steering);
	flow->last_packet_ms = flow->request_ms;
	carob_steering_bind_flow(steering, flow, upstream);
	return flow;
}

bool carob_steering_is_evidence(const carob_steering_t *steering,
				const carob_flow_packet_t *packet)
{
	if (packet->age_ms > EVIDENCE_AGE_MS_MAX)
		return false;
	return !steering->link ||
	       !carob_link_meter_congested(steering->link,
					   carob_steering_now_ns(steering));
}

static uint64_t usual_response_ns(const carob_steering_t *steering)
{
	return carob_histogram_quantile(&steering->counters.answer_ms,
					USUAL_TIME_QUANTILE) *
	       CAROB_NS_PER_MS;
}

bool carob_steering_is_gone(const carob_steering_t *steering,
			    carob_upstream_index_t upstream)
{
	return steering->reset_gone &&
	       carob_failure_detector_is_gone(steering->upstreams, upstream,
					      carob_steering_now_ns(steering));
}

bool carob_steering_is_silent(const carob_steering_t *steering,
			      carob_upstream_index_t upstream)
{
	if (!carob_failure_detector_has_evidence(
		    &steering->upstreams->items[upstream]))
		return false;
	return carob_failure_detector_is_silent(
		steering->upstreams, upstream, usual_response_ns(steering),
		carob_steering_now_ns(steering));
}

void carob_steering_check_silent(carob_steering_t *steering,
				 carob_upstream_index_t upstream)
{
	if (carob_steering_is_silent(steering, upstream) ||
	    carob_steering_is_gone(steering, upstream))
		steering->silent_upstream = upstream;
}

static void record_answer(carob_steering_t *steering,
			  carob_upstream_index_t upstream)
{
	uint64_t now = carob_steering_now_ns(steering);

	carob_pace_record_answer(&steering->pace, steering->upstreams,
				 &steering->upstreams->items[upstream], now);
	carob_failure_detector_record_answer(steering->upstreams, upstream,
					     now);
}

/* The tag in the first packet after the SYN identifies the upstream that has
 * answered. That need not be the one that was tried last. */
void carob_steering_open_flow(carob_steering_t *steering, carob_flow_t *flow,
			      const carob_flow_packet_t *packet)
{
	carob_upstream_index_t to = carob_upstream_table_by_tag(
		steering->upstreams, packet->steering_tag);
	uint32_t now = carob_steering_now_ms(steering);

	if (packet->rst)
		return;
	if (packet->steering_tag != 0 && to != CAROB_UPSTREAM_NONE)
		carob_steering_bind_flow(steering, flow, to);
	flow->phase = CAROB_FLOW_OPEN;
	flow->last_ack = packet->ack;
	carob_steering_set_pending(steering, flow, false);
	carob_histogram_record(&steering->counters.connect_ms,
			       now - flow->request_ms);
	record_answer(steering, flow->upstream);
}

static void record_response(carob_steering_t *steering,
			    const carob_flow_t *flow, uint32_t ms)
{
	carob_endpoint_t endpoint = {flow->route_ip, flow->route_port};
	carob_name_id_t service =
		steering->upstreams->items[flow->upstream].service;
	uint64_t now = carob_steering_now_ns(steering);
	const carob_route_t *route = NULL;
	bool in_time = true; /* also without a target */

	carob_histogram_record(&steering->counters.answer_ms, ms);
	carob_pace_record_response(&steering->pace,
				   &steering->upstreams->items[flow->upstream],
				   endpoint, ms, now);
	(void)carob_route_table_find(&route, steering->routes, endpoint);
	if (route && route->target_ms > 0) {
		in_time = ms <= route->target_ms;
		carob_admission_record_response(&steering->admission, service,
						in_time, now);
		if (steering->shared_admission)
			carob_shared_admission_record_response(
				steering->shared_admission, service, ms,
				route->target_ms);
	}
	if (!flow->missing)
		carob_steering_meter_answer(steering, flow->upstream, !in_time);
}

/* A caller that acknowledges more of a long response shows that a removed
 * upstream serves. */
static void record_sign_of_life(carob_steering_t *steering,
				const carob_flow_t *flow)
{
	if (steering->reset_gone &&
	    steering->upstreams->items[flow->upstream].removed_ns != 0)
		carob_failure_detector_record_answer(
			steering->upstreams, flow->upstream,
			carob_steering_now_ns(steering));
}

void carob_steering_judge_response(carob_steering_t *steering,
				   carob_flow_t *flow)
{
	carob_endpoint_t route = {flow->route_ip, flow->route_port};
	carob_upstream_t *upstream =
		&steering->upstreams->items[flow->upstream];

	if (!flow->measured || flow->response_bytes == 0)
		return;
	flow->measured = false;
	if (!carob_response_norms_add(&steering->norms, route,
				      upstream->service, flow->response_bytes))
		return;
	steering->counters.short_responses++;
	carob_load_meter_record_failure(upstream);
}

/* Adds what the caller has acknowledged to the length of the response. */
static void measure_response(carob_flow_t *flow, uint32_t bytes)
{
	uint32_t sum = flow->response_bytes + bytes;

	flow->response_bytes = sum < bytes || sum > UINT16_MAX ? UINT16_MAX
							       : (uint16_t)sum;
}

static void track_response(carob_steering_t *steering, carob_flow_t *flow,
			   const carob_flow_packet_t *packet)
{
	int32_t bytes = (int32_t)(packet->ack - flow->last_ack);

	if (!packet->has_ack || bytes <= 0)
		return;
	flow->last_ack = packet->ack;
	measure_response(flow, (uint32_t)bytes);
	if (!flow->pending) {
		record_sign_of_life(steering, flow);
		return;
	}
	carob_steering_set_pending(steering, flow, false);
	record_response(steering, flow,
			carob_steering_now_ms(steering) - flow->request_ms);
	record_answer(steering, flow->upstream);
}

static void record_retransmission(carob_steering_t *steering,
				  carob_flow_t *flow)
{
	uint64_t now = carob_steering_now_ns(steering);
	uint32_t waited_ms = carob_steering_now_ms(steering) - flow->request_ms;

	steering->counters.repeated_data++;
	if (!flow->pending)
		return;
	if (!flow->repeated) {
		carob_failure_detector_record_request(steering->upstreams,
						      flow->upstream, now);
		carob_steering_meter_missing(steering, flow);
		carob_pace_record_missing(
			&steering->pace,
			&steering->upstreams->items[flow->upstream], now);
	}
	flow->repeated = true;
	carob_failure_detector_record_stall(steering->upstreams, flow->upstream,
					    now - waited_ms * CAROB_NS_PER_MS,
					    now);
	if (steering->reset_gone)
		carob_failure_detector_record_overdue(
			steering->upstreams, flow->upstream,
			now - waited_ms * CAROB_NS_PER_MS,
			usual_response_ns(steering), now);
	carob_steering_check_silent(steering, flow->upstream);
}

static void track_request(carob_steering_t *steering, carob_flow_t *flow,
			  const carob_flow_packet_t *packet,
			  uint32_t since_last_ms)
{
	bool is_new = (int32_t)(packet->seq - flow->last_seq) > 0;

	if (packet->data_bytes == 0)
		return;
	if (!is_new) {
		if (since_last_ms >= RETRANSMIT_MS_MIN &&
		    carob_steering_is_evidence(steering, packet))
			record_retransmission(steering, flow);
		return;
	}
	flow->last_seq = packet->seq;
	if (!flow->pending) {
		carob_steering_judge_response(steering, flow);
		flow->measured = true;
		flow->response_bytes = 0;
		flow->request_ms = carob_steering_now_ms(steering);
	}
	flow->repeated = false;
	flow->missing = false;
	carob_steering_set_pending(steering, flow, true);
}

void carob_steering_track_packet(carob_steering_t *steering, carob_flow_t *flow,
				 const carob_flow_packet_t *packet)
{
	uint32_t since_last_ms =
		carob_steering_now_ms(steering) - flow->last_packet_ms;

	carob_steering_touch_flow(steering, flow);
	if (packet->rst) {
		carob_steering_remove_flow(steering, flow);
		return;
	}
	if (flow->phase != CAROB_FLOW_OPEN)
		return;
	track_response(steering, flow, packet);
	track_request(steering, flow, packet, since_last_ms);
	if (packet->fin) {
		carob_steering_judge_response(steering, flow);
		carob_steering_unbind_flow(steering, flow);
		flow->phase = CAROB_FLOW_CLOSING;
	}
}
