#include "test_runner.h"

#include "carobtrail/errors.h"
#include "net/relay_codec.h"

#include <string.h>

static carob_keyring_t *make_keyring(uint8_t epoch, uint8_t fill)
{
	uint8_t key[CAROB_KEY_BYTES];
	carob_keyring_t *ring;

	memset(key, fill, sizeof(key));
	CU_ASSERT_EQUAL_FATAL(carob_keyring_new(&ring), 0);
	CU_ASSERT_EQUAL_FATAL(carob_keyring_add(ring, epoch, key), 0);
	CU_ASSERT_EQUAL_FATAL(carob_keyring_activate(ring, epoch), 0);
	return ring;
}

static carob_relay_t make_packet(const char *caller)
{
	carob_relay_t relay = {
		.kind = CAROB_RELAY_OVERFLOW,
		.service_id = 70000,
		.from = {11, 0xfffffffe},
		.to = {12, 0x80000001},
		.age_us = 123456,
		.msg = {.code = CAROB_CODE_POST,
			.mid = 9,
			.token_len = 1,
			.token = {7},
			.payload = CAROB_STR("check")},
	};

	CU_ASSERT_EQUAL_FATAL(
		carob_addr_parse(&relay.caller, carob_str_from(caller)), 0);
	return relay;
}

static void test_round_trip(void)
{
	static const char *const callers[] = {"127.0.0.1:40000",
					      "[fe80::1]:65535"};
	carob_keyring_t *ring = make_keyring(3, 1);

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(callers); i++) {
		carob_relay_t relay = make_packet(callers[i]);
		carob_buf_t data = CAROB_BUF_INIT;
		carob_relay_t out;

		CU_ASSERT_EQUAL_FATAL(carob_relay_encode(&data, ring, &relay),
				      0);
		CU_ASSERT_EQUAL_FATAL(
			carob_relay_decode(&out, ring, data.ptr, data.len), 0);
		CU_ASSERT_EQUAL(out.kind, relay.kind);
		CU_ASSERT_EQUAL(out.service_id, relay.service_id);
		CU_ASSERT_TRUE(carob_instance_id_eq(out.from, relay.from));
		CU_ASSERT_TRUE(carob_instance_id_eq(out.to, relay.to));
		CU_ASSERT_TRUE(carob_addr_eq(&out.caller, &relay.caller));
		CU_ASSERT_EQUAL(out.age_us, relay.age_us);
		CU_ASSERT_EQUAL(out.msg.mid, relay.msg.mid);
		CU_ASSERT_TRUE(
			carob_str_eq(out.msg.payload, relay.msg.payload));
		carob_buf_dispose(&data);
	}
	carob_keyring_free(ring);
}

static void test_largest_message_fits(void)
{
	static char payload[CAROB_MSG_BYTES_MAX];
	carob_relay_t relay = make_packet("[fe80::1]:65535");
	carob_keyring_t *ring = make_keyring(3, 1);
	carob_buf_t data = CAROB_BUF_INIT;
	carob_relay_t out;

	relay.service_id = UINT32_MAX;
	relay.age_us = UINT32_MAX;
	relay.from = (carob_instance_id_t){UINT32_MAX, UINT32_MAX};
	relay.to = relay.from;
	relay.msg.payload = (carob_str_t){payload, CAROB_MSG_BYTES_MAX - 6};
	CU_ASSERT_EQUAL(carob_relay_encode(&data, ring, &relay), 0);
	CU_ASSERT_EQUAL(carob_relay_decode(&out, ring, data.ptr, data.len), 0);
	carob_buf_dispose(&data);
	carob_keyring_free(ring);
}

static void test_corruption_is_refused(void)
{
	carob_relay_t relay = make_packet("127.0.0.1:40000");
	carob_keyring_t *ring = make_keyring(3, 1);
	carob_buf_t data = CAROB_BUF_INIT;
	carob_relay_t out;

	CU_ASSERT_EQUAL_FATAL(carob_relay_encode(&data, ring, &relay), 0);
	for (size_t prefix_len = 0; prefix_len < data.len; prefix_len++)
		CU_ASSERT_NOT_EQUAL(carob_relay_decode(&out, ring, data.ptr,
						       prefix_len),
				    0);
	for (size_t offset = 0; offset < data.len; offset++) {
		data.ptr[offset] ^= 0x10;
		CU_ASSERT_NOT_EQUAL(
			carob_relay_decode(&out, ring, data.ptr, data.len), 0);
		data.ptr[offset] ^= 0x10;
	}
	CU_ASSERT_EQUAL(carob_relay_decode(&out, ring, data.ptr, data.len), 0);
	carob_buf_dispose(&data);
	carob_keyring_free(ring);
}

static void test_keys(void)
{
	carob_relay_t relay = make_packet("127.0.0.1:40000");
	carob_keyring_t *ring = make_keyring(3, 1);
	carob_keyring_t *other_key = make_keyring(3, 2);
	carob_keyring_t *other_epoch = make_keyring(4, 1);
	carob_keyring_t *empty;
	carob_buf_t data = CAROB_BUF_INIT;
	carob_relay_t out;

	CU_ASSERT_EQUAL_FATAL(carob_keyring_new(&empty), 0);
	CU_ASSERT_EQUAL_FATAL(carob_relay_encode(&data, ring, &relay), 0);
	CU_ASSERT_EQUAL(carob_relay_decode(&out, other_key, data.ptr, data.len),
			CAROB_EAUTH);
	CU_ASSERT_EQUAL(carob_relay_decode(&out, other_epoch, data.ptr,
					   data.len),
			CAROB_ENOTFOUND);
	CU_ASSERT_EQUAL(carob_relay_encode(&data, empty, &relay),
			CAROB_ENOTFOUND);
	carob_buf_dispose(&data);
	carob_keyring_free(ring);
	carob_keyring_free(other_key);
	carob_keyring_free(other_epoch);
	carob_keyring_free(empty);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"an encoded packet decodes to the same packet",
		 test_round_trip},
		{"a packet with the largest message is encoded and decoded",
		 test_largest_message_fits},
		{"truncated and corrupted datagrams are refused",
		 test_corruption_is_refused},
		{"encoding and decoding require the right key", test_keys},
	};

	return run_tests("relay_codec", cases, CAROB_ARRAY_SIZE(cases));
}
