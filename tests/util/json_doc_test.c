#include "test_runner.h"

#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <string.h>

#define SMALL_BYTES_MAX 4096
#define DEEPEST		100000

static const char *const root_keys[] = {"name", "count", "on", "addr", "list"};

static int read_document(carob_json_doc_t *doc)
{
	carob_json_node_t root = carob_json_doc_root(doc);
	carob_json_node_t list;
	carob_addr_t addr;
	carob_str_t name;
	uint64_t count;
	size_t n;
	bool on;

	if (carob_json_object(&root, root_keys, CAROB_ARRAY_SIZE(root_keys)) !=
		    0 ||
	    carob_json_get_str(&name, &root, "name", 1, 8) != 0 ||
	    carob_json_get_u64(&count, &root, "count", 1, 100) != 0 ||
	    carob_json_get_bool(&on, &root, "on") != 0 ||
	    carob_json_get_addr(&addr, &root, "addr") != 0 ||
	    carob_json_get(&list, &root, "list") != 0 ||
	    carob_json_array(&n, &list, 0, 4) != 0)
		return CAROB_EINVALID;
	for (size_t i = 0; i < n; i++) {
		carob_json_node_t element = carob_json_at(&list, i);

		if (carob_json_name(&name, &element, 4) != 0)
			return CAROB_EINVALID;
	}
	return 0;
}

typedef struct document_case {
	const char *text;
	int result;
	const char *message; /* part of the last error */
} document_case_t;

#define VALID_HEAD "{\"name\":\"a\",\"count\":1,\"on\":true,"
#define VALID_ADDR "\"addr\":\"127.0.0.1:1\","

static const document_case_t document_cases[] = {
	{VALID_HEAD VALID_ADDR "\"list\":[]}", 0, ""},
	{VALID_HEAD VALID_ADDR "\"list\":[\"a\",\"b.c\"]}", 0, ""},
	{VALID_HEAD VALID_ADDR "\"list\":[\"a\",\"b c\"]}", CAROB_EINVALID,
	 "f.json: list[1]: \"b c\": expected a name"},
	{VALID_HEAD VALID_ADDR "\"list\":{}}", CAROB_EINVALID,
	 "f.json: list: an object: expected an array"},
	{VALID_HEAD VALID_ADDR "\"list\":[],\"extra\":7}", CAROB_EINVALID,
	 "f.json: extra: 7: expected one of the keys name, count"},
	{VALID_HEAD "\"addr\":\"localhost:1\",\"list\":[]}", CAROB_EINVALID,
	 "f.json: addr: \"localhost:1\": expected an IP address"},
	{VALID_HEAD VALID_ADDR "\"name\":\"b\"}", CAROB_EINVALID, "duplicate"},
	{"{\"name\":\"a\",\"count\":101}", CAROB_EINVALID,
	 "count: 101: expected a whole number from 1 to 100"},
	{"{\"name\":\"a\",\"count\":-1}", CAROB_EINVALID, "count: -1"},
	{"{\"name\":\"a\",\"count\":1.0}", CAROB_EINVALID, "count: 1.0"},
	{"{\"name\":\"a\"}", CAROB_EINVALID, "count: nothing: expected"},
	{"{\"name\":\"\"}", CAROB_EINVALID, "name: \"\": expected a string"},
	{"[]", CAROB_EINVALID, "document: an array of 0: expected an object"},
	{"{\"name\":\"a\\u0000\"}", CAROB_EFORMAT, "f.json: line 1"},
	{"{\"name\":\"a\"", CAROB_EFORMAT, "f.json: line 1"},
	{"{} {}", CAROB_EFORMAT, "f.json: line 1"},
	{"", CAROB_EFORMAT, "f.json: line 1"},
	{"\xff", CAROB_EFORMAT, "f.json: line 1"},
};

static void test_documents(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(document_cases); i++) {
		const document_case_t *c = &document_cases[i];
		carob_json_doc_t *doc = NULL;
		int result;

		carob_error_clear();
		result = carob_json_doc_parse(&doc, "f.json",
					      carob_str_from(c->text),
					      SMALL_BYTES_MAX);
		if (result == 0)
			result = read_document(doc);
		CU_ASSERT_EQUAL(result, c->result);
		CU_ASSERT_PTR_NOT_NULL(strstr(carob_error_last(), c->message));
		carob_json_doc_free(doc);
	}
}

static void test_depth(void)
{
	static const struct {
		size_t depth;
		int result;
	} cases[] = {
		{CAROB_JSON_DEPTH_MAX, 0},
		{CAROB_JSON_DEPTH_MAX + 1, CAROB_ELIMIT},
		{DEEPEST, CAROB_ELIMIT},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		size_t depth = cases[i].depth;
		static char text[2 * DEEPEST];
		carob_json_doc_t *doc = NULL;
		carob_str_t view = {text, 2 * depth};

		memset(text, '[', depth);
		memset(text + depth, ']', depth);
		CU_ASSERT_EQUAL(carob_json_doc_parse(&doc, "deep", view,
						     1 << 20),
				cases[i].result);
		carob_json_doc_free(doc);
	}
}

static void test_brackets_in_strings(void)
{
	carob_json_doc_t *doc = NULL;
	char text[] = "[\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\\\"[[[\"]";

	CU_ASSERT_EQUAL(carob_json_doc_parse(&doc, "s", carob_str_from(text),
					     SMALL_BYTES_MAX),
			0);
	carob_json_doc_free(doc);
}

static void test_size(void)
{
	carob_json_doc_t *doc = NULL;

	CU_ASSERT_EQUAL(carob_json_doc_parse(&doc, "s", CAROB_STR("[1,2]"), 5),
			0);
	carob_json_doc_free(doc);
	doc = NULL;
	CU_ASSERT_EQUAL(carob_json_doc_parse(&doc, "s", CAROB_STR("[1,2]"), 4),
			CAROB_ELIMIT);
	CU_ASSERT_STRING_EQUAL(carob_error_last(),
			       "s: 5 bytes: expected at most 4");
	CU_ASSERT_EQUAL(carob_json_doc_load(&doc, "/nonexistent/file", 4),
			CAROB_ENOTFOUND);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"errors of invalid documents name the path and the value",
		 test_documents},
		{"nesting beyond the limit is refused", test_depth},
		{"brackets in strings do not count as nesting",
		 test_brackets_in_strings},
		{"documents beyond the size limit are refused", test_size},
	};

	return run_tests("json_doc", cases, CAROB_ARRAY_SIZE(cases));
}
