#include "core/messages/msg_pack.h"

#include "carobtrail/errors.h"
#include "core/messages/bytes.h"

#include <stdlib.h>
#include <string.h>

#define HEAD_BYTES   32
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
	size_t size = HEAD_BYTES + msg->echo_len + msg->payload.len;

	if (msg->has_trace)
		size += TRACE_BYTES;
	for (size_t i = 0; i < msg->other_count; i++)
		size += OPTION_BYTES + msg->other[i].value.len;
	return size;
}

static uint8_t *put_bytes(uint8_t *at, const void *bytes, size_t len)
{
	if (len)
		memcpy(at, bytes, len);
	return at + len;
}

static uint8_t member_bits(const carob_msg_t *msg)
{
	return (uint8_t)((msg->has_observe ? MEMBER_OBSERVE : 0) |
			 (msg->has_max_age ? MEMBER_MAX_AGE : 0) |
			 (msg->has_deadline ? MEMBER_DEADLINE : 0) |
			 (msg->has_trace ? MEMBER_TRACE : 0));
}

static uint8_t *put_head(uint8_t *at, const carob_msg_t *msg)
{
	at = carob_put_be(at, msg->type, 1);
	at = carob_put_be(at, msg->code, 1);
	at = carob_put_be(at, msg->mid, 2);
	at = carob_put_be(at, msg->token_len, 1);
	at = put_bytes(at, msg->token, CAROB_MSG_TOKEN_MAX);
	at = carob_put_be(at, member_bits(msg), 1);
	at = carob_put_be(at, msg->verdict, 1);
	at = carob_put_be(at, msg->observe, 4);
	at = carob_put_be(at, msg->max_age_s, 4);
	at = carob_put_be(at, msg->deadline_ms, 4);
	at = carob_put_be(at, msg->echo_len, 1);
	at = carob_put_be(at, msg->other_count, 1);
	return carob_put_be(at, msg->payload.len, 3);
}

static uint8_t *put_trace(uint8_t *at, const carob_trace_context_t *trace)
{
	at = put_bytes(at, trace->trace_id, sizeof(trace->trace_id));
	at = put_bytes(at, trace->span_id, sizeof(trace->span_id));
	return carob_put_be(at, trace->flags, 1);
}

carob_packed_msg_t *carob_msg_pack(const carob_msg_t *msg)
{
	size_t len = packed_size(msg);
	carob_packed_msg_t *packed = malloc(sizeof(*packed) + len);
	uint8_t *at;

	if (!packed) {
		carob_error_set(CAROB_ENOMEM,
				"cannot allocate a packed message of %zu bytes",
				len);
		return NULL;
	}
	packed->len = (uint32_t)len;
	at = put_head(packed->bytes, msg);
	at = put_bytes(at, msg->echo, msg->echo_len);
	if (msg->has_trace)
		at = put_trace(at, &msg->trace);
	for (size_t i = 0; i < msg->other_count; i++) {
		const carob_msg_option_t *option = &msg->other[i];

		at = carob_put_be(at, option->number, 2);
		at = carob_put_be(at, option->value.len, 2);
		at = put_bytes(at, option->value.ptr, option->value.len);
	}
	put_bytes(at, msg->payload.ptr, msg->payload.len);
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

static size_t read_head(carob_msg_t *msg, carob_reader_t *in)
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
	payload_len = read_head(out, &in);
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
