#include "router.h"

#include "carobtrail/errors.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>

#define CHECK_INTERVAL_NS (500 * CAROB_NS_PER_MS)
#define TIMEOUT_US	  400000
#define FAILED_CHECKS_MAX 2

typedef struct target {
	router_t *router;
	size_t instance;
	struct evhttp_connection *connection; /* for the check in progress */
	bool responded;
	uint32_t failed_checks;
	bool in_rotation;
} target_t;

struct router {
	testbed_t *testbed;
	carob_timer_t check;
	target_t targets[CHECKER_INSTANCES_MAX];
};

static void on_response(struct evhttp_request *request, void *arg)
{
	target_t *target = arg;

	if (request && evhttp_request_get_response_code(request) == HTTP_OK)
		target->responded = true;
}

/* Evaluates the last readiness check of an instance and starts the next. */
static void check_readiness(target_t *target)
{
	const testbed_instance_t *instance =
		&target->router->testbed->instances[target->instance];
	struct timeval timeout = {.tv_usec = TIMEOUT_US};
	char ip[INET_ADDRSTRLEN] = "";
	struct evhttp_request *request;

	if (target->responded) {
		target->failed_checks = 0;
		target->in_rotation = true;
	} else if (++target->failed_checks >= FAILED_CHECKS_MAX) {
		target->in_rotation = false;
	}
	target->responded = false;
	if (target->connection)
		evhttp_connection_free(target->connection);
	(void)inet_ntop(AF_INET, instance->readiness.ip, ip, sizeof(ip));
	target->connection = evhttp_connection_base_new(
		carob_loop_base(target->router->testbed->program.loop), NULL,
		ip, instance->readiness.port);
	request = evhttp_request_new(on_response, target);
	if (!target->connection || !request)
		return;
	evhttp_connection_set_timeout_tv(target->connection, &timeout);
	(void)evhttp_make_request(target->connection, request, EVHTTP_REQ_GET,
				  "/v1/ready");
}

static void on_check(carob_timer_t *timer)
{
	router_t *router = CAROB_CONTAINER_OF(timer, router_t, check);

	for (size_t i = 0; i < router->testbed->instance_count; i++)
		check_readiness(&router->targets[i]);
	(void)carob_timer_arm(router->testbed->program.kernel, timer,
			      testbed_now_ns(router->testbed) +
				      CHECK_INTERVAL_NS);
}

int router_new(router_t **out, testbed_t *testbed)
{
	router_t *router = calloc(1, sizeof(*router));

	if (!router)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate router");
	router->testbed = testbed;
	router->check.fire = on_check;
	for (size_t i = 0; i < testbed->instance_count; i++) {
		router->targets[i].router = router;
		router->targets[i].instance = i;
	}
	*out = router;
	on_check(&router->check);
	return 0;
}

void router_free(router_t *router)
{
	if (!router)
		return;
	carob_timer_cancel(router->testbed->program.kernel, &router->check);
	for (size_t i = 0; i < router->testbed->instance_count; i++)
		if (router->targets[i].connection)
			evhttp_connection_free(router->targets[i].connection);
	free(router);
}

/* Returns whether flows go to all instances of a zone, because some but fewer
 * than half of them are in rotation. */
static bool uses_all_instances(const router_t *router, size_t zone)
{
	size_t total = 0;
	size_t ready = 0;

	for (size_t i = 0; i < router->testbed->instance_count; i++) {
		if (router->testbed->instances[i].zone != zone)
			continue;
		total++;
		ready += router->targets[i].in_rotation;
	}
	return ready > 0 && 2 * ready < total;
}

static size_t choose_in_zone(const router_t *router, size_t zone,
			     uint64_t flow_hash)
{
	size_t best = router->testbed->instance_count;
	bool use_all = uses_all_instances(router, zone);
	uint64_t best_hash = 0;

	for (size_t i = 0; i < router->testbed->instance_count; i++) {
		uint64_t hash = carob_hash_u64(flow_hash + i);

		if (router->testbed->instances[i].zone != zone ||
		    (!use_all && !router->targets[i].in_rotation) ||
		    (best != router->testbed->instance_count &&
		     hash < best_hash))
			continue;
		best = i;
		best_hash = hash;
	}
	return best;
}

size_t router_choose(const router_t *router, size_t zone, uint64_t flow_hash)
{
	size_t zones = router->testbed->zone_count;

	for (size_t i = 0; i < zones; i++) {
		size_t found =
			choose_in_zone(router, (zone + i) % zones, flow_hash);

		if (found != router->testbed->instance_count)
			return found;
	}
	return router->testbed->instance_count;
}

bool router_has_instance(const router_t *router)
{
	for (size_t i = 0; i < router->testbed->instance_count; i++)
		if (router->targets[i].in_rotation)
			return true;
	return false;
}
