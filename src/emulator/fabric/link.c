#include "link.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

#define GROUP_NAME_MAX	31
#define GROUPED_IPS_MAX 1024
#define RULES_MAX	256
#define MS_MAX		60000

typedef struct grouped_ip {
	char group[GROUP_NAME_MAX + 1];
	uint8_t ip[16];
	uint8_t family;
} grouped_ip_t;

typedef struct rule {
	char from[GROUP_NAME_MAX + 1];
	char to[GROUP_NAME_MAX + 1];
	fabric_faults_t faults;
} rule_t;

struct fabric_links {
	carob_rng_t rng;
	size_t ip_count;
	grouped_ip_t ips[GROUPED_IPS_MAX];
	size_t rule_count;
	rule_t rules[RULES_MAX];
};

static const fabric_faults_t no_faults;

int fabric_links_new(fabric_links_t **out, uint64_t seed)
{
	fabric_links_t *links = calloc(1, sizeof(*links));

	if (!links)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate links");
	carob_rng_init(&links->rng, seed);
	*out = links;
	return 0;
}

void fabric_links_free(fabric_links_t *links)
{
	free(links);
}

uint32_t fabric_links_random_below(fabric_links_t *links, uint32_t bound)
{
	return carob_rng_below(&links->rng, bound);
}

static void copy_name(char out[GROUP_NAME_MAX + 1], carob_str_t name)
{
	size_t len = name.len < GROUP_NAME_MAX ? name.len : GROUP_NAME_MAX;

	memcpy(out, name.ptr, len);
	out[len] = '\0';
}

int fabric_links_add_to_group(fabric_links_t *links, carob_str_t group,
			      carob_str_t ip)
{
	grouped_ip_t *grouped = &links->ips[links->ip_count];
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_addr_t addr;
	int error;

	if (links->ip_count == GROUPED_IPS_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "more than %d addresses in all groups",
				       GROUPED_IPS_MAX);
	error = carob_buf_printf(&text, "%.*s:1", (int)ip.len, ip.ptr);
	if (!error)
		error = carob_addr_parse(&addr, carob_buf_view(&text));
	if (error)
		return error;
	copy_name(grouped->group, group);
	memcpy(grouped->ip, addr.ip, sizeof(grouped->ip));
	grouped->family = addr.family;
	links->ip_count++;
	return 0;
}

static const char *group_name(const fabric_links_t *links,
			      const carob_addr_t *addr)
{
	for (size_t i = 0; i < links->ip_count; i++)
		if (links->ips[i].family == addr->family &&
		    memcmp(links->ips[i].ip, addr->ip, sizeof(addr->ip)) == 0)
			return links->ips[i].group;
	return FABRIC_OTHER_GROUP;
}

static int check_group(const fabric_links_t *links, carob_str_t name)
{
	if (carob_str_eq(name, CAROB_STR(FABRIC_ANY_GROUP)) ||
	    carob_str_eq(name, CAROB_STR(FABRIC_OTHER_GROUP)))
		return 0;
	for (size_t i = 0; i < links->ip_count; i++)
		if (carob_str_eq(name, carob_str_from(links->ips[i].group)))
			return 0;
	return carob_error_set(CAROB_ENOTFOUND, "unknown group \"%.*s\"",
			       (int)name.len, name.ptr);
}

static rule_t *find_rule(fabric_links_t *links, carob_str_t from,
			 carob_str_t to)
{
	for (size_t i = 0; i < links->rule_count; i++) {
		rule_t *rule = &links->rules[i];

		if (carob_str_eq(from, carob_str_from(rule->from)) &&
		    carob_str_eq(to, carob_str_from(rule->to)))
			return rule;
	}
	return NULL;
}

int fabric_links_set(fabric_links_t *links, carob_str_t from, carob_str_t to,
		     const fabric_faults_t *faults)
{
	rule_t *rule = find_rule(links, from, to);
	int error;

	error = check_group(links, from);
	if (!error)
		error = check_group(links, to);
	if (error)
		return error;
	if (!rule) {
		if (links->rule_count == RULES_MAX)
			return carob_error_set(CAROB_ELIMIT,
					       "more than %d link rules",
					       RULES_MAX);
		rule = &links->rules[links->rule_count++];
		copy_name(rule->from, from);
		copy_name(rule->to, to);
	}
	rule->faults = *faults;
	return 0;
}

void fabric_links_clear(fabric_links_t *links)
{
	links->rule_count = 0;
}

static bool group_matches(const char *pattern, const char *group)
{
	return strcmp(pattern, FABRIC_ANY_GROUP) == 0 ||
	       strcmp(pattern, group) == 0;
}

static unsigned int specificity(const rule_t *rule)
{
	return (strcmp(rule->from, FABRIC_ANY_GROUP) != 0) +
	       (strcmp(rule->to, FABRIC_ANY_GROUP) != 0);
}

/* Uses the matching rule with the fewest "any"; if several rules have equally
 * few, the one that was set first. */
const fabric_faults_t *fabric_links_find(const fabric_links_t *links,
					 const carob_addr_t *from,
					 const carob_addr_t *to)
{
	const rule_t *best = NULL;
	const char *from_group;
	const char *to_group;

	if (links->rule_count == 0)
		return &no_faults;
	from_group = group_name(links, from);
	to_group = group_name(links, to);
	for (size_t i = 0; i < links->rule_count; i++) {
		const rule_t *rule = &links->rules[i];

		if (group_matches(rule->from, from_group) &&
		    group_matches(rule->to, to_group) &&
		    (!best || specificity(rule) > specificity(best)))
			best = rule;
	}
	return best ? &best->faults : &no_faults;
}

bool fabric_links_is_cut(const fabric_links_t *links, const carob_addr_t *from,
			 const carob_addr_t *to)
{
	return fabric_links_find(links, from, to)->drop >= 1;
}

static bool random_event(fabric_links_t *links, double probability)
{
	return probability > 0 && carob_rng_unit(&links->rng) < probability;
}

void fabric_links_decide_delivery(fabric_delivery_t *out, fabric_links_t *links,
				  const carob_addr_t *from,
				  const carob_addr_t *to)
{
	const fabric_faults_t *faults = fabric_links_find(links, from, to);

	out->copies = 0;
	if (random_event(links, faults->drop))
		return;
	out->copies = random_event(links, faults->duplicate) ? 2 : 1;
	for (unsigned int i = 0; i < out->copies; i++) {
		uint64_t ms = faults->delay_ms;

		if (faults->jitter_ms)
			ms += carob_rng_below(&links->rng,
					      faults->jitter_ms + 1);
		if (random_event(links, faults->reorder))
			ms += faults->reorder_ms;
		out->delay_ns[i] = ms * CAROB_NS_PER_MS;
	}
}

static int read_probability(double *out, const carob_json_node_t *object,
			    const char *key)
{
	carob_json_node_t node;

	if (!carob_json_find(&node, object, key))
		return 0;
	*out = json_number_value(node.value);
	if (!json_is_number(node.value) || *out < 0 || *out > 1)
		return carob_json_expected(&node, "a number from 0 to 1");
	return 0;
}

static int read_ms(uint32_t *out, const carob_json_node_t *object,
		   const char *key)
{
	uint64_t value;
	int error;

	error = carob_json_get_u64_or(&value, object, key, 0, MS_MAX, *out);
	if (!error)
		*out = (uint32_t)value;
	return error;
}

int fabric_faults_read(fabric_faults_t *out, const carob_json_node_t *object)
{
	int error;

	memset(out, 0, sizeof(*out));
	out->reorder_ms = 20;
	error = read_probability(&out->drop, object, "drop");
	if (!error)
		error = read_probability(&out->duplicate, object, "duplicate");
	if (!error)
		error = read_probability(&out->reorder, object, "reorder");
	if (!error)
		error = read_ms(&out->reorder_ms, object, "reorder_ms");
	if (!error)
		error = read_ms(&out->delay_ms, object, "delay_ms");
	if (!error)
		error = read_ms(&out->jitter_ms, object, "jitter_ms");
	return error;
}
