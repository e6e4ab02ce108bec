#include "operations.h"

#include "carobtrail/errors.h"
#include "host.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define HOST_PORT	 8080
#define HOST_ADDRESSES	 150  /* from the testbed's base address on */
#define ADDRESS_REUSE_MS 2000 /* before an address gets another host */
#define LAPSE_MS	 3600 /* a crashed host misses three heartbeats */
#define DRAIN_MORE_MS	 2500 /* random extra time that a host drains */
#define CUT_MS		 3000
#define LOSS_MS		 2000
#define LOSS_PER_MILLE	 30
#define ROUTE_IP	 0xc6120001
#define ROUTE_PORT_FIRST 443
#define ROUTES_FIRST	 3

/* A delayed action, for one host or for all. */
typedef struct later {
	carob_timer_t timer;
	operations_t *operations;
	void (*run)(operations_t *operations, uint64_t number);
	uint64_t number;
	struct later *prev;
	struct later *next;
} later_t;

struct operations {
	carob_udp_handler_t handler; /* for responses of the store */
	bed_t *bed;
	operations_options_t options;
	carob_udp_t *udp;
	carob_timer_t next;
	bool calm;
	uint64_t config_version;
	uint64_t next_number;
	uint16_t next_port;
	uint64_t address_free_ns[HOST_ADDRESSES];
	later_t *laters;
};

static const char *const service_names[BED_SERVICES] = {"desk", "yard"};

/* Ignores the store's responses to commands. */
static void on_answer(carob_udp_handler_t *handler, const carob_addr_t *from,
		      carob_str_t data)
{
	(void)handler;
	(void)from;
	(void)data;
}

static void command_store(operations_t *self, json_t *command)
{
	char *text = json_dumps(command, JSON_COMPACT);

	if (text)
		carob_udp_send(self->udp, &self->bed->store, text,
			       strlen(text));
	free(text);
	json_decref(command);
}

static void store_put(operations_t *self, const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	command_store(self, json_pack("{s:s,s:s,s:s}", "command", "put", "key",
				      key, "value", text ? text : ""));
	free(text);
	json_decref(value);
}

static void key_of(char out[64], uint64_t number)
{
	(void)snprintf(out, 64, "servers/i-%010" PRIx64, number);
}

static void store_remove_host(operations_t *self, uint64_t number)
{
	char key[64];

	key_of(key, number);
	command_store(self,
		      json_pack("{s:s,s:s}", "command", "remove", "key", key));
}

static void store_put_host(operations_t *self, const host_t *host)
{
	const host_options_t *options = host_options(host);
	char addr[CAROB_ADDR_TEXT_MAX];
	char key[64];

	key_of(key, options->number);
	carob_addr_format(addr, &options->addr);
	store_put(
		self, key,
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service",
			  service_names[options->service], "address", addr,
			  "zone", self->bed->zones[options->zone], "version",
			  "v1", "slots", (int)options->slots, "state",
			  host_state(host) == HOST_DRAINING ? "draining"
							    : "ready",
			  "cold_ms", 0, "seq", 1, "born",
			  (json_int_t)(host_since_ns(host) / CAROB_NS_PER_MS)));
}

static json_t *route_json(const bed_route_t *route, size_t index)
{
	char name[16];
	char prefix[16];

	(void)snprintf(name, sizeof(name), "r-%zu", index);
	(void)snprintf(prefix, sizeof(prefix), "/%u/", route->endpoint.port);
	return json_pack("{s:s,s:s,s:s,s:s,s:s}", "name", name, "hostname",
			 "198.18.0.1", "prefix", prefix, "route_type",
			 route->idempotent ? "safe" : "unsafe", "service",
			 service_names[route->service]);
}

static void publish(operations_t *self)
{
	json_t *routes = json_array();

	for (size_t i = 0; i < self->bed->route_count; i++)
		if (self->bed->routes[i].listed)
			json_array_append_new(
				routes, route_json(&self->bed->routes[i], i));
	self->config_version += 1 + carob_rng_below(&self->bed->rng, 3);
	store_put(self, "op/config",
		  json_pack("{s:I,s:o,s:{s:i}}", "version",
			    (json_int_t)self->config_version, "routes", routes,
			    "limits", "idle_timeout_ms", 15000));
}

static void add_route(operations_t *self, size_t service, bool idempotent)
{
	bed_t *bed = self->bed;

	if (bed->route_count == BED_ROUTES_MAX)
		return;
	bed->routes[bed->route_count++] = (bed_route_t){
		.endpoint = {ROUTE_IP, self->next_port++},
		.service = service,
		.idempotent = idempotent,
		.listed = true,
		.changed_ns = bed_now_ns(bed),
	};
}

static int take_address(operations_t *self)
{
	uint64_t now = bed_now_ns(self->bed);
	size_t first = carob_rng_below(&self->bed->rng, HOST_ADDRESSES);

	for (size_t i = 0; i < HOST_ADDRESSES; i++) {
		size_t at = (first + i) % HOST_ADDRESSES;

		if (now >= self->address_free_ns[at]) {
			self->address_free_ns[at] = UINT64_MAX;
			return (int)at;
		}
	}
	return -1;
}

static void give_address_back(operations_t *self, const host_t *host)
{
	const carob_addr_t *addr = &host_options(host)->addr;
	size_t at = addr->ip[3] - self->bed->base.ip[3];

	if (at < HOST_ADDRESSES)
		self->address_free_ns[at] = bed_now_ns(self->bed) +
					    ADDRESS_REUSE_MS * CAROB_NS_PER_MS;
}

static int start_host(operations_t *self, size_t zone, size_t service)
{
	bed_t *bed = self->bed;
	int at = take_address(self);
	host_options_t options = {
		.number = self->next_number++ << 12 |
			  carob_rng_below(&bed->rng, 4096),
		.zone = zone,
		.service = service,
		.slots = 3,
		.queue = 8,
		.work_ms = service == 0 ? 30 : 5,
	};
	int error;

	if (at < 0 || bed->host_count == JUDGE_HOSTS_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "no address or table entry is free for "
				       "another host");
	options.addr = bed_addr(bed, (uint32_t)at, HOST_PORT);
	error = host_new(&bed->hosts[bed->host_count], bed, &options);
	if (!error)
		store_put_host(self, bed->hosts[bed->host_count++]);
	return error;
}

static void on_later(carob_timer_t *timer)
{
	later_t *later = CAROB_CONTAINER_OF(timer, later_t, timer);
	operations_t *self = later->operations;

	DL_DELETE(self->laters, later);
	later->run(self, later->number);
	free(later);
}

static void run_later(operations_t *self, uint32_t ms, uint64_t number,
		      void (*run)(operations_t *, uint64_t))
{
	later_t *later = calloc(1, sizeof(*later));

	if (!later)
		return;
	later->timer.fire = on_later;
	later->operations = self;
	later->run = run;
	later->number = number;
	DL_APPEND(self->laters, later);
	(void)carob_timer_arm(self->bed->program.kernel, &later->timer,
			      bed_now_ns(self->bed) + ms * CAROB_NS_PER_MS);
}

static size_t index_of(const bed_t *bed, uint64_t number)
{
	for (size_t i = 0; i < bed->host_count; i++)
		if (bed->hosts[i] &&
		    host_options(bed->hosts[i])->number == number)
			return i;
	return bed->host_count;
}

static void end_host(operations_t *self, uint64_t number)
{
	bed_t *bed = self->bed;
	size_t at = index_of(bed, number);

	if (at == bed->host_count)
		return;
	store_remove_host(self, number);
	give_address_back(self, bed->hosts[at]);
	host_free(bed->hosts[at]);
	bed->hosts[at] = NULL;
}

/* Returns a random ready host, or NULL. */
static host_t *pick_host(operations_t *self)
{
	bed_t *bed = self->bed;
	host_t *chosen = NULL;
	uint32_t seen = 0;

	for (size_t i = 0; i < bed->host_count; i++)
		if (bed->hosts[i] && host_state(bed->hosts[i]) == HOST_READY &&
		    carob_rng_below(&bed->rng, ++seen) == 0)
			chosen = bed->hosts[i];
	return chosen;
}

/* Starts a new host and drains an old one of the same zone and service. */
static void replace_host(operations_t *self)
{
	host_t *host = pick_host(self);

	if (!host || start_host(self, host_options(host)->zone,
				host_options(host)->service) != 0)
		return;
	host_set_state(host, HOST_DRAINING);
	store_put_host(self, host);
	run_later(self,
		  BED_DRAIN_MS + 500 +
			  carob_rng_below(&self->bed->rng, DRAIN_MORE_MS),
		  host_options(host)->number, end_host);
}

/* Starts a new host and lets an old one of the same zone and service crash. */
static void crash_host(operations_t *self)
{
	host_t *host = pick_host(self);

	if (!host || start_host(self, host_options(host)->zone,
				host_options(host)->service) != 0)
		return;
	judge_store_trouble(&self->bed->judge, 0);
	host_trouble(host, LAPSE_MS);
	host_set_state(host, HOST_DARK);
	run_later(self, LAPSE_MS, host_options(host)->number, end_host);
}

/* Restarts a host under the same id and address, without its flows. */
static void reborn_host(operations_t *self)
{
	host_t *host = pick_host(self);
	host_options_t options;
	size_t at;

	if (!host)
		return;
	options = *host_options(host);
	at = index_of(self->bed, options.number);
	host_free(host);
	self->bed->hosts[at] = NULL;
	if (host_new(&self->bed->hosts[at], self->bed, &options) != 0)
		return;
	host_trouble(self->bed->hosts[at], 0);
	store_put_host(self, self->bed->hosts[at]);
}

/* Adds a route and, unless the chosen one is among the first ones, which stay
 * listed, adds or removes that route too. */
static void change_routes(operations_t *self)
{
	bed_t *bed = self->bed;
	bed_route_t *route = &bed->routes[carob_rng_below(
		&bed->rng, (uint32_t)bed->route_count)];

	add_route(self, route->service, route->idempotent);
	if (route >= &bed->routes[ROUTES_FIRST]) {
		route->listed = !route->listed;
		route->changed_ns = bed_now_ns(bed);
	}
	publish(self);
}

/* Writes an entry of a host that instances must ignore. */
static void put_garbage(operations_t *self)
{
	static const char *const values[] = {
		"{}",
		"{\"service\":7}",
		"not json",
		"{\"service\":\"desk\",\"address\":\"127.0.0.1\",\"zone\":"
		"\"hou-a\",\"state\":\"asleep\",\"slots\":2}",
	};
	uint32_t i = carob_rng_below(&self->bed->rng, CAROB_ARRAY_SIZE(values));

	command_store(self, json_pack("{s:s,s:s,s:s}", "command", "put", "key",
				      "servers/i-0", "value", values[i]));
}

static void trouble_everywhere(operations_t *self, uint32_t ms)
{
	bed_t *bed = self->bed;

	for (size_t i = 0; i < bed->instance_count; i++)
		judge_instance_trouble(&bed->judge, i, ms);
	for (size_t i = 0; i < bed->host_count; i++)
		if (bed->hosts[i])
			host_trouble(bed->hosts[i], ms);
}

static void heal_cut(operations_t *self, uint64_t number)
{
	(void)number;
	self->bed->cut_zone = self->bed->zone_count;
}

static void cut_zone(operations_t *self)
{
	bed_t *bed = self->bed;

	trouble_everywhere(self, CUT_MS);
	bed->cut_zone = carob_rng_below(&bed->rng, (uint32_t)bed->zone_count);
	run_later(self, CUT_MS, 0, heal_cut);
}

static void end_loss(operations_t *self, uint64_t number)
{
	(void)number;
	self->bed->loss_per_mille = 0;
}

static void lose_packets(operations_t *self)
{
	trouble_everywhere(self, LOSS_MS);
	self->bed->loss_per_mille = LOSS_PER_MILLE;
	run_later(self, LOSS_MS, 0, end_loss);
}

static const struct {
	void (*run)(operations_t *self);
	bool planned;
} events[] = {
	{replace_host, true}, {replace_host, true},  {change_routes, true},
	{put_garbage, true},  {crash_host, false},   {reborn_host, false},
	{cut_zone, false},    {lose_packets, false},
};

static void on_next(carob_timer_t *timer)
{
	operations_t *self = CAROB_CONTAINER_OF(timer, operations_t, next);
	uint32_t at =
		carob_rng_below(&self->bed->rng, CAROB_ARRAY_SIZE(events));

	if (self->calm)
		return;
	if (events[at].planned || self->options.troubles)
		events[at].run(self);
	operations_begin(self);
}

void operations_begin(operations_t *self)
{
	uint32_t gap_ms = self->options.gap_ms;

	if (gap_ms == 0)
		return;
	(void)carob_timer_arm(
		self->bed->program.kernel, &self->next,
		bed_now_ns(self->bed) +
			(gap_ms / 2 +
			 carob_rng_below(&self->bed->rng, gap_ms)) *
				CAROB_NS_PER_MS);
}

void operations_calm(operations_t *self)
{
	self->calm = true;
}

static int start_hosts(operations_t *self)
{
	int error = 0;

	for (size_t zone = 0; !error && zone < self->bed->zone_count; zone++) {
		for (uint32_t i = 0; !error && i < self->options.hosts_a_zone;
		     i++)
			error = start_host(self, zone, 0);
		if (!error)
			error = start_host(self, zone, 1);
	}
	return error;
}

int operations_new(operations_t **out, bed_t *bed,
		   const operations_options_t *options)
{
	operations_t *self = calloc(1, sizeof(*self));
	carob_addr_t local = bed_addr(bed, HOST_ADDRESSES, 0);
	int error;

	if (!self)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate operations");
	self->handler.receive = on_answer;
	self->bed = bed;
	self->options = *options;
	self->next.fire = on_next;
	self->next_number = 1;
	self->next_port = ROUTE_PORT_FIRST;
	error = carob_udp_open(&self->udp, bed->program.hub, &local,
			       &self->handler);
	if (error) {
		free(self);
		return error;
	}
	*out = self;
	add_route(self, 0, true);
	add_route(self, 0, false);
	add_route(self, 1, true);
	publish(self);
	return start_hosts(self);
}

void operations_free(operations_t *self)
{
	later_t *later;
	later_t *next;

	if (!self)
		return;
	carob_timer_cancel(self->bed->program.kernel, &self->next);
	DL_FOREACH_SAFE (self->laters, later, next) {
		carob_timer_cancel(self->bed->program.kernel, &later->timer);
		free(later);
	}
	carob_udp_close(self->udp);
	free(self);
}
