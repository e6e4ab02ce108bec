#include "flow/steering/steering_priv.h"

static void set_explanation(carob_steer_explanation_t *out,
			    const carob_steering_t *steering,
			    carob_steer_reason_t reason,
			    carob_upstream_index_t to)
{
	out->reason = reason;
	out->verdict = carob_steering_verdict(reason);
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
		set_explanation(out, steering, CAROB_STEER_NO_CONFIG,
				CAROB_UPSTREAM_NONE);
		return;
	}
	if (!route) {
		set_explanation(out, steering, CAROB_STEER_NO_ROUTE,
				CAROB_UPSTREAM_NONE);
		return;
	}
	to = carob_steering_place(steering, route, packet, CAROB_UPSTREAM_NONE);
	set_explanation(out, steering,
			to == CAROB_UPSTREAM_NONE
				? carob_steering_reason_unplaced(steering,
								 route, packet)
				: CAROB_STEER_PLACED,
			to);
}

static void explain_tag(carob_steer_explanation_t *out,
			const carob_steering_t *steering, uint32_t tag)
{
	carob_upstream_index_t to =
		carob_upstream_table_by_tag(steering->upstreams, tag);

	set_explanation(out, steering,
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
		.idle_ms = flow ? carob_steering_now_ms(steering) -
					   flow->last_packet_ms
				: 0,
	};
	if (dropped)
		set_explanation(out, steering, CAROB_STEER_ROUTE_DROPPED,
				CAROB_UPSTREAM_NONE);
	else if (flow)
		set_explanation(out, steering, CAROB_STEER_KNOWN_FLOW,
				flow->upstream);
	else if (packet->steering_tag != 0)
		explain_tag(out, steering, packet->steering_tag);
	else
		explain_new(out, steering, packet, route);
}
