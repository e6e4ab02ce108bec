#include "settings.h"

#include "carobtrail/errors.h"

#include <string.h>

/* Maximum length of the name of an instance or a zone. */
#define NAME_MAX_BYTES 255
/* The defaults are the bounds of the platform's smallest deployments. */
#define CONTACT_MS_DEFAULT   4000
#define APPLY_MS_DEFAULT     3000
#define STOP_GRACE_S_DEFAULT 6
#define DURATION_MS_MIN	     100
#define DURATION_MS_MAX	     3600000
#define STOP_GRACE_S_MIN     1
#define STOP_GRACE_S_MAX     3600
#define MS_PER_S	     1000
#define LINK_MBPS_MAX	     1000000
/* With fewer upstreams the platform serves all instances at little cost, and
 * the leases of readers would cost as much as they save. */
#define RELAY_UPSTREAMS_DEFAULT 100
#define RELAY_UPSTREAMS_MAX	1000000
#define COLD_OVERAGE_MAX	1000
#define COLD_SLACK_MAX		1000000
/* At least the number of instances of the deployments with fewest resources:
 * with a number that is too low, the sum over the instances exceeds the bound
 * on new flows to a cold upstream. */
#define PACE_INSTANCES_DEFAULT 150
#define PACE_INSTANCES_MAX     1000000

static const char *const keys[] = {
	"instance",	   "zone",	   "packets",	   "readiness",
	"metrics",	   "store",	   "first_start",  "contact_ms",
	"apply_ms",	   "stop_grace_s", "log_level",	   "relay",
	"relay_upstreams", "link_mbps",	   "cold_overage", "cold_slack",
	"pace_instances",  "share_load",
};

static int read_identity(flowd_settings_t *out, const carob_json_node_t *root)
{
	int error = carob_json_get_str(&out->instance, root, "instance", 1,
				       NAME_MAX_BYTES);

	if (!error)
		error = carob_json_get_str(&out->zone, root, "zone", 1,
					   NAME_MAX_BYTES);
	return error;
}

static int read_addresses(flowd_settings_t *out, const carob_json_node_t *root)
{
	carob_json_node_t node;
	int error;

	error = carob_json_get_addr(&out->packets, root, "packets");
	if (!error)
		error = carob_json_get_addr(&out->readiness, root, "readiness");
	if (!error)
		error = carob_json_get_addr(&out->store, root, "store");
	if (!error && carob_json_find(&node, root, "metrics"))
		error = carob_json_addr(&out->metrics, &node);
	if (!error && carob_json_find(&node, root, "relay"))
		error = carob_json_addr(&out->relay, &node);
	return error;
}

static int read_relay_upstreams(flowd_settings_t *out,
				const carob_json_node_t *root)
{
	uint64_t upstreams = RELAY_UPSTREAMS_DEFAULT;
	int error = carob_json_get_u64_or(&upstreams, root, "relay_upstreams",
					  1, RELAY_UPSTREAMS_MAX,
					  RELAY_UPSTREAMS_DEFAULT);

	out->relay_upstreams = (uint32_t)upstreams;
	return error;
}

static int read_share_load(flowd_settings_t *out, const carob_json_node_t *root)
{
	int error = carob_json_get_bool_or(&out->share_load, root, "share_load",
					   false);

	if (!error && out->share_load && !out->relay.family)
		return carob_error_set(CAROB_EINVALID,
				       "share_load: expected false, since "
				       "there is no relay");
	return error;
}

/* Reads a duration in milliseconds. The platform may give a fraction; it is
 * rounded down. */
static int read_duration(uint32_t *out, const carob_json_node_t *root,
			 const char *key, double fallback)
{
	double value;
	int error = carob_json_get_real_or(&value, root, key, DURATION_MS_MIN,
					   DURATION_MS_MAX, fallback);

	*out = (uint32_t)value;
	return error;
}

static int read_durations(flowd_settings_t *out, const carob_json_node_t *root)
{
	double grace_s = STOP_GRACE_S_DEFAULT;
	int error;

	error = read_duration(&out->contact_ms, root, "contact_ms",
			      CONTACT_MS_DEFAULT);
	if (!error)
		error = read_duration(&out->apply_ms, root, "apply_ms",
				      APPLY_MS_DEFAULT);
	if (!error)
		error = carob_json_get_real_or(&grace_s, root, "stop_grace_s",
					       STOP_GRACE_S_MIN,
					       STOP_GRACE_S_MAX,
					       STOP_GRACE_S_DEFAULT);
	out->stop_grace_ms = (uint32_t)(grace_s * MS_PER_S);
	return error;
}

static int read_pace(flowd_settings_t *out, const carob_json_node_t *root)
{
	uint64_t instances = PACE_INSTANCES_DEFAULT;
	carob_json_node_t node;
	int error = 0;

	/* Without the key the pace is off, which no valid value means. */
	if (carob_json_find(&node, root, "cold_overage"))
		error = carob_json_get_real_or(&out->cold_overage, root,
					       "cold_overage", 1,
					       COLD_OVERAGE_MAX, 1);
	if (!error)
		error = carob_json_get_real_or(&out->cold_slack, root,
					       "cold_slack", 0, COLD_SLACK_MAX,
					       0);
	if (!error)
		error = carob_json_get_u64_or(&instances, root,
					      "pace_instances", 1,
					      PACE_INSTANCES_MAX,
					      PACE_INSTANCES_DEFAULT);
	out->pace_instances = (uint32_t)instances;
	return error;
}

int flowd_settings_read(flowd_settings_t *out, const carob_json_node_t *root)
{
	int error;

	memset(out, 0, sizeof(*out));
	error = carob_json_object(root, keys, CAROB_ARRAY_SIZE(keys));
	if (!error)
		error = read_identity(out, root);
	if (!error)
		error = read_addresses(out, root);
	if (!error)
		error = read_relay_upstreams(out, root);
	if (!error)
		error = read_share_load(out, root);
	if (!error)
		error = read_durations(out, root);
	if (!error)
		error = carob_json_get_real_or(&out->link_mbps, root,
					       "link_mbps", 0, LINK_MBPS_MAX,
					       0);
	if (!error)
		error = read_pace(out, root);
	if (!error)
		error = carob_json_get_bool_or(&out->first_start, root,
					       "first_start", false);
	return error;
}
