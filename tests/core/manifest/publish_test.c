#include "core/manifest_fixture.h"

#include "core/manifest/manifest_fetch.h"

/* A fetch and its result. */
typedef struct fetched {
	carob_fetch_t fetch;
	int result;
	carob_manifest_t *manifest;
} fetched_t;

static void on_fetched(carob_fetch_t *fetch, int result,
		       carob_manifest_t *manifest)
{
	fetched_t *fetched = CAROB_CONTAINER_OF(fetch, fetched_t, fetch);

	fetched->result = result;
	fetched->manifest = manifest;
}

/*
 * Checks that the head has the given generation and that its manifest can be
 * read with all its parts.
 */
static void check_readable(fixture_t *f, uint64_t generation)
{
	fetched_t fetched = {.fetch = {.done = on_fetched}, .result = 1};
	carob_head_t head = fixture_head(f);

	CU_ASSERT_EQUAL(head.generation, generation);
	carob_fetch_start(&fetched.fetch, f->kv, FIXTURE_DEPLOYMENT,
			  &head.index, NULL);
	fixture_run(f, CAROB_NS_PER_S);
	CU_ASSERT_EQUAL(fetched.result, 0);
	CU_ASSERT_EQUAL(fetched.fetch.index.generation, generation);
	CU_ASSERT_TRUE(carob_publish_id_eq(&fetched.fetch.index.publish_id,
					   &head.publish_id));
	carob_manifest_free(fetched.manifest);
}

static void test_publish_and_read_back(void)
{
	fixture_t f;

	fixture_init(&f);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.1:1", 1), 1), 0);
	check_readable(&f, 1);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.2:1", 2), 2), 0);
	check_readable(&f, 2);
	fixture_dispose(&f);
}

static void test_same_manifest_makes_no_new_generation(void)
{
	fixture_publish_t again;
	fixture_t f;

	fixture_init(&f);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.1:1", 1), 1), 0);
	fixture_start(&again, &f, fixture_manifest("127.0.1.1:1", 1), 2);
	fixture_run(&f, CAROB_NS_PER_S);
	CU_ASSERT_EQUAL(again.outcome.result, 0);
	CU_ASSERT_TRUE(again.outcome.unchanged);
	check_readable(&f, 1);
	carob_publish_free(again.publish);
	fixture_dispose(&f);
}

static void test_one_of_two_concurrent_publishes_is_accepted(void)
{
	fixture_publish_t a;
	fixture_publish_t b;
	fixture_t f;
	carob_head_t head;

	fixture_init(&f);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.1:1", 1), 1), 0);
	fixture_start(&a, &f, fixture_manifest("127.0.1.2:1", 2), 2);
	fixture_start(&b, &f, fixture_manifest("127.0.1.3:1", 2), 3);
	fixture_run(&f, 60 * CAROB_NS_PER_S);
	head = fixture_head(&f);
	CU_ASSERT_EQUAL(a.outcome.result, 0);
	CU_ASSERT_EQUAL(b.outcome.result, CAROB_ECONFLICT);
	CU_ASSERT_EQUAL(head.publish_id.bytes[0], 2);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(carob_error_last(), "generation 2 was to follow 1"));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(carob_error_last(), "generation 2 is in force"));
	check_readable(&f, 2);
	carob_publish_free(a.publish);
	carob_publish_free(b.publish);
	fixture_dispose(&f);
}

static void test_error_for_wrong_base(void)
{
	carob_publish_options_t options = CAROB_PUBLISH_OPTIONS_INIT;
	fixture_publish_t p = {0};
	fixture_t f;

	fixture_init(&f);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.1:1", 1), 1), 0);
	options.kernel = f.kernel;
	options.kv = f.kv;
	options.manifest = fixture_manifest("127.0.1.2:1", 2);
	options.has_base = true;
	options.done = fixture_on_done;
	options.context = &p;
	CU_ASSERT_EQUAL(carob_publish_new(&p.publish, &options), 0);
	fixture_run(&f, CAROB_NS_PER_S);
	CU_ASSERT_EQUAL(p.outcome.result, CAROB_ECONFLICT);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(carob_error_last(),
		       "generation 1 was to follow 0, but generation 1 is"));
	carob_publish_free(p.publish);
	carob_manifest_free(options.manifest);
	fixture_dispose(&f);
}

/*
 * Publishes above a given generation on an empty platform, as after a loss of
 * its data, and then the same manifest above the next generation.
 */
static void test_above_makes_a_higher_generation(void)
{
	carob_publish_options_t options = CAROB_PUBLISH_OPTIONS_INIT;
	fixture_publish_t p = {0};
	fixture_t f;

	fixture_init(&f);
	options.kernel = f.kernel;
	options.kv = f.kv;
	options.manifest = fixture_manifest("127.0.1.2:1", 2);
	options.done = fixture_on_done;
	options.context = &p;
	for (uint64_t above = 41; above <= 42; above++) {
		options.above = above;
		options.publish_id.bytes[0] = (uint8_t)above;
		CU_ASSERT_EQUAL(carob_publish_new(&p.publish, &options), 0);
		fixture_run(&f, CAROB_NS_PER_S);
		CU_ASSERT_EQUAL(p.outcome.result, 0);
		CU_ASSERT_EQUAL(p.outcome.generation, above + 1);
		check_readable(&f, above + 1);
		carob_publish_free(p.publish);
	}
	carob_manifest_free(options.manifest);
	fixture_dispose(&f);
}

/* Returns the number of writes of a first publish; the last is the head. */
static unsigned int count_writes(void)
{
	unsigned int writes;
	fixture_t f;

	fixture_init(&f);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.1:1", 1), 1), 0);
	writes = (unsigned int)carob_kv_memory_size(f.memory);
	fixture_dispose(&f);
	return writes;
}

/* Starts a publish whose head is written, but the response to that is lost. */
static void start_and_lose_head_response(fixture_publish_t *p, fixture_t *f)
{
	carob_kv_memory_set_write_outcome(f->memory, CAROB_KV_RESPONSE_LOST,
					  count_writes() - 1, 1);
	fixture_start(p, f, fixture_manifest("127.0.1.1:1", 1), 1);
	for (int ms = 0; ms < 100 && fixture_head(f).generation == 0; ms++)
		fixture_run(f, CAROB_NS_PER_MS);
	CU_ASSERT_EQUAL(fixture_head(f).generation, 1);
	CU_ASSERT_FALSE(p->done);
}

/*
 * Loses the response to one write. The publisher must repeat the write, or find
 * out by the publish id that the head was written, and report success.
 */
static void check_lost_response(unsigned int lost)
{
	fixture_publish_t p;
	fixture_t f;

	fixture_init(&f);
	carob_kv_memory_set_write_outcome(f.memory, CAROB_KV_RESPONSE_LOST,
					  lost, 1);
	fixture_start(&p, &f, fixture_manifest("127.0.1.1:1", 1), 1);
	fixture_run(&f, 60 * CAROB_NS_PER_S);
	CU_ASSERT_TRUE(p.done);
	CU_ASSERT_EQUAL(p.outcome.result, 0);
	check_readable(&f, 1);
	carob_publish_free(p.publish);
	fixture_dispose(&f);
}

static void test_lost_response_to_each_write(void)
{
	unsigned int writes = count_writes();

	CU_ASSERT_TRUE(writes > 2);
	for (unsigned int lost = 0; lost < writes; lost++)
		check_lost_response(lost);
}

/*
 * The response to the write of the head is lost, and two other publishes are
 * accepted before the publisher reads the head again. It must find its publish
 * in the indexes of the earlier generations.
 */
static void test_publish_found_in_earlier_generation(void)
{
	fixture_publish_t first;
	fixture_t f;

	fixture_init(&f);
	start_and_lose_head_response(&first, &f);
	/* The platform goes down, so the first publish cannot read the head. */
	carob_kv_memory_set_latency(f.memory, 1);
	carob_kv_memory_set_outcome(f.memory, CAROB_KV_LOST);
	fixture_run(&f, 2 * CAROB_NS_PER_MS);
	CU_ASSERT_FALSE(first.done);
	carob_kv_memory_set_outcome(f.memory, CAROB_KV_SERVED);
	for (uint8_t i = 2; i <= 3; i++) {
		fixture_publish_t later;
		char addr[] = "127.0.1.0:1";

		addr[8] = (char)('0' + i);
		fixture_start(&later, &f, fixture_manifest(addr, i), i);
		fixture_run(&f, CAROB_NS_PER_MS);
		CU_ASSERT_TRUE(later.done);
		CU_ASSERT_EQUAL(later.outcome.result, 0);
		carob_publish_free(later.publish);
	}
	CU_ASSERT_FALSE(first.done);
	fixture_run(&f, 60 * CAROB_NS_PER_S);
	CU_ASSERT_TRUE(first.done);
	CU_ASSERT_EQUAL(first.outcome.result, 0);
	CU_ASSERT_EQUAL(first.outcome.generation, 1);
	check_readable(&f, 3);
	carob_publish_free(first.publish);
	fixture_dispose(&f);
}

static void test_platform_down(void)
{
	fixture_publish_t p;
	fixture_t f;

	fixture_init(&f);
	carob_kv_memory_set_outcome(f.memory, CAROB_KV_LOST);
	CU_ASSERT_EQUAL(fixture_publish(&f, fixture_manifest("127.0.1.1:1", 1),
					1),
			CAROB_EUNAVAILABLE);
	CU_ASSERT_EQUAL(carob_kv_memory_size(f.memory), 0);
	carob_kv_memory_set_outcome(f.memory, CAROB_KV_SERVED);
	/*
	 * The platform goes down after the head was written, so the publisher
	 * cannot find out whether it was accepted.
	 */
	start_and_lose_head_response(&p, &f);
	carob_kv_memory_set_outcome(f.memory, CAROB_KV_LOST);
	fixture_run(&f, 60 * CAROB_NS_PER_S);
	CU_ASSERT_TRUE(p.done);
	CU_ASSERT_EQUAL(p.outcome.result, CAROB_EUNKNOWN);
	CU_ASSERT_PTR_NOT_NULL(strstr(carob_error_last(), "publish 01"));
	carob_publish_free(p.publish);
	fixture_dispose(&f);
}

/* Outcome of a clean-up. */
typedef struct cleaned {
	bool done;
	int result;
	size_t removed;
} cleaned_t;

static void on_cleaned(void *context, int result, size_t removed)
{
	cleaned_t *cleaned = context;

	cleaned->done = true;
	cleaned->result = result;
	cleaned->removed = removed;
}

static size_t clean(fixture_t *f, unsigned int keep,
		    carob_manifest_mutation_t mutation)
{
	carob_clean_options_t options = CAROB_CLEAN_OPTIONS_INIT;
	carob_clean_t *object = NULL;
	cleaned_t cleaned = {0};

	options.kv = f->kv;
	options.deployment = FIXTURE_DEPLOYMENT;
	options.keep = keep;
	options.mutation = mutation;
	options.done = on_cleaned;
	options.context = &cleaned;
	CU_ASSERT_EQUAL(carob_clean_new(&object, &options), 0);
	fixture_run(f, CAROB_NS_PER_S);
	CU_ASSERT_TRUE(cleaned.done);
	CU_ASSERT_EQUAL(cleaned.result, 0);
	carob_clean_free(object);
	return cleaned.removed;
}

static void publish_many(fixture_t *f, unsigned int count)
{
	for (unsigned int i = 1; i <= count; i++) {
		char addr[] = "127.0.1.0:1";

		addr[8] = (char)('0' + i);
		CU_ASSERT_EQUAL(fixture_publish(f, fixture_manifest(addr, i),
						(uint8_t)i),
				0);
	}
}

static void test_clean_up_keeps_referenced_parts(void)
{
	size_t before;
	fixture_t f;

	fixture_init(&f);
	publish_many(&f, 8);
	before = carob_kv_memory_size(f.memory);
	CU_ASSERT_TRUE(clean(&f, 2, CAROB_MANIFEST_MUTATION_NONE) > 0);
	CU_ASSERT_TRUE(carob_kv_memory_size(f.memory) < before);
	check_readable(&f, 8);
	CU_ASSERT_EQUAL(clean(&f, 2, CAROB_MANIFEST_MUTATION_NONE), 0);
	publish_many(&f, 0);
	CU_ASSERT_EQUAL(
		fixture_publish(&f, fixture_manifest("127.0.1.9:1", 9), 9), 0);
	check_readable(&f, 9);
	fixture_dispose(&f);
}

/*
 * Parts that did not change keep an old generation in their names, and the
 * index of the head still refers to them. Removing parts by age deletes parts
 * that are in use.
 */
static void test_clean_up_by_age_removes_referenced_parts(void)
{
	fetched_t fetched = {.fetch = {.done = on_fetched}};
	carob_head_t head;
	fixture_t f;

	fixture_init(&f);
	publish_many(&f, 8);
	CU_ASSERT_TRUE(clean(&f, 2, CAROB_MANIFEST_MUTATION_CLEAN_BY_AGE) > 0);
	head = fixture_head(&f);
	carob_fetch_start(&fetched.fetch, f.kv, FIXTURE_DEPLOYMENT, &head.index,
			  NULL);
	fixture_run(&f, CAROB_NS_PER_S);
	CU_ASSERT_EQUAL(fetched.result, CAROB_ENOTFOUND);
	fixture_dispose(&f);
}

/*
 * Another publish and a clean-up run while a publisher is in progress, starting
 * at each of 50 points in time. The published manifest must stay readable.
 */
static void test_clean_up_during_a_publish(void)
{
	fixture_publish_t publish;
	fixture_t f;

	for (uint64_t pause_at = 0; pause_at < 50; pause_at++) {
		fixture_init(&f);
		publish_many(&f, 3);
		fixture_start(&publish, &f, fixture_manifest("127.0.1.5:1", 9),
			      9);
		fixture_run(&f, pause_at * CAROB_NS_PER_MS);
		if (!publish.done)
			CU_ASSERT_EQUAL(fixture_head(&f).generation, 3);
		(void)fixture_publish(&f, fixture_manifest("127.0.1.6:1", 9),
				      8);
		(void)clean(&f, 0, CAROB_MANIFEST_MUTATION_NONE);
		fixture_run(&f, 60 * CAROB_NS_PER_S);
		CU_ASSERT_TRUE(publish.done);
		check_readable(&f, fixture_head(&f).generation);
		carob_publish_free(publish.publish);
		fixture_dispose(&f);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"a published manifest can be read",
		 test_publish_and_read_back},
		{"publishing the same manifest makes no new generation",
		 test_same_manifest_makes_no_new_generation},
		{"one of two concurrent publishes is accepted",
		 test_one_of_two_concurrent_publishes_is_accepted},
		{"the error for a wrong base names both generations",
		 test_error_for_wrong_base},
		{"the new generation is above a given one",
		 test_above_makes_a_higher_generation},
		{"a publish succeeds if the response to any write is lost",
		 test_lost_response_to_each_write},
		{"a publish is found in an earlier generation",
		 test_publish_found_in_earlier_generation},
		{"a publish fails if the platform is down", test_platform_down},
		{"a clean-up keeps referenced parts",
		 test_clean_up_keeps_referenced_parts},
		{"mutation: a clean-up by age removes referenced parts",
		 test_clean_up_by_age_removes_referenced_parts},
		{"a clean-up during a publish keeps the manifest readable",
		 test_clean_up_during_a_publish},
	};

	return run_tests("publish", cases, CAROB_ARRAY_SIZE(cases));
}
