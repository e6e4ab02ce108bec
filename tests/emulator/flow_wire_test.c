#include "emulator/flows/wire.h"

#include "carobtrail/errors.h"
#include "platform/packet.h"
#include "test_runner.h"

#include <string.h>

/* A SYN, the example of the platform's documentation. */
static const uint8_t example[WIRE_HEADER_BYTES] = {
	0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x20, 0x00,
	0x00, 0x00, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41,
	0x01, 0xbb, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5};

static void test_decode_example(void)
{
	wire_packet_t packet;

	CU_ASSERT_EQUAL_FATAL(wire_decode(&packet,
					  (carob_str_t){(const char *)example,
							sizeof(example)}),
			      0);
	CU_ASSERT_EQUAL(packet.from.ip, 0x64400007);
	CU_ASSERT_EQUAL(packet.from.port, 40001);
	CU_ASSERT_EQUAL(packet.to.ip, 0xc6120001);
	CU_ASSERT_EQUAL(packet.to.port, 443);
	CU_ASSERT_EQUAL(packet.seq, 0x11223344);
	CU_ASSERT_EQUAL(packet.flags, WIRE_SYN);
	CU_ASSERT_EQUAL(packet.checksum, 0xa1b2c3d5);
	CU_ASSERT_EQUAL(packet.data.len, 0);
}

/* The load balancer's codec must read the same fields that an end of a flow
 * has written. */
static void test_balancer_decodes_encoded(void)
{
	static const struct {
		uint8_t flags;
		const char *data;
		uint32_t echo;
	} cases[] = {
		{WIRE_SYN, "", 0},
		{WIRE_ACK, "GET /slots", 0x7f3a91c2},
		{WIRE_ACK | WIRE_FIN, "", 1},
		{WIRE_RST, "", 0xffffffff},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++) {
		uint8_t bytes[WIRE_BYTES_MAX];
		carob_flow_packet_t decoded;
		wire_packet_t packet = {
			.from = {0x64400007, 40001},
			.to = {0xc6120001, 443},
			.seq = 77,
			.ack = 2,
			.flags = cases[i].flags,
			.echo = cases[i].echo,
			.data = carob_str_from(cases[i].data),
		};
		size_t len = wire_encode(bytes, &packet);

		CU_ASSERT_EQUAL_FATAL(
			platform_packet_decode(
				&decoded, (carob_str_t){(char *)bytes, len}),
			0);
		CU_ASSERT_TRUE(carob_endpoint_eq(decoded.caller, packet.from));
		CU_ASSERT_TRUE(carob_endpoint_eq(decoded.route, packet.to));
		CU_ASSERT_EQUAL(decoded.seq, 77);
		/* In a SYN, the field counts the retransmissions. */
		CU_ASSERT_EQUAL(decoded.syn ? decoded.syn_copy : decoded.ack,
				2);
		CU_ASSERT_EQUAL(decoded.steering_tag, cases[i].echo);
		CU_ASSERT_EQUAL(decoded.data_bytes, strlen(cases[i].data));
		CU_ASSERT_EQUAL(decoded.syn, (cases[i].flags & WIRE_SYN) != 0);
		CU_ASSERT_EQUAL(decoded.fin, (cases[i].flags & WIRE_FIN) != 0);
		CU_ASSERT_EQUAL(decoded.rst, (cases[i].flags & WIRE_RST) != 0);
	}
}

/* The checksum must reveal an alteration of any byte except those of the echo
 * field and of the padding, which it does not cover. */
static void test_checksum(void)
{
	uint8_t bytes[WIRE_BYTES_MAX];
	wire_packet_t packet = {.from = {0x64400007, 40001},
				.to = {0xc6120001, 443},
				.flags = WIRE_ACK,
				.data = CAROB_STR("GET /slots")};
	size_t len = wire_encode(bytes, &packet);

	for (size_t position = 2; position < len; position++) {
		bool uncovered = (position >= 11 && position < 14) ||
				 (position >= 26 && position < 30);
		wire_packet_t decoded;

		bytes[position] ^= 1;
		CU_ASSERT_EQUAL(wire_decode(&decoded,
					    (carob_str_t){(char *)bytes, len}),
				0);
		CU_ASSERT_EQUAL(wire_checksum_valid(&decoded), uncovered);
		bytes[position] ^= 1;
	}
}

static void test_wrong_lengths(void)
{
	uint8_t bytes[WIRE_BYTES_MAX];
	wire_packet_t packet = {.data = CAROB_STR("0123456789")};
	size_t len = wire_encode(bytes, &packet);
	const size_t lengths[] = {0, WIRE_HEADER_BYTES - 1, len - 1, len + 1};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(lengths); i++)
		CU_ASSERT_EQUAL(
			wire_decode(&packet,
				    (carob_str_t){(char *)bytes, lengths[i]}),
			CAROB_EFORMAT);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"decoding the documented example packet", test_decode_example},
		{"the load balancer decodes encoded packets",
		 test_balancer_decodes_encoded},
		{"the checksum detects altered bytes", test_checksum},
		{"datagrams of a wrong length are rejected",
		 test_wrong_lengths},
	};

	return run_tests("flow wire", cases, CAROB_ARRAY_SIZE(cases));
}
