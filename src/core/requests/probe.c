/*
 * Probes of a path on which an upstream does not answer. The suspect path and
 * a new candidate path are pinged. If only the candidate is answered, it
 * replaces the suspect; if neither is, the upstream itself is silent.
 */
#include "core/requests/entry_priv.h"

#include "carobtrail/log.h"

#define ROUND_NS (500 * CAROB_NS_PER_MS)
/* Pings that the suspect path leaves unanswered before it is replaced. */
#define ROUNDS_BEFORE_REPLACE 3
#define ROUNDS_MAX	      4
/* Failed probes in a row after which the feeds of the upstream end. */
#define FAILURES_MAX 3

static void stop_probe(carob_link_t *link)
{
	carob_path_t *candidate = link->candidate;

	carob_timer_cancel(link->entry->kernel, &link->probe);
	link->suspect = NULL;
	link->candidate = NULL;
	if (candidate && candidate != link->current)
		carob_path_close(candidate);
}

/* Whether the upstream has sent anything on the path during this probe. */
static bool has_received(const carob_path_t *path)
{
	return path->last_received_ns != 0 &&
	       path->last_received_ns >= path->link->probe_start_ns;
}

static void send_round(carob_link_t *link)
{
	link->probe_round++;
	carob_path_ping(link->suspect);
	if (!has_received(link->candidate))
		carob_path_ping(link->candidate);
	carob_timer_arm(link->entry->kernel, &link->probe,
			carob_entry_now(link->entry) + ROUND_NS);
}

/*
 * Feeds and running idempotent requests are sent again on the new path. The
 * outcome of any other request is unknown, since it may have run.
 */
static void move_request(carob_request_t *request, carob_path_t *path)
{
	bool feed = request->phase == CAROB_REQUEST_FEED;

	if (!feed &&
	    (request->phase != CAROB_REQUEST_RUNNING || !request->idempotent)) {
		carob_request_on_lost(request, CAROB_OUTCOME_ERROR);
		return;
	}
	carob_path_detach(request);
	carob_path_attach(request, path);
	request->may_have_run = true;
	carob_path_send_message(request,
				feed ? CAROB_SENT_REFRESH : CAROB_SENT_REQUEST);
}

static void replace_path(carob_link_t *link)
{
	carob_path_t *old = link->suspect;
	carob_path_t *path = link->candidate;

	CAROB_LOG(CAROB_EV_PATH_REPLACED,
		  CAROB_FIELD_U64("service", link->key.service_id),
		  CAROB_FIELD_U64("upstream", link->upstream.id.id));
	link->current = path;
	link->candidate = NULL;
	/* The old path stays the suspect so that detaching cannot close it. */
	while (old->unacked_requests)
		move_request(old->unacked_requests, path);
	while (old->acked_requests)
		move_request(old->acked_requests, path);
	link->suspect = NULL;
	carob_path_close(old);
}

static void end_feeds(carob_request_t *list)
{
	while (list) {
		carob_request_t *next = list->exchange.next;

		if (list->phase == CAROB_REQUEST_FEED)
			carob_feed_end(list, true);
		list = next;
	}
}

static void on_probe_failed(carob_link_t *link)
{
	carob_path_t *path = link->suspect;

	if (link->failures < FAILURES_MAX)
		link->failures++;
	if (link->failures == FAILURES_MAX) {
		CAROB_LOG(CAROB_EV_UPSTREAM_SILENT,
			  CAROB_FIELD_U64("service", link->key.service_id),
			  CAROB_FIELD_U64("upstream", link->upstream.id.id));
		end_feeds(path->unacked_requests);
		end_feeds(path->acked_requests);
	}
	stop_probe(link);
	if (path != link->current && !path->unacked_requests &&
	    !path->acked_requests)
		carob_path_close(path);
}

static void on_round_timer(carob_timer_t *timer)
{
	carob_link_t *link = CAROB_CONTAINER_OF(timer, carob_link_t, probe);

	if (link->probe_round >= ROUNDS_BEFORE_REPLACE &&
	    has_received(link->candidate))
		replace_path(link);
	else if (link->probe_round >= ROUNDS_MAX)
		on_probe_failed(link);
	else
		send_round(link);
}

void carob_probe_init(carob_link_t *link)
{
	link->probe.fire = on_round_timer;
}

void carob_probe_start(carob_path_t *path)
{
	carob_link_t *link = path->link;

	if (link->suspect)
		return;
	link->candidate = carob_path_open(link);
	if (!link->candidate)
		return;
	link->suspect = path;
	link->probe_start_ns = carob_entry_now(link->entry);
	link->probe_round = 0;
	send_round(link);
}

void carob_probe_on_received(carob_entry_t *entry, uint32_t number)
{
	carob_path_t *path;
	carob_link_t *link;

	/* Handling the message may have closed the path. */
	HASH_FIND(hh, entry->paths, &number, sizeof(number), path);
	if (!path || path != path->link->suspect)
		return;
	link = path->link;
	stop_probe(link);
	if (path != link->current && !path->unacked_requests &&
	    !path->acked_requests)
		carob_path_close(path);
}
