#include "net/cbor_stream.h"

#include "carobtrail/errors.h"

#include <cbor.h>
#include <string.h>

#define HEAD_BYTES_MAX 9 /* RFC 8949: one byte and an argument of 64 bits */

typedef enum item_kind {
	ITEM_OTHER,
	ITEM_UINT,
	ITEM_BOOL,
	ITEM_BYTES,
	ITEM_TEXT,
	ITEM_ARRAY,
} item_kind_t;

/* The item that the decoder has read last. */
typedef struct item {
	item_kind_t kind;
	uint64_t value; /* length of an array or string; else its value */
	const uint8_t *bytes;
} item_t;

static void on_u8(void *context, uint8_t value)
{
	*(item_t *)context = (item_t){.kind = ITEM_UINT, .value = value};
}

static void on_u16(void *context, uint16_t value)
{
	*(item_t *)context = (item_t){.kind = ITEM_UINT, .value = value};
}

static void on_u32(void *context, uint32_t value)
{
	*(item_t *)context = (item_t){.kind = ITEM_UINT, .value = value};
}

static void on_u64(void *context, uint64_t value)
{
	*(item_t *)context = (item_t){.kind = ITEM_UINT, .value = value};
}

static void on_bool(void *context, bool value)
{
	*(item_t *)context = (item_t){.kind = ITEM_BOOL, .value = value};
}

static void on_bytes(void *context, cbor_data data, size_t len)
{
	*(item_t *)context =
		(item_t){.kind = ITEM_BYTES, .value = len, .bytes = data};
}

static void on_text(void *context, cbor_data data, size_t len)
{
	*(item_t *)context =
		(item_t){.kind = ITEM_TEXT, .value = len, .bytes = data};
}

static void on_array(void *context, size_t len)
{
	*(item_t *)context = (item_t){.kind = ITEM_ARRAY, .value = len};
}

void carob_cbor_writer(carob_cbor_t *cbor, carob_buf_t *out)
{
	*cbor = (carob_cbor_t){.out = out};
}

void carob_cbor_reader(carob_cbor_t *cbor, carob_str_t bytes)
{
	*cbor = (carob_cbor_t){
		.in = (const uint8_t *)bytes.ptr,
		.left = bytes.len,
	};
}

bool carob_cbor_reading(const carob_cbor_t *cbor)
{
	return cbor->out == NULL;
}

void carob_cbor_fail(carob_cbor_t *cbor, int error)
{
	if (!cbor->error)
		cbor->error = error;
}

/* Reads one item of the given kind. Returns an item of value 0 on failure. */
static item_t read_item(carob_cbor_t *cbor, item_kind_t expected)
{
	struct cbor_callbacks callbacks = cbor_empty_callbacks;
	struct cbor_decoder_result result;
	item_t item = {ITEM_OTHER, 0, NULL};

	if (cbor->error)
		return (item_t){ITEM_OTHER, 0, NULL};
	callbacks.uint8 = on_u8;
	callbacks.uint16 = on_u16;
	callbacks.uint32 = on_u32;
	callbacks.uint64 = on_u64;
	callbacks.boolean = on_bool;
	callbacks.byte_string = on_bytes;
	callbacks.string = on_text;
	callbacks.array_start = on_array;
	result = cbor_stream_decode(cbor->in, cbor->left, &callbacks, &item);
	if (result.status != CBOR_DECODER_FINISHED || item.kind != expected) {
		carob_cbor_fail(cbor, CAROB_EFORMAT);
		return (item_t){ITEM_OTHER, 0, NULL};
	}
	cbor->in += result.read;
	cbor->left -= result.read;
	return item;
}

static void append(carob_cbor_t *cbor, const void *ptr, size_t len)
{
	if (cbor->error)
		return;
	carob_cbor_fail(cbor, carob_buf_append(cbor->out, ptr, len));
}

typedef size_t (*encode_head_fn_t)(size_t, unsigned char *, size_t);

static void write_head(carob_cbor_t *cbor, encode_head_fn_t encode,
		       size_t value)
{
	unsigned char head[HEAD_BYTES_MAX];

	append(cbor, head, encode(value, head, sizeof(head)));
}

void carob_cbor_u64(carob_cbor_t *cbor, uint64_t *value)
{
	if (carob_cbor_reading(cbor))
		*value = read_item(cbor, ITEM_UINT).value;
	else
		write_head(cbor, cbor_encode_uint, *value);
}

static uint64_t visit_bounded(carob_cbor_t *cbor, uint64_t value, uint64_t max)
{
	carob_cbor_u64(cbor, &value);
	if (value <= max)
		return value;
	carob_cbor_fail(cbor, CAROB_EFORMAT);
	return 0;
}

void carob_cbor_u32(carob_cbor_t *cbor, uint32_t *value)
{
	*value = (uint32_t)visit_bounded(cbor, *value, UINT32_MAX);
}

void carob_cbor_u16(carob_cbor_t *cbor, uint16_t *value)
{
	*value = (uint16_t)visit_bounded(cbor, *value, UINT16_MAX);
}

unsigned int carob_cbor_bounded_uint(carob_cbor_t *cbor, unsigned int value,
				     unsigned int max)
{
	return (unsigned int)visit_bounded(cbor, value, max);
}

void carob_cbor_bool(carob_cbor_t *cbor, bool *value)
{
	unsigned char head[HEAD_BYTES_MAX];

	if (carob_cbor_reading(cbor))
		*value = read_item(cbor, ITEM_BOOL).value != 0;
	else
		append(cbor, head,
		       cbor_encode_bool(*value, head, sizeof(head)));
}

void carob_cbor_bytes(carob_cbor_t *cbor, carob_str_t *bytes, size_t max)
{
	item_t item;

	if (!carob_cbor_reading(cbor)) {
		if (bytes->len > max)
			carob_cbor_fail(cbor, CAROB_ELIMIT);
		write_head(cbor, cbor_encode_bytestring_start, bytes->len);
		append(cbor, bytes->ptr, bytes->len);
		return;
	}
	item = read_item(cbor, ITEM_BYTES);
	if (item.value > max) {
		carob_cbor_fail(cbor, CAROB_ELIMIT);
		item = (item_t){ITEM_OTHER, 0, NULL};
	}
	*bytes = (carob_str_t){(const char *)item.bytes, (size_t)item.value};
}

void carob_cbor_fixed(carob_cbor_t *cbor, void *ptr, size_t len)
{
	carob_str_t bytes = {ptr, len};

	carob_cbor_bytes(cbor, &bytes, len);
	if (!carob_cbor_reading(cbor))
		return;
	if (bytes.len == len && bytes.ptr) {
		memcpy(ptr, bytes.ptr, len);
		return;
	}
	carob_cbor_fail(cbor, CAROB_EFORMAT);
	memset(ptr, 0, len);
}

void carob_cbor_text(carob_cbor_t *cbor, char *text, size_t cap)
{
	item_t item;

	if (!carob_cbor_reading(cbor)) {
		write_head(cbor, cbor_encode_string_start, strlen(text));
		append(cbor, text, strlen(text));
		return;
	}
	item = read_item(cbor, ITEM_TEXT);
	memset(text, 0, cap);
	if (item.value >= cap ||
	    (item.value > 0 && memchr(item.bytes, '\0', item.value))) {
		carob_cbor_fail(cbor, CAROB_EFORMAT);
		return;
	}
	if (item.value > 0)
		memcpy(text, item.bytes, item.value);
}

size_t carob_cbor_array(carob_cbor_t *cbor, size_t count, size_t max)
{
	if (carob_cbor_reading(cbor))
		count = (size_t)read_item(cbor, ITEM_ARRAY).value;
	else
		write_head(cbor, cbor_encode_array_start, count);
	if (count <= max)
		return count;
	carob_cbor_fail(cbor, CAROB_ELIMIT);
	return 0;
}

void carob_cbor_fields(carob_cbor_t *cbor, size_t count)
{
	if (carob_cbor_array(cbor, count, count) != count)
		carob_cbor_fail(cbor, CAROB_EFORMAT);
}

int carob_cbor_finish(carob_cbor_t *cbor)
{
	if (carob_cbor_reading(cbor) && cbor->left > 0)
		carob_cbor_fail(cbor, CAROB_EFORMAT);
	return cbor->error;
}
