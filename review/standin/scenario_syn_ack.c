/*
 * One SYN+ACK in a hundred is lost. The copy of the SYN goes to a second host,
 * and the client gets two SYN+ACKs. Later the instances are restarted in turn.
 * Checked: FLOW.
 */
#include "standin.h"

#include <stdlib.h>

#define HOSTS	  6
#define OPEN_MS	  25 /* between two new flows */
#define REQUESTS  8  /* on each flow */
#define LENGTH_MS 60000

static const route_t route = {.ip = 0xc6120001,
			      .port = 443,
			      .type = "unsafe",
			      .service = "fieldline",
			      .timeout_ms = 2000,
			      .target_ms = 300,
			      .priority = 1};
static uint64_t next_ms;
static uint64_t host_resets;

static void open_flows(void)
{
	for (; next_ms <= now_ms(); next_ms += OPEN_MS)
		client_send(&route, REQUESTS);
}

static void note_host_reset(const host_t *host, const host_t *holder,
			    uint64_t request)
{
	host_resets++;
	record("request %llu: its packet reached %s, which reset the flow; the "
	       "flow is open at %s, which lives",
	       (unsigned long long)request, host->id, holder->id);
}

int scenario_syn_ack(bool trouble)
{
	uint64_t answered = 0, lost = 0, reset = 0;

	store_start();
	config_put(1, &route, 1);
	clients_start(12);
	for (int i = 0; i < HOSTS; i++)
		host_start(host_add("fieldline", "macon-a", 3, 20));
	on_host_reset = note_host_reset;
	if (trouble)
		syn_ack_loss = 100;
	wait_ready();
	next_ms = now_ms();
	run_until(now_ms() + LENGTH_MS, open_flows);
	run_until(now_ms() + 3000, NULL);
	/* Flows go on to the end: the last requests are still in progress. */
	for (size_t i = 0; i < request_count; i++) {
		if (requests[i].sent_ms + route.timeout_ms > now_ms())
			continue;
		answered += requests[i].answered;
		lost += requests[i].opened && !requests[i].answered;
		reset += requests[i].reset_open;
	}
	record("%zu requests: %llu answered, %llu sent on an open flow and "
	       "never "
	       "answered",
	       request_count, (unsigned long long)answered,
	       (unsigned long long)lost);
	record("%llu SYN+ACKs were lost, of %llu datagrams that hosts and "
	       "clients sent",
	       (unsigned long long)syn_acks_lost,
	       (unsigned long long)datagrams);
	record("FLOW broken: %llu flows reset by a host that is not theirs, "
	       "%llu "
	       "by the system; %llu clients got a reset",
	       (unsigned long long)host_resets, (unsigned long long)open_resets,
	       (unsigned long long)reset);
	record_requests();
	if (answered * 10 < request_count * 8)
		return 2;
	return host_resets + open_resets > 0 ? 1 : 0;
}
