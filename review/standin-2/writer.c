/* Another writer leaves an entry in the store whose id has the digits of a
 * host's and whose service isn't named, then an instance is stopped as planned.
 * Without the disruption the entry isn't written. */
#include "bed.h"

#include <signal.h>

#define FLOWS	  40
#define NEW_FLOWS 20
#define REORDER_S 2.0 /* flow_reorder_ms */

void scenario(void)
{
	static const char id[] = "i-18ca9fbafc";
	int flows[FLOWS], more[NEW_FLOWS], open = 0, resets = 0, astray = 0;
	int lost = 0, served = 0;

	bed_start_host(id, "huvo11a");
	bed_start_host("i-90d2a315e7", "wuno96b");
	bed_routes_begin(2);
	bed_route(bed_ip_text(bed_ip(200)), 8443, "huvo11a", 3000);
	bed_route(bed_ip_text(bed_ip(200)), 8080, "wuno96b", 3000);
	bed_publish(7);
	bed_start_instance();
	bed_start_instance();
	bed_wait_ready(15);
	for (int i = 0; i < FLOWS; i++) {
		flows[i] = bed_open(bed_ip(200), 8443, true, -1);
		bed_run(bed_now() + 0.1);
	}
	bed_run(bed_now() + 4);
	for (int i = 0; i < FLOWS; i++)
		open += bed_flows[flows[i]].opened &&
			!bed_flows[flows[i]].closed;
	bed_record("%d flows are open at host %s", open, id);
	if (open < FLOWS)
		bed_exit(2);
	if (bed_trouble)
		bed_write_entry("servers/mirror-18ca9fbafc", "mirrored",
				bed_hosts[1].ip);
	bed_run(bed_now() + 6);
	for (int i = 0; i < NEW_FLOWS; i++) {
		more[i] = bed_open(bed_ip(200), 8443, false, -1);
		bed_run(bed_now() + 0.1);
	}
	bed_run(bed_now() + 3);
	for (int i = 0; i < NEW_FLOWS; i++)
		served += bed_flows[more[i]].result == BED_SERVED;
	bed_record("%d of %d requests on new flows are served", served,
		   NEW_FLOWS);
	bed_signal(0, SIGTERM);
	bed_run(bed_now() + 10);
	for (int i = 0; i < FLOWS; i++) {
		const bed_flow_t *flow = &bed_flows[flows[i]];

		resets += flow->closed && flow->result == BED_RESET_BY_SYSTEM;
		lost += flow->closed && flow->result == BED_NO_ANSWER;
		astray += flow->astray >= 3 &&
			  bed_now() - flow->astray_since > REORDER_S;
	}
	bed_record("of %d open flows of host %s, which lives: %d were reset by "
		   "the system; of %d, three or more packets reached another "
		   "host and none its own for %.0f s and more; %d requests "
		   "were never answered",
		   FLOWS, id, resets, astray, REORDER_S, lost);
	bed_exit(resets > 0 || astray > 0);
}
