#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/manifest.h"
#include "carobtrail/rng.h"
#include "core/manifest/manifest_json.h"

#include <string.h>

#define RANDOM_ROUNDS 200

static carob_manifest_t *parse(const char *json)
{
	carob_manifest_t *manifest = NULL;

	CU_ASSERT_EQUAL(
		carob_manifest_parse(&manifest, "m", carob_str_from(json)), 0);
	return manifest;
}

/* A canonical text, and the same manifest reordered and without defaults. */
static const char canonical[] =
	"{\"deployment\":\"d\",\"zones\":[\"a\"],\"services\":[{\"id\":1,"
	"\"name\":\"s\",\"addr\":\"127.0.0.1:5701\",\"slots\":3,"
	"\"connections\":2,\"reports_load\":false,\"max_runtime_ms\":30000,"
	"\"upstreams\":[{\"id\":7,\"incarnation\":1,\"name\":\"u7\",\"zone\":"
	"\"a\",\"addr\":\"127.0.1.7:1\",\"state\":\"active\"},{\"id\":8,"
	"\"incarnation\":1,\"name\":\"u8\",\"zone\":\"a\",\"addr\":"
	"\"127.0.1.8:1\",\"state\":\"draining\"}]}]}";
static const char reordered[] =
	"{\"services\":[{\"upstreams\":[{\"id\":8,\"state\":\"draining\","
	"\"name\":\"u8\",\"zone\":\"a\",\"addr\":\"127.0.1.8:1\"},{\"addr\":"
	"\"127.0.1.7:1\",\"zone\":\"a\",\"name\":\"u7\",\"id\":7}],"
	"\"connections\":2,\"slots\":3,\"addr\":\"127.0.0.1:5701\",\"name\":"
	"\"s\",\"id\":1}],\"zones\":[\"a\"],\"deployment\":\"d\"}";

static void test_canonical_text(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_manifest_t *a = parse(canonical);
	carob_manifest_t *b = parse(reordered);
	char hash_a[CAROB_HASH_TEXT_BYTES];
	char hash_b[CAROB_HASH_TEXT_BYTES];

	CU_ASSERT_EQUAL(carob_manifest_format(&text, b), 0);
	CU_ASSERT_TRUE(
		carob_str_eq(carob_buf_view(&text), carob_str_from(canonical)));
	CU_ASSERT_EQUAL(carob_manifest_hash(hash_a, a), 0);
	CU_ASSERT_EQUAL(carob_manifest_hash(hash_b, b), 0);
	CU_ASSERT_STRING_EQUAL(hash_a, hash_b);
	carob_manifest_free(a);
	carob_manifest_free(b);
}

/* Returns a manifest with random zones, services and upstreams. */
static carob_manifest_t *random_manifest(carob_rng_t *rng)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	const char *separator = "";
	carob_manifest_t *manifest;

	(void)carob_buf_printf(&text,
			       "{\"deployment\":\"d\",\"zones\":[\"a\"%s"
			       "],\"services\":[",
			       carob_rng_below(rng, 2) ? ",\"b\"" : "");
	for (unsigned int s = 1; s <= 4; s++) {
		if (s > 1 && carob_rng_below(rng, 3) == 0)
			continue;
		(void)carob_buf_printf(
			&text,
			"%s{\"id\":%u,\"name\":\"s%u\",\"addr\":\"127.0.0.1:%u"
			"\",\"slots\":%u,\"connections\":9,\"upstreams\":[",
			separator, s, s, 5700 + s, 1 + carob_rng_below(rng, 2));
		separator = "";
		for (unsigned int u = 0; u < 6; u++) {
			unsigned int id = s * 10 + u;

			if (u > 0 && carob_rng_below(rng, 3) == 0)
				continue;
			(void)carob_buf_printf(
				&text,
				"%s{\"id\":%u,\"name\":\"u%u\",\"zone\":\"a\","
				"\"addr\":\"127.0.1.%u:1\",\"state\":\"%s\"}",
				separator, id, id, id,
				carob_rng_below(rng, 3) ? "active"
							: "draining");
			separator = ",";
		}
		(void)carob_buf_printf(&text, "]}");
		separator = ",";
	}
	(void)carob_buf_printf(&text, "]}");
	manifest = parse(text.ptr);
	return manifest;
}

static void check_delta(const carob_manifest_t *from,
			const carob_manifest_t *to)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t delta = CAROB_BUF_INIT;
	carob_manifest_t *patched = NULL;
	char expected[CAROB_HASH_TEXT_BYTES];
	char hash[CAROB_HASH_TEXT_BYTES] = "";

	CU_ASSERT_EQUAL(carob_manifest_delta(&delta, from, to), 0);
	CU_ASSERT_EQUAL(carob_manifest_patch(&patched, from, "delta",
					     carob_buf_view(&delta)),
			0);
	CU_ASSERT_EQUAL(carob_manifest_hash(expected, to), 0);
	if (patched)
		CU_ASSERT_EQUAL(carob_manifest_hash(hash, patched), 0);
	CU_ASSERT_STRING_EQUAL(hash, expected);
	carob_manifest_free(patched);
}

static void test_delta_gives_later_manifest(void)
{
	carob_rng_t rng;

	carob_rng_init(&rng, 1);
	for (int i = 0; i < RANDOM_ROUNDS; i++) {
		carob_manifest_t *from = random_manifest(&rng);
		carob_manifest_t *to = random_manifest(&rng);

		if (from && to)
			check_delta(from, to);
		carob_manifest_free(from);
		carob_manifest_free(to);
	}
}

/* Computes the hash of the canonical text, ignoring the cached hash. */
static int hash_of_text(char out[CAROB_HASH_TEXT_BYTES],
			const carob_manifest_t *manifest)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	int result = carob_manifest_format(&text, manifest);

	if (result == 0)
		carob_content_hash(out, carob_buf_view(&text));
	return result;
}

/*
 * Each patched manifest shares services with its predecessor and outlives it.
 * Services that are released too early or changed in place would alter it.
 */
static void test_chain_of_deltas(void)
{
	carob_manifest_t *current;
	carob_rng_t rng;

	carob_rng_init(&rng, 3);
	current = random_manifest(&rng);
	for (int i = 0; i < RANDOM_ROUNDS; i++) {
		CAROB_CLEANUP(carob_buf_dispose)
		carob_buf_t delta = CAROB_BUF_INIT;
		carob_manifest_t *to = random_manifest(&rng);
		carob_manifest_t *patched = NULL;
		char expected[CAROB_HASH_TEXT_BYTES] = "";
		char hash[CAROB_HASH_TEXT_BYTES] = "";

		CU_ASSERT_EQUAL(carob_manifest_delta(&delta, current, to), 0);
		CU_ASSERT_EQUAL(carob_manifest_patch(&patched, current, "delta",
						     carob_buf_view(&delta)),
				0);
		carob_manifest_free(current);
		current = patched;
		CU_ASSERT_EQUAL(carob_manifest_hash(expected, to), 0);
		carob_manifest_free(to);
		CU_ASSERT_EQUAL(hash_of_text(hash, current), 0);
		CU_ASSERT_STRING_EQUAL(hash, expected);
	}
	carob_manifest_free(current);
}

static void test_delta_contains_only_changes(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t delta = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t unchanged = CAROB_BUF_INIT;
	char text[sizeof(canonical)];
	carob_manifest_t *from = parse(canonical);
	carob_manifest_t *to;
	char *state;

	memcpy(text, canonical, sizeof(text));
	state = strstr(text, "127.0.1.7");
	if (state)
		state[8] = '9';
	to = parse(text);
	CU_ASSERT_EQUAL(carob_manifest_delta(&delta, from, to), 0);
	CU_ASSERT_PTR_NULL(strstr(delta.ptr, "u8"));
	CU_ASSERT_PTR_NOT_NULL(strstr(delta.ptr, "127.0.1.9"));
	CU_ASSERT_EQUAL(carob_manifest_delta(&unchanged, to, to), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(unchanged.ptr, "\"services\":[]"));
	carob_manifest_free(from);
	carob_manifest_free(to);
}

static const char *const invalid_deltas[] = {
	"",
	"{}",
	"[]",
	"{\"from\":\"0\",\"to\":\"0\",\"deployment\":\"d\",\"zones\":[\"a\"],"
	"\"removed\":[],\"services\":[]}",
};

/* Replacements in a valid delta that make it invalid. */
static const struct {
	const char *part;
	const char *replacement;
} replacements[] = {
	{"\"to\":\"", "\"to\":\"f"},
	{"\"deployment\":\"d", "\"deployment\":\"e"},
	{"\"slots\":", "\"slots\":9"},
	{"\"services\":[", "\"services\":[7,"},
	{"\"services\":[", "\"services\":[{\"id\":9},"},
	{"\"zones\":[", "\"zones\":[1,"},
	{"\"zones\":[", "\"other\":[],\"zones\":["},
};

static void check_refused(const carob_manifest_t *from, const char *delta)
{
	carob_manifest_t *patched = NULL;

	CU_ASSERT_NOT_EQUAL(carob_manifest_patch(&patched, from, "delta",
						 carob_str_from(delta)),
			    0);
	CU_ASSERT_PTR_NULL(patched);
}

static void check_replacement(const carob_manifest_t *from, const char *delta,
			      const char *part, const char *replacement)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	const char *part_start = strstr(delta, part);

	CU_ASSERT_PTR_NOT_NULL(part_start);
	if (!part_start)
		return;
	(void)carob_buf_append(&text, delta, (size_t)(part_start - delta));
	(void)carob_buf_printf(&text, "%s%s", replacement,
			       part_start + strlen(part));
	check_refused(from, text.ptr);
}

static void test_invalid_deltas_are_refused(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t delta = CAROB_BUF_INIT;
	carob_manifest_t *from = parse(canonical);
	carob_rng_t rng;
	carob_manifest_t *to;

	carob_rng_init(&rng, 2);
	to = random_manifest(&rng);
	CU_ASSERT_EQUAL(carob_manifest_delta(&delta, from, to), 0);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(invalid_deltas); i++)
		check_refused(from, invalid_deltas[i]);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(replacements); i++)
		check_replacement(from, delta.ptr, replacements[i].part,
				  replacements[i].replacement);
	check_refused(to, delta.ptr); /* a delta from another manifest */
	carob_manifest_free(from);
	carob_manifest_free(to);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"equal manifests have the same canonical text",
		 test_canonical_text},
		{"a delta applied to a manifest gives the later one",
		 test_delta_gives_later_manifest},
		{"a chain of deltas is applied one after the other",
		 test_chain_of_deltas},
		{"a delta contains only what has changed",
		 test_delta_contains_only_changes},
		{"invalid deltas are refused", test_invalid_deltas_are_refused},
	};

	return run_tests("manifest_json", cases, CAROB_ARRAY_SIZE(cases));
}
