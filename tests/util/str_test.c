#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/str.h"

#include <string.h>

#define LONGEST 300

/* Appends texts of all lengths below LONGEST to buffers of many fill levels, so
 * that the text ends before, at and after the capacity of the buffer. */
static void test_printf_at_every_boundary(void)
{
	char expected[2 * LONGEST + 1];

	memset(expected, 'a', sizeof(expected));
	for (int fill = 0; fill < LONGEST; fill += 7) {
		for (int len = 0; len < LONGEST; len++) {
			CAROB_CLEANUP(carob_buf_dispose)
			carob_buf_t buf = CAROB_BUF_INIT;

			CU_ASSERT_EQUAL(carob_buf_append(&buf, expected,
							 (size_t)fill),
					0);
			CU_ASSERT_EQUAL(carob_buf_printf(&buf, "%.*s", len,
							 expected),
					0);
			CU_ASSERT_EQUAL(buf.len, (size_t)(fill + len));
			CU_ASSERT_EQUAL(strlen(buf.ptr), buf.len);
			CU_ASSERT_EQUAL(memcmp(buf.ptr, expected, buf.len), 0);
		}
	}
}

static void test_printf_into_an_empty_buffer(void)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t buf = CAROB_BUF_INIT;

	CU_ASSERT_EQUAL(carob_buf_printf(&buf, "%d-%s", 7, "x"), 0);
	CU_ASSERT_STRING_EQUAL(buf.ptr, "7-x");
	carob_buf_clear(&buf);
	CU_ASSERT_EQUAL(carob_buf_printf(&buf, "%s", ""), 0);
	CU_ASSERT_EQUAL(buf.len, 0);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"formatted text is appended around the buffer's capacity",
		 test_printf_at_every_boundary},
		{"formatted text is appended to an empty buffer",
		 test_printf_into_an_empty_buffer},
	};

	return run_tests("str", cases, CAROB_ARRAY_SIZE(cases));
}
