#include "test_runner.h"

#include "core/test_manifest.h"

#include "carobtrail/errors.h"
#include "carobtrail/health.h"
#include "carobtrail/log.h"

#include <stdlib.h>
#include <string.h>

#define NODES	  4
#define UPSTREAMS 8
#define STEP_MS	  50

/* A simulated upstream. */
typedef struct fake_upstream {
	bool silent;	/* answers no probe */
	bool unhealthy; /* answers that it is unhealthy */
	uint32_t in_use;
	uint64_t probes;
} fake_upstream_t;

/* The last report about an upstream to the scheduler of an instance. */
typedef struct heard {
	bool any;
	bool healthy;
	uint32_t in_use;
} heard_t;

struct bench;

typedef struct node {
	carob_health_port_t port;
	struct bench *bench;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_health_t *health;
	heard_t heard[UPSTREAMS];
	bool path_cut[UPSTREAMS]; /* answers from the upstream are lost */
} node_t;

typedef struct bench {
	carob_manual_clock_t clock;
	carob_manifest_t *manifest;
	fake_upstream_t upstreams[UPSTREAMS];
	node_t nodes[NODES];
	bool muted; /* reports between probers are lost */
} bench_t;

static size_t place_of(carob_upstream_id_t id)
{
	return id.id - TEST_FIRST_ID;
}

static void on_probe(carob_health_port_t *port,
		     const carob_manifest_upstream_t *upstream,
		     bool reports_load, uint64_t probe)
{
	node_t *node = (node_t *)port;
	size_t i = place_of(upstream->id);
	carob_load_report_t answer = {.healthy = false};
	fake_upstream_t *up;

	CU_ASSERT_FALSE(reports_load);
	if (i >= UPSTREAMS) /* an upstream of the other service */
		return;
	up = &node->bench->upstreams[i];
	up->probes++;
	answer.healthy = !up->unhealthy;
	answer.in_use = up->in_use;
	if (!up->silent && !node->path_cut[i])
		carob_health_on_answer(node->health, probe, &upstream->addr,
				       &answer);
}

static void on_report(carob_health_port_t *port,
		      const carob_load_report_t *report)
{
	node_t *node = (node_t *)port;
	size_t i = place_of(report->upstream);

	if (i < UPSTREAMS)
		node->heard[i] =
			(heard_t){true, report->healthy, report->in_use};
}

static void on_tell(carob_health_port_t *port, carob_instance_id_t to,
		    const carob_load_report_t *report)
{
	node_t *node = (node_t *)port;

	CU_ASSERT_FATAL(to.id >= 1 && to.id <= NODES);
	if (!node->bench->muted)
		carob_health_on_partner(node->bench->nodes[to.id - 1].health,
					report);
}

static const carob_health_port_ops_t port_ops = {on_probe, on_report, on_tell};

static carob_member_t member(size_t i)
{
	return (carob_member_t){
		.id = {(uint32_t)i + 1, 5},
		.zone = {"macon-a"},
		.revision = 1,
	};
}

static void start_node(bench_t *b, size_t i, carob_health_fault_t fault)
{
	carob_membership_options_t m = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_health_options_t h = CAROB_HEALTH_OPTIONS_INIT;
	node_t *node = &b->nodes[i];

	node->port.ops = &port_ops;
	node->bench = b;
	m.self = member(i);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&node->kernel, &b->clock.clock),
			      0);
	CU_ASSERT_EQUAL_FATAL(carob_membership_new(&node->membership, &m), 0);
	for (size_t j = 0; j < NODES; j++) {
		carob_member_t other = member(j);

		carob_membership_learn(node->membership, &other, NULL);
	}
	h.kernel = node->kernel;
	h.membership = node->membership;
	h.port = &node->port;
	h.fault = fault;
	CU_ASSERT_EQUAL_FATAL(carob_health_new(&node->health, &h), 0);
	carob_health_set_manifest(node->health, b->manifest);
	CU_ASSERT_EQUAL_FATAL(carob_health_start(node->health), 0);
}

static void quiet(carob_log_sink_t *sink, carob_str_t line)
{
	(void)sink;
	(void)line;
}

static bench_t *bench_new(carob_health_fault_t fault)
{
	static carob_log_sink_t sink = {quiet};
	bench_t *b = calloc(1, sizeof(*b));

	carob_log_configure("test", carob_clock_system(), CAROB_LOG_ERROR,
			    &sink);
	carob_manual_clock_init(&b->clock, CAROB_NS_PER_S);
	b->manifest = test_manifest_new("aaaaaaaa", 2, 5);
	CU_ASSERT_PTR_NOT_NULL_FATAL(b->manifest);
	for (size_t i = 0; i < NODES; i++)
		start_node(b, i, fault);
	return b;
}

static void bench_free(bench_t *b)
{
	for (size_t i = 0; i < NODES; i++) {
		carob_health_free(b->nodes[i].health);
		carob_membership_free(b->nodes[i].membership);
		carob_kernel_free(b->nodes[i].kernel);
	}
	carob_manifest_free(b->manifest);
	free(b);
}

static void run_ms(bench_t *b, uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += STEP_MS) {
		carob_manual_clock_advance(&b->clock,
					   STEP_MS * CAROB_NS_PER_MS);
		for (size_t i = 0; i < NODES; i++)
			carob_kernel_run_due(b->nodes[i].kernel);
	}
}

/* The node whose scheduler gets the reports of an upstream; exactly one. */
static node_t *scheduler_of(bench_t *b, size_t upstream)
{
	node_t *found = NULL;

	for (size_t i = 0; i < NODES; i++) {
		if (!b->nodes[i].heard[upstream].any)
			continue;
		CU_ASSERT_PTR_NULL(found);
		found = &b->nodes[i];
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(found);
	return found;
}

static void test_two_probers_each(void)
{
	bench_t *b = bench_new(CAROB_HEALTH_FAULT_NONE);

	b->upstreams[3].in_use = 9;
	run_ms(b, 1000);
	for (size_t i = 0; i < UPSTREAMS; i++)
		b->upstreams[i].probes = 0;
	run_ms(b, 10000);
	for (size_t i = 0; i < UPSTREAMS; i++) {
		CU_ASSERT_EQUAL(b->upstreams[i].probes, 20);
		CU_ASSERT(scheduler_of(b, i)->heard[i].healthy);
	}
	CU_ASSERT_EQUAL(scheduler_of(b, 3)->heard[3].in_use, 9);
	bench_free(b);
}

static void test_silent_upstream(void)
{
	bench_t *b = bench_new(CAROB_HEALTH_FAULT_NONE);

	run_ms(b, 3000);
	b->upstreams[2].silent = true;
	run_ms(b, 6000);
	CU_ASSERT_FALSE(scheduler_of(b, 2)->heard[2].healthy);
	CU_ASSERT(scheduler_of(b, 1)->heard[1].healthy);
	b->upstreams[2].silent = false;
	run_ms(b, 1500);
	CU_ASSERT(scheduler_of(b, 2)->heard[2].healthy);
	bench_free(b);
}

static void test_unhealthy_answers(void)
{
	bench_t *b = bench_new(CAROB_HEALTH_FAULT_NONE);

	run_ms(b, 3000);
	for (size_t i = 0; i < UPSTREAMS; i++)
		b->upstreams[i].unhealthy = true;
	run_ms(b, 3000);
	for (size_t i = 0; i < UPSTREAMS; i++)
		CU_ASSERT_FALSE(scheduler_of(b, i)->heard[i].healthy);
	bench_free(b);
}

/* Counts the upstreams whose last report says unhealthy; none of them is. */
static size_t falsely_unhealthy(bench_t *b)
{
	size_t count = 0;

	for (size_t i = 0; i < UPSTREAMS; i++)
		if (!scheduler_of(b, i)->heard[i].healthy)
			count++;
	return count;
}

/*
 * Cuts the path from one upstream to the instance that schedules it, while the
 * second prober still reaches the upstream. Returns the number of upstreams
 * that are wrongly reported as unhealthy.
 */
static size_t after_one_path_is_cut(carob_health_fault_t fault)
{
	bench_t *b = bench_new(fault);
	size_t count;

	run_ms(b, 6000);
	scheduler_of(b, 4)->path_cut[4] = true;
	run_ms(b, 20000);
	count = falsely_unhealthy(b);
	bench_free(b);
	return count;
}

/*
 * Cuts the paths from all upstreams to one instance, and those between the
 * probers. Returns the number of upstreams that are wrongly reported as
 * unhealthy.
 */
static size_t after_all_paths_are_cut(carob_health_fault_t fault)
{
	bench_t *b = bench_new(fault);
	size_t count;

	run_ms(b, 6000);
	b->muted = true;
	for (size_t i = 0; i < UPSTREAMS; i++)
		b->nodes[0].path_cut[i] = true;
	run_ms(b, 30000);
	count = falsely_unhealthy(b);
	bench_free(b);
	return count;
}

static void test_faults_of_the_probe(void)
{
	CU_ASSERT_EQUAL(after_one_path_is_cut(CAROB_HEALTH_FAULT_NONE), 0);
	CU_ASSERT(after_one_path_is_cut(CAROB_HEALTH_FAULT_IGNORE_PARTNER) > 0);
	CU_ASSERT_EQUAL(after_all_paths_are_cut(CAROB_HEALTH_FAULT_NONE), 0);
	CU_ASSERT(after_all_paths_are_cut(CAROB_HEALTH_FAULT_TRUST_PROBES) > 0);
}

/*
 * If no upstream answers any instance, a network fault is assumed and none is
 * reported as unhealthy.
 */
static void test_all_look_dead(void)
{
	bench_t *b = bench_new(CAROB_HEALTH_FAULT_NONE);
	carob_health_counters_t counters;

	run_ms(b, 6000);
	for (size_t i = 0; i < UPSTREAMS; i++)
		b->upstreams[i].silent = true;
	run_ms(b, 30000);
	CU_ASSERT_EQUAL(falsely_unhealthy(b), 0);
	carob_health_counters(&counters, b->nodes[0].health);
	CU_ASSERT(counters.distrusted > 0);
	bench_free(b);
}

static void test_member_gone(void)
{
	bench_t *b = bench_new(CAROB_HEALTH_FAULT_NONE);
	carob_instance_id_t gone = member(NODES - 1).id;
	uint64_t before;

	run_ms(b, 3000);
	for (size_t i = 0; i < NODES; i++)
		carob_membership_set_reachable(b->nodes[i].membership, gone,
					       false);
	run_ms(b, 3000);
	before = b->upstreams[0].probes;
	run_ms(b, 10000);
	/* The unreachable instance does not know this and continues to probe. */
	CU_ASSERT(b->upstreams[0].probes - before >= 20);
	CU_ASSERT(b->upstreams[0].probes - before <= 30);
	bench_free(b);
}

static void test_answers_of_others(void)
{
	bench_t *b = bench_new(CAROB_HEALTH_FAULT_NONE);
	carob_load_report_t answer = {.healthy = true};
	carob_addr_t from = {.ip = {127, 0, 0, 9}, .port = 1, .family = 4};
	carob_health_counters_t counters;

	run_ms(b, 3000);
	for (uint64_t number = 0; number < 100; number++) {
		carob_health_on_answer(b->nodes[0].health, number, &from,
				       &answer);
		carob_health_on_answer(b->nodes[0].health, UINT64_MAX - number,
				       &from, &answer);
	}
	answer.upstream = (carob_upstream_id_t){4711, 1};
	carob_health_on_partner(b->nodes[0].health, &answer);
	carob_health_counters(&counters, b->nodes[0].health);
	CU_ASSERT_EQUAL(counters.late, 200);
	bench_free(b);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"each upstream is probed by two instances",
		 test_two_probers_each},
		{"a silent upstream is unhealthy until it answers",
		 test_silent_upstream},
		{"unhealthy answers are reported even from all upstreams",
		 test_unhealthy_answers},
		{"lost answers do not make a healthy upstream unhealthy",
		 test_faults_of_the_probe},
		{"no upstream is unhealthy while all are silent",
		 test_all_look_dead},
		{"the probe rate stays bounded when a member is unreachable",
		 test_member_gone},
		{"answers that match no probe are counted and ignored",
		 test_answers_of_others},
	};

	return run_tests("health", cases, CAROB_ARRAY_SIZE(cases));
}
