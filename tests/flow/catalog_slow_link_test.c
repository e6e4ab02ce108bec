/* How old the state of an instance gets on a link that large configurations
 * fill: a model of the platform's store behind a link of a given rate, on a
 * manual clock. */
#include "carobtrail/catalog.h"

#include "carobtrail/errors.h"
#include "flow/catalog_changes.h"
#include "test_runner.h"

#include <stdio.h>
#include <string.h>

#define MS		   CAROB_NS_PER_MS
#define START_NS	   (1000 * CAROB_NS_PER_S)
#define TICK_MS		   5
#define LENGTH_MS	   40000
#define CONTACT_MS	   5000
#define APPLY_MS	   5000
#define BOUND_MS	   5000 /* until a change of either kind is in force */
#define RESPONSE_MS	   10	/* until the first byte of a response */
#define UPSTREAMS	   150
#define UPSTREAM_BYTES	   400
#define DRAIN_EVERY_MS	   250
#define VERSION_BYTES	   500000
#define RESPONSE_BYTES_MAX 1000000 /* a change that exceeds it is the last */
#define EVENTS_MAX	   1024

/* A change that the store has accepted: the drain of an upstream, or a version
 * of the configuration. */
typedef struct event {
	uint64_t at_ms;
	uint64_t version; /* 0: a drain */
	size_t upstream;
	bool missed; /* it was in force too late */
} event_t;

typedef struct slow_link_case {
	const char *name;
	double link_mbps;
	uint64_t version_every_ms;
	uint64_t versions_from_ms;
	uint64_t versions_to_ms;
	uint64_t outage_from_ms; /* the store turns the instance away */
	uint64_t outage_to_ms;
} slow_link_case_t;

/* The read in progress. */
typedef struct transfer {
	carob_catalog_reader_t *reader; /* NULL: none */
	bool listing;
	bool begun; /* the first byte has been sent */
	carob_catalog_watch_t watch;
	uint64_t asked_ms;
	uint64_t begun_ms;
	uint64_t end_ms;
	size_t first; /* events of the response to a watch */
	size_t count;
	size_t bytes;
	int result;
	bool partial;
} transfer_t;

typedef struct fixture {
	carob_catalog_source_t source;
	const slow_link_case_t *c;
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_catalog_t *catalog;
	event_t events[EVENTS_MAX];
	size_t event_count;
	transfer_t transfer;
	char ids[UPSTREAMS][16];
} fixture_t;

static uint64_t now_ms(const fixture_t *fixture)
{
	return (fixture->clock.now_ns - START_NS) / MS;
}

/* Returns the number of events so far. */
static size_t accepted(const fixture_t *fixture)
{
	size_t count = 0;

	while (count < fixture->event_count &&
	       fixture->events[count].at_ms <= now_ms(fixture))
		count++;
	return count;
}

static void begin(fixture_t *fixture, carob_catalog_reader_t *reader)
{
	fixture->transfer = (transfer_t){
		.reader = reader,
		.asked_ms = now_ms(fixture),
	};
}

static void fixture_list(carob_catalog_source_t *source,
			 carob_catalog_reader_t *reader, carob_str_t after,
			 uint32_t timeout_ms)
{
	fixture_t *fixture = (fixture_t *)source;

	(void)after;
	(void)timeout_ms;
	begin(fixture, reader);
	fixture->transfer.listing = true;
}

static void fixture_watch(carob_catalog_source_t *source,
			  carob_catalog_reader_t *reader,
			  const carob_catalog_watch_t *watch)
{
	fixture_t *fixture = (fixture_t *)source;

	begin(fixture, reader);
	fixture->transfer.watch = *watch;
}

static void fixture_cancel(carob_catalog_source_t *source)
{
	((fixture_t *)source)->transfer.reader = NULL;
}

static const carob_catalog_source_ops_t fixture_ops = {
	.list = fixture_list,
	.watch = fixture_watch,
	.cancel = fixture_cancel,
};

static void add_event(fixture_t *fixture, uint64_t at_ms, uint64_t version,
		      size_t upstream)
{
	CU_ASSERT_FATAL(fixture->event_count < EVENTS_MAX);
	fixture->events[fixture->event_count++] = (event_t){
		.at_ms = at_ms, .version = version, .upstream = upstream};
}

static void add_events(fixture_t *fixture)
{
	const slow_link_case_t *c = fixture->c;
	size_t drains = 0;
	uint64_t version = 1;

	add_event(fixture, 0, version, 0);
	for (uint64_t at = 1; at < LENGTH_MS; at++) {
		if (at >= c->versions_from_ms && at < c->versions_to_ms &&
		    (at - c->versions_from_ms) % c->version_every_ms == 0)
			add_event(fixture, at, ++version, 0);
		if (at % DRAIN_EVERY_MS == 0 && drains + 1 < UPSTREAMS)
			add_event(fixture, at, 0, drains++);
	}
}

static size_t bytes_of(const event_t *event)
{
	return event->version ? VERSION_BYTES : UPSTREAM_BYTES;
}

/* Chooses the changes of a response to a watch. */
static void select_changes(fixture_t *fixture)
{
	transfer_t *transfer = &fixture->transfer;
	size_t end = accepted(fixture);

	transfer->first = (size_t)transfer->watch.after;
	while (transfer->first + transfer->count < end &&
	       transfer->bytes < RESPONSE_BYTES_MAX)
		transfer->bytes += bytes_of(
			&fixture->events[transfer->first + transfer->count++]);
}

static void send_response(fixture_t *fixture)
{
	transfer_t *transfer = &fixture->transfer;
	const slow_link_case_t *c = fixture->c;
	uint64_t now = now_ms(fixture);

	transfer->begun = true;
	transfer->begun_ms = now;
	transfer->count = accepted(fixture);
	if (transfer->listing)
		transfer->bytes = VERSION_BYTES + UPSTREAMS * UPSTREAM_BYTES;
	if (now >= c->outage_from_ms && now < c->outage_to_ms)
		transfer->result = CAROB_EUNAVAILABLE;
	else if (!transfer->listing && transfer->watch.bytes_max &&
		 transfer->bytes > transfer->watch.bytes_max)
		transfer->partial = true;
	transfer->end_ms = now;
	if (!transfer->result && !transfer->partial)
		transfer->end_ms += (uint64_t)((double)transfer->bytes * 8 /
					       (c->link_mbps * 1000));
}

/* Begins the response if there is something to say by now. */
static void try_to_send(fixture_t *fixture)
{
	transfer_t *transfer = &fixture->transfer;
	uint64_t waited = now_ms(fixture) - transfer->asked_ms;
	size_t selected;

	if (waited < RESPONSE_MS)
		return;
	if (transfer->listing) {
		send_response(fixture);
		return;
	}
	select_changes(fixture);
	selected = transfer->count;
	if (selected == 0 && waited < transfer->watch.wait_ms &&
	    now_ms(fixture) < fixture->c->outage_from_ms)
		return;
	send_response(fixture);
	transfer->count = selected;
}

static carob_catalog_change_t upstream_change(const fixture_t *fixture,
					      size_t upstream, bool draining,
					      uint64_t revision)
{
	carob_str_t id = carob_str_from(fixture->ids[upstream]);

	return (carob_catalog_change_t){
		.kind = CAROB_CATALOG_UPSTREAM,
		.revision = revision,
		.upstream_id = id,
		.upstream = {.id = id,
			     .number = upstream + 1,
			     .service = CAROB_STR("desk"),
			     .zone = CAROB_STR("hou-a"),
			     .endpoint = {0x0a800001, 80},
			     .slots = 2,
			     .draining = draining},
	};
}

static carob_catalog_change_t change_of(const fixture_t *fixture, size_t event)
{
	const event_t *e = &fixture->events[event];

	return e->version
		       ? catalog_config_change(e->version, event + 1)
		       : upstream_change(fixture, e->upstream, true, event + 1);
}

/* Sets `changes` to the newest version and all upstreams as of an event. */
static size_t list_changes(const fixture_t *fixture,
			   carob_catalog_change_t *changes, size_t events)
{
	for (size_t i = 0; i < UPSTREAMS; i++)
		changes[1 + i] = upstream_change(fixture, i, false, 1);
	for (size_t i = 0; i < events; i++) {
		const event_t *event = &fixture->events[i];

		changes[event->version ? 0 : 1 + event->upstream] =
			change_of(fixture, i);
	}
	return 1 + UPSTREAMS;
}

static void deliver(fixture_t *fixture)
{
	static carob_catalog_change_t changes[EVENTS_MAX];
	transfer_t transfer = fixture->transfer;
	carob_catalog_reply_t reply = {
		.result = transfer.partial ? CAROB_EUNAVAILABLE
					   : transfer.result,
		.partial = transfer.partial,
		.changes = changes,
	};

	(void)carob_error_set(reply.result, "no response");
	if (!reply.result) {
		reply.age_ms = (uint32_t)(now_ms(fixture) - transfer.begun_ms);
		reply.bytes = transfer.bytes;
		reply.count = transfer.count;
		reply.revision = transfer.first + transfer.count;
		for (size_t i = 0; !transfer.listing && i < reply.count; i++)
			changes[i] = change_of(fixture, transfer.first + i);
		if (transfer.listing)
			reply.count =
				list_changes(fixture, changes, transfer.count);
	}
	fixture->transfer.reader = NULL;
	transfer.reader->done(transfer.reader, &reply);
}

static bool is_in_force(const fixture_t *fixture, const event_t *event)
{
	carob_upstream_index_t index;

	if (event->version)
		return fixture->routes.config.version >= event->version;
	index = carob_upstream_table_by_id(
		&fixture->upstreams,
		carob_str_from(fixture->ids[event->upstream]));
	return index != CAROB_UPSTREAM_NONE &&
	       fixture->upstreams.items[index].state == CAROB_UPSTREAM_DRAINING;
}

/* Marks the events that are not in force in time, while the instance counts as
 * in contact with the store. */
static void check_bounds(fixture_t *fixture)
{
	const slow_link_case_t *c = fixture->c;
	uint64_t now = now_ms(fixture);

	if (now >= c->outage_from_ms && now < c->outage_to_ms + CONTACT_MS)
		return;
	for (size_t i = 0; i < fixture->event_count; i++) {
		event_t *event = &fixture->events[i];

		if (event->at_ms + BOUND_MS < now && !event->missed &&
		    !is_in_force(fixture, event)) {
			printf("\n%s: change of %llu ms not in force at %llu",
			       c->name, (unsigned long long)event->at_ms,
			       (unsigned long long)now);
			event->missed = true;
			CU_FAIL("change in force too late");
		}
	}
}

static void tick(fixture_t *fixture)
{
	transfer_t *transfer = &fixture->transfer;

	carob_manual_clock_advance(&fixture->clock, TICK_MS * MS);
	carob_kernel_run_due(fixture->kernel);
	if (transfer->reader && !transfer->begun)
		try_to_send(fixture);
	if (transfer->reader && transfer->begun &&
	    now_ms(fixture) >= transfer->end_ms)
		deliver(fixture);
	check_bounds(fixture);
}

static void play(const slow_link_case_t *c)
{
	static fixture_t fixture;
	carob_catalog_options_t options = CAROB_CATALOG_OPTIONS_INIT;

	fixture = (fixture_t){.source.ops = &fixture_ops, .c = c};
	for (size_t i = 0; i < UPSTREAMS; i++)
		(void)snprintf(fixture.ids[i], sizeof(fixture.ids[i]), "i-%zx",
			       i + 1);
	add_events(&fixture);
	carob_manual_clock_init(&fixture.clock, START_NS);
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&fixture.kernel, &fixture.clock.clock), 0);
	options.kernel = fixture.kernel;
	options.source = &fixture.source;
	options.routes = &fixture.routes;
	options.upstreams = &fixture.upstreams;
	options.contact_ms = CONTACT_MS;
	options.apply_ms = APPLY_MS;
	options.link_mbps = c->link_mbps;
	CU_ASSERT_EQUAL_FATAL(carob_catalog_new(&fixture.catalog, &options), 0);
	carob_catalog_start(fixture.catalog);
	while (now_ms(&fixture) < LENGTH_MS)
		tick(&fixture);
	carob_catalog_free(fixture.catalog);
	carob_route_table_dispose(&fixture.routes);
	carob_upstream_table_dispose(&fixture.upstreams);
	carob_kernel_free(fixture.kernel);
}

/* An instance on a slow link read each version of a large configuration, also
 * those that a later one had replaced, and paused in between: drains waited
 * behind them for longer than the platform's bound. */
static void test_large_versions(void)
{
	static const slow_link_case_t cases[] = {
		{"slow link, after an outage", 10, 1700, 0, LENGTH_MS, 8000,
		 17000},
		{"slow link, a version each 0.33 s", 10, 330, 12000, 24000,
		 LENGTH_MS, LENGTH_MS},
		{"slow link, both", 10, 330, 12000, 24000, 13000, 22000},
		{"fast link, a version each 0.33 s", 200, 330, 5000, 30000,
		 LENGTH_MS, LENGTH_MS},
		{"fast link, both", 200, 330, 5000, 30000, 13000, 22000},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++)
		play(&cases[i]);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"versions larger than the link carries in time",
		 test_large_versions},
	};

	return run_tests("catalogue on a slow link", cases,
			 CAROB_ARRAY_SIZE(cases));
}
