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
typedef struct simulated_upstream {
	bool silent;	/* answers no probe */
	bool unhealthy; /* responds to probes that it is unhealthy */
	uint32_t in_use;
	uint64_t probes;
} simulated_upstream_t;

/* The last report about an upstream to the scheduler of an instance. */
typedef struct last_report {
	bool received;
	bool healthy;
	uint32_t in_use;
} last_report_t;

struct fixture;

typedef struct node {
	carob_health_port_t port;
	struct fixture *fixture;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_health_t *health;
	last_report_t last_reports[UPSTREAMS];
	bool path_cut[UPSTREAMS]; /* responses of the upstream are lost */
} node_t;

typedef struct fixture {
	carob_manual_clock_t clock;
	carob_manifest_t *manifest;
	simulated_upstream_t upstreams[UPSTREAMS];
	node_t nodes[NODES];
	bool partners_cut; /* reports from prober to prober are lost */
} fixture_t;

static size_t index_of(carob_upstream_id_t id)
{
	return id.id - TEST_FIRST_ID;
}

static void on_probe(carob_health_port_t *port,
		     const carob_manifest_upstream_t *upstream,
		     bool reports_load, uint64_t probe)
{
	node_t *node = (node_t *)port;
	size_t i = index_of(upstream->id);
	carob_load_report_t response = {.healthy = false};
	simulated_upstream_t *up;

	CU_ASSERT_FALSE(reports_load);
	if (i >= UPSTREAMS) /* an upstream of the other service */
		return;
	up = &node->fixture->upstreams[i];
	up->probes++;
	response.healthy = !up->unhealthy;
	response.in_use = up->in_use;
	if (!up->silent && !node->path_cut[i])
		carob_health_on_answer(node->health, probe, &upstream->addr,
				       &response);
}

static void on_report(carob_health_port_t *port,
		      const carob_load_report_t *report)
{
	node_t *node = (node_t *)port;
	size_t i = index_of(report->upstream);

	if (i < UPSTREAMS)
		node->last_reports[i] =
			(last_report_t){true, report->healthy, report->in_use};
}

static void on_send_report(carob_health_port_t *port, carob_instance_id_t to,
			   const carob_load_report_t *report)
{
	node_t *node = (node_t *)port;

	CU_ASSERT_FATAL(to.id >= 1 && to.id <= NODES);
	if (!node->fixture->partners_cut)
		carob_health_on_partner_report(
			node->fixture->nodes[to.id - 1].health, report);
}

static const carob_health_port_ops_t port_ops = {on_probe, on_report,
						 on_send_report};

static carob_member_t member(size_t i)
{
	return (carob_member_t){
		.id = {(uint32_t)i + 1, 5},
		.zone = {"macon-a"},
		.revision = 1,
	};
}

static void start_node(fixture_t *f, size_t i, carob_health_mutation_t mutation)
{
	carob_membership_options_t m = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_health_options_t h = CAROB_HEALTH_OPTIONS_INIT;
	node_t *node = &f->nodes[i];

	node->port.ops = &port_ops;
	node->fixture = f;
	m.self = member(i);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&node->kernel, &f->clock.clock),
			      0);
	CU_ASSERT_EQUAL_FATAL(carob_membership_new(&node->membership, &m), 0);
	for (size_t j = 0; j < NODES; j++) {
		carob_member_t other = member(j);

		carob_membership_learn(node->membership, &other, NULL);
	}
	h.kernel = node->kernel;
	h.membership = node->membership;
	h.port = &node->port;
	h.mutation = mutation;
	CU_ASSERT_EQUAL_FATAL(carob_health_new(&node->health, &h), 0);
	carob_health_set_manifest(node->health, f->manifest);
	CU_ASSERT_EQUAL_FATAL(carob_health_start(node->health), 0);
}

static void discard_line(carob_log_sink_t *sink, carob_str_t line)
{
	(void)sink;
	(void)line;
}

static fixture_t *fixture_new(carob_health_mutation_t mutation)
{
	static carob_log_sink_t sink = {discard_line};
	fixture_t *f = calloc(1, sizeof(*f));

	carob_log_configure("test", carob_clock_system(), CAROB_LOG_ERROR,
			    &sink);
	carob_manual_clock_init(&f->clock, CAROB_NS_PER_S);
	f->manifest = test_manifest_new("aaaaaaaa", 2, 5);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->manifest);
	for (size_t i = 0; i < NODES; i++)
		start_node(f, i, mutation);
	return f;
}

static void fixture_free(fixture_t *f)
{
	for (size_t i = 0; i < NODES; i++) {
		carob_health_free(f->nodes[i].health);
		carob_membership_free(f->nodes[i].membership);
		carob_kernel_free(f->nodes[i].kernel);
	}
	carob_manifest_free(f->manifest);
	free(f);
}

static void run_ms(fixture_t *f, uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += STEP_MS) {
		carob_manual_clock_advance(&f->clock,
					   STEP_MS * CAROB_NS_PER_MS);
		for (size_t i = 0; i < NODES; i++)
			carob_kernel_run_due(f->nodes[i].kernel);
	}
}

/* The node whose scheduler gets the reports of an upstream; exactly one. */
static node_t *scheduler_of(fixture_t *f, size_t upstream)
{
	node_t *found = NULL;

	for (size_t i = 0; i < NODES; i++) {
		if (!f->nodes[i].last_reports[upstream].received)
			continue;
		CU_ASSERT_PTR_NULL(found);
		found = &f->nodes[i];
	}
	CU_ASSERT_PTR_NOT_NULL_FATAL(found);
	return found;
}

static void test_two_probers_each(void)
{
	fixture_t *f = fixture_new(CAROB_HEALTH_MUTATION_NONE);

	f->upstreams[3].in_use = 9;
	run_ms(f, 1000);
	for (size_t i = 0; i < UPSTREAMS; i++)
		f->upstreams[i].probes = 0;
	run_ms(f, 10000);
	for (size_t i = 0; i < UPSTREAMS; i++) {
		CU_ASSERT_EQUAL(f->upstreams[i].probes, 20);
		CU_ASSERT(scheduler_of(f, i)->last_reports[i].healthy);
	}
	CU_ASSERT_EQUAL(scheduler_of(f, 3)->last_reports[3].in_use, 9);
	fixture_free(f);
}

static void test_silent_upstream(void)
{
	fixture_t *f = fixture_new(CAROB_HEALTH_MUTATION_NONE);

	run_ms(f, 3000);
	f->upstreams[2].silent = true;
	run_ms(f, 6000);
	CU_ASSERT_FALSE(scheduler_of(f, 2)->last_reports[2].healthy);
	CU_ASSERT(scheduler_of(f, 1)->last_reports[1].healthy);
	f->upstreams[2].silent = false;
	run_ms(f, 1500);
	CU_ASSERT(scheduler_of(f, 2)->last_reports[2].healthy);
	fixture_free(f);
}

static void test_unhealthy_responses(void)
{
	fixture_t *f = fixture_new(CAROB_HEALTH_MUTATION_NONE);

	run_ms(f, 3000);
	for (size_t i = 0; i < UPSTREAMS; i++)
		f->upstreams[i].unhealthy = true;
	run_ms(f, 3000);
	for (size_t i = 0; i < UPSTREAMS; i++)
		CU_ASSERT_FALSE(scheduler_of(f, i)->last_reports[i].healthy);
	fixture_free(f);
}

/* Counts the upstreams whose last report says unhealthy; none of them is. */
static size_t count_reported_unhealthy(fixture_t *f)
{
	size_t count = 0;

	for (size_t i = 0; i < UPSTREAMS; i++)
		if (!scheduler_of(f, i)->last_reports[i].healthy)
			count++;
	return count;
}

/*
 * Cuts the path from one upstream to the instance that schedules it, while the
 * second prober still reaches the upstream. Returns the number of upstreams
 * that are wrongly reported as unhealthy.
 */
static size_t unhealthy_after_one_path_cut(carob_health_mutation_t mutation)
{
	fixture_t *f = fixture_new(mutation);
	size_t count;

	run_ms(f, 6000);
	scheduler_of(f, 4)->path_cut[4] = true;
	run_ms(f, 20000);
	count = count_reported_unhealthy(f);
	fixture_free(f);
	return count;
}

/*
 * Cuts the paths from all upstreams to one instance, and those between the
 * probers. Returns the number of upstreams that are wrongly reported as
 * unhealthy.
 */
static size_t unhealthy_after_all_paths_cut(carob_health_mutation_t mutation)
{
	fixture_t *f = fixture_new(mutation);
	size_t count;

	run_ms(f, 6000);
	f->partners_cut = true;
	for (size_t i = 0; i < UPSTREAMS; i++)
		f->nodes[0].path_cut[i] = true;
	run_ms(f, 30000);
	count = count_reported_unhealthy(f);
	fixture_free(f);
	return count;
}

static void test_lost_responses(void)
{
	CU_ASSERT_EQUAL(
		unhealthy_after_one_path_cut(CAROB_HEALTH_MUTATION_NONE), 0);
	CU_ASSERT(unhealthy_after_one_path_cut(
			  CAROB_HEALTH_MUTATION_IGNORE_PARTNER) > 0);
	CU_ASSERT_EQUAL(
		unhealthy_after_all_paths_cut(CAROB_HEALTH_MUTATION_NONE), 0);
	CU_ASSERT(unhealthy_after_all_paths_cut(
			  CAROB_HEALTH_MUTATION_TRUST_PROBES) > 0);
}

/*
 * If no upstream answers any instance, a network fault is assumed and none is
 * reported as unhealthy.
 */
static void test_all_silent(void)
{
	fixture_t *f = fixture_new(CAROB_HEALTH_MUTATION_NONE);
	carob_health_counters_t counters;

	run_ms(f, 6000);
	for (size_t i = 0; i < UPSTREAMS; i++)
		f->upstreams[i].silent = true;
	run_ms(f, 30000);
	CU_ASSERT_EQUAL(count_reported_unhealthy(f), 0);
	carob_health_counters(&counters, f->nodes[0].health);
	CU_ASSERT(counters.distrusted > 0);
	fixture_free(f);
}

static void test_unreachable_member(void)
{
	fixture_t *f = fixture_new(CAROB_HEALTH_MUTATION_NONE);
	carob_instance_id_t unreachable = member(NODES - 1).id;
	uint64_t before;

	run_ms(f, 3000);
	for (size_t i = 0; i < NODES; i++)
		carob_membership_set_reachable(f->nodes[i].membership,
					       unreachable, false);
	run_ms(f, 3000);
	before = f->upstreams[0].probes;
	run_ms(f, 10000);
	/* The unreachable instance does not know this and continues to probe. */
	CU_ASSERT(f->upstreams[0].probes - before >= 20);
	CU_ASSERT(f->upstreams[0].probes - before <= 30);
	fixture_free(f);
}

static void test_unmatched_responses(void)
{
	fixture_t *f = fixture_new(CAROB_HEALTH_MUTATION_NONE);
	carob_load_report_t response = {.healthy = true};
	carob_addr_t from = {.ip = {127, 0, 0, 9}, .port = 1, .family = 4};
	carob_health_counters_t counters;

	run_ms(f, 3000);
	for (uint64_t number = 0; number < 100; number++) {
		carob_health_on_answer(f->nodes[0].health, number, &from,
				       &response);
		carob_health_on_answer(f->nodes[0].health, UINT64_MAX - number,
				       &from, &response);
	}
	response.upstream = (carob_upstream_id_t){4711, 1};
	carob_health_on_partner_report(f->nodes[0].health, &response);
	carob_health_counters(&counters, f->nodes[0].health);
	CU_ASSERT_EQUAL(counters.late, 200);
	fixture_free(f);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"each upstream is probed by two instances",
		 test_two_probers_each},
		{"a silent upstream is unhealthy until it answers",
		 test_silent_upstream},
		{"unhealthy responses are reported even from all upstreams",
		 test_unhealthy_responses},
		{"lost responses do not make a healthy upstream unhealthy",
		 test_lost_responses},
		{"no upstream is unhealthy while all are silent",
		 test_all_silent},
		{"the probe rate stays bounded when a member is unreachable",
		 test_unreachable_member},
		{"responses that match no probe are counted and ignored",
		 test_unmatched_responses},
	};

	return run_tests("health", cases, CAROB_ARRAY_SIZE(cases));
}
