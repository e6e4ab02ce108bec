#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/ids.h"

typedef struct addr_case {
	const char *text;
	int result;
	uint16_t port;
} addr_case_t;

static const addr_case_t addr_cases[] = {
	{"127.0.0.1:5683", 0, 5683},
	{"[::1]:1", 0, 1},
	{"[fe80::12:34]:65535", 0, 65535},
	{"127.0.0.1", CAROB_EINVALID, 0},
	{"127.0.0.1:", CAROB_EINVALID, 0},
	{"127.0.0.1:0", CAROB_EINVALID, 0},
	{"127.0.0.1:65536", CAROB_EINVALID, 0},
	{"127.0.0.1:-5", CAROB_EINVALID, 0},
	{"127.0.0.1:5x", CAROB_EINVALID, 0},
	{"127.0.0.256:5", CAROB_EINVALID, 0},
	{"::1:5683", CAROB_EINVALID, 0},
	{":5683", CAROB_EINVALID, 0},
	{"[::1:5683", CAROB_EINVALID, 0},
	{"localhost:5683", CAROB_EINVALID, 0},
	{"", CAROB_EINVALID, 0},
};

static void test_addr_parse(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(addr_cases); i++) {
		const addr_case_t *c = &addr_cases[i];
		carob_addr_t addr = {0};
		char text[CAROB_ADDR_TEXT_MAX];
		int result = carob_addr_parse(&addr, carob_str_from(c->text));

		CU_ASSERT_EQUAL(result, c->result);
		CU_ASSERT_EQUAL(addr.port, c->port);
		if (result != 0)
			continue;
		carob_addr_format(text, &addr);
		CU_ASSERT_STRING_EQUAL(text, c->text);
	}
}

int main(void)
{
	static const test_case_t cases[] = {
		{"valid addresses are parsed and formatted, others refused",
		 test_addr_parse},
	};

	return run_tests("ids", cases, CAROB_ARRAY_SIZE(cases));
}
