#include "carobtrail/errors.h"
#include "fabric.h"

#include <stdlib.h>

#define RELAYS_MAX    1024
#define NAME_LEN_MAX  31
#define IP_LEN_MAX    45
#define GROUPS_MAX    64
#define GROUP_IPS_MAX 1024

static const char *const root_keys[] = {"seed",	  "command", "log_level",
					"groups", "udp",     "tcp"};
static const char *const group_keys[] = {"name", "addresses"};
static const char *const udp_keys[] = {"name", "listen", "targets"};
static const char *const tcp_keys[] = {"name", "listen", "target"};

static int read_name(carob_str_t *out, const carob_json_node_t *object)
{
	carob_json_node_t node;
	int error;

	error = carob_json_get(&node, object, "name");
	return error ? error : carob_json_name(out, &node, NAME_LEN_MAX);
}

static int read_group(fabric_t *fabric, const carob_json_node_t *node)
{
	carob_json_node_t array;
	carob_str_t name;
	size_t count = 0;
	int error;

	error = carob_json_object(node, group_keys,
				  CAROB_ARRAY_SIZE(group_keys));
	if (!error)
		error = read_name(&name, node);
	if (!error)
		error = carob_json_get(&array, node, "addresses");
	if (!error)
		error = carob_json_array(&count, &array, 1, GROUP_IPS_MAX);
	for (size_t i = 0; !error && i < count; i++) {
		carob_json_node_t element = carob_json_at(&array, i);
		carob_str_t ip;

		error = carob_json_str(&ip, &element, 1, IP_LEN_MAX);
		if (!error)
			error = fabric_links_add_to_group(fabric->links, name,
							  ip);
	}
	return error;
}

int fabric_read_targets(carob_addr_t targets[FABRIC_TARGETS_MAX], size_t *count,
			const carob_json_node_t *object)
{
	carob_json_node_t array;
	int error;

	error = carob_json_get(&array, object, "targets");
	if (!error)
		error = carob_json_array(count, &array, 0, FABRIC_TARGETS_MAX);
	for (size_t i = 0; !error && i < *count; i++) {
		carob_json_node_t element = carob_json_at(&array, i);

		error = carob_json_addr(&targets[i], &element);
	}
	return error;
}

static int open_udp(fabric_t *fabric, const carob_json_node_t *node)
{
	udp_relay_options_t options = {
		.kernel = fabric->program.kernel,
		.hub = fabric->program.hub,
		.links = fabric->links,
	};
	carob_addr_t targets[FABRIC_TARGETS_MAX];
	size_t count;
	int error;

	error = carob_json_object(node, udp_keys, CAROB_ARRAY_SIZE(udp_keys));
	if (!error)
		error = read_name(&options.name, node);
	if (!error)
		error = carob_json_get_addr(&options.listen, node, "listen");
	if (!error)
		error = fabric_read_targets(targets, &count, node);
	if (error)
		return error;
	options.bind = options.listen;
	options.bind.port = 0;
	error = udp_relay_open(&fabric->udp[fabric->udp_count], &options);
	if (!error)
		udp_relay_set_targets(fabric->udp[fabric->udp_count++], targets,
				      count);
	return error;
}

static int open_tcp(fabric_t *fabric, const carob_json_node_t *node)
{
	carob_addr_t listen;
	carob_addr_t target;
	carob_str_t name;
	int error;

	error = carob_json_object(node, tcp_keys, CAROB_ARRAY_SIZE(tcp_keys));
	if (!error)
		error = read_name(&name, node);
	if (!error)
		error = carob_json_get_addr(&listen, node, "listen");
	if (!error)
		error = carob_json_get_addr(&target, node, "target");
	if (!error)
		error = tcp_relay_open(&fabric->tcp[fabric->tcp_count],
				       carob_loop_base(fabric->program.loop),
				       fabric->links, &listen, &target);
	if (!error)
		fabric->tcp_count++;
	return error;
}

/* Calls `open` for each element of an optional array. */
static int open_each(fabric_t *fabric, const carob_json_node_t *root,
		     const char *key, size_t max,
		     int (*open)(fabric_t *fabric,
				 const carob_json_node_t *node))
{
	carob_json_node_t array;
	size_t count;
	int error;

	if (!carob_json_find(&array, root, key))
		return 0;
	error = carob_json_array(&count, &array, 0, max);
	for (size_t i = 0; !error && i < count; i++) {
		carob_json_node_t node = carob_json_at(&array, i);

		error = open(fabric, &node);
	}
	return error;
}

static int open_command(fabric_t *fabric, const carob_json_node_t *root)
{
	carob_addr_t addr;
	int error;

	error = carob_json_get_addr(&addr, root, "command");
	if (!error)
		error = carob_command_open(&fabric->command,
					   fabric->program.hub, &addr,
					   fabric_command, fabric);
	return error;
}

int fabric_open(fabric_t *fabric)
{
	carob_json_node_t root = carob_json_doc_root(fabric->program.settings);
	uint64_t seed;
	int error;

	fabric->udp = calloc(RELAYS_MAX, sizeof(udp_relay_t *));
	fabric->tcp = calloc(RELAYS_MAX, sizeof(tcp_relay_t *));
	if (!fabric->udp || !fabric->tcp)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate relays");
	error = carob_json_object(&root, root_keys,
				  CAROB_ARRAY_SIZE(root_keys));
	if (!error)
		error = carob_json_get_u64_or(&seed, &root, "seed", 0,
					      UINT32_MAX, 1);
	if (!error)
		error = fabric_links_new(&fabric->links, seed);
	if (!error)
		error = open_each(fabric, &root, "groups", GROUPS_MAX,
				  read_group);
	if (!error)
		error = open_each(fabric, &root, "udp", RELAYS_MAX, open_udp);
	if (!error)
		error = open_each(fabric, &root, "tcp", RELAYS_MAX, open_tcp);
	if (!error)
		error = open_command(fabric, &root);
	return error;
}

void fabric_close(fabric_t *fabric)
{
	carob_command_close(fabric->command);
	for (size_t i = 0; i < fabric->udp_count; i++)
		udp_relay_close(fabric->udp[i]);
	for (size_t i = 0; i < fabric->tcp_count; i++)
		tcp_relay_close(fabric->tcp[i]);
	free(fabric->udp);
	free(fabric->tcp);
	fabric_links_free(fabric->links);
	carob_program_dispose(&fabric->program);
}
