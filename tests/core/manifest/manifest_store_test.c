#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/manifest_store.h"

#include <string.h>

#define MANIFEST                                                               \
	"{\"deployment\":\"d\",\"zones\":[\"a\"],\"services\":[{\"id\":1,"     \
	"\"name\":\"s\",\"addr\":\"127.0.0.1:5701\",\"slots\":1,"              \
	"\"connections\":1,\"upstreams\":[{\"id\":7,\"name\":\"u\",\"zone\":"  \
	"\"a\",\"addr\":\"127.0.1.7:1\"}]}]}"

typedef struct recorder {
	carob_manifest_subscriber_t subscriber;
	uint64_t in_force;
	uint64_t fail_at; /* generation at which `apply` fails */
	unsigned int calls;
} recorder_t;

static int record(carob_manifest_subscriber_t *subscriber,
		  const carob_generation_t *generation)
{
	recorder_t *recorder =
		CAROB_CONTAINER_OF(subscriber, recorder_t, subscriber);

	recorder->calls++;
	if (generation->number == recorder->fail_at)
		return carob_error_set(CAROB_ENOMEM, "test");
	recorder->in_force = generation->number;
	return 0;
}

static int offer(carob_manifest_store_t *store, uint64_t number, uint8_t id)
{
	carob_generation_t generation = {.number = number};
	int result;

	generation.publish_id.bytes[0] = id;
	CU_ASSERT_EQUAL(carob_manifest_parse(&generation.manifest, "m",
					     CAROB_STR(MANIFEST)),
			0);
	result = carob_manifest_store_offer(store, &generation);
	carob_manifest_free(generation.manifest);
	return result;
}

typedef struct offer_case {
	uint64_t number;
	uint8_t publish;
	int result;
	uint64_t in_force;
} offer_case_t;

static const offer_case_t offer_cases[] = {
	{0, 1, CAROB_EINVALID, 0},
	{3, 1, 0, 3},
	{2, 1, CAROB_ESTALE, 3},
	{3, 1, CAROB_ESTALE, 3},
	{3, 2, CAROB_EMISMATCH, 3},
	{9, 2, 0, 9},
	{4, 2, CAROB_ESTALE, 9},
	{10, 1, CAROB_ENOMEM, 9},
	{11, 1, 0, 11},
};

static void test_offers(void)
{
	recorder_t first = {.subscriber = {.apply = record}};
	recorder_t second = {.subscriber = {.apply = record}, .fail_at = 10};
	carob_manifest_store_t *store = NULL;

	CU_ASSERT_EQUAL(carob_manifest_store_new(&store), 0);
	CU_ASSERT_EQUAL(
		carob_manifest_store_subscribe(store, &first.subscriber), 0);
	CU_ASSERT_EQUAL(
		carob_manifest_store_subscribe(store, &second.subscriber), 0);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(offer_cases); i++) {
		const offer_case_t *c = &offer_cases[i];

		CU_ASSERT_EQUAL(offer(store, c->number, c->publish), c->result);
		CU_ASSERT_EQUAL(carob_manifest_store_current(store)->number,
				c->in_force);
		CU_ASSERT_EQUAL(first.in_force, c->in_force);
		CU_ASSERT_EQUAL(second.in_force, c->in_force);
	}
	carob_manifest_store_free(store);
}

static void test_late_subscriber_applies_current(void)
{
	recorder_t late_recorder = {.subscriber = {.apply = record}};
	carob_manifest_store_t *store = NULL;

	CU_ASSERT_EQUAL(carob_manifest_store_new(&store), 0);
	CU_ASSERT_EQUAL(offer(store, 5, 1), 0);
	CU_ASSERT_EQUAL(carob_manifest_store_subscribe(
				store, &late_recorder.subscriber),
			0);
	CU_ASSERT_EQUAL(late_recorder.in_force, 5);
	carob_manifest_store_free(store);
}

/*
 * A store that does not compare generations when it applies one replaces a
 * newer generation by an older one, which the offers above would detect.
 */
static void test_mutation_applies_older_generation(void)
{
	carob_manifest_store_t *store = NULL;

	CU_ASSERT_EQUAL(carob_manifest_store_new(&store), 0);
	carob_manifest_store_set_mutation(store,
					  CAROB_MANIFEST_MUTATION_NO_RECHECK);
	CU_ASSERT_EQUAL(offer(store, 9, 1), 0);
	CU_ASSERT_EQUAL(offer(store, 3, 1), 0);
	CU_ASSERT_EQUAL(carob_manifest_store_current(store)->number, 3);
	carob_manifest_store_free(store);
}

static void test_publish_ids(void)
{
	char text[CAROB_PUBLISH_ID_TEXT_BYTES];
	carob_publish_id_t id;
	carob_publish_id_t parsed;

	memset(id.bytes, 0xa5, sizeof(id.bytes));
	carob_publish_id_format(text, &id);
	CU_ASSERT_EQUAL(carob_publish_id_parse(&parsed, carob_str_from(text)),
			0);
	CU_ASSERT_TRUE(carob_publish_id_eq(&id, &parsed));
	CU_ASSERT_EQUAL(carob_publish_id_parse(&parsed, CAROB_STR("a5")),
			CAROB_EINVALID);
	text[3] = 'x';
	CU_ASSERT_EQUAL(carob_publish_id_parse(&parsed, carob_str_from(text)),
			CAROB_EINVALID);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"only higher generations are applied, by all or none",
		 test_offers},
		{"a late subscriber applies the generation in force",
		 test_late_subscriber_applies_current},
		{"mutation: an older generation is applied without the check",
		 test_mutation_applies_older_generation},
		{"publish ids are formatted and parsed", test_publish_ids},
	};

	return run_tests("manifest_store", cases, CAROB_ARRAY_SIZE(cases));
}
