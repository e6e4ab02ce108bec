#include "carobtrail/errors.h"
#include "fabric.h"

#include <inttypes.h>

#define GROUP_LEN_MAX	31
#define FREEZE_MAX	100000
#define FAULT_KEY_COUNT 9

/* A command with the keys that its object may have. */
typedef struct command_spec {
	const char *name;
	const char *keys[FAULT_KEY_COUNT];
	size_t key_count;
	int (*run)(fabric_t *fabric, carob_buf_t *response,
		   const carob_json_node_t *root);
} command_spec_t;

static void update_tcp(fabric_t *fabric)
{
	for (size_t i = 0; i < fabric->tcp_count; i++)
		tcp_relay_update(fabric->tcp[i]);
}

static int get_group(carob_str_t *out, const carob_json_node_t *root,
		     const char *key)
{
	return carob_json_get_str(out, root, key, 1, GROUP_LEN_MAX);
}

static int run_fault(fabric_t *fabric, carob_buf_t *response,
		     const carob_json_node_t *root)
{
	fabric_faults_t faults;
	carob_str_t from;
	carob_str_t to;
	int error;

	(void)response;
	error = get_group(&from, root, "from");
	if (!error)
		error = get_group(&to, root, "to");
	if (!error)
		error = fabric_faults_read(&faults, root);
	if (!error)
		error = fabric_links_set(fabric->links, from, to, &faults);
	if (!error)
		update_tcp(fabric);
	return error;
}

/* Cuts or heals both directions between two groups. */
static int run_cut(fabric_t *fabric, carob_buf_t *response,
		   const carob_json_node_t *root)
{
	fabric_faults_t faults = {0};
	carob_str_t a;
	carob_str_t b;
	bool on;
	int error;

	(void)response;
	error = get_group(&a, root, "from");
	if (!error)
		error = get_group(&b, root, "to");
	if (!error)
		error = carob_json_get_bool_or(&on, root, "on", true);
	if (error)
		return error;
	faults.drop = on ? 1 : 0;
	error = fabric_links_set(fabric->links, a, b, &faults);
	if (!error)
		error = fabric_links_set(fabric->links, b, a, &faults);
	if (!error)
		update_tcp(fabric);
	return error;
}

static int run_heal(fabric_t *fabric, carob_buf_t *response,
		    const carob_json_node_t *root)
{
	(void)response;
	(void)root;
	fabric_links_clear(fabric->links);
	update_tcp(fabric);
	return 0;
}

static int find_relay(udp_relay_t **out, const fabric_t *fabric,
		      const carob_json_node_t *root)
{
	carob_str_t name;
	int error;

	error = carob_json_get_str(&name, root, "relay", 1, GROUP_LEN_MAX);
	if (error)
		return error;
	for (size_t i = 0; i < fabric->udp_count; i++) {
		if (carob_str_eq(name, udp_relay_name(fabric->udp[i]))) {
			*out = fabric->udp[i];
			return 0;
		}
	}
	return carob_error_set(CAROB_ENOTFOUND, "unknown relay \"%.*s\"",
			       (int)name.len, name.ptr);
}

static int run_targets(fabric_t *fabric, carob_buf_t *response,
		       const carob_json_node_t *root)
{
	carob_addr_t targets[FABRIC_TARGETS_MAX];
	udp_relay_t *relay = NULL;
	size_t count;
	int error;

	(void)response;
	error = find_relay(&relay, fabric, root);
	if (!error)
		error = fabric_read_targets(targets, &count, root);
	if (!error)
		udp_relay_set_targets(relay, targets, count);
	return error;
}

/* Enables or disables the targets with an IP address; the port of "address"
 * is ignored. */
static int run_enable(fabric_t *fabric, carob_buf_t *response,
		      const carob_json_node_t *root)
{
	udp_relay_t *relay = NULL;
	carob_addr_t addr;
	bool on;
	int error;

	(void)response;
	error = find_relay(&relay, fabric, root);
	if (!error)
		error = carob_json_get_addr(&addr, root, "address");
	if (!error)
		error = carob_json_get_bool_or(&on, root, "on", true);
	if (!error)
		udp_relay_enable(relay, &addr, on);
	return error;
}

static int run_freeze(fabric_t *fabric, carob_buf_t *response,
		      const carob_json_node_t *root)
{
	carob_addr_t client = {0};
	carob_json_node_t node;
	udp_relay_t *relay = NULL;
	uint64_t count;
	int error;

	error = find_relay(&relay, fabric, root);
	if (!error && carob_json_find(&node, root, "client"))
		error = carob_json_addr(&client, &node);
	if (!error)
		error = carob_json_get_u64_or(&count, root, "count", 1,
					      FREEZE_MAX, 1);
	if (error)
		return error;
	return carob_buf_printf(response, ",\"frozen\":%zu",
				udp_relay_freeze(relay, &client, count));
}

static int run_status(fabric_t *fabric, carob_buf_t *response,
		      const carob_json_node_t *root)
{
	(void)root;
	carob_buf_printf(response, ",\"relays\":{");
	for (size_t i = 0; i < fabric->udp_count; i++) {
		const udp_relay_counters_t *counters =
			udp_relay_counters(fabric->udp[i]);
		carob_str_t name = udp_relay_name(fabric->udp[i]);

		carob_buf_printf(response,
				 "%s\"%.*s\":{\"forwarded\":%" PRIu64
				 ",\"dropped\":%" PRIu64 ",\"clients\":%" PRIu64
				 "}",
				 i ? "," : "", (int)name.len, name.ptr,
				 counters->forwarded, counters->dropped,
				 counters->clients);
	}
	return carob_buf_printf(response, "}");
}

static const command_spec_t command_specs[] = {
	{"fault",
	 {"command", "from", "to", "drop", "duplicate", "reorder", "reorder_ms",
	  "delay_ms", "jitter_ms"},
	 9,
	 run_fault},
	{"cut", {"command", "from", "to", "on"}, 4, run_cut},
	{"heal", {"command"}, 1, run_heal},
	{"targets", {"command", "relay", "targets"}, 3, run_targets},
	{"enable", {"command", "relay", "address", "on"}, 4, run_enable},
	{"freeze", {"command", "relay", "client", "count"}, 4, run_freeze},
	{"status", {"command"}, 1, run_status},
};

int fabric_command(carob_buf_t *response, void *context,
		   const carob_json_node_t *root)
{
	size_t index;
	int error = carob_command_choose(&index, root, command_specs,
					 sizeof(command_specs[0]),
					 CAROB_ARRAY_SIZE(command_specs));

	if (!error)
		error = carob_json_object(root, command_specs[index].keys,
					  command_specs[index].key_count);
	return error ? error
		     : command_specs[index].run(context, response, root);
}
