/* A host is added whose id has the same steering tag as that of another one,
 * then an instance is stopped as planned. Without the disruption neither
 * happens. */
#include "bed.h"

#include <signal.h>

#define FLOWS 40

void scenario(void)
{
	/* 0x18 ^ 0xca9fbafc == 0x5d ^ 0xca9fbab9 */
	static const char old_id[] = "i-18ca9fbafc", new_id[] = "i-5dca9fbab9";
	int flows[FLOWS], foreign = 0, open = 0;

	bed_start_host(old_id, "huvo11a");
	bed_routes_begin(1);
	bed_route(bed_ip_text(bed_ip(200)), 8443, "huvo11a", 1500);
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
	bed_record("%d flows are open at host %s", open, old_id);
	if (open < FLOWS)
		bed_exit(2);
	if (bed_trouble) {
		bed_start_host(new_id, "huvo11a");
		bed_run(bed_now() + 6);
		bed_signal(0, SIGTERM);
	}
	bed_run(bed_now() + 8);
	for (int i = 0; i < FLOWS; i++) {
		const bed_flow_t *flow = &bed_flows[flows[i]];

		foreign += flow->closed && flow->result == BED_RESET_BY_HOST &&
			   flow->last_host != 0;
	}
	bed_record("%d of %d open flows of host %s were reset, and not by it; "
		   "it lives",
		   foreign, FLOWS, old_id);
	bed_exit(foreign > 0);
}
