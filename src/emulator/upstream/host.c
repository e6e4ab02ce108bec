#include "host.h"

#include "carobtrail/errors.h"
#include "emulator/common/con.h"
#include "feed.h"
#include "job.h"
#include "net/coap_codec.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#define REPORT_TEXT_MAX 160

uint16_t upstream_host_next_mid(upstream_host_t *host)
{
	return host->next_mid++;
}

void upstream_host_init_record(carob_run_record_t *out,
			       const upstream_host_t *host, uint64_t rid,
			       uint64_t start_ns)
{
	memset(out, 0, sizeof(*out));
	out->rid = rid;
	memcpy(out->upstream, host->settings->name, sizeof(out->upstream));
	memcpy(out->service, host->settings->service->name,
	       sizeof(out->service));
	out->start_us = start_ns / CAROB_NS_PER_US;
}

uint64_t upstream_host_random_service_ns(upstream_host_t *host)
{
	const upstream_service_t *service = host->settings->service;
	uint64_t age_ms =
		(carob_kernel_now_ns(host->kernel) - host->started_ns) /
		CAROB_NS_PER_MS;
	double spread_ms = (double)service->mean_service_ms -
			   (double)service->min_service_ms;
	double ms = service->min_service_ms;

	if (spread_ms > 0)
		ms -= spread_ms * log(1 - carob_rng_unit(host->rng));
	if (age_ms < service->cold_ms)
		ms *= 1 + (service->cold_factor - 1) *
				  (1 - (double)age_ms / service->cold_ms);
	return (uint64_t)(ms * CAROB_NS_PER_MS);
}

void upstream_host_respond(upstream_host_t *host, const upstream_origin_t *to,
			   carob_msg_t *msg)
{
	uint8_t data[CAROB_MSG_BYTES_MAX];
	size_t len;

	msg->type = to->type == CAROB_MSG_CON ? CAROB_MSG_ACK : CAROB_MSG_NON;
	msg->mid = to->type == CAROB_MSG_CON ? to->mid
					     : upstream_host_next_mid(host);
	msg->token_len = to->token_len;
	memcpy(msg->token, to->token, sizeof(msg->token));
	if (carob_coap_encode(data, &len, sizeof(data), msg) != 0)
		return;
	exchange_table_set_response(host->exchanges, &to->peer, to->mid, data,
				    len);
	carob_udp_send(host->udp, &to->peer, data, len);
}

void upstream_host_shed(upstream_host_t *host, const upstream_origin_t *to,
			uint64_t rid)
{
	carob_msg_t msg = {
		.code = CAROB_CODE_SERVICE_UNAVAILABLE,
		.has_max_age = true,
		.max_age_s = host->settings->service->retry_after_s,
	};
	uint64_t now = carob_kernel_now_ns(host->kernel);
	carob_run_record_t record;

	host->sheds++;
	upstream_host_init_record(&record, host, rid, now);
	record.end = CAROB_RUN_SHED;
	record.end_us = record.start_us;
	if (rid)
		carob_run_record_write(host->ledger, &record);
	upstream_host_respond(host, to, &msg);
}

static void refresh_report(upstream_host_t *host)
{
	host->report = (upstream_report_t){
		.in_use = host->slots_used,
		.feeds = host->feed_count,
		.healthy = !host->draining,
		.measured_ns = carob_kernel_now_ns(host->kernel),
	};
}

static void on_report_timer(carob_timer_t *timer)
{
	upstream_host_t *host =
		CAROB_CONTAINER_OF(timer, upstream_host_t, report_timer);
	uint64_t lag_ns =
		host->settings->service->report_lag_ms * CAROB_NS_PER_MS;

	if (!host->report_frozen)
		refresh_report(host);
	if (lag_ns)
		carob_timer_arm(host->kernel, timer,
				carob_kernel_now_ns(host->kernel) + lag_ns);
}

static void respond_load(upstream_host_t *host, const upstream_origin_t *origin)
{
	const upstream_service_t *service = host->settings->service;
	uint64_t now = carob_kernel_now_ns(host->kernel);
	char text[REPORT_TEXT_MAX];
	uint64_t age_ms = 0;
	carob_msg_t msg = {.code = CAROB_CODE_CONTENT};
	int len;

	if (service->report_lag_ms == 0 && !host->report_frozen)
		refresh_report(host);
	if (!host->report_frozen)
		age_ms = (now - host->report.measured_ns) / CAROB_NS_PER_MS;
	len = snprintf(text, sizeof(text),
		       "{\"in_use\":%u,\"feeds\":%u,\"slots\":%u,"
		       "\"connections\":%u,\"age_ms\":%" PRIu64
		       ",\"healthy\":%s}",
		       host->report.in_use, host->report.feeds, service->slots,
		       service->connections, age_ms,
		       host->report.healthy ? "true" : "false");
	msg.payload = (carob_str_t){text, (size_t)len};
	upstream_host_respond(host, origin, &msg);
}

static void respond_health(upstream_host_t *host,
			   const upstream_origin_t *origin)
{
	carob_msg_t msg = {
		.code = host->report.healthy ? CAROB_CODE_CONTENT
					     : CAROB_CODE_SERVICE_UNAVAILABLE,
	};

	upstream_host_respond(host, origin, &msg);
}

static void count_new_work(upstream_host_t *host)
{
	host->last_new_ns = carob_kernel_now_ns(host->kernel);
	if (host->draining)
		host->new_since_drain++;
}

static void start_request(upstream_host_t *host, const carob_msg_t *msg,
			  const upstream_origin_t *origin)
{
	carob_request_t request;

	carob_request_read(&request, msg);
	if (carob_str_eq(request.path, CAROB_STR("load"))) {
		respond_load(host, origin);
	} else if (carob_str_eq(request.path, CAROB_STR("health"))) {
		respond_health(host, origin);
	} else if (carob_msg_is_registration(msg)) {
		count_new_work(host);
		upstream_feed_register(host, msg, origin, request.rid);
	} else {
		count_new_work(host);
		upstream_job_start(host, msg, origin, &request);
	}
}

static void on_cancel(upstream_host_t *host, const upstream_origin_t *origin)
{
	carob_msg_t confirmed = {.code = CAROB_CODE_DELETED};

	if (upstream_feed_cancel(host, origin))
		upstream_host_respond(host, origin, &confirmed);
	else
		upstream_job_cancel(host, origin);
}

static void on_request(upstream_host_t *host, const carob_msg_t *msg,
		       const carob_addr_t *from)
{
	uint64_t now = carob_kernel_now_ns(host->kernel);
	upstream_origin_t origin = {
		.peer = *from,
		.type = msg->type,
		.mid = msg->mid,
		.token_len = msg->token_len,
	};
	carob_str_t response;

	memcpy(origin.token, msg->token, sizeof(origin.token));
	if (exchange_table_check_duplicate(&response, host->exchanges, from,
					   msg->mid, now)) {
		if (response.len)
			carob_udp_send(host->udp, from, response.ptr,
				       response.len);
	} else if (carob_msg_is_cancel(msg)) {
		on_cancel(host, &origin);
	} else {
		start_request(host, msg, &origin);
	}
}

static void on_empty(upstream_host_t *host, const carob_msg_t *msg,
		     const carob_addr_t *from)
{
	switch (msg->type) {
	case CAROB_MSG_CON: /* ping (RFC 7252, section 4.3) */
		carob_msg_send_empty(host->udp, from, CAROB_MSG_RST, msg->mid);
		break;
	case CAROB_MSG_ACK:
	case CAROB_MSG_RST:
		upstream_job_acknowledged(host, from, msg->mid);
		upstream_feed_acknowledged(host, from, msg->mid,
					   msg->type == CAROB_MSG_RST);
		break;
	default:
		break;
	}
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	upstream_host_t *host = (upstream_host_t *)handler;
	carob_msg_t msg;
	uint8_t refusal;

	if (host->silent ||
	    carob_coap_decode(&msg, &refusal, data.ptr, data.len) != 0)
		return;
	if (carob_msg_is_request(&msg))
		on_request(host, &msg, from);
	else if (msg.code == CAROB_CODE_EMPTY)
		on_empty(host, &msg, from);
}

int upstream_host_open(upstream_host_t *host, carob_udp_hub_t *hub)
{
	int error;

	host->handler.receive = on_datagram;
	host->started_ns = carob_kernel_now_ns(host->kernel);
	host->next_mid = (uint16_t)carob_rng_u32(host->rng);
	host->report_timer.fire = on_report_timer;
	on_report_timer(&host->report_timer);
	error = exchange_table_new(&host->exchanges);
	if (!error)
		error = carob_udp_open(&host->udp, hub, &host->settings->addr,
				       &host->handler);
	return error;
}

void upstream_host_close(upstream_host_t *host)
{
	upstream_jobs_dispose(host);
	upstream_feeds_dispose(host);
	carob_timer_cancel(host->kernel, &host->report_timer);
	exchange_table_free(host->exchanges);
	carob_udp_close(host->udp);
}
