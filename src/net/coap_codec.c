#include "net/coap_codec.h"

#include "carobtrail/errors.h"

#include <coap3/coap.h>
#include <string.h>

#define HEADER_BYTES	    4
#define VERSION_1	    1
#define PAYLOAD_MARKER	    0xff
#define TRACE_BYTES	    25
#define UINT_BYTES_MAX	    4
#define OBSERVE_BYTES_MAX   3
#define FIELD_OPTIONS_MAX   6
#define OPTION_BIT_CRITICAL 1

/* Critical options that are forwarded without being interpreted. */
static const uint16_t forwarded_critical[] = {
	COAP_OPTION_IF_MATCH,  COAP_OPTION_URI_HOST, COAP_OPTION_IF_NONE_MATCH,
	COAP_OPTION_URI_PORT,  COAP_OPTION_OSCORE,   COAP_OPTION_URI_PATH,
	COAP_OPTION_URI_QUERY, COAP_OPTION_ACCEPT,   COAP_OPTION_BLOCK2,
	COAP_OPTION_BLOCK1,
};

static bool is_forwarded_critical(uint16_t number)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(forwarded_critical); i++)
		if (forwarded_critical[i] == number)
			return true;
	return false;
}

static int decode_header(carob_msg_t *out, const uint8_t *data, size_t len)
{
	if (len < HEADER_BYTES || data[0] >> 6 != VERSION_1)
		return carob_error_set(CAROB_EFORMAT, "invalid CoAP header");
	out->type = (carob_msg_type_t)(data[0] >> 4 & 3);
	out->token_len = data[0] & 0xf;
	out->code = data[1];
	out->mid = (uint16_t)(data[2] << 8 | data[3]);
	if (out->token_len > CAROB_MSG_TOKEN_MAX ||
	    len < (size_t)HEADER_BYTES + out->token_len)
		return carob_error_set(CAROB_EFORMAT,
				       "invalid CoAP token length %u",
				       out->token_len);
	memcpy(out->token, data + HEADER_BYTES, out->token_len);
	return 0;
}

static bool decode_uint(uint32_t *out, carob_str_t value, size_t max_bytes)
{
	if (value.len > max_bytes)
		return false;
	*out = coap_decode_var_bytes((const uint8_t *)value.ptr, value.len);
	return true;
}

static void decode_trace(carob_msg_t *out, carob_str_t value)
{
	if (out->has_trace || value.len != TRACE_BYTES)
		return;
	out->has_trace = true;
	memcpy(out->trace.trace_id, value.ptr, sizeof(out->trace.trace_id));
	memcpy(out->trace.span_id, value.ptr + sizeof(out->trace.trace_id),
	       sizeof(out->trace.span_id));
	out->trace.flags = (uint8_t)value.ptr[TRACE_BYTES - 1];
}

static void decode_echo(carob_msg_t *out, carob_str_t value)
{
	if (out->echo_len || value.len > CAROB_MSG_ECHO_MAX)
		return;
	out->echo_len = (uint8_t)value.len;
	memcpy(out->echo, value.ptr, value.len);
}

static void decode_verdict(carob_msg_t *out, carob_str_t value)
{
	uint32_t verdict;

	if (out->verdict == CAROB_VERDICT_NONE &&
	    decode_uint(&verdict, value, 1) && verdict <= CAROB_VERDICT_UNKNOWN)
		out->verdict = (carob_verdict_t)verdict;
}

static int store_option(carob_msg_t *out, uint8_t *refusal, uint16_t number,
			carob_str_t value)
{
	if (number == COAP_OPTION_PROXY_URI ||
	    number == COAP_OPTION_PROXY_SCHEME) {
		*refusal = CAROB_CODE_PROXYING_NOT_SUPPORTED;
		return carob_error_set(CAROB_EINVALID,
				       "unsupported CoAP proxy option %u",
				       number);
	}
	if (number & OPTION_BIT_CRITICAL && !is_forwarded_critical(number)) {
		*refusal = CAROB_CODE_BAD_OPTION;
		return carob_error_set(CAROB_EINVALID,
				       "unknown critical CoAP option %u",
				       number);
	}
	if (out->other_count == CAROB_MSG_OTHER_MAX) {
		*refusal = CAROB_CODE_BAD_REQUEST;
		return carob_error_set(CAROB_ELIMIT,
				       "CoAP message with more than %d options",
				       CAROB_MSG_OTHER_MAX);
	}
	out->other[out->other_count++] = (carob_msg_option_t){number, value};
	return 0;
}

static int decode_option(carob_msg_t *out, uint8_t *refusal, uint16_t number,
			 carob_str_t value)
{
	switch (number) {
	case CAROB_OPTION_OBSERVE:
		if (!out->has_observe)
			out->has_observe = decode_uint(&out->observe, value,
						       OBSERVE_BYTES_MAX);
		return 0;
	case CAROB_OPTION_MAX_AGE:
		if (!out->has_max_age)
			out->has_max_age = decode_uint(&out->max_age_s, value,
						       UINT_BYTES_MAX);
		return 0;
	case CAROB_OPTION_DEADLINE:
		if (!out->has_deadline)
			out->has_deadline = decode_uint(&out->deadline_ms,
							value, UINT_BYTES_MAX);
		return 0;
	case CAROB_OPTION_ECHO:
		decode_echo(out, value);
		return 0;
	case CAROB_OPTION_TRACE:
		decode_trace(out, value);
		return 0;
	case CAROB_OPTION_VERDICT:
		decode_verdict(out, value);
		return 0;
	default:
		return store_option(out, refusal, number, value);
	}
}

/* libcoap parses a copy of the datagram. The views in `out` refer to the same
 * offsets in the datagram itself. */
static int decode_body(carob_msg_t *out, uint8_t *refusal, coap_pdu_t *pdu,
		       const uint8_t *data, size_t len)
{
	const uint8_t *options = data + HEADER_BYTES + out->token_len;
	coap_opt_iterator_t iter;
	const uint8_t *payload;
	const uint8_t *copied_options;
	coap_opt_t *option;

	if (coap_get_data(pdu, &out->payload.len, &payload))
		out->payload.ptr = (const char *)data + len - out->payload.len;
	if (!coap_option_iterator_init(pdu, &iter, COAP_OPT_ALL))
		return 0;
	copied_options = iter.next_option;
	while ((option = coap_option_next(&iter)) != NULL) {
		carob_str_t value = {
			(const char *)options +
				(coap_opt_value(option) - copied_options),
			coap_opt_length(option),
		};
		int error;

		error = decode_option(out, refusal, iter.number, value);
		if (error)
			return error;
	}
	return 0;
}

static int parse_pdu(carob_msg_t *out, uint8_t *refusal, const uint8_t *data,
		     size_t len)
{
	coap_pdu_t *pdu;
	int error;

	/* Each message needs a new PDU: parsing into a used one adds to the
	 * option numbers that it holds, and libcoap does not export the
	 * function that clears a PDU. */
	pdu = coap_pdu_init(0, 0, 0, CAROB_MSG_BYTES_MAX);
	if (!pdu)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate CoAP message");
	coap_set_log_level(LOG_EMERG);
	if (coap_pdu_parse(COAP_PROTO_UDP, data, len, pdu))
		error = decode_body(out, refusal, pdu, data, len);
	else
		error = carob_error_set(CAROB_EFORMAT, "invalid CoAP options");
	coap_delete_pdu(pdu);
	return error;
}

int carob_coap_decode(carob_msg_t *out, uint8_t *refusal, const void *data,
		      size_t len)
{
	int error;

	memset(out, 0, sizeof(*out));
	out->payload = CAROB_STR("");
	*refusal = CAROB_CODE_EMPTY;
	error = decode_header(out, data, len);
	if (error)
		return error;
	if (len > CAROB_MSG_BYTES_MAX) {
		*refusal = CAROB_CODE_TOO_LARGE;
		error = carob_error_set(CAROB_ELIMIT,
					"CoAP message of %zu bytes too large",
					len);
	} else {
		error = parse_pdu(out, refusal, data, len);
	}
	if (error && !carob_msg_is_request(out))
		*refusal = CAROB_CODE_EMPTY;
	return error;
}

/* State of the encoder: the datagram written so far and the first error. */
typedef struct writer {
	uint8_t *ptr;
	size_t len;
	size_t cap;
	uint16_t last_number;
	int error;
} writer_t;

static void write_bytes(writer_t *w, const void *ptr, size_t len)
{
	if (w->error)
		return;
	if (w->cap - w->len < len) {
		w->error = carob_error_set(
			CAROB_ELIMIT, "CoAP message exceeds %zu bytes", w->cap);
		return;
	}
	if (len)
		memcpy(w->ptr + w->len, ptr, len);
	w->len += len;
}

static void write_option(writer_t *w, const carob_msg_option_t *option)
{
	size_t size;

	if (w->error)
		return;
	if (option->number < w->last_number) {
		w->error = carob_error_set(CAROB_EINVALID,
					   "CoAP option %u is out of order",
					   option->number);
		return;
	}
	size = coap_opt_encode(w->ptr + w->len, w->cap - w->len,
			       option->number - w->last_number,
			       (const uint8_t *)option->value.ptr,
			       option->value.len);
	if (size == 0) {
		w->error = carob_error_set(
			CAROB_ELIMIT, "CoAP message exceeds %zu bytes", w->cap);
		return;
	}
	w->len += size;
	w->last_number = option->number;
}

/* The options held in dedicated fields of a message, in ascending order, with
 * storage for their encoded values. */
typedef struct field_options {
	carob_msg_option_t options[FIELD_OPTIONS_MAX];
	size_t count;
	uint8_t values[FIELD_OPTIONS_MAX][TRACE_BYTES];
} field_options_t;

static void add_view(field_options_t *f, uint16_t number, const void *ptr,
		     size_t len)
{
	f->options[f->count++] = (carob_msg_option_t){number, {ptr, len}};
}

static void add_uint(field_options_t *f, uint16_t number, uint32_t value)
{
	uint8_t *bytes = f->values[f->count];

	add_view(f, number, bytes,
		 coap_encode_var_safe(bytes, UINT_BYTES_MAX, value));
}

static void add_trace(field_options_t *f, const carob_trace_context_t *trace)
{
	uint8_t *bytes = f->values[f->count];

	memcpy(bytes, trace->trace_id, sizeof(trace->trace_id));
	memcpy(bytes + sizeof(trace->trace_id), trace->span_id,
	       sizeof(trace->span_id));
	bytes[TRACE_BYTES - 1] = trace->flags;
	add_view(f, CAROB_OPTION_TRACE, bytes, TRACE_BYTES);
}

static void collect_fields(field_options_t *f, const carob_msg_t *msg)
{
	f->count = 0;
	if (msg->has_observe)
		add_uint(f, CAROB_OPTION_OBSERVE, msg->observe);
	if (msg->has_max_age)
		add_uint(f, CAROB_OPTION_MAX_AGE, msg->max_age_s);
	if (msg->echo_len)
		add_view(f, CAROB_OPTION_ECHO, msg->echo, msg->echo_len);
	if (msg->has_deadline)
		add_uint(f, CAROB_OPTION_DEADLINE, msg->deadline_ms);
	if (msg->has_trace)
		add_trace(f, &msg->trace);
	if (msg->verdict != CAROB_VERDICT_NONE)
		add_uint(f, CAROB_OPTION_VERDICT, (uint32_t)msg->verdict);
}

static void write_options(writer_t *w, const carob_msg_t *msg)
{
	field_options_t fields;
	size_t field = 0;

	collect_fields(&fields, msg);
	for (size_t i = 0; i < msg->other_count; i++) {
		while (field < fields.count &&
		       fields.options[field].number <= msg->other[i].number)
			write_option(w, &fields.options[field++]);
		write_option(w, &msg->other[i]);
	}
	while (field < fields.count)
		write_option(w, &fields.options[field++]);
}

int carob_coap_encode(uint8_t *out, size_t *len, size_t cap,
		      const carob_msg_t *msg)
{
	static const uint8_t marker = PAYLOAD_MARKER;
	writer_t w = {.cap = cap};
	uint8_t header[HEADER_BYTES] = {
		(uint8_t)(VERSION_1 << 6 | msg->type << 4 | msg->token_len),
		msg->code,
		(uint8_t)(msg->mid >> 8),
		(uint8_t)msg->mid,
	};

	w.ptr = out;
	write_bytes(&w, header, sizeof(header));
	write_bytes(&w, msg->token, msg->token_len);
	write_options(&w, msg);
	if (msg->payload.len) {
		write_bytes(&w, &marker, 1);
		write_bytes(&w, msg->payload.ptr, msg->payload.len);
	}
	if (w.error)
		return w.error;
	*len = w.len;
	return 0;
}
