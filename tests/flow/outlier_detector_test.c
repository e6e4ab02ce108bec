/*
 * Guards against upstreams that fail a part of their requests and keep their
 * share of new flows, and against ejecting upstreams that serve as well as the
 * others.
 */
#include "carobtrail/outlier_detector.h"

#include "carobtrail/load_meter.h"
#include "carobtrail/log.h"
#include "carobtrail/placement.h"
#include "flow/flow_fixture.h"

#define MS	CAROB_NS_PER_MS
#define MEMBERS 8
/* Of an upstream at each instance; 25 of them remember 20 together. */
#define RESPONSES 0.8F
#define INSTANCES 25

typedef struct fixture {
	carob_upstream_table_t upstreams;
	carob_load_view_t view;
	carob_outlier_detector_t detector;
	uint64_t now_ns;
} fixture_t;

static void fixture_init(fixture_t *fixture, bool shares_load)
{
	*fixture = (fixture_t){.now_ns = FIXTURE_START};
	for (uint32_t i = 0; i < MEMBERS; i++) {
		char id[] = {'u', (char)('a' + i), '\0'};
		fixture_upstream_t row = UPSTREAM(id, i + 1, "web", "a", 2);

		fixture_put(&fixture->upstreams, &row, i + 1);
	}
	if (shares_load)
		fixture->view =
			(carob_load_view_t){.zone_instances = 9,
					    .all_instances = INSTANCES,
					    .updated_ns = FIXTURE_START,
					    .expires_ns = UINT64_MAX,
					    .counts_expire_ns = UINT64_MAX};
}

static carob_upstream_t *upstream_at(fixture_t *fixture, size_t i)
{
	return &fixture->upstreams.items[i];
}

static void report(fixture_t *fixture, size_t i, double share)
{
	upstream_at(fixture, i)->others_late = (float)share;
	upstream_at(fixture, i)->others_answered = true;
}

/* Sets how many responses this instance remembers of each upstream. */
static void remember(fixture_t *fixture, float responses)
{
	for (size_t i = 0; i < MEMBERS; i++) {
		upstream_at(fixture, i)->meter.answered = responses;
		upstream_at(fixture, i)->meter.faded_ns = fixture->now_ns;
	}
}

static void update_after(fixture_t *fixture, uint64_t ms)
{
	fixture->now_ns += ms * MS;
	if (fixture->view.all_instances > 0)
		remember(fixture, RESPONSES);
	carob_outlier_detector_update(&fixture->detector, &fixture->upstreams,
				      &fixture->view, fixture->now_ns);
}

static uint32_t count_ejected(fixture_t *fixture)
{
	uint32_t count = 0;

	for (size_t i = 0; i < MEMBERS; i++)
		count += upstream_at(fixture, i)->outlier.ejected;
	CU_ASSERT_EQUAL(fixture->detector.ejected, count);
	return count;
}

/* Shares that others report, and how many upstreams are ejected by them. */
static void test_reported_shares(void)
{
	static const struct {
		double shares[MEMBERS];
		uint32_t ejected;
	} cases[] = {
		{{0}, 0},
		{{0.5}, 1},
		{{0.19, 0.1, 0.05}, 0},
		{{0.5, 0.5, 0.5, 0.5}, 4},
		/* No more than half, also if more fail. */
		{{0.5, 0.5, 0.5, 0.5, 0.5}, 4},
		{{1, 1, 1, 1, 1, 1}, 4},
		/* All fail alike. */
		{{1, 1, 1, 1, 1, 1, 1, 1}, 0},
		{{0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3}, 0},
		/* An overload: shares differ by chance. */
		{{0.5, 0.6, 0.4, 0.7, 0.5, 0.3, 0.6, 0.5}, 0},
		{{0.2, 0.1, 0.3, 0.2, 0.35, 0.1, 0.2, 0.25}, 0},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		fixture_t fixture;

		fixture_init(&fixture, true);
		for (size_t k = 0; k < MEMBERS; k++)
			report(&fixture, k, cases[i].shares[k]);
		update_after(&fixture, 1);
		CU_ASSERT_EQUAL(count_ejected(&fixture), cases[i].ejected);
		carob_upstream_table_dispose(&fixture.upstreams);
	}
}

/* A share of few responses, and lateness in an overload, are no evidence. */
static void test_weak_evidence(void)
{
	fixture_t fixture;

	fixture_init(&fixture, true);
	report(&fixture, 0, 0.5);
	remember(&fixture, 2.0F / INSTANCES);
	carob_outlier_detector_update(&fixture.detector, &fixture.upstreams,
				      &fixture.view, fixture.now_ns);
	CU_ASSERT_EQUAL(count_ejected(&fixture), 0);
	fixture.upstreams.groups[0].overloaded_ns = fixture.now_ns;
	update_after(&fixture, 2900);
	CU_ASSERT_EQUAL(count_ejected(&fixture), 0);
	update_after(&fixture, 100);
	CU_ASSERT_EQUAL(count_ejected(&fixture), 1);
	carob_upstream_table_dispose(&fixture.upstreams);
}

typedef struct failing_case {
	bool shares_load;
	double share;
	double others;
	bool overloaded;
	bool failing;
} failing_case_t;

/* Requests in progress may only be reset at an upstream that fails by the
 * reports of all, while the others of its group do not: a reset of one that has
 * a queue would break off what it serves. */
static void test_failing(void)
{
	static const failing_case_t cases[] = {
		{true, 0.5, 0, false, true},	{true, 0.35, 0, false, false},
		{true, 0.9, 0.1, false, false}, {true, 0.9, 0, true, false},
		{false, 1, 0, false, false},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		const failing_case_t *c = &cases[i];
		fixture_t fixture;

		fixture_init(&fixture, c->shares_load);
		for (size_t k = 0; k < MEMBERS; k++)
			report(&fixture, k, k == 0 ? c->share : c->others);
		remember(&fixture, 10);
		upstream_at(&fixture, 0)->meter.late = 10;
		update_after(&fixture, 1);
		if (c->overloaded)
			fixture.upstreams.groups[0].overloaded_ns =
				fixture.now_ns;
		update_after(&fixture, 900);
		CU_ASSERT_FALSE(upstream_at(&fixture, 0)->outlier.failing);
		update_after(&fixture, 200);
		CU_ASSERT_EQUAL(upstream_at(&fixture, 0)->outlier.failing,
				c->failing);
		CU_ASSERT_EQUAL(fixture.detector.failing, c->failing);
		carob_upstream_table_dispose(&fixture.upstreams);
	}
}

/* Responses that one instance has seen, and whether they suffice on their own:
 * a single failure must not. */
static void test_own_responses(void)
{
	static const struct {
		uint32_t answered;
		uint32_t late;
		bool ejected;
	} cases[] = {
		{1, 1, false}, {2, 2, true},   {2, 1, false},  {8, 2, false},
		{10, 4, true}, {20, 3, false}, {20, 10, true},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		fixture_t fixture;

		fixture_init(&fixture, false);
		update_after(&fixture, 0);
		for (uint32_t k = 0; k < cases[i].answered; k++)
			carob_load_meter_record(upstream_at(&fixture, 0),
						k < cases[i].late);
		update_after(&fixture, 100);
		CU_ASSERT_EQUAL(count_ejected(&fixture), cases[i].ejected);
		carob_upstream_table_dispose(&fixture.upstreams);
	}
}

/* An upstream returns when its share has fallen well below the one that it was
 * ejected for, not before. */
static void test_return(void)
{
	fixture_t fixture;

	fixture_init(&fixture, true);
	report(&fixture, 0, 0.5);
	update_after(&fixture, 100);
	report(&fixture, 0, 0.15);
	update_after(&fixture, 5000);
	CU_ASSERT_EQUAL(count_ejected(&fixture), 1);
	report(&fixture, 0, 0.05);
	update_after(&fixture, 100);
	CU_ASSERT_EQUAL(count_ejected(&fixture), 0);
	CU_ASSERT_EQUAL(fixture.detector.returns, 1);
	carob_upstream_table_dispose(&fixture.upstreams);
}

/* Without any response, an upstream returns after 1 s, and after 2 s if it is
 * ejected again soon; otherwise one without trials would stay out. */
static void test_return_unknown(void)
{
	static const uint64_t waits_ms[] = {1000, 2000, 2000, 2000};
	fixture_t fixture;

	fixture_init(&fixture, true);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(waits_ms); i++) {
		report(&fixture, 0, 0.5);
		update_after(&fixture, 100);
		CU_ASSERT_EQUAL(count_ejected(&fixture), 1);
		report(&fixture, 0, 0);
		upstream_at(&fixture, 0)->others_answered = false;
		update_after(&fixture, waits_ms[i] - 100);
		CU_ASSERT_EQUAL(count_ejected(&fixture), 1);
		update_after(&fixture, 100);
		CU_ASSERT_EQUAL(count_ejected(&fixture), 0);
	}
	carob_upstream_table_dispose(&fixture.upstreams);
}

/* What failed before an upstream started again is not held against it. */
static void test_restart(void)
{
	fixture_t fixture;
	carob_upstream_entry_t entry = {.id = CAROB_STR("ua"),
					.number = 1,
					.service = CAROB_STR("web"),
					.zone = CAROB_STR("a"),
					.endpoint = {0x0a800001, 8080},
					.slots = 2,
					.started_ms = 1};

	fixture_init(&fixture, true);
	report(&fixture, 0, 0.5);
	update_after(&fixture, 100);
	CU_ASSERT_EQUAL(count_ejected(&fixture), 1);
	CU_ASSERT_EQUAL(carob_upstream_table_put(&fixture.upstreams, &entry,
						 100, fixture.now_ns),
			0);
	CU_ASSERT_FALSE(upstream_at(&fixture, 0)->outlier.ejected);
	carob_upstream_table_dispose(&fixture.upstreams);
}

/* An upstream that drains is in no group; a verdict that nothing renews would
 * let requests be reset that it serves. */
static void test_draining(void)
{
	fixture_t fixture;
	fixture_upstream_t row =
		UPSTREAM("ua", 1, "web", "a", 2, .draining = true);

	fixture_init(&fixture, true);
	report(&fixture, 0, 0.9);
	update_after(&fixture, 100);
	update_after(&fixture, 1100);
	CU_ASSERT_TRUE(upstream_at(&fixture, 0)->outlier.failing);
	fixture_put(&fixture.upstreams, &row, 100);
	CU_ASSERT_FALSE(upstream_at(&fixture, 0)->outlier.failing);
	CU_ASSERT_FALSE(upstream_at(&fixture, 0)->outlier.ejected);
	carob_upstream_table_dispose(&fixture.upstreams);
}

/* Returns the share of flows that are placed on ejected upstreams. */
static double share_placed(fixture_t *fixture, bool once)
{
	const uint32_t flows = 4000;
	uint32_t there = 0;

	for (uint32_t i = 0; i < flows; i++) {
		carob_placement_query_t query = {
			.flow_hash = carob_hash_u64(i + 1),
			.except = CAROB_UPSTREAM_NONE,
			.once = once,
			.now_ns = fixture->now_ns,
			.view = &fixture->view,
		};
		carob_upstream_index_t to =
			carob_placement_choose(&fixture->upstreams, &query);

		CU_ASSERT_NOT_EQUAL_FATAL(to, CAROB_UPSTREAM_NONE);
		there += upstream_at(fixture, to)->outlier.ejected;
	}
	return (double)there / flows;
}

/* Requests that may run once are no trials; of the others, at most one in
 * eight is. If all upstreams were ejected, flows would still be placed. */
static void test_placement(void)
{
	for (int shared = 0; shared <= 1; shared++) {
		fixture_t fixture;

		fixture_init(&fixture, shared);
		for (size_t i = 0; i < 3; i++)
			upstream_at(&fixture, i)->outlier.ejected = true;
		CU_ASSERT_EQUAL(share_placed(&fixture, true), 0);
		CU_ASSERT_TRUE(share_placed(&fixture, false) > 0.01);
		CU_ASSERT_TRUE(share_placed(&fixture, false) < 0.15);
		for (size_t i = 0; i < MEMBERS; i++)
			upstream_at(&fixture, i)->outlier.ejected = true;
		CU_ASSERT_EQUAL(share_placed(&fixture, true), 1);
		carob_upstream_table_dispose(&fixture.upstreams);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"reported shares", test_reported_shares},
		{"weak evidence", test_weak_evidence},
		{"failing", test_failing},
		{"own responses", test_own_responses},
		{"return", test_return},
		{"return without responses", test_return_unknown},
		{"restart", test_restart},
		{"draining", test_draining},
		{"placement", test_placement},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("outlier-detector", cases, CAROB_ARRAY_SIZE(cases));
}
