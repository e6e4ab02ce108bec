#include "carobtrail/catalog.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "flow/catalog_changes.h"
#include "test_runner.h"

#include <string.h>

#define MS CAROB_NS_PER_MS

typedef enum read_kind {
	READ_NONE,
	READ_LIST,
	READ_WATCH,
} read_kind_t;

/* A catalogue on a manual clock, with a source whose responses are given by
 * the tests. */
typedef struct fixture {
	carob_catalog_source_t source;
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_catalog_t *catalog;
	carob_catalog_reader_t *reader;
	read_kind_t reading; /* the read in progress */
	char after[64];	     /* argument of the last listing */
	uint64_t revision;   /* argument of the last watch */
	uint32_t wait_ms;
	uint32_t timeout_ms;
	uint32_t stall_ms;
	size_t bytes_max;
	int reads; /* number of reads so far */
	uint64_t era;
	bool has_era; /* whether responses say `era` */
	carob_catalog_listener_t listener;
	int completed; /* calls of the listener */
} fixture_t;

static void fixture_list(carob_catalog_source_t *source,
			 carob_catalog_reader_t *reader, carob_str_t after,
			 uint32_t timeout_ms)
{
	fixture_t *fixture = (fixture_t *)source;

	fixture->reading = READ_LIST;
	fixture->reader = reader;
	fixture->timeout_ms = timeout_ms;
	fixture->reads++;
	memcpy(fixture->after, after.len ? after.ptr : "", after.len);
	fixture->after[after.len] = '\0';
}

static void fixture_watch(carob_catalog_source_t *source,
			  carob_catalog_reader_t *reader,
			  const carob_catalog_watch_t *watch)
{
	fixture_t *fixture = (fixture_t *)source;

	fixture->reading = READ_WATCH;
	fixture->reader = reader;
	fixture->revision = watch->after;
	fixture->wait_ms = watch->wait_ms;
	fixture->timeout_ms = watch->timeout_ms;
	fixture->stall_ms = watch->stall_ms;
	fixture->bytes_max = watch->bytes_max;
	fixture->reads++;
}

static void fixture_cancel(carob_catalog_source_t *source)
{
	((fixture_t *)source)->reading = READ_NONE;
}

static void fixture_complete(carob_catalog_listener_t *listener)
{
	CAROB_CONTAINER_OF(listener, fixture_t, listener)->completed++;
}

static const carob_catalog_source_ops_t fixture_ops = {
	.list = fixture_list,
	.watch = fixture_watch,
	.cancel = fixture_cancel,
};

static void fixture_init_link(fixture_t *fixture, double link_mbps)
{
	carob_catalog_options_t options = CAROB_CATALOG_OPTIONS_INIT;

	memset(fixture, 0, sizeof(*fixture));
	fixture->source.ops = &fixture_ops;
	carob_manual_clock_init(&fixture->clock, 1000 * CAROB_NS_PER_S);
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&fixture->kernel, &fixture->clock.clock), 0);
	options.kernel = fixture->kernel;
	options.source = &fixture->source;
	options.routes = &fixture->routes;
	options.upstreams = &fixture->upstreams;
	options.link_mbps = link_mbps;
	fixture->listener.complete = fixture_complete;
	options.listener = &fixture->listener;
	CU_ASSERT_EQUAL_FATAL(carob_catalog_new(&fixture->catalog, &options),
			      0);
	carob_catalog_start(fixture->catalog);
}

static void fixture_init(fixture_t *fixture)
{
	fixture_init_link(fixture, 0);
}

static void fixture_dispose(fixture_t *fixture)
{
	carob_catalog_free(fixture->catalog);
	carob_route_table_dispose(&fixture->routes);
	carob_upstream_table_dispose(&fixture->upstreams);
	carob_kernel_free(fixture->kernel);
}

static void advance(fixture_t *fixture, uint64_t ms)
{
	carob_manual_clock_advance(&fixture->clock, ms * MS);
	carob_kernel_run_due(fixture->kernel);
}

static void respond(fixture_t *fixture, const carob_catalog_reply_t *reply)
{
	carob_catalog_reply_t sent = *reply;

	CU_ASSERT_NOT_EQUAL_FATAL(fixture->reading, READ_NONE);
	sent.has_era = fixture->has_era;
	sent.era = fixture->era;
	fixture->reading = READ_NONE;
	fixture->reader->done(fixture->reader, &sent);
}

static void respond_error(fixture_t *fixture, int result)
{
	carob_catalog_reply_t reply = {.result = result};

	(void)carob_error_set(result, "no response");
	respond(fixture, &reply);
}

static carob_catalog_change_t upstream_change(const char *id, uint64_t revision,
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

static carob_catalog_change_t removal_change(const char *id, uint64_t revision)
{
	return (carob_catalog_change_t){
		.kind = CAROB_CATALOG_UPSTREAM_REMOVED,
		.revision = revision,
		.upstream_id = carob_str_from(id),
	};
}

static void respond_with(fixture_t *fixture, uint64_t revision,
			 const carob_catalog_change_t *changes, size_t count)
{
	carob_catalog_reply_t reply = {
		.revision = revision, .count = count, .changes = changes};

	respond(fixture, &reply);
}

/* An entry without `cold_ms` is cold for the time that the configuration
 * states for its service. Further reports of the same start must not begin this
 * time anew, and without a stated time the entry stays unusable. */
static void test_entry_without_cold_time(void)
{
	static const carob_catalog_service_t service = {
		.name = {"desk", 4}, .cold_per_s = 3, .cold_start_ms = 8000};
	fixture_t fixture;
	carob_catalog_change_t changes[] = {
		catalog_config_change(4, 2),
		upstream_change("i-a", 3, false),
	};
	carob_catalog_change_t later = upstream_change("i-a", 12, false);
	uint64_t cold_until_ns;

	changes[0].config.services = &service;
	changes[0].config.service_count = 1;
	changes[1].upstream.cold_unstated = true;
	later.upstream.cold_unstated = true;
	fixture_init(&fixture);
	respond_with(&fixture, 10, changes, 2);
	CU_ASSERT_EQUAL_FATAL(fixture.upstreams.count, 1);
	cold_until_ns = fixture.upstreams.items[0].cold_until_ns;
	CU_ASSERT_EQUAL(cold_until_ns, fixture.clock.now_ns + 8000 * MS);
	CU_ASSERT_EQUAL(
		carob_route_table_service(&fixture.routes, 0)->cold_per_s, 3);
	advance(&fixture, 500);
	respond_with(&fixture, 12, &later, 1);
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].revision, 12);
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].cold_until_ns,
			cold_until_ns);
	advance(&fixture, 2000);
	changes[0] = catalog_config_change(5, 13);
	changes[1] = upstream_change("i-a", 14, false);
	changes[1].upstream.cold_unstated = true;
	respond_with(&fixture, 14, changes, 2);
	CU_ASSERT_EQUAL(carob_catalog_counters(fixture.catalog)->unusable, 1);
	CU_ASSERT_EQUAL(fixture.upstreams.items[0].state, CAROB_UPSTREAM_GONE);
	fixture_dispose(&fixture);
}

/* Responds with a configuration and the upstreams i-a and i-b, in a body of a
 * given length. */
static void respond_listing_of(fixture_t *fixture, size_t bytes)
{
	const carob_catalog_change_t changes[] = {
		catalog_config_change(4, 2),
		upstream_change("i-a", 3, false),
		upstream_change("i-b", 4, false),
	};

	respond(fixture,
		&(carob_catalog_reply_t){.revision = 10,
					 .count = CAROB_ARRAY_SIZE(changes),
					 .changes = changes,
					 .bytes = bytes});
}

static void respond_listing(fixture_t *fixture)
{
	respond_listing_of(fixture, 0);
}

/* Returns whether the upstream is in the state. */
static bool expect_state(const fixture_t *fixture, const char *id,
			 carob_upstream_state_t state)
{
	carob_upstream_index_t index = carob_upstream_table_by_id(
		&fixture->upstreams, carob_str_from(id));

	CU_ASSERT_NOT_EQUAL_FATAL(index, CAROB_UPSTREAM_NONE);
	CU_ASSERT_EQUAL(fixture->upstreams.items[index].state, state);
	if (fixture->upstreams.items[index].state != state)
		printf("\n%s is %s", id,
		       carob_upstream_state_name(
			       fixture->upstreams.items[index].state));
	return fixture->upstreams.items[index].state == state;
}

static void test_watch_after_listing(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	CU_ASSERT_EQUAL(fixture.reading, READ_LIST);
	CU_ASSERT_FALSE(carob_catalog_complete(fixture.catalog));
	respond_listing(&fixture);
	CU_ASSERT_TRUE(carob_catalog_complete(fixture.catalog));
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_EQUAL(fixture.revision, 10);
	fixture_dispose(&fixture);
}

/* If the connection of a watch gets no response, the watch must time out early
 * enough for another read within `contact_ms`, which is 4 s here. */
static void test_unresponsive_watch(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	respond_listing(&fixture);
	CU_ASSERT_TRUE(fixture.wait_ms < fixture.timeout_ms);
	CU_ASSERT_TRUE(fixture.timeout_ms <= 3500);
	advance(&fixture, fixture.timeout_ms);
	respond_error(&fixture, CAROB_EUNAVAILABLE);
	advance(&fixture, 200);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_TRUE(fixture.wait_ms < 100);
	fixture_dispose(&fixture);
}

/* All connections to the store fall silent just after a response. The instance
 * must have read the store again within `contact_ms`, also if it paused before
 * it used the connection again. */
static void test_silence_after_response(void)
{
	static const struct {
		uint32_t contact_ms;
		uint32_t apply_ms;
		size_t count;	  /* changes of the response */
		uint32_t age_ms;  /* time that the response took */
		double link_mbps; /* 569 KB take 455 ms at 10 Mbit/s */
	} cases[] = {
		{4000, 3000, 0, 0, 0},	  {4000, 3000, 1, 0, 0},
		{4000, 3000, 1, 900, 0},  {5000, 5000, 1, 0, 200},
		{5000, 5000, 1, 0, 10},	  {5000, 5000, 1, 1900, 10},
		{5000, 5000, 0, 400, 10}, {6000, 6000, 1, 0, 20},
		{6000, 6000, 0, 0, 20},	  {5000, 5000, 250, 1900, 10},
	};
	static carob_catalog_change_t changes[250];

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(changes); i++)
		changes[i] = (carob_catalog_change_t){
			.kind = CAROB_CATALOG_OTHER, .revision = 11 + i};
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		carob_catalog_reply_t reply = {.revision = 400,
					       .count = cases[i].count,
					       .changes = changes,
					       .age_ms = cases[i].age_ms};
		fixture_t fixture;
		uint64_t spent_ms = cases[i].age_ms;

		fixture_init_link(&fixture, cases[i].link_mbps);
		carob_catalog_set_deadlines(fixture.catalog,
					    cases[i].contact_ms,
					    cases[i].apply_ms);
		respond_listing_of(&fixture, 569000);
		advance(&fixture, cases[i].age_ms);
		respond(&fixture, &reply);
		for (; fixture.reading == READ_NONE; spent_ms++)
			advance(&fixture, 1);
		CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
		CU_ASSERT_TRUE(fixture.wait_ms < fixture.timeout_ms);
		CU_ASSERT_TRUE(fixture.stall_ms <= 1500);
		advance(&fixture, fixture.timeout_ms);
		spent_ms += fixture.timeout_ms;
		respond_error(&fixture, CAROB_EUNAVAILABLE);
		for (; fixture.reading == READ_NONE; spent_ms++)
			advance(&fixture, 1);
		if (cases[i].link_mbps == 10)
			spent_ms += 455;
		CU_ASSERT_TRUE(spent_ms < cases[i].contact_ms);
		if (spent_ms >= cases[i].contact_ms)
			printf("\ncase %zu: read after %llu ms", i,
			       (unsigned long long)spent_ms);
		fixture_dispose(&fixture);
	}
}

/* A listing that takes longer on the own link than there is time must not make
 * the instance ask the store without pauses. */
static void test_listing_longer_than_contact_time(void)
{
	fixture_t fixture;

	fixture_init_link(&fixture, 1);
	respond_listing_of(&fixture, 4000000);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_TRUE(fixture.wait_ms >= 1000);
	fixture_dispose(&fixture);
}

/* When a deployment starts, the configuration is stored before the upstreams
 * register. An instance that counted as complete by then would refuse every
 * flow. Once complete, the catalogue stays so when its upstreams are gone. */
static void test_complete_with_first_upstream(void)
{
	const carob_catalog_change_t first = catalog_config_change(4, 2);
	const carob_catalog_change_t second = upstream_change("i-a", 3, false);
	const carob_catalog_change_t third = removal_change("i-a", 4);
	fixture_t fixture;

	fixture_init(&fixture);
	respond_with(&fixture, 1, NULL, 0);
	respond_with(&fixture, 2, &first, 1);
	CU_ASSERT_FALSE(carob_catalog_complete(fixture.catalog));
	CU_ASSERT_EQUAL(fixture.completed, 0);
	/* There is no pause between reads before the first upstream. */
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	respond_with(&fixture, 3, &second, 1);
	CU_ASSERT_TRUE(carob_catalog_complete(fixture.catalog));
	CU_ASSERT_EQUAL(fixture.completed, 1);
	advance(&fixture, 2000);
	respond_with(&fixture, 4, &third, 1);
	CU_ASSERT_TRUE(carob_catalog_complete(fixture.catalog));
	CU_ASSERT_EQUAL(fixture.completed, 1);
	fixture_dispose(&fixture);
}

/* After a change, the pause before the next watch lets one call read a burst of
 * changes. It is short enough to apply them within `apply_ms`, which is 3 s. */
static void test_pause_after_changes(void)
{
	const carob_catalog_change_t change = upstream_change("i-c", 11, false);
	fixture_t fixture;

	fixture_init(&fixture);
	respond_listing(&fixture);
	respond_with(&fixture, 11, &change, 1);
	CU_ASSERT_EQUAL(fixture.reading, READ_NONE);
	advance(&fixture, 1000);
	CU_ASSERT_EQUAL(fixture.reading, READ_NONE);
	advance(&fixture, 500);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_EQUAL(fixture.revision, 11);
	fixture_dispose(&fixture);
}

/* The pause runs from when the platform confirmed the changes: what was written
 * while they were on a slow link waits since then. */
static void test_pause_after_slow_response(void)
{
	static const struct {
		uint32_t age_ms;
		uint64_t pause_ms;
	} cases[] = {{0, 1200}, {500, 700}, {1200, 0}, {5000, 0}};
	const carob_catalog_change_t change = upstream_change("i-c", 11, false);

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		carob_catalog_reply_t reply = {.revision = 11,
					       .count = 1,
					       .changes = &change,
					       .age_ms = cases[i].age_ms};
		fixture_t fixture;

		fixture_init(&fixture);
		respond_listing(&fixture);
		respond(&fixture, &reply);
		if (cases[i].pause_ms)
			advance(&fixture, cases[i].pause_ms - 1);
		CU_ASSERT_EQUAL(fixture.reading, READ_NONE);
		advance(&fixture, 1);
		CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
		fixture_dispose(&fixture);
	}
}

/* Changes that are longer than a listing must not be read on a slow link: each
 * version of a large configuration is among them. */
static void test_changes_longer_than_listing(void)
{
	static const struct {
		double link_mbps;
		size_t list_bytes; /* of each of the two pages */
		size_t bytes_max;
	} cases[] = {
		{0, 400000, 0},	      /* the rate is not known */
		{10, 400000, 800000}, /* as long as the listing */
		{10, 1000, 234375},   /* 187.5 ms of the link, 1/16 of 3 s */
		{1500, 400000, 35156250},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		const carob_catalog_change_t change =
			catalog_config_change(4, 2);
		carob_catalog_reply_t page = {.revision = 10,
					      .count = 1,
					      .changes = &change,
					      .bytes = cases[i].list_bytes};
		fixture_t fixture;

		fixture_init_link(&fixture, cases[i].link_mbps);
		page.truncated = true;
		page.last_key = CAROB_STR("servers/i-a");
		respond(&fixture, &page);
		page.truncated = false;
		respond(&fixture, &page);
		CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
		CU_ASSERT_EQUAL(fixture.bytes_max, cases[i].bytes_max);
		fixture_dispose(&fixture);
	}
}

/* A watch returns 500 changes or 1 MB at most. After so many, the next ones are
 * read at once: with a pause between any two reads, an instance would fall
 * behind ever more when many upstreams are replaced or large versions come. */
static void test_backlog(void)
{
	static const struct {
		size_t count;
		size_t bytes;
		read_kind_t next;
	} cases[] = {{1, 300, READ_NONE},
		     {100, 30000, READ_NONE},
		     {500, 150000, READ_WATCH},
		     {1, 500000, READ_NONE},
		     {2, 1000000, READ_WATCH}};
	static carob_catalog_change_t changes[500];

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(changes); i++)
		changes[i] = (carob_catalog_change_t){
			.kind = CAROB_CATALOG_OTHER, .revision = 11 + i};
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		fixture_t fixture;

		fixture_init(&fixture);
		respond_listing(&fixture);
		respond(&fixture, &(carob_catalog_reply_t){
					  .revision = 10 + cases[i].count,
					  .count = cases[i].count,
					  .bytes = cases[i].bytes,
					  .changes = changes});
		CU_ASSERT_EQUAL(fixture.reading, cases[i].next);
		fixture_dispose(&fixture);
	}
}

static void test_pages(void)
{
	const carob_catalog_change_t first = upstream_change("i-a", 3, false);
	const carob_catalog_change_t second = upstream_change("i-b", 14, false);
	carob_catalog_reply_t reply = {.revision = 10,
				       .truncated = true,
				       .last_key = CAROB_STR("servers/i-a"),
				       .count = 1,
				       .changes = &first};
	fixture_t fixture;

	fixture_init(&fixture);
	respond(&fixture, &reply);
	CU_ASSERT_EQUAL(fixture.reading, READ_LIST);
	CU_ASSERT_STRING_EQUAL(fixture.after, "servers/i-a");
	respond_with(&fixture, 15, &second, 1);
	/* The watch starts at the revision of the first page, so it returns
	 * the changes made between the two pages. */
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_EQUAL(fixture.revision, 10);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_READY);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_READY);
	fixture_dispose(&fixture);
}

/* When many instances start at once, reads of pages fail at the rate limit of
 * the store. The listing continues with the page that failed. */
static void test_failed_page(void)
{
	const carob_catalog_change_t first = upstream_change("i-a", 3, false);
	const carob_catalog_change_t second = upstream_change("i-b", 4, false);
	carob_catalog_reply_t reply = {.revision = 10,
				       .truncated = true,
				       .last_key = CAROB_STR("servers/i-a"),
				       .count = 1,
				       .changes = &first};
	fixture_t fixture;

	fixture_init(&fixture);
	respond(&fixture, &reply);
	respond_error(&fixture, CAROB_ELIMIT);
	advance(&fixture, 1000);
	CU_ASSERT_EQUAL(fixture.reading, READ_LIST);
	CU_ASSERT_STRING_EQUAL(fixture.after, "servers/i-a");
	respond_with(&fixture, 15, &second, 1);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_EQUAL(fixture.revision, 10);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_READY);
	fixture_dispose(&fixture);
}

/* After an outage, the changes may be too long for one response. The catalogue
 * then reads a listing, which is shorter. A page that is too long is retried
 * after a pause. */
static void test_response_too_long(void)
{
	static const carob_catalog_reply_t partial = {
		.result = CAROB_EUNAVAILABLE, .partial = true};
	fixture_t fixture;

	fixture_init(&fixture);
	respond_listing(&fixture);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	respond(&fixture, &partial);
	CU_ASSERT_EQUAL(fixture.reading, READ_LIST);
	CU_ASSERT_STRING_EQUAL(fixture.after, "");
	respond(&fixture, &partial);
	CU_ASSERT_EQUAL(fixture.reading,
			READ_NONE); /* a pause before the retry */
	advance(&fixture, 1000);
	CU_ASSERT_EQUAL(fixture.reading, READ_LIST);
	fixture_dispose(&fixture);
}

/* If the history of changes is lost, a new listing begins, also in the middle
 * of a listing. Upstreams that the new listing does not contain are gone. */
static void test_lost_history(void)
{
	const carob_catalog_change_t remaining[] = {
		catalog_config_change(4, 2), upstream_change("i-b", 4, false)};
	fixture_t fixture;

	fixture_init(&fixture);
	respond_listing(&fixture);
	respond_error(&fixture, CAROB_ESTALE);
	CU_ASSERT_EQUAL(fixture.reading, READ_LIST);
	CU_ASSERT_STRING_EQUAL(fixture.after, "");
	respond_error(&fixture, CAROB_ESTALE);
	CU_ASSERT_EQUAL(fixture.reading, READ_LIST);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_READY);
	respond_with(&fixture, 20, remaining, CAROB_ARRAY_SIZE(remaining));
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_GONE);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_READY);
	fixture_dispose(&fixture);
}

/* Items of an older version or revision must not replace newer ones. */
static void test_older_items(void)
{
	const carob_catalog_change_t newer[] = {
		catalog_config_change(9, 11), upstream_change("i-a", 12, true),
		removal_change("i-b", 13)};
	const carob_catalog_change_t older[] = {
		catalog_config_change(4, 2), upstream_change("i-a", 3, false),
		upstream_change("i-b", 4, false)};
	fixture_t fixture;

	fixture_init(&fixture);
	respond_listing(&fixture);
	respond_with(&fixture, 13, newer, CAROB_ARRAY_SIZE(newer));
	advance(&fixture, 2000);
	respond_with(&fixture, 9, older, CAROB_ARRAY_SIZE(older));
	CU_ASSERT_EQUAL(fixture.routes.config.version, 9);
	CU_ASSERT_EQUAL(carob_catalog_revision(fixture.catalog), 13);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_DRAINING);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_GONE);
	fixture_dispose(&fixture);
}

/* Entries that expired in an outage of the platform count as lapsed. If they
 * are not restored within the grace period, their upstreams are gone. */
static void test_entries_expired_in_outage(void)
{
	const carob_catalog_change_t lapsed[] = {removal_change("i-a", 11),
						 removal_change("i-b", 12)};
	const carob_catalog_change_t restored =
		upstream_change("i-b", 13, false);
	fixture_t fixture;

	fixture_init(&fixture);
	respond_listing(&fixture);
	respond_error(&fixture, CAROB_EUNAVAILABLE);
	advance(&fixture, 1000);
	respond_with(&fixture, 12, lapsed, CAROB_ARRAY_SIZE(lapsed));
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_LAPSED);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_LAPSED);
	respond_with(&fixture, 13, &restored, 1);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_READY);
	advance(&fixture, 3100);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_GONE);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_READY);
	fixture_dispose(&fixture);
}

static void test_removal_without_outage(void)
{
	const carob_catalog_change_t removal = removal_change("i-a", 11);
	fixture_t fixture;

	fixture_init(&fixture);
	respond_listing(&fixture);
	respond_with(&fixture, 11, &removal, 1);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_GONE);
	fixture_dispose(&fixture);
}

/* Bounds the number of reads in an outage of 10 s: few enough not to load the
 * platform, frequent enough to notice its end soon. */
static void test_reads_in_outage(void)
{
	fixture_t fixture;
	int before;

	fixture_init(&fixture);
	respond_listing(&fixture);
	before = fixture.reads;
	for (int ms = 0; ms < 10000; ms += 10) {
		if (fixture.reading != READ_NONE)
			respond_error(&fixture, CAROB_EUNAVAILABLE);
		advance(&fixture, 10);
	}
	CU_ASSERT_TRUE(fixture.reads - before <= 22);
	CU_ASSERT_TRUE(fixture.reads - before >= 9);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_READY);
	fixture_dispose(&fixture);
}

/* After the process was suspended the catalogue may be out of date. A refresh
 * replaces the watch in progress by another one at once. */
static void test_refresh(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	respond_listing(&fixture);
	carob_catalog_refresh(fixture.catalog);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_EQUAL(fixture.reads, 3);
	fixture_dispose(&fixture);
}

static void test_unusable_entry(void)
{
	const carob_catalog_change_t unusable = {
		.kind = CAROB_CATALOG_UPSTREAM_UNUSABLE,
		.revision = 11,
		.upstream_id = CAROB_STR("i-a"),
	};
	fixture_t fixture;

	fixture_init(&fixture);
	respond_listing(&fixture);
	respond_with(&fixture, 11, &unusable, 1);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_GONE);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_READY);
	CU_ASSERT_EQUAL(carob_catalog_counters(fixture.catalog)->unusable, 1);
	fixture_dispose(&fixture);
}

/* The state of an upstream that a copy of the platform's data may hold. */
typedef enum copy_of_upstream {
	COPY_MISSING,
	COPY_READY,
	COPY_DRAINING,
} copy_of_upstream_t;

static carob_catalog_change_t report(const char *id, uint64_t revision,
				     uint64_t sequence, bool draining)
{
	carob_catalog_change_t change = upstream_change(id, revision, draining);

	change.upstream.sequence = sequence;
	change.upstream.started_ms = 5000;
	return change;
}

/* Lists i-a and i-b in era 1, with sequence 3, up to revision 100. */
static void begin_first_era(fixture_t *fixture)
{
	const carob_catalog_change_t changes[] = {
		catalog_config_change(4, 2),
		report("i-a", 90, 3, false),
		report("i-b", 91, 3, false),
	};

	fixture_init(fixture);
	fixture->has_era = true;
	fixture->era = 1;
	respond_with(fixture, 100, changes, CAROB_ARRAY_SIZE(changes));
}

/* Responds to a listing with the configuration, i-b, and i-a as the platform
 * has it. */
static void respond_copy(fixture_t *fixture, copy_of_upstream_t copy,
			 uint64_t sequence)
{
	const carob_catalog_change_t changes[] = {
		catalog_config_change(4, 2),
		report("i-b", 4, 3, false),
		report("i-a", 5, sequence, copy == COPY_DRAINING),
	};
	size_t count = copy == COPY_MISSING ? 2 : 3;

	CU_ASSERT_EQUAL_FATAL(fixture->reading, READ_LIST);
	CU_ASSERT_STRING_EQUAL(fixture->after, "");
	respond_with(fixture, 50, changes, count);
}

/* What is known of i-a before the return, what the copy and a later listing say
 * of it, and its state after each. */
typedef struct return_case {
	const char *name;
	carob_upstream_state_t before;
	copy_of_upstream_t copy;
	uint64_t copy_sequence;
	carob_upstream_state_t at_once;
	copy_of_upstream_t rewritten;
	carob_upstream_state_t at_last;
} return_case_t;

static const return_case_t return_cases[] = {
	{"unchanged", CAROB_UPSTREAM_READY, COPY_READY, 3, CAROB_UPSTREAM_READY,
	 COPY_READY, CAROB_UPSTREAM_READY},
	{"drained since the copy", CAROB_UPSTREAM_DRAINING, COPY_READY, 3,
	 CAROB_UPSTREAM_DRAINING, COPY_DRAINING, CAROB_UPSTREAM_DRAINING},
	{"drains after the return", CAROB_UPSTREAM_READY, COPY_DRAINING, 5,
	 CAROB_UPSTREAM_DRAINING, COPY_DRAINING, CAROB_UPSTREAM_DRAINING},
	{"registered since the copy", CAROB_UPSTREAM_READY, COPY_MISSING, 0,
	 CAROB_UPSTREAM_LAPSED, COPY_READY, CAROB_UPSTREAM_READY},
	{"registered since the copy, then lost", CAROB_UPSTREAM_READY,
	 COPY_MISSING, 0, CAROB_UPSTREAM_LAPSED, COPY_MISSING,
	 CAROB_UPSTREAM_GONE},
	{"gone since the copy", CAROB_UPSTREAM_GONE, COPY_READY, 3,
	 CAROB_UPSTREAM_GONE, COPY_MISSING, CAROB_UPSTREAM_GONE},
	{"gone, its entry in the copy stays", CAROB_UPSTREAM_GONE, COPY_READY,
	 3, CAROB_UPSTREAM_GONE, COPY_READY, CAROB_UPSTREAM_READY},
	{"gone, back at once with a new report", CAROB_UPSTREAM_GONE,
	 COPY_READY, 6, CAROB_UPSTREAM_READY, COPY_READY, CAROB_UPSTREAM_READY},
	{"ready, the copy is older", CAROB_UPSTREAM_READY, COPY_DRAINING, 2,
	 CAROB_UPSTREAM_READY, COPY_READY, CAROB_UPSTREAM_READY},
};

/* Runs a catalogue through the return of the platform from a copy. Before it,
 * i-a is ready, drains (sequence 4) or is gone. The first listing in the new
 * era reads the copy, and the one at the end of the grace period what i-a has
 * written since, if it lives. */
static void check_return(const return_case_t *c)
{
	const carob_catalog_change_t drain = report("i-a", 101, 4, true);
	const carob_catalog_change_t removal = removal_change("i-a", 102);
	fixture_t fixture;

	begin_first_era(&fixture);
	if (c->before == CAROB_UPSTREAM_DRAINING)
		respond_with(&fixture, 101, &drain, 1);
	if (c->before == CAROB_UPSTREAM_GONE)
		respond_with(&fixture, 102, &removal, 1);
	advance(&fixture, 2000);
	fixture.era = 2;
	respond_error(&fixture, CAROB_ESTALE);
	respond_copy(&fixture, c->copy, c->copy_sequence);
	if (!expect_state(&fixture, "i-a", c->at_once))
		printf(" at once: %s", c->name);
	advance(&fixture, 3000);
	respond_copy(&fixture, c->rewritten, 7);
	if (!expect_state(&fixture, "i-a", c->at_last))
		printf(" at last: %s", c->name);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_READY);
	CU_ASSERT_EQUAL(carob_catalog_revision(fixture.catalog), 50);
	CU_ASSERT_EQUAL(carob_catalog_era(fixture.catalog), 2);
	CU_ASSERT_EQUAL(carob_catalog_counters(fixture.catalog)->eras, 1);
	fixture_dispose(&fixture);
}

static void test_return_from_copy(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(return_cases); i++)
		check_return(&return_cases[i]);
}

/* In the new era, changes have lower revisions than before. */
static void test_changes_of_new_era(void)
{
	const carob_catalog_change_t drain = report("i-a", 51, 4, true);
	const carob_catalog_change_t removal = removal_change("i-b", 52);
	fixture_t fixture;

	begin_first_era(&fixture);
	fixture.era = 2;
	respond_error(&fixture, CAROB_ESTALE);
	respond_copy(&fixture, COPY_READY, 3);
	CU_ASSERT_EQUAL(fixture.revision, 50);
	respond_with(&fixture, 51, &drain, 1);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_DRAINING);
	advance(&fixture, 3000);
	respond_copy(&fixture, COPY_DRAINING, 4);
	respond_with(&fixture, 52, &removal, 1);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_GONE);
	fixture_dispose(&fixture);
}

/* The revision of the watch may have been given out again by the time the
 * platform is asked: then it responds without an error, and the changes between
 * the copy and that revision are missing. */
static void test_watch_from_reused_revision(void)
{
	const carob_catalog_change_t later = report("i-c", 130, 1, false);
	fixture_t fixture;

	begin_first_era(&fixture);
	fixture.era = 2;
	respond_with(&fixture, 130, &later, 1);
	respond_copy(&fixture, COPY_MISSING, 0);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_LAPSED);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_EQUAL(fixture.revision, 50);
	fixture_dispose(&fixture);
}

/* A listing must not be put together from pages of two eras. */
static void test_pages_of_two_eras(void)
{
	const carob_catalog_change_t first = report("i-a", 3, 1, false);
	carob_catalog_reply_t page = {.revision = 10,
				      .truncated = true,
				      .last_key = CAROB_STR("servers/i-a"),
				      .count = 1,
				      .changes = &first};
	fixture_t fixture;

	fixture_init(&fixture);
	fixture.has_era = true;
	fixture.era = 1;
	respond(&fixture, &page);
	CU_ASSERT_STRING_EQUAL(fixture.after, "servers/i-a");
	fixture.era = 2;
	respond_with(&fixture, 11, NULL, 0);
	respond_copy(&fixture, COPY_READY, 3);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_READY);
	fixture_dispose(&fixture);
}

/* The copy may hold a configuration that is older than the one in force. */
static void test_older_configuration_in_copy(void)
{
	const carob_catalog_change_t newer = catalog_config_change(9, 101);
	const carob_catalog_change_t again = catalog_config_change(9, 51);
	const carob_catalog_change_t next = catalog_config_change(11, 52);
	fixture_t fixture;

	begin_first_era(&fixture);
	respond_with(&fixture, 101, &newer, 1);
	advance(&fixture, 2000);
	fixture.era = 2;
	respond_error(&fixture, CAROB_ESTALE);
	respond_copy(&fixture, COPY_READY, 3);
	CU_ASSERT_EQUAL(fixture.routes.config.version, 9);
	respond_with(&fixture, 51, &again, 1);
	CU_ASSERT_EQUAL(fixture.routes.config.version, 9);
	advance(&fixture, 2000);
	respond_with(&fixture, 52, &next, 1);
	CU_ASSERT_EQUAL(fixture.routes.config.version, 11);
	fixture_dispose(&fixture);
}

/* A response of the former era that comes late changes nothing, whether it is
 * a success or an error. */
static void test_late_response_of_older_era(void)
{
	const carob_catalog_change_t removal = removal_change("i-b", 140);
	fixture_t fixture;

	begin_first_era(&fixture);
	fixture.era = 2;
	respond_error(&fixture, CAROB_ESTALE);
	respond_copy(&fixture, COPY_READY, 3);
	fixture.era = 1;
	respond_with(&fixture, 140, &removal, 1);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_READY);
	CU_ASSERT_EQUAL(carob_catalog_revision(fixture.catalog), 50);
	CU_ASSERT_EQUAL(carob_catalog_counters(fixture.catalog)->outdated, 1);
	advance(&fixture, 1000);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_EQUAL(fixture.revision, 50);
	respond_error(&fixture, CAROB_ESTALE);
	advance(&fixture, 1000);
	CU_ASSERT_EQUAL(fixture.reading, READ_WATCH);
	CU_ASSERT_EQUAL(carob_catalog_era(fixture.catalog), 2);
	fixture_dispose(&fixture);
}

/* Errors say the era too: a listing follows them. */
static void test_error_of_new_era(void)
{
	fixture_t fixture;

	begin_first_era(&fixture);
	fixture.era = 2;
	respond_error(&fixture, CAROB_EUNAVAILABLE);
	CU_ASSERT_EQUAL(carob_catalog_era(fixture.catalog), 2);
	advance(&fixture, 1000);
	respond_copy(&fixture, COPY_MISSING, 0);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_LAPSED);
	fixture_dispose(&fixture);
}

/* The platform may return from a copy again while the first return is still
 * being read, and be away in between. */
static void test_two_returns(void)
{
	fixture_t fixture;

	begin_first_era(&fixture);
	fixture.era = 2;
	respond_error(&fixture, CAROB_ESTALE);
	respond_copy(&fixture, COPY_MISSING, 0);
	advance(&fixture, 2000);
	fixture.has_era = false;
	respond_error(&fixture, CAROB_EUNAVAILABLE);
	advance(&fixture, 200);
	fixture.has_era = true;
	fixture.era = 3;
	respond_error(&fixture, CAROB_ESTALE);
	respond_copy(&fixture, COPY_MISSING, 0);
	advance(&fixture, 2000);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_LAPSED);
	advance(&fixture, 1000);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_GONE);
	respond_copy(&fixture, COPY_READY, 4);
	expect_state(&fixture, "i-a", CAROB_UPSTREAM_READY);
	CU_ASSERT_EQUAL(carob_catalog_counters(fixture.catalog)->eras, 2);
	fixture_dispose(&fixture);
}

/* A response without an era counts as one of the era last seen. */
static void test_response_without_era(void)
{
	const carob_catalog_change_t removal = removal_change("i-b", 101);
	fixture_t fixture;

	begin_first_era(&fixture);
	fixture.has_era = false;
	respond_with(&fixture, 101, &removal, 1);
	expect_state(&fixture, "i-b", CAROB_UPSTREAM_GONE);
	CU_ASSERT_EQUAL(carob_catalog_era(fixture.catalog), 1);
	CU_ASSERT_EQUAL(carob_catalog_counters(fixture.catalog)->eras, 0);
	fixture_dispose(&fixture);
}

/* What happens around the removal of i-a. */
typedef enum removal_event {
	REMOVAL_PLAIN,
	REMOVAL_OF_DRAINING,
	REMOVAL_UNUSABLE,     /* its entry can't be parsed any more */
	REMOVAL_IN_LISTING,   /* a listing lacks it */
	REMOVAL_AFTER_OUTAGE, /* after failed reads */
	REMOVAL_AFTER_HANG,   /* after an outage that no read noticed */
	REMOVAL_IN_NEW_ERA,
	REMOVAL_BEFORE_OUTAGE,
	REMOVAL_BEFORE_NEW_ERA,
	REMOVAL_TAKEN_BACK, /* it registers again */
} removal_event_t;

static const struct {
	removal_event_t event;
	uint64_t wait_ms; /* between the two events */
	bool certain;
} removal_cases[] = {
	{REMOVAL_PLAIN, 0, true},
	{REMOVAL_OF_DRAINING, 0, false},
	{REMOVAL_UNUSABLE, 0, false},
	{REMOVAL_IN_LISTING, 0, false},
	{REMOVAL_AFTER_OUTAGE, 0, false},
	{REMOVAL_AFTER_OUTAGE, 3900, false},
	{REMOVAL_AFTER_OUTAGE, 4100, true},
	{REMOVAL_AFTER_HANG, 3400, false},
	{REMOVAL_AFTER_HANG, 2600, true},
	{REMOVAL_IN_NEW_ERA, 0, false},
	{REMOVAL_BEFORE_OUTAGE, 3900, false},
	{REMOVAL_BEFORE_OUTAGE, 4100, true},
	{REMOVAL_BEFORE_NEW_ERA, 4100, false},
	{REMOVAL_TAKEN_BACK, 0, false},
};

/* Keeps in contact with the platform for a time, without changes. */
static void pass_time(fixture_t *fixture, uint64_t ms)
{
	for (; ms >= 100; ms -= 100) {
		advance(fixture, 100);
		if (fixture->reading != READ_NONE)
			respond_with(fixture, 100, NULL, 0);
	}
}

static void respond_removal(fixture_t *fixture)
{
	const carob_catalog_change_t removal = removal_change("i-a", 102);

	respond_with(fixture, 102, &removal, 1);
}

static void have_outage(fixture_t *fixture)
{
	respond_error(fixture, CAROB_EUNAVAILABLE);
	advance(fixture, 200);
	respond_with(fixture, 100, NULL, 0);
}

static void play_removal(fixture_t *fixture, removal_event_t event,
			 uint64_t wait_ms)
{
	const carob_catalog_change_t drain = report("i-a", 101, 4, true);
	const carob_catalog_change_t back = report("i-a", 103, 1, false);
	const carob_catalog_change_t unusable = {
		.kind = CAROB_CATALOG_UPSTREAM_UNUSABLE,
		.revision = 102,
		.upstream_id = CAROB_STR("i-a")};

	switch (event) {
	case REMOVAL_OF_DRAINING:
		respond_with(fixture, 101, &drain, 1);
		advance(fixture, 1200);
		break;
	case REMOVAL_UNUSABLE:
		respond_with(fixture, 102, &unusable, 1);
		return;
	case REMOVAL_IN_LISTING:
		respond_error(fixture, CAROB_ESTALE);
		respond_copy(fixture, COPY_MISSING, 0);
		return;
	case REMOVAL_AFTER_OUTAGE:
		have_outage(fixture);
		pass_time(fixture, wait_ms);
		break;
	case REMOVAL_AFTER_HANG:
		advance(fixture, wait_ms);
		break;
	case REMOVAL_IN_NEW_ERA:
		fixture->era = 2;
		respond_error(fixture, CAROB_ESTALE);
		respond_copy(fixture, COPY_READY, 3);
		break;
	default:
		break;
	}
	respond_removal(fixture);
	advance(fixture, 1200);
	if (event == REMOVAL_BEFORE_OUTAGE) {
		pass_time(fixture, wait_ms - 1200);
		have_outage(fixture);
	} else if (event == REMOVAL_BEFORE_NEW_ERA) {
		pass_time(fixture, wait_ms);
		fixture->era = 2;
		respond_error(fixture, CAROB_ESTALE);
		respond_copy(fixture, COPY_MISSING, 0);
	} else if (event == REMOVAL_TAKEN_BACK) {
		respond_with(fixture, 103, &back, 1);
	}
}

/* A removal is certain only if no outage or new era may have caused it: flows
 * of an upstream that is known to be gone are reset. */
static void test_certain_removals(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(removal_cases); i++) {
		carob_upstream_index_t index;
		bool certain;
		fixture_t fixture;

		begin_first_era(&fixture);
		play_removal(&fixture, removal_cases[i].event,
			     removal_cases[i].wait_ms);
		index = carob_upstream_table_by_id(&fixture.upstreams,
						   CAROB_STR("i-a"));
		CU_ASSERT_NOT_EQUAL_FATAL(index, CAROB_UPSTREAM_NONE);
		certain = fixture.upstreams.items[index].removed_ns != 0;
		CU_ASSERT_EQUAL(certain, removal_cases[i].certain);
		if (certain != removal_cases[i].certain)
			printf("\ncase %zu", i);
		fixture_dispose(&fixture);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"entry without a cold time", test_entry_without_cold_time},
		{"watches after the listing", test_watch_after_listing},
		{"an unresponsive watch times out within contact_ms",
		 test_unresponsive_watch},
		{"is complete with the first upstream",
		 test_complete_with_first_upstream},
		{"pauses after changes", test_pause_after_changes},
		{"silence after a response", test_silence_after_response},
		{"listing longer than the contact time",
		 test_listing_longer_than_contact_time},
		{"pause after a slow response", test_pause_after_slow_response},
		{"changes longer than a listing",
		 test_changes_longer_than_listing},
		{"reads a backlog without pauses", test_backlog},
		{"lists in pages", test_pages},
		{"retries a page that failed", test_failed_page},
		{"lists again when the history is lost", test_lost_history},
		{"lists again when a response is too long",
		 test_response_too_long},
		{"ignores items of older revisions", test_older_items},
		{"entries that expire in an outage lapse",
		 test_entries_expired_in_outage},
		{"an entry removed without an outage is gone",
		 test_removal_without_outage},
		{"rate of reads in an outage", test_reads_in_outage},
		{"refresh reads at once", test_refresh},
		{"an unusable entry removes its upstream", test_unusable_entry},
		{"returns from a copy", test_return_from_copy},
		{"applies changes of a new era", test_changes_of_new_era},
		{"lists again when the watch's revision was given out again",
		 test_watch_from_reused_revision},
		{"lists again when pages are of two eras",
		 test_pages_of_two_eras},
		{"keeps the configuration when the copy's is older",
		 test_older_configuration_in_copy},
		{"ignores a late response of an older era",
		 test_late_response_of_older_era},
		{"lists after an error of a new era", test_error_of_new_era},
		{"two returns from a copy in a row", test_two_returns},
		{"a response without an era", test_response_without_era},
		{"which removals are certain", test_certain_removals},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("catalog", cases, CAROB_ARRAY_SIZE(cases));
}
