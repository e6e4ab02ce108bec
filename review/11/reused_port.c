/* Case 11: a client uses a port again after its flow has ended, while another
 * machine still remembers the ended flow. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUTE	   0
#define FLOWS	   16
#define HOSTS	   6
#define FIRST	   0 /* the machine that is there all the time */
#define SECOND	   1 /* the machine that is added, and stopped later */
#define CONTACT_MS 4000
#define PAUSE_MS   2000 /* between the flows of one port */

static bool is_in_rotation(void *arg)
{
	return sim_machines[*(int *)arg].in_rotation;
}

static bool all_answered(void *arg)
{
	(void)arg;
	for (int i = 0; i < FLOWS; i++)
		if (sim_flows[i].state == SIM_FLOW_OPEN && sim_flows[i].request)
			return false;
	return true;
}

static bool all_open(void *arg)
{
	(void)arg;
	for (int i = 0; i < FLOWS; i++)
		if (sim_flows[i].state != SIM_FLOW_OPEN)
			return false;
	return true;
}

static bool all_closed(void *arg)
{
	(void)arg;
	for (int i = 0; i < FLOWS; i++)
		if (sim_flows[i].state != SIM_FLOW_CLOSED)
			return false;
	return true;
}

static void give_up(const char *why)
{
	sim_note("cannot run: %s", why);
	fprintf(stderr, "cannot run: %s\n", why);
	sim_end();
	exit(2);
}

static void start_and_wait(int machine)
{
	sim_add_machine("hou-a");
	sim_start_machine(machine);
	if (!sim_wait(is_in_rotation, &machine, 10000))
		give_up("a machine is not ready");
}

static void request_all(bool close)
{
	for (int i = 0; i < FLOWS; i++)
		if (sim_flows[i].state == SIM_FLOW_OPEN)
			sim_request(&sim_flows[i], close);
	(void)sim_wait(all_answered, NULL, 5000);
}

static void open_all(const uint16_t *ports)
{
	for (int i = 0; i < FLOWS; i++)
		sim_open(&sim_flows[i], ports[i], ROUTE);
	if (!sim_wait(all_open, NULL, 3000))
		give_up("the flows do not open");
}

/* Flows that were reset by another sender than their host, or whose packets
 * reached other hosts only. */
static int judge(void)
{
	int broken = 0;

	for (int i = 0; i < FLOWS; i++) {
		const sim_flow_t *flow = &sim_flows[i];
		char own[48];

		snprintf(own, sizeof(own), "host %d", flow->host);
		if (flow->state == SIM_FLOW_RESET &&
		    strcmp(flow->reset_by, own) != 0) {
			sim_note("FLOW (a): the flow of port %u, open at host "
				 "%d, was reset by %s",
				 flow->port, flow->host, flow->reset_by);
			broken++;
		} else if (flow->at_other >= 3 && flow->at_own == 0) {
			sim_note("FLOW (b): %d packets of port %u reached "
				 "other hosts, and none host %d",
				 flow->at_other, flow->port, flow->host);
			broken++;
		}
	}
	return broken;
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	bool disrupt = !trouble || strcmp(trouble, "0") != 0;
	uint16_t ports[FLOWS];
	int second = SECOND;
	int answered = 0;
	int count = 0;
	int broken;

	sim_begin(argc > 1 ? argv[1] : "record.txt");
	sim_put_config(3, "unsafe", "berthdesk", 0, 0);
	for (int i = 0; i < HOSTS; i++)
		sim_add_host("berthdesk", "hou-a");
	start_and_wait(FIRST);
	if (!disrupt)
		start_and_wait(SECOND);
	sim_run(CONTACT_MS);

	/* Ports of flows that the routers give to the second machine as soon as
	 * it is there. */
	for (uint16_t port = 40001; count < FLOWS; port++)
		if (sim_route_among(port, ROUTE, 2) == SECOND)
			ports[count++] = port;
	sim_note("the first flows");
	open_all(ports);
	request_all(false);
	if (disrupt) {
		sim_note("planned: a machine is added (add_nodes)");
		start_and_wait(SECOND);
	}
	request_all(false);
	request_all(true); /* the hosts close the flows */
	if (!sim_wait(all_closed, NULL, 3000))
		give_up("the flows do not end");
	sim_run(PAUSE_MS);

	/* In another order, since a placement depends on those before it. */
	for (int i = 0; i < FLOWS / 2; i++) {
		uint16_t port = ports[i];

		ports[i] = ports[FLOWS - 1 - i];
		ports[FLOWS - 1 - i] = port;
	}
	sim_note("the ports are used again");
	open_all(ports);
	request_all(false);
	sim_run(CONTACT_MS);
	if (disrupt) {
		sim_note("planned: the added machine is stopped (roll_term)");
		sim_stop_machine(SECOND);
	}
	for (int i = 0; i < 12 && (!disrupt || is_in_rotation(&second)); i++) {
		sim_run(250);
		request_all(false);
	}
	request_all(false);
	sim_run(2500);

	broken = judge();
	for (int i = 0; i < FLOWS; i++)
		answered += sim_flows[i].state == SIM_FLOW_OPEN &&
			    sim_flows[i].request == 0;
	sim_note("%d of %d flows are open with all requests answered; %d "
		 "broke FLOW",
		 answered, FLOWS, broken);
	sim_end();
	return broken > 0 ? 1 : 0;
}
