#include "test_runner.h"

#include "carobtrail/errors.h"
#include "net/platform_reply.h"

typedef struct values_case {
	const char *body;
	int result;
	const char *value; /* expected value of the first entry */
} values_case_t;

static const values_case_t values_cases[] = {
	{"[]", 0, NULL},
	{"[{\"Key\":\"a/b\",\"Value\":\"aGVsbG8=\",\"ModifyIndex\":7,"
	 "\"CreateIndex\":3,\"LockIndex\":0,\"Flags\":0,\"Session\":\"x\"}]",
	 0, "hello"},
	{"[{\"Key\":\"a\",\"Value\":null,\"ModifyIndex\":7}]", 0, ""},
	{"[{\"Key\":\"a\",\"Value\":\"\",\"ModifyIndex\":7}]", 0, ""},
	{"[{\"Key\":\"a\",\"Value\":\"a\",\"ModifyIndex\":7}]", CAROB_EFORMAT,
	 NULL},
	{"[{\"Key\":\"a\",\"Value\":\"****\",\"ModifyIndex\":7}]",
	 CAROB_EFORMAT, NULL},
	{"[{\"Key\":\"a\",\"Value\":\"\",\"ModifyIndex\":0}]", CAROB_EFORMAT,
	 NULL},
	{"[{\"Key\":\"\",\"Value\":\"\",\"ModifyIndex\":7}]", CAROB_EFORMAT,
	 NULL},
	{"[{\"Value\":\"\",\"ModifyIndex\":7}]", CAROB_EFORMAT, NULL},
	{"[1]", CAROB_EFORMAT, NULL},
	{"{}", CAROB_EFORMAT, NULL},
	{"", CAROB_EFORMAT, NULL},
	{"<html>", CAROB_EFORMAT, NULL},
};

static void test_values(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(values_cases); i++) {
		const values_case_t *c = &values_cases[i];
		carob_platform_entries_t entries = {0};

		CU_ASSERT_EQUAL(carob_platform_decode_values(
					&entries, carob_str_from(c->body)),
				c->result);
		CU_ASSERT_EQUAL(entries.count, c->value ? 1 : 0);
		if (c->value && entries.count == 1) {
			CU_ASSERT_TRUE(carob_str_eq(entries.entries[0].value,
						    carob_str_from(c->value)));
			CU_ASSERT_EQUAL(entries.entries[0].index, 7);
		}
		carob_platform_entries_dispose(&entries);
	}
}

static void test_keys(void)
{
	carob_platform_entries_t entries = {0};

	CU_ASSERT_EQUAL(carob_platform_decode_keys(
				&entries, CAROB_STR("[\"a/b\",\"a/c\"]")),
			0);
	CU_ASSERT_EQUAL(entries.count, 2);
	if (entries.count == 2)
		CU_ASSERT_TRUE(
			carob_str_eq(entries.entries[1].key, CAROB_STR("a/c")));
	carob_platform_entries_dispose(&entries);
	CU_ASSERT_EQUAL(carob_platform_decode_keys(&entries, CAROB_STR("[1]")),
			CAROB_EFORMAT);
}

typedef struct done_case {
	const char *body;
	int result;
	bool done;
} done_case_t;

static const done_case_t done_cases[] = {
	{"true", 0, true},	     {"false\n", 0, false},
	{"true\r\n", 0, true},	     {"", CAROB_EFORMAT, false},
	{"1", CAROB_EFORMAT, false}, {"truefalse", CAROB_EFORMAT, false},
};

static void test_done(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(done_cases); i++) {
		const done_case_t *c = &done_cases[i];
		bool done = false;

		CU_ASSERT_EQUAL(carob_platform_decode_done(
					&done, carob_str_from(c->body)),
				c->result);
		CU_ASSERT_EQUAL(done, c->done);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"responses to reads", test_values},
		{"responses to list requests", test_keys},
		{"responses to writes", test_done},
	};

	return run_tests("platform_reply", cases, CAROB_ARRAY_SIZE(cases));
}
