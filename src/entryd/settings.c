#include "settings.h"

#include "carobtrail/errors.h"

#include <string.h>

#define DEPLOYMENT_MAX	       63
#define IP_TEXT_MAX	       45
#define TRACE_ONE_IN_MAX       1000000000
#define DRAIN_LIMIT_MS_MAX     3600000
#define DRAIN_LIMIT_MS_DEFAULT 60000

static const char *const keys[] = {
	"instance",	"zone",
	"deployment",	"service_ip",
	"relay",	"relay_advertised",
	"control",	"control_advertised",
	"platform",	"seeds",
	"secret",	"trace_collector",
	"trace_one_in", "drain_limit_ms",
	"log_level",
};

static int read_identity(entryd_settings_t *out, const carob_json_node_t *root)
{
	carob_json_node_t node;
	uint64_t value;
	int error;

	error = carob_json_get_u64(&value, root, "instance", 1, UINT32_MAX);
	if (error)
		return error;
	out->instance = (uint32_t)value;
	error = carob_json_get(&node, root, "zone");
	if (!error)
		error = carob_json_zone(&out->zone, &node);
	if (!error)
		error = carob_json_get(&node, root, "deployment");
	if (!error)
		error = carob_json_name(&out->deployment, &node,
					DEPLOYMENT_MAX);
	return error;
}

static int read_ip(carob_addr_t *out, const carob_json_node_t *root)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_json_node_t node;
	carob_str_t ip;
	int error;

	error = carob_json_get(&node, root, "service_ip");
	if (!error)
		error = carob_json_str(&ip, &node, 1, IP_TEXT_MAX);
	if (error)
		return error;
	error = carob_buf_printf(
		&text, memchr(ip.ptr, ':', ip.len) ? "[%.*s]:1" : "%.*s:1",
		(int)ip.len, ip.ptr);
	if (error)
		return error;
	if (carob_addr_parse(out, carob_buf_view(&text)) != 0)
		return carob_json_expected(&node, "an IP address");
	out->port = 0;
	return 0;
}

static int read_addr_or(carob_addr_t *out, const carob_json_node_t *root,
			const char *key, const carob_addr_t *fallback)
{
	carob_json_node_t node;

	*out = *fallback;
	if (!carob_json_find(&node, root, key))
		return 0;
	return carob_json_addr(out, &node);
}

static int read_addresses(entryd_settings_t *out, const carob_json_node_t *root)
{
	static const carob_addr_t none;
	int error;

	error = read_ip(&out->service_ip, root);
	if (!error)
		error = carob_json_get_addr(&out->relay, root, "relay");
	if (!error)
		error = read_addr_or(&out->relay_advertised, root,
				     "relay_advertised", &out->relay);
	if (!error)
		error = carob_json_get_addr(&out->control, root, "control");
	if (!error)
		error = read_addr_or(&out->control_advertised, root,
				     "control_advertised", &out->control);
	if (!error)
		error = read_addr_or(&out->platform, root, "platform", &none);
	if (!error)
		error = read_addr_or(&out->collector, root, "trace_collector",
				     &none);
	return error;
}

static int read_seeds(entryd_settings_t *out, const carob_json_node_t *root)
{
	carob_json_node_t array;
	int error;

	if (!carob_json_find(&array, root, "seeds"))
		return 0;
	error = carob_json_array(&out->seed_count, &array, 0,
				 CAROB_GOSSIP_SEEDS_MAX);
	for (size_t i = 0; !error && i < out->seed_count; i++) {
		carob_json_node_t node = carob_json_at(&array, i);

		error = carob_json_addr(&out->seeds[i], &node);
	}
	return error;
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

/* Sets the error of an invalid secret. Unlike other settings errors it does
 * not contain the value, so that the secret does not get into a log. */
static int invalid_secret(void)
{
	return carob_error_set(CAROB_EINVALID,
			       "settings: secret: expected %d hexadecimal "
			       "digits, lower case",
			       2 * CAROB_KEY_BYTES);
}

static int read_secret(entryd_settings_t *out, const carob_json_node_t *root)
{
	carob_json_node_t node;
	const char *text;
	int error;

	error = carob_json_get(&node, root, "secret");
	if (error)
		return error;
	text = json_string_value(node.value);
	if (!text || strlen(text) != 2 * CAROB_KEY_BYTES)
		return invalid_secret();
	for (size_t i = 0; i < CAROB_KEY_BYTES; i++) {
		int high = hex_digit(text[2 * i]);
		int low = hex_digit(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return invalid_secret();
		out->secret[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

static int read_limits(entryd_settings_t *out, const carob_json_node_t *root)
{
	uint64_t value;
	int error;

	error = carob_json_get_u64_or(&value, root, "trace_one_in", 0,
				      TRACE_ONE_IN_MAX, 0);
	if (error)
		return error;
	out->trace_one_in = (uint32_t)value;
	error = carob_json_get_u64_or(&value, root, "drain_limit_ms", 0,
				      DRAIN_LIMIT_MS_MAX,
				      DRAIN_LIMIT_MS_DEFAULT);
	if (error)
		return error;
	out->drain_limit_ms = (uint32_t)value;
	return 0;
}

int entryd_settings_read(entryd_settings_t *out, const carob_json_node_t *root)
{
	int error;

	memset(out, 0, sizeof(*out));
	error = carob_json_object(root, keys, CAROB_ARRAY_SIZE(keys));
	if (!error)
		error = read_identity(out, root);
	if (!error)
		error = read_addresses(out, root);
	if (!error)
		error = read_secret(out, root);
	if (!error)
		error = read_seeds(out, root);
	if (!error)
		error = read_limits(out, root);
	return error;
}
