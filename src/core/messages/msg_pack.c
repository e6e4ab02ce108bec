#include "core/messages/msg_pack.h"

#include "carobtrail/errors.h"
#include "core/messages/bytes.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_BYTES 32
#define OPTION_BYTES 4
#define TRACE_BYTES  25

/* Bits of the byte that says which optional members are present. */
typedef enum member_bit {
	MEMBER_OBSERVE = 1,
	MEMBER_MAX_AGE = 2,
	MEMBER_DEADLINE = 4,
	MEMBER_TRACE = 8,
} member_bit_t;

static size_t packed_size(const carob_msg_t *msg)
{
	size_t size = HEADER_BYTES + msg->echo_len + msg->payload.len;

	if (msg->has_trace)
		size += TRACE_BYTES;
	for (size_t i = 0; i < msg->other_count; i++)
		size += OPTION_BYTES + msg->other[i].value.len;
	return size;
}

static uint8_t *put_bytes(uint8_t *cursor, const void *bytes, size_t len)
{
	if (len)
		memcpy(cursor, bytes, len);
	return cursor + len;
}

static uint8_t member_bits(const carob_msg_t *msg)
{
	return (uint8_t)((msg->has_observe ? MEMBER_OBSERVE : 0) |
			 (msg->has_max_age ? MEMBER_MAX_AGE : 0) |
			 (msg->has_deadline ? MEMBER_DEADLINE : 0) |
			 (msg->has_trace ? MEMBER_TRACE : 0));
}

static uint8_t *put_header(uint8_t *cursor, const carob_msg_t *msg)
{
	cursor = carob_put_be(cursor, msg->type, 1);
	cursor = carob_put_be(cursor, msg->code, 1);
	cursor = carob_put_be(cursor, msg->mid, 2);
	cursor = carob_put_be(cursor, msg->token_len, 1);
	cursor = put_bytes(cursor, msg->token, CAROB_MSG_TOKEN_MAX);
	cursor = carob_put_be(cursor, member_bits(msg), 1);
	cursor = carob_put_be(cursor, msg->verdict, 1);
	cursor = carob_put_be(cursor, msg->observe, 4);
	cursor = carob_put_be(cursor, msg->max_age_s, 4);
	cursor = carob_put_be(cursor, msg->deadline_ms, 4);
	cursor = carob_put_be(cursor, msg->echo_len, 1);
	cursor = carob_put_be(cursor, msg->other_count, 1);
	return carob_put_be(cursor, msg->payload.len, 3);
}

static uint8_t *put_trace(uint8_t *cursor, const carob_trace_context_t *trace)
{
	cursor = put_bytes(cursor, trace->trace_id, sizeof(trace->trace_id));
	cursor = put_bytes(cursor, trace->span_id, sizeof(trace->span_id));
	return carob_put_be(cursor, trace->flags, 1);
}

carob_packed_msg_t *carob_msg_pack(const carob_msg_t *msg)
{
	size_t len = packed_size(msg);
	carob_packed_msg_t *packed = malloc(sizeof(*packed) + len);
	uint8_t *cursor;

	if (!packed) {
		carob_error_set(CAROB_ENOMEM,
				"cannot allocate a packed message of %zu bytes",
				len);
		return NULL;
	}
	packed->len = (uint32_t)len;
	cursor = put_header(packed->bytes, msg);
	cursor = put_bytes(cursor, msg->echo, msg->echo_len);
	if (msg->has_trace)
		cursor = put_trace(cursor, &msg->trace);
	for (size_t i = 0; i < msg->other_count; i++) {
		const carob_msg_option_t *option = &msg->other[i];

		cursor = carob_put_be(cursor, option->number, 2);
		cursor = carob_put_be(cursor, option->value.len, 2);
		cursor =
			put_bytes(cursor, option->value.ptr, option->value.len);
	}
	put_bytes(cursor, msg->payload.ptr, msg->payload.len);
	return packed;
}

static void read_bytes(void *out, carob_reader_t *in, size_t len)
{
	const uint8_t *bytes = carob_read_bytes(in, len);

	if (bytes && len)
		memcpy(out, bytes, len);
}

static carob_str_t read_str(carob_reader_t *in, size_t len)
{
	const uint8_t *bytes = carob_read_bytes(in, len);

	return (carob_str_t){(const char *)bytes, bytes ? len : 0};
}

static size_t read_header(carob_msg_t *msg, carob_reader_t *in)
{
	uint8_t bits;

	msg->type = (carob_msg_type_t)(carob_read_be(in, 1) & 3);
	msg->code = (uint8_t)carob_read_be(in, 1);
	msg->mid = (uint16_t)carob_read_be(in, 2);
	msg->token_len = (uint8_t)carob_read_be(in, 1);
	read_bytes(msg->token, in, CAROB_MSG_TOKEN_MAX);
	bits = (uint8_t)carob_read_be(in, 1);
	msg->has_observe = bits & MEMBER_OBSERVE;
	msg->has_max_age = bits & MEMBER_MAX_AGE;
	msg->has_deadline = bits & MEMBER_DEADLINE;
	msg->has_trace = bits & MEMBER_TRACE;
	msg->verdict = (carob_verdict_t)carob_read_be(in, 1);
	msg->observe = (uint32_t)carob_read_be(in, 4);
	msg->max_age_s = (uint32_t)carob_read_be(in, 4);
	msg->deadline_ms = (uint32_t)carob_read_be(in, 4);
	msg->echo_len = (uint8_t)carob_read_be(in, 1);
	msg->other_count = (uint8_t)carob_read_be(in, 1);
	return (size_t)carob_read_be(in, 3);
}

static void read_trace(carob_trace_context_t *trace, carob_reader_t *in)
{
	read_bytes(trace->trace_id, in, sizeof(trace->trace_id));
	read_bytes(trace->span_id, in, sizeof(trace->span_id));
	trace->flags = (uint8_t)carob_read_be(in, 1);
}

static bool fields_in_range(const carob_msg_t *msg)
{
	return msg->token_len <= CAROB_MSG_TOKEN_MAX &&
	       msg->echo_len <= CAROB_MSG_ECHO_MAX &&
	       msg->other_count <= CAROB_MSG_OTHER_MAX &&
	       msg->verdict <= CAROB_VERDICT_UNKNOWN;
}

int carob_msg_unpack(carob_msg_t *out, const uint8_t *bytes, size_t len)
{
	carob_reader_t in = {bytes, len, false};
	size_t payload_len;

	memset(out, 0, sizeof(*out));
	payload_len = read_header(out, &in);
	if (!fields_in_range(out))
		return carob_error_set(CAROB_EFORMAT,
				       "packed message: field out of range");
	read_bytes(out->echo, &in, out->echo_len);
	if (out->has_trace)
		read_trace(&out->trace, &in);
	for (size_t i = 0; i < out->other_count; i++) {
		out->other[i].number = (uint16_t)carob_read_be(&in, 2);
		out->other[i].value =
			read_str(&in, (size_t)carob_read_be(&in, 2));
	}
	out->payload = read_str(&in, payload_len);
	if (in.failed || in.left != 0)
		return carob_error_set(CAROB_EFORMAT,
				       "packed message: wrong length");
	return 0;
}
