#include "carobtrail/catalog.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "test_runner.h"

#include <string.h>

#define MS CAROB_NS_PER_MS

typedef enum call_kind {
	CALL_NONE,
	CALL_LIST,
	CALL_WATCH,
} call_kind_t;

/* A catalogue on a manual clock, with a source whose responses are given by
 * the tests. */
typedef struct bed {
	carob_catalog_source_t source;
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_catalog_t *catalog;
	carob_catalog_reader_t *reader;
	call_kind_t call;  /* the read in progress */
	char after[64];	   /* argument of the last listing */
	uint64_t revision; /* argument of the last watch */
	uint32_t wait_ms;
	uint32_t timeout_ms;
	int calls; /* number of reads so far */
} bed_t;

static void bed_list(carob_catalog_source_t *source,
		     carob_catalog_reader_t *reader, carob_str_t after,
		     uint32_t timeout_ms)
{
	bed_t *bed = (bed_t *)source;

	bed->call = CALL_LIST;
	bed->reader = reader;
	bed->timeout_ms = timeout_ms;
	bed->calls++;
	memcpy(bed->after, after.len ? after.ptr : "", after.len);
	bed->after[after.len] = '\0';
}

static void bed_watch(carob_catalog_source_t *source,
		      carob_catalog_reader_t *reader, uint64_t after,
		      uint32_t wait_ms, uint32_t timeout_ms)
{
	bed_t *bed = (bed_t *)source;

	bed->call = CALL_WATCH;
	bed->reader = reader;
	bed->revision = after;
	bed->wait_ms = wait_ms;
	bed->timeout_ms = timeout_ms;
	bed->calls++;
}

static void bed_cancel(carob_catalog_source_t *source)
{
	((bed_t *)source)->call = CALL_NONE;
}

static const carob_catalog_source_ops_t bed_ops = {
	.list = bed_list,
	.watch = bed_watch,
	.cancel = bed_cancel,
};

static void bed_init(bed_t *bed)
{
	carob_catalog_options_t options = CAROB_CATALOG_OPTIONS_INIT;

	memset(bed, 0, sizeof(*bed));
	bed->source.ops = &bed_ops;
	carob_manual_clock_init(&bed->clock, 1000 * CAROB_NS_PER_S);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&bed->kernel, &bed->clock.clock),
			      0);
	options.kernel = bed->kernel;
	options.source = &bed->source;
	options.routes = &bed->routes;
	options.upstreams = &bed->upstreams;
	CU_ASSERT_EQUAL_FATAL(carob_catalog_new(&bed->catalog, &options), 0);
	carob_catalog_start(bed->catalog);
}

static void bed_dispose(bed_t *bed)
{
	carob_catalog_free(bed->catalog);
	carob_route_table_dispose(&bed->routes);
	carob_upstream_table_dispose(&bed->upstreams);
	carob_kernel_free(bed->kernel);
}

static void pass(bed_t *bed, uint64_t ms)
{
	carob_manual_clock_advance(&bed->clock, ms * MS);
	carob_kernel_run_due(bed->kernel);
}

static void answer(bed_t *bed, const carob_catalog_reply_t *reply)
{
	CU_ASSERT_NOT_EQUAL_FATAL(bed->call, CALL_NONE);
	bed->call = CALL_NONE;
	bed->reader->done(bed->reader, reply);
}

static void fail(bed_t *bed, int result)
{
	carob_catalog_reply_t reply = {.result = result};

	(void)carob_error_set(result, "no response");
	answer(bed, &reply);
}

static carob_catalog_change_t upstream(const char *id, uint64_t revision,
				       bool draining)
{
	return (carob_catalog_change_t){
		.kind = CAROB_CATALOG_UPSTREAM,
		.revision = revision,
		.upstream_id = carob_str_from(id),
		.upstream = {.id = carob_str_from(id),
			     .number = (uint64_t)id[2],
			     .service = CAROB_STR("desk"),
			     .zone = CAROB_STR("hou-a"),
			     .endpoint = {0x0a800001, 80},
			     .slots = 2,
			     .draining = draining},
	};
}

static carob_catalog_change_t removal(const char *id, uint64_t revision)
{
	return (carob_catalog_change_t){
		.kind = CAROB_CATALOG_UPSTREAM_REMOVED,
		.revision = revision,
		.upstream_id = carob_str_from(id),
	};
}

static carob_catalog_change_t config(uint64_t version, uint64_t revision)
{
	static const carob_catalog_route_t route = {
		.endpoint = {0xc6120001, 443},
		.share_count = 1,
		.shares = {{.service = {"desk", 4}, .weight = 1}},
	};

	return (carob_catalog_change_t){
		.kind = CAROB_CATALOG_CONFIG,
		.revision = revision,
		.config = {.version = version, .count = 1, .routes = &route},
	};
}

static void answer_with(bed_t *bed, uint64_t revision,
			const carob_catalog_change_t *changes, size_t count)
{
	carob_catalog_reply_t reply = {
		.revision = revision, .count = count, .changes = changes};

	answer(bed, &reply);
}

/* Responds with a configuration and the upstreams i-a and i-b. */
static void list_two(bed_t *bed)
{
	const carob_catalog_change_t changes[] = {
		config(4, 2),
		upstream("i-a", 3, false),
		upstream("i-b", 4, false),
	};

	answer_with(bed, 10, changes, CAROB_ARRAY_SIZE(changes));
}

static void expect_state(const bed_t *bed, const char *id,
			 carob_upstream_state_t state)
{
	carob_upstream_index_t at =
		carob_upstream_table_by_id(&bed->upstreams, carob_str_from(id));

	CU_ASSERT_NOT_EQUAL_FATAL(at, CAROB_UPSTREAM_NONE);
	CU_ASSERT_EQUAL(bed->upstreams.items[at].state, state);
	if (bed->upstreams.items[at].state != state)
		printf("\n%s is %s", id,
		       carob_upstream_state_name(
			       bed->upstreams.items[at].state));
}

static void test_listing_then_watching(void)
{
	bed_t bed;

	bed_init(&bed);
	CU_ASSERT_EQUAL(bed.call, CALL_LIST);
	CU_ASSERT_FALSE(carob_catalog_complete(bed.catalog));
	list_two(&bed);
	CU_ASSERT_TRUE(carob_catalog_complete(bed.catalog));
	CU_ASSERT_EQUAL(bed.call, CALL_WATCH);
	CU_ASSERT_EQUAL(bed.revision, 10);
	bed_dispose(&bed);
}

/* If the connection of a watch gets no response, the watch must time out early
 * enough for another read within `contact_ms`, which is 4 s here. */
static void test_a_silent_watch_ends_in_time(void)
{
	bed_t bed;

	bed_init(&bed);
	list_two(&bed);
	CU_ASSERT_TRUE(bed.wait_ms < bed.timeout_ms);
	CU_ASSERT_TRUE(bed.timeout_ms <= 3500);
	pass(&bed, bed.timeout_ms);
	fail(&bed, CAROB_EUNAVAILABLE);
	pass(&bed, 200);
	CU_ASSERT_EQUAL(bed.call, CALL_WATCH);
	CU_ASSERT_TRUE(bed.wait_ms < 100);
	bed_dispose(&bed);
}

/* When a deployment starts, the configuration is stored before the upstreams
 * register. An instance that counted as complete by then would refuse every
 * flow. Once complete, the catalogue stays so when its upstreams are gone. */
static void test_a_start_without_upstreams(void)
{
	const carob_catalog_change_t first = config(4, 2);
	const carob_catalog_change_t second = upstream("i-a", 3, false);
	const carob_catalog_change_t third = removal("i-a", 4);
	bed_t bed;

	bed_init(&bed);
	answer_with(&bed, 1, NULL, 0);
	answer_with(&bed, 2, &first, 1);
	CU_ASSERT_FALSE(carob_catalog_complete(bed.catalog));
	/* There is no pause between reads before the first upstream. */
	CU_ASSERT_EQUAL(bed.call, CALL_WATCH);
	answer_with(&bed, 3, &second, 1);
	CU_ASSERT_TRUE(carob_catalog_complete(bed.catalog));
	pass(&bed, 2000);
	answer_with(&bed, 4, &third, 1);
	CU_ASSERT_TRUE(carob_catalog_complete(bed.catalog));
	bed_dispose(&bed);
}

/* After a change, the pause before the next watch lets one call read a burst of
 * changes. It is short enough to apply them within `apply_ms`, which is 3 s. */
static void test_a_pause_after_changes(void)
{
	const carob_catalog_change_t change = upstream("i-c", 11, false);
	bed_t bed;

	bed_init(&bed);
	list_two(&bed);
	answer_with(&bed, 11, &change, 1);
	CU_ASSERT_EQUAL(bed.call, CALL_NONE);
	pass(&bed, 1000);
	CU_ASSERT_EQUAL(bed.call, CALL_NONE);
	pass(&bed, 500);
	CU_ASSERT_EQUAL(bed.call, CALL_WATCH);
	CU_ASSERT_EQUAL(bed.revision, 11);
	bed_dispose(&bed);
}

static void test_pages(void)
{
	const carob_catalog_change_t first = upstream("i-a", 3, false);
	const carob_catalog_change_t second = upstream("i-b", 14, false);
	carob_catalog_reply_t reply = {.revision = 10,
				       .truncated = true,
				       .last_key = CAROB_STR("servers/i-a"),
				       .count = 1,
				       .changes = &first};
	bed_t bed;

	bed_init(&bed);
	answer(&bed, &reply);
	CU_ASSERT_EQUAL(bed.call, CALL_LIST);
	CU_ASSERT_STRING_EQUAL(bed.after, "servers/i-a");
	answer_with(&bed, 15, &second, 1);
	/* The watch starts at the revision of the first page, so it returns
	 * the changes made between the two pages. */
	CU_ASSERT_EQUAL(bed.call, CALL_WATCH);
	CU_ASSERT_EQUAL(bed.revision, 10);
	expect_state(&bed, "i-a", CAROB_UPSTREAM_READY);
	expect_state(&bed, "i-b", CAROB_UPSTREAM_READY);
	bed_dispose(&bed);
}

/* When many instances start at once, reads of pages fail at the rate limit of
 * the store. The listing continues with the page that failed. */
static void test_a_page_that_fails(void)
{
	const carob_catalog_change_t first = upstream("i-a", 3, false);
	const carob_catalog_change_t second = upstream("i-b", 4, false);
	carob_catalog_reply_t reply = {.revision = 10,
				       .truncated = true,
				       .last_key = CAROB_STR("servers/i-a"),
				       .count = 1,
				       .changes = &first};
	bed_t bed;

	bed_init(&bed);
	answer(&bed, &reply);
	fail(&bed, CAROB_ELIMIT);
	pass(&bed, 1000);
	CU_ASSERT_EQUAL(bed.call, CALL_LIST);
	CU_ASSERT_STRING_EQUAL(bed.after, "servers/i-a");
	answer_with(&bed, 15, &second, 1);
	CU_ASSERT_EQUAL(bed.call, CALL_WATCH);
	CU_ASSERT_EQUAL(bed.revision, 10);
	expect_state(&bed, "i-a", CAROB_UPSTREAM_READY);
	bed_dispose(&bed);
}

/* After an outage, the changes may be too long for one response. The catalogue
 * then reads a listing, which is shorter. A page that is too long is retried
 * after a pause. */
static void test_an_answer_that_is_too_long(void)
{
	static const carob_catalog_reply_t partial = {
		.result = CAROB_EUNAVAILABLE, .partial = true};
	bed_t bed;

	bed_init(&bed);
	list_two(&bed);
	CU_ASSERT_EQUAL(bed.call, CALL_WATCH);
	answer(&bed, &partial);
	CU_ASSERT_EQUAL(bed.call, CALL_LIST);
	CU_ASSERT_STRING_EQUAL(bed.after, "");
	answer(&bed, &partial);
	CU_ASSERT_EQUAL(bed.call, CALL_NONE); /* a pause before the retry */
	pass(&bed, 1000);
	CU_ASSERT_EQUAL(bed.call, CALL_LIST);
	bed_dispose(&bed);
}

/* If the history of changes is lost, a new listing begins, also in the middle
 * of a listing. Upstreams that the new listing does not contain are gone. */
static void test_history_gone(void)
{
	const carob_catalog_change_t left[] = {config(4, 2),
					       upstream("i-b", 4, false)};
	bed_t bed;

	bed_init(&bed);
	list_two(&bed);
	fail(&bed, CAROB_ESTALE);
	CU_ASSERT_EQUAL(bed.call, CALL_LIST);
	CU_ASSERT_STRING_EQUAL(bed.after, "");
	fail(&bed, CAROB_ESTALE);
	CU_ASSERT_EQUAL(bed.call, CALL_LIST);
	expect_state(&bed, "i-a", CAROB_UPSTREAM_READY);
	answer_with(&bed, 20, left, CAROB_ARRAY_SIZE(left));
	expect_state(&bed, "i-a", CAROB_UPSTREAM_GONE);
	expect_state(&bed, "i-b", CAROB_UPSTREAM_READY);
	bed_dispose(&bed);
}

/* Items of an older version or revision must not replace newer ones. */
static void test_nothing_goes_backwards(void)
{
	const carob_catalog_change_t newer[] = {
		config(9, 11), upstream("i-a", 12, true), removal("i-b", 13)};
	const carob_catalog_change_t older[] = {config(4, 2),
						upstream("i-a", 3, false),
						upstream("i-b", 4, false)};
	bed_t bed;

	bed_init(&bed);
	list_two(&bed);
	answer_with(&bed, 13, newer, CAROB_ARRAY_SIZE(newer));
	pass(&bed, 2000);
	answer_with(&bed, 9, older, CAROB_ARRAY_SIZE(older));
	CU_ASSERT_EQUAL(bed.routes.config.version, 9);
	CU_ASSERT_EQUAL(carob_catalog_revision(bed.catalog), 13);
	expect_state(&bed, "i-a", CAROB_UPSTREAM_DRAINING);
	expect_state(&bed, "i-b", CAROB_UPSTREAM_GONE);
	bed_dispose(&bed);
}

/* Entries that expired in an outage of the platform count as lapsed. If they
 * are not restored within the grace period, their upstreams are gone. */
static void test_entries_that_lapse_in_an_outage(void)
{
	const carob_catalog_change_t lapsed[] = {removal("i-a", 11),
						 removal("i-b", 12)};
	const carob_catalog_change_t back = upstream("i-b", 13, false);
	bed_t bed;

	bed_init(&bed);
	list_two(&bed);
	fail(&bed, CAROB_EUNAVAILABLE);
	pass(&bed, 1000);
	answer_with(&bed, 12, lapsed, CAROB_ARRAY_SIZE(lapsed));
	expect_state(&bed, "i-a", CAROB_UPSTREAM_LAPSED);
	expect_state(&bed, "i-b", CAROB_UPSTREAM_LAPSED);
	answer_with(&bed, 13, &back, 1);
	expect_state(&bed, "i-b", CAROB_UPSTREAM_READY);
	pass(&bed, 3100);
	expect_state(&bed, "i-a", CAROB_UPSTREAM_GONE);
	expect_state(&bed, "i-b", CAROB_UPSTREAM_READY);
	bed_dispose(&bed);
}

static void test_a_removal_without_an_outage(void)
{
	const carob_catalog_change_t gone = removal("i-a", 11);
	bed_t bed;

	bed_init(&bed);
	list_two(&bed);
	answer_with(&bed, 11, &gone, 1);
	expect_state(&bed, "i-a", CAROB_UPSTREAM_GONE);
	bed_dispose(&bed);
}

/* Bounds the number of reads in an outage of 10 s: few enough not to load the
 * platform, frequent enough to notice its end soon. */
static void test_calls_in_an_outage(void)
{
	bed_t bed;
	int before;

	bed_init(&bed);
	list_two(&bed);
	before = bed.calls;
	for (int ms = 0; ms < 10000; ms += 10) {
		if (bed.call != CALL_NONE)
			fail(&bed, CAROB_EUNAVAILABLE);
		pass(&bed, 10);
	}
	CU_ASSERT_TRUE(bed.calls - before <= 22);
	CU_ASSERT_TRUE(bed.calls - before >= 9);
	expect_state(&bed, "i-a", CAROB_UPSTREAM_READY);
	bed_dispose(&bed);
}

/* After the process was suspended the catalogue may be out of date. A refresh
 * replaces the watch in progress by another one at once. */
static void test_refresh(void)
{
	bed_t bed;

	bed_init(&bed);
	list_two(&bed);
	carob_catalog_refresh(bed.catalog);
	CU_ASSERT_EQUAL(bed.call, CALL_WATCH);
	CU_ASSERT_EQUAL(bed.calls, 3);
	bed_dispose(&bed);
}

static void test_an_entry_that_becomes_unusable(void)
{
	const carob_catalog_change_t bad = {
		.kind = CAROB_CATALOG_UPSTREAM_UNUSABLE,
		.revision = 11,
		.upstream_id = CAROB_STR("i-a"),
	};
	bed_t bed;

	bed_init(&bed);
	list_two(&bed);
	answer_with(&bed, 11, &bad, 1);
	expect_state(&bed, "i-a", CAROB_UPSTREAM_GONE);
	expect_state(&bed, "i-b", CAROB_UPSTREAM_READY);
	CU_ASSERT_EQUAL(carob_catalog_counters(bed.catalog)->unusable, 1);
	bed_dispose(&bed);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"watches after the listing", test_listing_then_watching},
		{"an unresponsive watch times out within contact_ms",
		 test_a_silent_watch_ends_in_time},
		{"is complete with the first upstream",
		 test_a_start_without_upstreams},
		{"pauses after changes", test_a_pause_after_changes},
		{"lists in pages", test_pages},
		{"retries a page that failed", test_a_page_that_fails},
		{"lists again when the history is lost", test_history_gone},
		{"lists again when a response is too long",
		 test_an_answer_that_is_too_long},
		{"ignores items of older revisions",
		 test_nothing_goes_backwards},
		{"entries that expire in an outage lapse",
		 test_entries_that_lapse_in_an_outage},
		{"an entry removed without an outage is gone",
		 test_a_removal_without_an_outage},
		{"rate of reads in an outage", test_calls_in_an_outage},
		{"refresh reads at once", test_refresh},
		{"an unusable entry removes its upstream",
		 test_an_entry_that_becomes_unusable},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("catalog", cases, CAROB_ARRAY_SIZE(cases));
}
