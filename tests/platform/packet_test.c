#include "platform/packet.h"

#include "carobtrail/errors.h"
#include "test_runner.h"

#include <string.h>

#define HEADER_BYTES PLATFORM_PACKET_HEADER_BYTES

/* Example packets of the platform's packet format: a SYN, and the reset that
 * refuses it. */
static const uint8_t syn[HEADER_BYTES] = {
	0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x20, 0x00,
	0x00, 0x00, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41,
	0x01, 0xbb, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5};
static const uint8_t reset[HEADER_BYTES] = {
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00,
	0x00, 0x00, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb,
	0x9c, 0x41, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

static carob_str_t view(const uint8_t *bytes, size_t len)
{
	return (carob_str_t){(const char *)bytes, len};
}

static void test_decode_syn(void)
{
	carob_flow_packet_t packet;

	CU_ASSERT_EQUAL(
		platform_packet_decode(&packet, view(syn, HEADER_BYTES)), 0);
	CU_ASSERT_EQUAL(packet.caller.ip, 0x64400007);
	CU_ASSERT_EQUAL(packet.caller.port, 40001);
	CU_ASSERT_EQUAL(packet.route.ip, 0xc6120001);
	CU_ASSERT_EQUAL(packet.route.port, 443);
	CU_ASSERT_EQUAL(packet.seq, 0x11223344);
	CU_ASSERT_TRUE(packet.syn);
	CU_ASSERT_FALSE(packet.has_ack || packet.fin || packet.rst);
	CU_ASSERT_EQUAL(packet.syn_copy, 0);
	CU_ASSERT_EQUAL(packet.data_bytes, 0);
	CU_ASSERT_EQUAL(packet.steering_tag, 0);
}

/* Packets of different lengths: the SYN with one byte of its header replaced,
 * and zeros after it. */
static const struct {
	const char *name;
	size_t len;
	uint8_t offset;
	uint8_t value;
	int result;
} length_cases[] = {
	{"unchanged", HEADER_BYTES, 0, 0, 0},
	{"empty", 0, 0, 0, CAROB_EFORMAT},
	{"truncated header", HEADER_BYTES - 1, 0, 0, CAROB_EFORMAT},
	{"longer than its length field", HEADER_BYTES + 1, 0, 0, CAROB_EFORMAT},
	{"shorter than its length field", HEADER_BYTES, 1, 1, CAROB_EFORMAT},
	{"one byte of data", HEADER_BYTES + 1, 1, 1, 0},
	{"more data than allowed", HEADER_BYTES + 1536, 0, 6, CAROB_EFORMAT},
};

static void test_packet_lengths(void)
{
	static uint8_t bytes[HEADER_BYTES + 2048];
	carob_flow_packet_t packet;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(length_cases); i++) {
		memset(bytes, 0, sizeof(bytes));
		memcpy(bytes, syn, HEADER_BYTES);
		bytes[length_cases[i].offset] = length_cases[i].value;
		CU_ASSERT_EQUAL(platform_packet_decode(
					&packet,
					view(bytes, length_cases[i].len)),
				length_cases[i].result);
	}
}

static void test_flags(void)
{
	static const struct {
		uint8_t flags;
		bool syn, ack, fin, rst;
	} cases[] = {
		{0, false, false, false, false},
		{32, true, false, false, false},
		{128, false, true, false, false},
		{128 + 4, false, true, true, false},
		{1, false, false, false, true},
		{16 + 128, false, true, false, false},
		{32 + 128, true, true, false, false},
	};
	uint8_t bytes[HEADER_BYTES];
	carob_flow_packet_t packet;

	memcpy(bytes, syn, HEADER_BYTES);
	bytes[9] = 2;
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		bytes[10] = cases[i].flags;
		CU_ASSERT_EQUAL(platform_packet_decode(
					&packet, view(bytes, HEADER_BYTES)),
				0);
		CU_ASSERT_EQUAL(packet.syn, cases[i].syn);
		CU_ASSERT_EQUAL(packet.has_ack, cases[i].ack);
		CU_ASSERT_EQUAL(packet.fin, cases[i].fin);
		CU_ASSERT_EQUAL(packet.rst, cases[i].rst);
		CU_ASSERT_EQUAL(packet.syn_copy, cases[i].syn ? 2 : 0);
		CU_ASSERT_EQUAL(packet.ack, cases[i].syn ? 0 : 2);
	}
}

static void test_encode_to_upstream(void)
{
	uint8_t out[PLATFORM_PACKET_BYTES_MAX];
	size_t len = platform_packet_encode(out, view(syn, HEADER_BYTES),
					    0x7f3a91c2ffULL, 0xaabbccdd);

	CU_ASSERT_EQUAL(len, 8 + HEADER_BYTES);
	CU_ASSERT_EQUAL(memcmp(out, "\0\0\0\x7f\x3a\x91\xc2\xff", 8), 0);
	CU_ASSERT_EQUAL(memcmp(out + 8, syn, 26), 0);
	CU_ASSERT_EQUAL(memcmp(out + 8 + 26, "\xaa\xbb\xcc\xdd", 4), 0);
	CU_ASSERT_EQUAL(memcmp(out + 8 + 30, syn + 30, 4), 0);
}

static void test_encode_reset(void)
{
	uint8_t out[HEADER_BYTES];
	carob_flow_packet_t packet;

	CU_ASSERT_EQUAL(
		platform_packet_decode(&packet, view(syn, HEADER_BYTES)), 0);
	platform_packet_encode_reset(out, &packet, 0);
	CU_ASSERT_EQUAL(memcmp(out, reset, HEADER_BYTES), 0);
	platform_packet_encode_reset(out, &packet, 0x01020304);
	CU_ASSERT_EQUAL(memcmp(out + 2, "\1\2\3\4", 4), 0);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"decoding of a SYN", test_decode_syn},
		{"packet lengths", test_packet_lengths},
		{"header flags", test_flags},
		{"encoding of a packet to an upstream",
		 test_encode_to_upstream},
		{"encoding of a reset", test_encode_reset},
	};

	return run_tests("platform packet", cases, CAROB_ARRAY_SIZE(cases));
}
