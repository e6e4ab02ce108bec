/*
 * Open connections to the store go silent for good, new ones work. Shortly
 * before, the store has acknowledged that a host is draining. Checked: DRAIN.
 */
#include "standin.h"

#define DRAIN_MS   3000 /* bounds of a small deployment */
#define CONTACT_MS 4000
#define HOSTS	   4
#define RATE_MS	   6 /* between two requests */

static const route_t route = {.ip = 0xc6120001,
			      .port = 443,
			      .type = "unsafe",
			      .service = "fieldline",
			      .timeout_ms = 2000,
			      .target_ms = 300,
			      .priority = 1};
static uint64_t silent_ms; /* time of the disruption; 0: none */
static uint64_t next_ms;
static uint64_t broken;
static uint64_t broken_later; /* of these, half a second later or more */
static uint64_t late_requests[REQUESTS_MAX];
static size_t late_count;

static void send_requests(void)
{
	for (; next_ms <= now_ms(); next_ms += RATE_MS)
		client_send(&route, 1);
}

/* Machines are in touch from CONTACT_MS after the connections went silent. */
static bool in_touch(uint64_t at_ms)
{
	return silent_ms == 0 || at_ms >= silent_ms + CONTACT_MS;
}

static void check_drain(host_t *host, const request_t *request,
			uint64_t sent_ms)
{
	if (host->state != HOST_DRAINING ||
	    now_ms() <= host->drained_ms + DRAIN_MS)
		return;
	record("request %llu reached %s %llu ms after its draining was "
	       "acknowledged; %s",
	       request ? (unsigned long long)request->id : 0, host->id,
	       (unsigned long long)(now_ms() - host->drained_ms),
	       in_touch(sent_ms) ? "the machines are in touch: DRAIN is broken"
				 : "the machines are not in touch: excused");
	if (!in_touch(sent_ms))
		return;
	broken++;
	broken_later += in_touch(sent_ms - 500);
	if (request)
		late_requests[late_count++] = request->id;
}

/* Plays one step of a release: a new host starts, then an old one drains. */
static void play(bool trouble)
{
	uint64_t start = now_ms();

	host_start(HOSTS);
	run_until(start + 150, send_requests);
	host_drain(0);
	run_until(start + 200, send_requests);
	if (trouble) {
		silent_ms = now_ms();
		record("%d open connections to the store went silent",
		       store_silence_connections());
	}
	/* The old host serves for drain_ms after the acknowledgement and a
	 * little longer. Then its process ends. */
	run_until(hosts[0].drained_ms + 4650, send_requests);
	host_end(0);
	run_until(start + 8000, send_requests);
	run_until(now_ms() + 2500, NULL);
}

static const char *outcome(const request_t *request)
{
	if (request->answered)
		return "was answered";
	return request->opened ? "was accepted and never answered"
			       : "never opened";
}

int scenario_silent(bool trouble)
{
	uint64_t answered = 0, lost = 0, unopened = 0, late_lost = 0;

	store_start();
	config_put(1, &route, 1);
	clients_start(8);
	for (int i = 0; i < HOSTS; i++)
		host_start(host_add("fieldline", "macon-a", 3, 72));
	(void)host_add("fieldline", "macon-a", 3, 72);
	on_opening = check_drain;
	wait_ready();
	next_ms = now_ms();
	run_until(now_ms() + 6000, send_requests);
	play(trouble);
	for (size_t i = 0; i < request_count; i++) {
		answered += requests[i].answered;
		lost += requests[i].opened && !requests[i].answered;
		unopened += !requests[i].opened;
	}
	for (size_t i = 0; i < late_count; i++) {
		const request_t *late = &requests[late_requests[i] - 1];

		late_lost += late->opened && !late->answered;
		record("request %llu (unsafe), sent to the draining host, %s",
		       (unsigned long long)late->id, outcome(late));
	}
	record("%zu requests: %llu answered, %llu accepted and never answered, "
	       "%llu never accepted; %llu calls to the store",
	       request_count, (unsigned long long)answered,
	       (unsigned long long)lost, (unsigned long long)unopened,
	       (unsigned long long)store_calls);
	record("DRAIN broken by %llu opening packets, %llu of them half a "
	       "second or more after the machines were in touch again; %llu of "
	       "their requests were accepted and never answered",
	       (unsigned long long)broken, (unsigned long long)broken_later,
	       (unsigned long long)late_lost);
	record_requests();
	if (answered * 10 < request_count * 8)
		return 2;
	return broken > 0 ? 1 : 0;
}
