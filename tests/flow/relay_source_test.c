/* Who is asked for changes: a reader of the zone or the platform. Each case says
 * what the reader does, and how old the state of an instance gets by it. */
#include "carobtrail/relay_source.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "test_runner.h"

#include <string.h>

#define MS	 CAROB_NS_PER_MS
#define APPLY_MS 6000
#define WAIT_MS	 3750
/* Longest response that the catalogue takes. */
#define BYTES_MAX 700000

/* A source whose responses are given by the tests. */
typedef struct fake_source {
	carob_peer_source_t peer; /* `connect` is used by the peer only */
	carob_catalog_reader_t *reader;
	bool listing;
	uint64_t after;
	uint32_t wait_ms;
	uint32_t timeout_ms;
	size_t bytes_max;
	int reads;
	int cancels;
	char connected[CAROB_READER_NAME_MAX + 1];
} fake_source_t;

/* A relay source between two fakes. */
typedef struct fixture {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_reader_table_t readers;
	fake_source_t store;
	fake_source_t peer;
	carob_relay_source_t *relay;
	carob_catalog_reader_t client;
	carob_catalog_reply_t reply; /* the last one that the client got */
	int replies;
} fixture_t;

static void fake_list(carob_catalog_source_t *source,
		      carob_catalog_reader_t *reader, carob_str_t after,
		      uint32_t timeout_ms)
{
	fake_source_t *fake = (fake_source_t *)source;

	(void)after;
	fake->reader = reader;
	fake->listing = true;
	fake->timeout_ms = timeout_ms;
	fake->reads++;
}

static void fake_watch(carob_catalog_source_t *source,
		       carob_catalog_reader_t *reader,
		       const carob_catalog_watch_t *watch)
{
	fake_source_t *fake = (fake_source_t *)source;

	fake->reader = reader;
	fake->listing = false;
	fake->after = watch->after;
	fake->wait_ms = watch->wait_ms;
	fake->timeout_ms = watch->timeout_ms;
	fake->bytes_max = watch->bytes_max;
	fake->reads++;
}

static void fake_cancel(carob_catalog_source_t *source)
{
	fake_source_t *fake = (fake_source_t *)source;

	fake->reader = NULL;
	fake->cancels++;
}

static void fake_connect(carob_peer_source_t *peer,
			 const carob_reader_slot_t *reader)
{
	(void)snprintf(((fake_source_t *)peer)->connected,
		       CAROB_READER_NAME_MAX + 1, "%s", reader->name);
}

static const carob_catalog_source_ops_t fake_ops = {
	.list = fake_list,
	.watch = fake_watch,
	.cancel = fake_cancel,
};

static void on_reply(carob_catalog_reader_t *reader,
		     const carob_catalog_reply_t *reply)
{
	fixture_t *fixture = CAROB_CONTAINER_OF(reader, fixture_t, client);

	fixture->reply = *reply;
	fixture->replies++;
}

static void put_reader(fixture_t *fixture, const char *name, uint64_t revision)
{
	const carob_reader_entry_t entry = {
		.zone = CAROB_STR("a"),
		.name = carob_str_from(name),
		.endpoint = {0x0a000001, 7720},
	};

	carob_reader_table_put(&fixture->readers, &entry, revision);
}

static void fixture_init(fixture_t *fixture)
{
	carob_relay_source_options_t options = CAROB_RELAY_SOURCE_OPTIONS_INIT;

	memset(fixture, 0, sizeof(*fixture));
	carob_manual_clock_init(&fixture->clock, 1000 * CAROB_NS_PER_S);
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&fixture->kernel, &fixture->clock.clock), 0);
	fixture->readers.zone = CAROB_STR("a");
	fixture->store.peer.source.ops = &fake_ops;
	fixture->peer.peer.source.ops = &fake_ops;
	fixture->peer.peer.connect = fake_connect;
	fixture->client.done = on_reply;
	options.kernel = fixture->kernel;
	options.store = &fixture->store.peer.source;
	options.peer = &fixture->peer.peer;
	options.readers = &fixture->readers;
	options.instance = CAROB_STR("i-2");
	options.apply_ms = APPLY_MS;
	CU_ASSERT_EQUAL_FATAL(carob_relay_source_new(&fixture->relay, &options),
			      0);
}

static void fixture_dispose(fixture_t *fixture)
{
	carob_relay_source_free(fixture->relay);
	carob_kernel_free(fixture->kernel);
}

static void watch(fixture_t *fixture, uint64_t after)
{
	carob_catalog_source_t *source =
		carob_relay_source_base(fixture->relay);

	const carob_catalog_watch_t options = {.after = after,
					       .wait_ms = WAIT_MS,
					       .timeout_ms = 5250,
					       .bytes_max = BYTES_MAX};

	source->ops->watch(source, &fixture->client, &options);
}

static void respond(fake_source_t *fake, const carob_catalog_reply_t *reply)
{
	carob_catalog_reader_t *reader = fake->reader;

	CU_ASSERT_PTR_NOT_NULL_FATAL(reader);
	if (!reader)
		return;
	fake->reader = NULL;
	(void)carob_error_set(reply->result, "no response");
	reader->done(reader, reply);
}

static void test_platform_without_reader(void)
{
	fixture_t fixture;
	const carob_catalog_reply_t reply = {.revision = 7};

	fixture_init(&fixture);
	watch(&fixture, 5);
	CU_ASSERT_EQUAL(fixture.store.after, 5);
	CU_ASSERT_EQUAL(fixture.store.wait_ms, WAIT_MS);
	CU_ASSERT_EQUAL(fixture.store.bytes_max, BYTES_MAX);
	respond(&fixture.store, &reply);
	CU_ASSERT_EQUAL(fixture.replies, 1);
	CU_ASSERT_EQUAL(fixture.reply.pace, CAROB_CATALOG_PACE_NORMAL);
	fixture_dispose(&fixture);
}

/* Listings are always read from the platform: a reader keeps changes only. */
static void test_listing(void)
{
	fixture_t fixture;
	carob_catalog_source_t *source;

	fixture_init(&fixture);
	put_reader(&fixture, "i-1", 1);
	source = carob_relay_source_base(fixture.relay);
	source->ops->list(source, &fixture.client, CAROB_STR(""), 1500);
	CU_ASSERT_TRUE(fixture.store.listing);
	CU_ASSERT_EQUAL(fixture.peer.reads, 0);
	fixture_dispose(&fixture);
}

/* The state of an instance that reads from a reader must be replaced within the
 * time in which a change must be in force, whatever the reader does: its oldest
 * age, the time until its silence is noticed, and the read of the platform. */
static void test_bound(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	put_reader(&fixture, "i-1", 1);
	watch(&fixture, 5);
	CU_ASSERT_TRUE(CAROB_RELAY_AGE_MS_MAX(APPLY_MS) +
			       fixture.peer.timeout_ms + fixture.peer.wait_ms +
			       1000 <
		       APPLY_MS);
	CU_ASSERT_TRUE(fixture.peer.wait_ms < fixture.peer.timeout_ms);
	fixture_dispose(&fixture);
}

/* What a reader responds, and whether it is used. */
static const struct response_case {
	const char *name;
	carob_catalog_reply_t reply;
	bool used;
} response_cases[] = {
	{"fresh",
	 {.revision = 9, .age_ms = 100, .has_era = true, .era = 3},
	 true},
	{"as old as allowed",
	 {.revision = 9, .age_ms = 2400, .has_era = true, .era = 3},
	 true},
	{"too old, as if it were frozen or cut off from the platform",
	 {.revision = 9, .age_ms = 2401, .has_era = true, .era = 3},
	 false},
	{"of a newer era", {.revision = 2, .has_era = true, .era = 4}, true},
	{"of an older era", {.revision = 99, .has_era = true, .era = 2}, false},
	{"silent, killed or refused", {.result = CAROB_EUNAVAILABLE}, false},
	{"changes are not kept any more", {.result = CAROB_ESTALE}, false},
	{"not authentic", {.result = CAROB_EAUTH}, false},
	{"malformed", {.result = CAROB_EFORMAT}, false},
};

static void check_response(const struct response_case *c)
{
	const carob_catalog_reply_t first = {
		.revision = 5, .has_era = true, .era = 3};
	fixture_t fixture;

	fixture_init(&fixture);
	watch(&fixture, 1);
	respond(&fixture.store, &first);
	put_reader(&fixture, "i-1", 1);
	watch(&fixture, 5);
	CU_ASSERT_STRING_EQUAL(fixture.peer.connected, "i-1");
	CU_ASSERT_EQUAL(fixture.peer.after, 5);
	respond(&fixture.peer, &c->reply);
	CU_ASSERT_EQUAL(fixture.replies, c->used ? 2 : 1);
	CU_ASSERT_EQUAL(fixture.store.reads, c->used ? 1 : 2);
	if ((fixture.replies == 2) != c->used)
		printf("\n%s", c->name);
	if (c->used) {
		CU_ASSERT_EQUAL(fixture.reply.pace, CAROB_CATALOG_PACE_RELAYED);
		CU_ASSERT_EQUAL(fixture.reply.age_ms, c->reply.age_ms);
	} else {
		/* At once, on a new connection, without waiting for changes. */
		CU_ASSERT_EQUAL(fixture.store.after, 5);
		CU_ASSERT_EQUAL(fixture.store.cancels, 1);
		CU_ASSERT_TRUE(fixture.store.wait_ms <= 1);
		CU_ASSERT_TRUE(fixture.store.timeout_ms <= 1000);
		CU_ASSERT_EQUAL(fixture.store.bytes_max, BYTES_MAX);
	}
	fixture_dispose(&fixture);
}

static void test_responses(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(response_cases); i++)
		check_response(&response_cases[i]);
}

/* A reader that failed is left alone for a moment, and then asked again. */
static void test_retry(void)
{
	const carob_catalog_reply_t failed = {.result = CAROB_EUNAVAILABLE};
	const carob_catalog_reply_t reply = {.revision = 6};
	fixture_t fixture;

	fixture_init(&fixture);
	put_reader(&fixture, "i-1", 1);
	watch(&fixture, 5);
	respond(&fixture.peer, &failed);
	respond(&fixture.store, &reply);
	watch(&fixture, 6);
	CU_ASSERT_EQUAL(fixture.peer.reads, 1);
	CU_ASSERT_EQUAL(fixture.store.wait_ms, WAIT_MS);
	respond(&fixture.store, &reply);
	carob_manual_clock_advance(&fixture.clock, 2000 * MS);
	watch(&fixture, 6);
	CU_ASSERT_EQUAL(fixture.peer.reads, 2);
	CU_ASSERT_EQUAL(carob_relay_source_counters(fixture.relay)->fallbacks,
			1);
	fixture_dispose(&fixture);
}

/* A reader reads the platform, and often enough for the others. */
static void test_own_role(void)
{
	const carob_catalog_reply_t reply = {.revision = 6};
	fixture_t fixture;

	fixture_init(&fixture);
	put_reader(&fixture, "i-1", 1);
	carob_relay_source_set_reader(fixture.relay, true);
	watch(&fixture, 5);
	CU_ASSERT_EQUAL(fixture.peer.reads, 0);
	CU_ASSERT_TRUE(2 * fixture.store.wait_ms <
		       CAROB_RELAY_AGE_MS_MAX(APPLY_MS));
	respond(&fixture.store, &reply);
	CU_ASSERT_EQUAL(fixture.reply.pace, CAROB_CATALOG_PACE_READER);
	fixture_dispose(&fixture);
}

/* An entry of its own that this instance sees does not make it ask itself: it
 * may have restarted since, or not know yet that it lost the slot. */
static void test_own_entry(void)
{
	fixture_t fixture;

	fixture_init(&fixture);
	put_reader(&fixture, "i-2", 1);
	watch(&fixture, 5);
	CU_ASSERT_EQUAL(fixture.peer.reads, 0);
	CU_ASSERT_EQUAL(fixture.store.reads, 1);
	fixture_dispose(&fixture);
}

static void test_cancel(void)
{
	fixture_t fixture;
	carob_catalog_source_t *source;

	fixture_init(&fixture);
	put_reader(&fixture, "i-1", 1);
	source = carob_relay_source_base(fixture.relay);
	watch(&fixture, 5);
	source->ops->cancel(source);
	CU_ASSERT_EQUAL(fixture.peer.cancels, 1);
	CU_ASSERT_EQUAL(fixture.store.cancels, 0);
	CU_ASSERT_EQUAL(fixture.replies, 0);
	fixture_dispose(&fixture);
}

/* Entries of readers: which change the table of the zone "a". */
static void test_reader_table(void)
{
	carob_reader_table_t table = {.zone = CAROB_STR("a")};
	carob_reader_entry_t entry = {.zone = CAROB_STR("a"),
				      .name = CAROB_STR("i-1")};
	carob_reader_entry_t other = {.zone = CAROB_STR("b"),
				      .name = CAROB_STR("i-9")};

	CU_ASSERT_EQUAL(carob_reader_table_free_slot(&table), 0);
	carob_reader_table_put(&table, &other, 4);
	CU_ASSERT_EQUAL(carob_reader_table_free_slot(&table), 0);
	carob_reader_table_put(&table, &entry, 5);
	CU_ASSERT_EQUAL(carob_reader_table_slot_of(&table, entry.name), 0);
	carob_reader_table_remove(&table, other.zone, 0, 9);
	carob_reader_table_remove(&table, entry.zone, 0, 4);
	CU_ASSERT_TRUE(table.slots[0].used);
	carob_reader_table_remove(&table, entry.zone, 0, 6);
	CU_ASSERT_FALSE(table.slots[0].used);
	/* After a new era, lower revisions count. */
	carob_reader_table_begin_era(&table);
	carob_reader_table_put(&table, &entry, 2);
	CU_ASSERT_TRUE(table.slots[0].used);
	carob_reader_table_begin_listing(&table);
	carob_reader_table_end_listing(&table, 1);
	CU_ASSERT_TRUE(table.slots[0].used);
	carob_reader_table_end_listing(&table, 2);
	CU_ASSERT_FALSE(table.slots[0].used);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"the platform, without a reader",
		 test_platform_without_reader},
		{"listings from the platform", test_listing},
		{"bound on the age of the state", test_bound},
		{"responses of a reader", test_responses},
		{"a reader that failed", test_retry},
		{"the own role", test_own_role},
		{"the own entry", test_own_entry},
		{"cancel", test_cancel},
		{"entries of readers", test_reader_table},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("relay-source", cases, CAROB_ARRAY_SIZE(cases));
}
