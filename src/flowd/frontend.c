#include "frontend.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "platform/packet.h"

#include <stdio.h>
#include <stdlib.h>

/* Headers of IPv4 and UDP. */
#define IP_HEADER_BYTES 28
/* Callers give up on a connection attempt after this time without a response,
 * so a SYN that waited longer in the receive buffer is dropped. */
#define SYN_AGE_MS_MAX 1400
/* Callers repeat other packets at least every 1.6 s, so an older one is a
 * duplicate; its flow may have ended since. */
#define PACKET_AGE_MS_MAX 2000
/* Maximum rate of logged decisions; further ones are only counted. The limit is
 * above the rate of new flows that an instance has in current deployments, and
 * bounds the cost of a flood of new flows. */
#define LOG_LINES_PER_S 200
/* Last fields of a logged decision, left out unless the load of all instances
 * was used. */
#define SHARED_FIELDS 6

struct flowd_frontend {
	carob_udp_handler_t handler;
	carob_reset_sender_t resets;
	carob_udp_hub_t *hub;
	carob_udp_t *udp;
	uint16_t reset_port;
	carob_steering_t *steering;
	const carob_catalog_t *catalog;
	const carob_clock_t *clock;
	carob_link_meter_t *link;
	uint64_t log_second;
	uint32_t log_lines; /* decisions in `log_second`, logged or not */
	flowd_frontend_counters_t counters;
};

static bool may_log(flowd_frontend_t *frontend)
{
	uint64_t second = carob_clock_now_ns(frontend->clock) / CAROB_NS_PER_S;

	if (second != frontend->log_second) {
		frontend->log_second = second;
		frontend->log_lines = 0;
	}
	if (frontend->log_lines++ < LOG_LINES_PER_S)
		return true;
	frontend->counters.unlogged++;
	return false;
}

static void format_endpoint(char out[CAROB_ADDR_TEXT_MAX],
			    carob_endpoint_t endpoint)
{
	carob_addr_t addr = carob_endpoint_addr(endpoint);

	carob_addr_format(out, &addr);
}

static void write_decision(const flowd_frontend_t *frontend,
			   const carob_flow_packet_t *packet,
			   const carob_steer_result_t *result,
			   const char *caller, const char *route)
{
	const carob_upstream_t *upstream = result->upstream;
	const carob_shared_load_t *shared = &result->shared_load;
	const carob_log_field_t fields[] = {
		CAROB_FIELD_CSTR("caller", caller),
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
				carob_catalog_revision(frontend->catalog)),
		CAROB_FIELD_U64("age_ms",
				carob_catalog_age_ms(frontend->catalog)),
		CAROB_FIELD_CSTR("admission",
				 carob_shared_reason_text(shared->reason)),
		CAROB_FIELD_U64("load",
				(uint64_t)(shared->own + shared->others)),
		CAROB_FIELD_U64("room", (uint64_t)shared->room),
		CAROB_FIELD_U64("own_load", (uint64_t)shared->own),
		CAROB_FIELD_U64("own_limit", (uint64_t)shared->limit),
		CAROB_FIELD_U64("view_age_ms", shared->view_age_ms),
	};

	carob_log_write(CAROB_EV_FLOW_DECIDED, fields,
			CAROB_ARRAY_SIZE(fields) -
				(shared->reason == CAROB_SHARED_NONE
					 ? SHARED_FIELDS
					 : 0));
}

/* Logs the decision about a packet. Caller, route and the sequence number of
 * its SYN together identify a flow. */
static void log_decision(flowd_frontend_t *frontend,
			 const carob_flow_packet_t *packet,
			 const carob_steer_result_t *result)
{
	char caller[CAROB_ADDR_TEXT_MAX];
	char route[CAROB_ADDR_TEXT_MAX];

	if (!may_log(frontend))
		return;
	format_endpoint(caller, packet->caller);
	format_endpoint(route, packet->route);
	write_decision(frontend, packet, result, caller, route);
}

static void count_sent(flowd_frontend_t *frontend, uint64_t bytes)
{
	uint64_t now = carob_clock_now_ns(frontend->clock);

	if (carob_link_meter_send(frontend->link, bytes, now))
		CAROB_LOG(
			CAROB_EV_LINK_CONGESTED,
			CAROB_FIELD_U64("queued_bytes",
					(uint64_t)frontend->link->queued_bytes),
			CAROB_FIELD_U64("flows", carob_steering_flow_count(
							 frontend->steering)));
}

static void send_to_upstream(flowd_frontend_t *frontend, carob_str_t data,
			     const carob_upstream_t *upstream)
{
	uint8_t datagram[PLATFORM_PACKET_BYTES_MAX];
	carob_addr_t to = carob_endpoint_addr(upstream->endpoint);
	size_t len = platform_packet_encode(datagram, data, upstream->number,
					    upstream->tag);

	count_sent(frontend, len + IP_HEADER_BYTES);
	carob_udp_send(frontend->udp, &to, datagram, len);
}

static void send_reset(flowd_frontend_t *frontend,
		       const carob_flow_packet_t *packet, uint32_t seq)
{
	uint8_t datagram[PLATFORM_PACKET_HEADER_BYTES];
	carob_endpoint_t end = {packet->caller.ip, frontend->reset_port};
	carob_addr_t to = carob_endpoint_addr(end);

	if (packet->rst)
		return; /* a reset is never answered with a reset */
	platform_packet_encode_reset(datagram, packet, seq);
	carob_udp_send(frontend->udp, &to, datagram, sizeof(datagram));
}

static void send_flow_reset(carob_reset_sender_t *sender,
			    const carob_flow_packet_t *flow, uint32_t seq)
{
	send_reset(CAROB_CONTAINER_OF(sender, flowd_frontend_t, resets), flow,
		   seq);
}

static void on_packet(carob_udp_handler_t *handler, const carob_addr_t *from,
		      carob_str_t data)
{
	flowd_frontend_t *frontend =
		CAROB_CONTAINER_OF(handler, flowd_frontend_t, handler);
	carob_steer_result_t result;
	carob_flow_packet_t packet;

	(void)from;
	frontend->counters.packets++;
	if (platform_packet_decode(&packet, data) != 0) {
		frontend->counters.malformed++;
		return;
	}
	packet.age_ms = carob_udp_hub_age_ms(frontend->hub);
	if (packet.age_ms > (packet.syn ? SYN_AGE_MS_MAX : PACKET_AGE_MS_MAX)) {
		frontend->counters.stale++;
		return;
	}
	carob_steering_packet(&result, frontend->steering, &packet);
	if (result.reason != CAROB_STEER_KNOWN_FLOW)
		log_decision(frontend, &packet, &result);
	if (result.verdict == CAROB_STEER_FORWARD)
		send_to_upstream(frontend, data, result.upstream);
	else if (result.verdict == CAROB_STEER_RESET)
		send_reset(frontend, &packet, result.reset_seq);
	carob_steering_reset_silent(frontend->steering, &frontend->resets);
}

int flowd_frontend_new(flowd_frontend_t **out, carob_udp_hub_t *hub,
		       const carob_addr_t *local, carob_steering_t *steering,
		       const carob_catalog_t *catalog,
		       const carob_clock_t *clock, carob_link_meter_t *link)
{
	flowd_frontend_t *frontend = calloc(1, sizeof(*frontend));
	int error;

	if (!frontend)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the packet frontend");
	frontend->handler.receive = on_packet;
	frontend->resets.send = send_flow_reset;
	frontend->hub = hub;
	frontend->reset_port = local->port;
	frontend->steering = steering;
	frontend->catalog = catalog;
	frontend->clock = clock;
	frontend->link = link;
	error = carob_udp_open(&frontend->udp, hub, local, &frontend->handler);
	if (!error)
		error = carob_udp_set_receiving(frontend->udp, false);
	if (error) {
		flowd_frontend_free(frontend);
		return error;
	}
	*out = frontend;
	return 0;
}

int flowd_frontend_start(flowd_frontend_t *frontend)
{
	return carob_udp_set_receiving(frontend->udp, true);
}

void flowd_frontend_free(flowd_frontend_t *frontend)
{
	if (!frontend)
		return;
	carob_udp_close(frontend->udp);
	free(frontend);
}

const flowd_frontend_counters_t *
flowd_frontend_counters(const flowd_frontend_t *frontend)
{
	return &frontend->counters;
}
