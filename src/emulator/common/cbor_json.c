#include "emulator/common/cbor_json.h"

#include <cbor.h>
#include <string.h>

/* Longest head of an item, which is also the size of a double (RFC 8949,
 * section 3). */
#define HEAD_BYTES 9

static int append(carob_buf_t *out, const void *bytes, size_t len)
{
	return carob_buf_append(out, (const char *)bytes, len);
}

static int encode_integer(carob_buf_t *out, json_int_t value)
{
	unsigned char head[HEAD_BYTES];
	size_t len = value < 0 ? cbor_encode_negint((uint64_t)(-1 - value),
						    head, sizeof(head))
			       : cbor_encode_uint((uint64_t)value, head,
						  sizeof(head));

	return append(out, head, len);
}

static int encode_text(carob_buf_t *out, const char *text, size_t len)
{
	unsigned char head[HEAD_BYTES];
	int error = append(out, head,
			   cbor_encode_string_start(len, head, sizeof(head)));

	return error ? error : append(out, text, len);
}

static int encode_array(carob_buf_t *out, const json_t *array)
{
	unsigned char head[HEAD_BYTES];
	size_t len = cbor_encode_array_start(json_array_size(array), head,
					     sizeof(head));
	int error = append(out, head, len);
	const json_t *element;
	size_t i;

	json_array_foreach (array, i, element)
		if (!error)
			error = cbor_json_encode(out, element);
	return error;
}

static int encode_object(carob_buf_t *out, const json_t *object)
{
	unsigned char head[HEAD_BYTES];
	size_t len = cbor_encode_map_start(json_object_size(object), head,
					   sizeof(head));
	int error = append(out, head, len);
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)object, key, value) {
		if (!error)
			error = encode_text(out, key, strlen(key));
		if (!error)
			error = cbor_json_encode(out, value);
	}
	return error;
}

static int encode_simple(carob_buf_t *out, const json_t *tree)
{
	unsigned char head[HEAD_BYTES];
	size_t len;

	if (json_is_real(tree))
		len = cbor_encode_double(json_real_value(tree), head,
					 sizeof(head));
	else if (json_is_null(tree))
		len = cbor_encode_null(head, sizeof(head));
	else
		len = cbor_encode_bool(json_is_true(tree), head, sizeof(head));
	return append(out, head, len);
}

int cbor_json_encode(carob_buf_t *out, const json_t *tree)
{
	switch (json_typeof(tree)) {
	case JSON_INTEGER:
		return encode_integer(out, json_integer_value(tree));
	case JSON_STRING:
		return encode_text(out, json_string_value(tree),
				   json_string_length(tree));
	case JSON_ARRAY:
		return encode_array(out, tree);
	case JSON_OBJECT:
		return encode_object(out, tree);
	case JSON_REAL:
	case JSON_TRUE:
	case JSON_FALSE:
	case JSON_NULL:
		break;
	}
	return encode_simple(out, tree);
}

int cbor_json_encode_text(carob_buf_t *out, carob_str_t text)
{
	json_t *tree = json_loadb(text.ptr, text.len, JSON_DECODE_ANY, NULL);
	int error;

	if (!tree)
		return append(out, text.ptr, text.len);
	error = cbor_json_encode(out, tree);
	json_decref(tree);
	return error;
}
