#include "test_runner.h"

#include "carobtrail/errors.h"
#include "emulator/common/payload.h"
#include "emulator/common/request.h"

#include <string.h>

static const carob_block_t blocks[] = {
	{0, false, 0},	  {0, true, 4},	      {1, true, 6},
	{4095, false, 6}, {1048575, true, 2},
};

static void test_requests_round_trip(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(blocks); i++) {
		carob_request_t request = {
			.path = CAROB_STR("packet"),
			.rid = 0xfedcba9876543210,
			.has_block = true,
			.block = blocks[i],
		};
		char text[CAROB_REQUEST_TEXT_MAX];
		carob_msg_t msg = {0};
		carob_request_t out;

		carob_request_write(&msg, text, &request);
		carob_request_read(&out, &msg);
		CU_ASSERT_TRUE(carob_str_eq(out.path, request.path));
		CU_ASSERT_EQUAL(out.rid, request.rid);
		CU_ASSERT_TRUE(out.has_block);
		CU_ASSERT_EQUAL(out.block.number, blocks[i].number);
		CU_ASSERT_EQUAL(out.block.more, blocks[i].more);
		CU_ASSERT_EQUAL(out.block.szx, blocks[i].szx);
	}
}

static void test_requests_without_rid(void)
{
	static const char *const queries[] = {"", "rid=", "rid=zz", "id=12",
					      "rid=00000000000000000000000000"};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(queries); i++) {
		carob_msg_t msg = {
			.other_count = 1,
			.other = {{15, carob_str_from(queries[i])}},
		};
		carob_request_t out;

		carob_request_read(&out, &msg);
		CU_ASSERT_EQUAL(out.rid, 0);
		CU_ASSERT_FALSE(out.has_block);
	}
}

static void test_payload_headers(void)
{
	carob_payload_header_t header = {
		.rid = UINT64_MAX,
		.sequence = UINT64_MAX,
		.service = "a-service-name-of-31-characters",
		.upstream = "an-upstream-name-of-31-letters0",
	};
	char text[CAROB_PAYLOAD_HEADER_MAX];
	carob_payload_header_t out;
	size_t len;

	len = carob_payload_write(text, &header);
	CU_ASSERT_EQUAL(carob_payload_read(&out, (carob_str_t){text, len}), 0);
	CU_ASSERT_EQUAL(out.rid, header.rid);
	CU_ASSERT_EQUAL(out.sequence, header.sequence);
	CU_ASSERT_STRING_EQUAL(out.service, header.service);
	CU_ASSERT_STRING_EQUAL(out.upstream, header.upstream);
	for (size_t cut = 0; cut < 17; cut++)
		CU_ASSERT_EQUAL(carob_payload_read(&out,
						   (carob_str_t){text, cut}),
				CAROB_EFORMAT);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"requests are unchanged after writing and reading",
		 test_requests_round_trip},
		{"requests without a valid request id",
		 test_requests_without_rid},
		{"payload headers are unchanged after writing and reading; "
		 "incomplete ones are refused",
		 test_payload_headers},
	};

	return run_tests("request", cases, CAROB_ARRAY_SIZE(cases));
}
