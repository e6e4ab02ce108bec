#include "front.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "platform/packet.h"

#include <stdio.h>
#include <stdlib.h>

/* Callers give up on a connection attempt after this time without a response,
 * so a SYN that waited longer in the receive buffer is dropped. */
#define SYN_AGE_MS_MAX 1400
/* Maximum rate of logged decisions; further ones are only counted. The limit is
 * above the rate of new flows that an instance has in current deployments, and
 * bounds the cost of a flood of new flows. */
#define LOG_LINES_PER_S 200

struct flowd_front {
	carob_udp_handler_t handler;
	carob_reset_sender_t resets;
	carob_udp_hub_t *hub;
	carob_udp_t *udp;
	uint16_t reset_port;
	carob_steering_t *steering;
	const carob_catalog_t *catalog;
	const carob_clock_t *clock;
	uint64_t log_second;
	uint32_t log_lines; /* lines attempted in `log_second` */
	flowd_front_counters_t counters;
};

static bool may_log(flowd_front_t *front)
{
	uint64_t second = carob_clock_now_ns(front->clock) / CAROB_NS_PER_S;

	if (second != front->log_second) {
		front->log_second = second;
		front->log_lines = 0;
	}
	if (front->log_lines++ < LOG_LINES_PER_S)
		return true;
	front->counters.unlogged++;
	return false;
}

static void format_endpoint(char out[CAROB_ADDR_TEXT_MAX],
			    carob_endpoint_t endpoint)
{
	carob_addr_t addr = carob_endpoint_addr(endpoint);

	carob_addr_format(out, &addr);
}

/* Logs the decision about a packet. Caller, route and the sequence number of
 * its SYN together identify a flow. */
static void log_decision(flowd_front_t *front,
			 const carob_flow_packet_t *packet,
			 const carob_steer_result_t *result)
{
	char caller[CAROB_ADDR_TEXT_MAX];
	char route[CAROB_ADDR_TEXT_MAX];
	const carob_upstream_t *upstream = result->upstream;

	if (!may_log(front))
		return;
	format_endpoint(caller, packet->caller);
	format_endpoint(route, packet->route);
	CAROB_LOG(CAROB_EV_FLOW_DECIDED, CAROB_FIELD_CSTR("caller", caller),
		  CAROB_FIELD_CSTR("route", route),
		  CAROB_FIELD_U64("seq", packet->seq),
		  CAROB_FIELD_U64("copy", packet->syn_copy),
		  CAROB_FIELD_U64("tag", packet->steering_tag),
		  CAROB_FIELD_CSTR("decision",
				   carob_steer_reason_text(result->reason)),
		  CAROB_FIELD_CSTR("upstream", upstream ? upstream->id : ""),
		  CAROB_FIELD_CSTR("passed_over",
				   result->passed_over ? result->passed_over->id
						       : ""),
		  CAROB_FIELD_U64("service_pending", result->load.pending),
		  CAROB_FIELD_U64("service_limit", result->load.limit),
		  CAROB_FIELD_U64("pending", upstream ? upstream->pending : 0),
		  CAROB_FIELD_U64("open_flows",
				  upstream ? upstream->open_flows : 0),
		  CAROB_FIELD_U64("revision",
				  carob_catalog_revision(front->catalog)),
		  CAROB_FIELD_U64("age_ms",
				  carob_catalog_age_ms(front->catalog)));
}

static void send_to_upstream(flowd_front_t *front, carob_str_t data,
			     const carob_upstream_t *upstream)
{
	uint8_t datagram[PLATFORM_PACKET_BYTES_MAX];
	carob_addr_t to = carob_endpoint_addr(upstream->endpoint);
	size_t len = platform_packet_encode(datagram, data, upstream->number,
					    upstream->tag);

	carob_udp_send(front->udp, &to, datagram, len);
}

static void send_reset(flowd_front_t *front, const carob_flow_packet_t *packet,
		       uint32_t seq)
{
	uint8_t datagram[PLATFORM_PACKET_HEADER_BYTES];
	carob_endpoint_t end = {packet->caller.ip, front->reset_port};
	carob_addr_t to = carob_endpoint_addr(end);

	if (packet->rst)
		return; /* a reset is never answered with a reset */
	platform_packet_encode_reset(datagram, packet, seq);
	carob_udp_send(front->udp, &to, datagram, sizeof(datagram));
}

static void on_reset(carob_reset_sender_t *sender,
		     const carob_flow_packet_t *flow, uint32_t seq)
{
	send_reset(CAROB_CONTAINER_OF(sender, flowd_front_t, resets), flow,
		   seq);
}

static void on_packet(carob_udp_handler_t *handler, const carob_addr_t *from,
		      carob_str_t data)
{
	flowd_front_t *front =
		CAROB_CONTAINER_OF(handler, flowd_front_t, handler);
	carob_steer_result_t result;
	carob_flow_packet_t packet;

	(void)from;
	front->counters.packets++;
	if (platform_packet_decode(&packet, data) != 0) {
		front->counters.malformed++;
		return;
	}
	if (packet.syn && carob_udp_hub_age_ms(front->hub) > SYN_AGE_MS_MAX) {
		front->counters.stale++;
		return;
	}
	carob_steering_packet(&result, front->steering, &packet);
	if (result.reason != CAROB_STEER_KNOWN_FLOW)
		log_decision(front, &packet, &result);
	if (result.verdict == CAROB_STEER_FORWARD)
		send_to_upstream(front, data, result.upstream);
	else if (result.verdict == CAROB_STEER_RESET)
		send_reset(front, &packet, result.reset_seq);
	carob_steering_reset_silent(front->steering, &front->resets);
}

int flowd_front_new(flowd_front_t **out, carob_udp_hub_t *hub,
		    const carob_addr_t *local, carob_steering_t *steering,
		    const carob_catalog_t *catalog, const carob_clock_t *clock)
{
	flowd_front_t *front = calloc(1, sizeof(*front));
	int error;

	if (!front)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the packet frontend");
	front->handler.receive = on_packet;
	front->resets.send = on_reset;
	front->hub = hub;
	front->reset_port = local->port;
	front->steering = steering;
	front->catalog = catalog;
	front->clock = clock;
	error = carob_udp_open(&front->udp, hub, local, &front->handler);
	if (error) {
		free(front);
		return error;
	}
	*out = front;
	return 0;
}

void flowd_front_free(flowd_front_t *front)
{
	if (!front)
		return;
	carob_udp_close(front->udp);
	free(front);
}

const flowd_front_counters_t *flowd_front_counters(const flowd_front_t *front)
{
	return &front->counters;
}
