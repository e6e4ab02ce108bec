/* The configuration changes in quick succession, and each version replaces the
 * routes that the one before had added. Without the disruption each version
 * keeps them and changes their time-outs. In both, one more route is replaced
 * each 0.4 s of a storm, and clients try those that were dropped. */
#include "bed.h"

#include <stdio.h>

#define STORMS	  6
#define CHANGES	  25 /* of one storm: 2 s, one each 0.08 s */
#define GAP_S	  0.08
#define PAUSE_S	  4.0
#define ROUTES	  350 /* that a version adds */
#define END_S	  65.0
#define APPLY_S	  3.0 /* config_apply_ms */
#define CONTACT_S 4.0 /* contact_ms */
#define REQUEST_S 0.1
#define REQUESTS  2400
#define PORT	  8443 /* of the route that all versions have */
/* Routes of which each is in so many versions in a row. */
#define MARK_PORT     9000
#define MARK_VERSIONS 5
#define MARKS	      (STORMS * CHANGES / MARK_VERSIONS + 2)
#define MARKS_TRIED   5
#define MARK_TRY_S    0.2

static int requests[REQUESTS], tries[REQUESTS];
static int request_count, try_count;
static double next_request, next_try;
static double dropped_s[MARKS]; /* acknowledgement; 0: not dropped */
static double worst[BED_INSTANCES_MAX];

static void try_dropped(double now)
{
	int tried = 0;

	if (now < next_try)
		return;
	next_try = now + MARK_TRY_S;
	for (int i = MARKS - 1; i >= 0 && tried < MARKS_TRIED; i--) {
		if (dropped_s[i] == 0 || now < dropped_s[i] + APPLY_S ||
		    try_count == REQUESTS)
			continue;
		tries[try_count++] = bed_open(
			bed_ip(200), (unsigned)(MARK_PORT + i), false, -1);
		tried++;
	}
}

static void send_requests(double now)
{
	if (now > END_S - 3)
		return;
	try_dropped(now);
	if (now < next_request || request_count == REQUESTS)
		return;
	next_request = now + REQUEST_S;
	requests[request_count++] = bed_open(bed_ip(200), PORT, false, -1);
}

static void run(double until)
{
	while (bed_now() < until) {
		send_requests(bed_now());
		bed_run(bed_now() + 0.005);
		for (int i = 0; i < bed_instance_count; i++) {
			double silent = bed_now() - bed_instances[i].last_ready;

			if (silent > worst[i])
				worst[i] = silent;
		}
	}
}

static void publish(unsigned number)
{
	unsigned mark = number / MARK_VERSIONS;
	char ip[16];

	bed_routes_begin(ROUTES + 2);
	snprintf(ip, sizeof(ip), "%s", bed_ip_text(bed_ip(200)));
	bed_route(ip, PORT, "huvo11a", 1500);
	bed_route(ip, MARK_PORT + mark, "huvo11a", 1500);
	for (unsigned i = 0; i < ROUTES; i++) {
		unsigned n = bed_trouble ? number * ROUTES + i : i;

		snprintf(ip, sizeof(ip), "127.1.%u.%u", n / 200 % 250,
			 1 + n % 200);
		bed_route(ip, 1024 + n / 50000, "huvo11a", 1500 + number % 100);
	}
	bed_publish(number + 1);
	if (mark == 0 || dropped_s[mark - 1] > 0)
		return;
	dropped_s[mark - 1] = bed_now();
	bed_record("version %u is acknowledged: the route on port %u is "
		   "dropped",
		   number + 1, MARK_PORT + mark - 1);
}

static int count(const int *flows, int flow_count, bed_result_t result)
{
	int sum = 0;

	for (int i = 0; i < flow_count; i++)
		sum += bed_flows[flows[i]].result == result;
	return sum;
}

void scenario(void)
{
	unsigned number = 0;
	bool hung = false;
	int ran, lost;

	bed_start_host("i-7f3a91c2", "huvo11a");
	bed_start_host("i-4b0c77e1", "huvo11a");
	publish(number++);
	bed_start_instance();
	bed_start_instance();
	bed_wait_ready(15);
	for (int i = 0; i < bed_instance_count; i++)
		bed_instances[i].last_ready = bed_now();
	run(bed_now() + 2);
	for (int storm = 1; storm <= STORMS; storm++) {
		for (int i = 0; i < CHANGES; i++) {
			publish(number++);
			run(bed_now() + GAP_S);
		}
		bed_record("version %u is acknowledged, the last one of storm "
			   "%d",
			   number, storm);
		run(bed_now() + PAUSE_S);
	}
	run(END_S);
	ran = count(tries, try_count, BED_SERVED);
	lost = count(requests, request_count, BED_NO_ANSWER);
	for (int i = 0; i < bed_instance_count; i++) {
		bed_record(
			"instance %d did not answer GET /v1/ready for %.1f s",
			i, worst[i]);
		hung |= worst[i] > CONTACT_S;
	}
	bed_record("%d requests on the route that all versions have: %d "
		   "served, %d reset, %d never answered",
		   request_count, count(requests, request_count, BED_SERVED),
		   count(requests, request_count, BED_RESET_BY_SYSTEM), lost);
	bed_record("sent more than %.0f s after the acknowledgement: %d of %d "
		   "requests on dropped routes are run",
		   APPLY_S, ran, try_count);
	bed_exit(ran > 0 || (hung && lost > 0));
}
