#include "feed.h"

#include "emulator/common/con.h"
#include "emulator/common/payload.h"
#include "endpoint_key.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* One in this many notifications is confirmable. */
#define CONFIRM_EVERY 20
#define OBSERVE_MASK  0xffffffU

struct upstream_feed {
	upstream_host_t *host;
	carob_timer_t timer;
	carob_con_t con;
	endpoint_key_t key;
	upstream_origin_t origin;
	uint32_t observe;
	uint32_t notifications;
	uint16_t last_mid;
	carob_run_record_t record;
	UT_hash_handle hh;
};

static void end_feed(upstream_feed_t *feed, carob_run_end_t end)
{
	upstream_host_t *host = feed->host;

	feed->record.end = end;
	feed->record.end_us =
		carob_kernel_now_ns(host->kernel) / CAROB_NS_PER_US;
	if (feed->record.rid)
		carob_run_record_write(host->ledger, &feed->record);
	carob_timer_cancel(host->kernel, &feed->timer);
	carob_con_stop(&feed->con);
	HASH_DEL(host->feeds, feed);
	host->feed_count--;
	free(feed);
}

static void on_give_up(carob_con_t *con)
{
	end_feed(CAROB_CONTAINER_OF(con, upstream_feed_t, con),
		 CAROB_RUN_CANCELLED);
}

/* The sequence number in the payload is a clock that all hosts on a machine
 * share, so that a caller can tell whether the content of a feed that moved
 * to another host is older than before. */
static size_t fill_notification(carob_msg_t *msg,
				char text[CAROB_PAYLOAD_HEADER_MAX],
				upstream_feed_t *feed)
{
	const upstream_service_t *service = feed->host->settings->service;
	carob_payload_header_t header = {
		.rid = feed->record.rid,
		.sequence = carob_kernel_now_ns(feed->host->kernel),
	};
	uint32_t notify_s = (service->notify_ms + 999) / 1000;

	memcpy(header.service, feed->record.service, sizeof(header.service));
	memcpy(header.upstream, feed->record.upstream, sizeof(header.upstream));
	feed->observe = (feed->observe + 1) & OBSERVE_MASK;
	msg->code = CAROB_CODE_CONTENT;
	msg->has_observe = true;
	msg->observe = feed->observe;
	msg->has_max_age = true;
	msg->max_age_s = notify_s + 1;
	msg->payload = (carob_str_t){text, carob_payload_write(text, &header)};
	return msg->payload.len;
}

static void send_notification(upstream_feed_t *feed)
{
	upstream_host_t *host = feed->host;
	char text[CAROB_PAYLOAD_HEADER_MAX];
	carob_msg_t msg = {.type = CAROB_MSG_NON};

	fill_notification(&msg, text, feed);
	msg.mid = upstream_host_next_mid(host);
	msg.token_len = feed->origin.token_len;
	memcpy(msg.token, feed->origin.token, sizeof(msg.token));
	feed->last_mid = msg.mid;
	if (++feed->notifications % CONFIRM_EVERY == 0 &&
	    !carob_con_active(&feed->con)) {
		msg.type = CAROB_MSG_CON;
		carob_con_start(&feed->con, host->rng, &msg);
	} else {
		carob_msg_send(host->udp, &feed->origin.peer, &msg);
	}
}

static void arm_timer(upstream_feed_t *feed)
{
	upstream_host_t *host = feed->host;

	carob_timer_arm(host->kernel, &feed->timer,
			carob_kernel_now_ns(host->kernel) +
				host->settings->service->notify_ms *
					CAROB_NS_PER_MS);
}

static void on_timer(carob_timer_t *timer)
{
	upstream_feed_t *feed =
		CAROB_CONTAINER_OF(timer, upstream_feed_t, timer);

	send_notification(feed);
	arm_timer(feed);
}

static upstream_feed_t *find_feed(const upstream_host_t *host,
				  const endpoint_key_t *key)
{
	upstream_feed_t *feed;

	HASH_FIND(hh, host->feeds, key, sizeof(*key), feed);
	return feed;
}

static upstream_feed_t *add_feed(upstream_host_t *host,
				 const endpoint_key_t *key,
				 const upstream_origin_t *origin, uint64_t rid)
{
	upstream_feed_t *feed = calloc(1, sizeof(*feed));

	if (!feed)
		return NULL;
	feed->host = host;
	feed->key = *key;
	feed->timer.fire = on_timer;
	feed->con.give_up = on_give_up;
	feed->con.kernel = host->kernel;
	feed->con.udp = host->udp;
	feed->con.peer = origin->peer;
	upstream_host_init_record(&feed->record, host, rid,
				  carob_kernel_now_ns(host->kernel));
	HASH_ADD(hh, host->feeds, key, sizeof(feed->key), feed);
	host->feed_count++;
	host->runs++;
	return feed;
}

void upstream_feed_register(upstream_host_t *host, const carob_msg_t *msg,
			    const upstream_origin_t *origin, uint64_t rid)
{
	endpoint_key_t key =
		endpoint_key(&origin->peer, origin->token, origin->token_len);
	upstream_feed_t *feed = find_feed(host, &key);
	char text[CAROB_PAYLOAD_HEADER_MAX];
	carob_msg_t response = {0};

	(void)msg;
	if (!feed &&
	    (host->shedding ||
	     host->feed_count >= host->settings->service->connections)) {
		upstream_host_shed(host, origin, rid);
		return;
	}
	if (!feed)
		feed = add_feed(host, &key, origin, rid);
	if (!feed)
		return;
	feed->origin = *origin;
	fill_notification(&response, text, feed);
	upstream_host_respond(host, origin, &response);
	arm_timer(feed);
}

bool upstream_feed_cancel(upstream_host_t *host,
			  const upstream_origin_t *origin)
{
	endpoint_key_t key =
		endpoint_key(&origin->peer, origin->token, origin->token_len);
	upstream_feed_t *feed = find_feed(host, &key);

	if (!feed)
		return false;
	end_feed(feed, CAROB_RUN_CANCELLED);
	return true;
}

void upstream_feed_acknowledged(upstream_host_t *host, const carob_addr_t *peer,
				uint16_t mid, bool reset)
{
	upstream_feed_t *feed;
	upstream_feed_t *next;

	HASH_ITER (hh, host->feeds, feed, next) {
		if (feed->last_mid != mid ||
		    !carob_addr_eq(&feed->origin.peer, peer))
			continue;
		if (reset)
			end_feed(feed, CAROB_RUN_CANCELLED);
		else
			carob_con_stop(&feed->con);
		return;
	}
}

void upstream_feeds_dispose(upstream_host_t *host)
{
	upstream_feed_t *feed;
	upstream_feed_t *next;

	HASH_ITER (hh, host->feeds, feed, next)
		end_feed(feed, CAROB_RUN_OPEN);
}
