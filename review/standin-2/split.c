/* A configuration whose route splits its flows over nine services; without the
 * disruption over eight of them. */
#include "bed.h"

#include <signal.h>
#include <stdio.h>

#define SERVICES   9
#define APPLY_S	   3.0 /* config_apply_ms */
#define RECOVERY_S 12.0

static const char *const names[SERVICES] = {"huvo11a", "wuno96b", "dele69a",
					    "xano55b", "zigo56a", "gopu72b",
					    "kema31a", "tiru08b", "velo44a"};
static const unsigned weights[SERVICES] = {20, 10, 10, 10, 10, 10, 10, 10, 10};

enum {
	REQUESTS = 40
};

static int open_flows_on(unsigned port, int first[REQUESTS])
{
	for (int i = 0; i < REQUESTS; i++) {
		first[i] = bed_open(bed_ip(200), port, false, -1);
		bed_run(bed_now() + 0.05);
	}
	bed_run(bed_now() + 2.5);
	return REQUESTS;
}

/* Stops the instances in turn, as planned, and starts them again. */
static void roll(void)
{
	for (int i = 0; i < bed_instance_count; i++) {
		bed_signal(i, SIGTERM);
		while (bed_instances[i].pid > 0)
			bed_run(bed_now() + 0.1);
		bed_start_process(i);
		bed_run(bed_now() + 3);
	}
	bed_run(bed_now() + RECOVERY_S);
}

void scenario(void)
{
	char route[16];
	int old_route[REQUESTS], new_route[REQUESTS], gone_route[REQUESTS];
	int before = 0, refused = 0, dropped_ran = 0, after = 0;
	char id[32];
	size_t shares = bed_trouble ? SERVICES : SERVICES - 1;

	snprintf(route, sizeof(route), "%s", bed_ip_text(bed_ip(200)));
	for (int i = 0; i < SERVICES; i++) {
		snprintf(id, sizeof(id), "i-%02x3fa91c%02x", 0x71 + 13 * i,
			 0x20 + 7 * i);
		bed_start_host(id, names[i]);
	}
	bed_routes_begin(2);
	bed_route(route, 8443, names[0], 1500);
	bed_route(route, 8080, names[1], 2000);
	bed_publish(7);
	bed_start_instance();
	bed_start_instance();
	bed_wait_ready(15);
	open_flows_on(8443, old_route);
	for (int i = 0; i < REQUESTS; i++)
		before += bed_flows[old_route[i]].result == BED_SERVED;
	bed_record("version 7: %d of %d requests are served", before, REQUESTS);
	if (before < REQUESTS * 9 / 10)
		bed_exit(2);
	/* Adds a route, and drops the one on port 8080. */
	bed_routes_begin(2);
	bed_route(route, 8443, names[0], 1500);
	bed_route_split(route, 9443, names, weights, shares);
	bed_publish(12);
	bed_record("version 12 is acknowledged: a route on port 9443 over %zu "
		   "services is new, the one on port 8080 is dropped",
		   shares);
	bed_run(bed_now() + APPLY_S + 3);
	open_flows_on(9443, new_route);
	open_flows_on(8080, gone_route);
	for (int i = 0; i < REQUESTS; i++) {
		refused += bed_flows[new_route[i]].result != BED_SERVED;
		dropped_ran += bed_flows[gone_route[i]].result == BED_SERVED;
	}
	bed_record("sent more than %.0f s after the acknowledgement: %d of %d "
		   "requests on the new route are refused, %d of %d on the "
		   "dropped route are run",
		   APPLY_S + 3, refused, REQUESTS, dropped_ran, REQUESTS);
	roll();
	open_flows_on(8443, old_route);
	for (int i = 0; i < REQUESTS; i++)
		after += bed_flows[old_route[i]].result == BED_SERVED;
	bed_record("sent %.0f s after both instances were restarted: %d of %d "
		   "requests on the route that both versions have are served",
		   RECOVERY_S, after, REQUESTS);
	bed_exit(refused > 0 || dropped_ran > 0 || after < REQUESTS / 4);
}
