#include "emulator/common/request.h"

#include <coap3/coap.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define BLOCK_MIN_BYTES	 16
#define BLOCK_SZX_MASK	 0x07
#define BLOCK_MORE_BIT	 0x08
#define BLOCK_SHIFT	 4
#define BLOCK_BYTES_MAX	 3
#define RID_QUERY_PREFIX "rid="
#define RID_BYTES_MAX	 24

size_t carob_block_bytes(const carob_block_t *block)
{
	return (size_t)BLOCK_MIN_BYTES << block->szx;
}

static const carob_msg_option_t *find_option(const carob_msg_t *msg,
					     uint16_t number)
{
	for (size_t i = 0; i < msg->other_count; i++)
		if (msg->other[i].number == number)
			return &msg->other[i];
	return NULL;
}

bool carob_block_read(carob_block_t *out, const carob_msg_t *msg)
{
	const carob_msg_option_t *option = find_option(msg, COAP_OPTION_BLOCK2);
	unsigned int value;

	if (!option || option->value.len > BLOCK_BYTES_MAX)
		return false;
	value = coap_decode_var_bytes((const uint8_t *)option->value.ptr,
				      option->value.len);
	out->number = value >> BLOCK_SHIFT;
	out->more = value & BLOCK_MORE_BIT;
	out->szx = value & BLOCK_SZX_MASK;
	return out->szx != BLOCK_SZX_MASK;
}

size_t carob_block_write(uint8_t out[4], const carob_block_t *block)
{
	return coap_encode_var_safe(out, 4,
				    block->number << BLOCK_SHIFT |
					    (block->more ? BLOCK_MORE_BIT : 0) |
					    block->szx);
}

static uint64_t read_rid(carob_str_t query)
{
	char text[RID_BYTES_MAX];
	uint64_t rid = 0;

	if (query.len >= sizeof(text))
		return 0;
	memcpy(text, query.ptr, query.len);
	text[query.len] = '\0';
	if (sscanf(text, RID_QUERY_PREFIX "%16" SCNx64, &rid) != 1)
		return 0;
	return rid;
}

void carob_request_read(carob_request_t *out, const carob_msg_t *msg)
{
	const carob_msg_option_t *option;

	memset(out, 0, sizeof(*out));
	out->path = CAROB_STR("");
	option = find_option(msg, COAP_OPTION_URI_PATH);
	if (option)
		out->path = option->value;
	option = find_option(msg, COAP_OPTION_URI_QUERY);
	if (option)
		out->rid = read_rid(option->value);
	out->has_block = carob_block_read(&out->block, msg);
}

static void add_option(carob_msg_t *msg, uint16_t number, const char *ptr,
		       size_t len)
{
	msg->other[msg->other_count++] =
		(carob_msg_option_t){number, {ptr, len}};
}

void carob_request_write(carob_msg_t *msg, char text[CAROB_REQUEST_TEXT_MAX],
			 const carob_request_t *request)
{
	int len = snprintf(text, RID_BYTES_MAX, RID_QUERY_PREFIX "%016" PRIx64,
			   request->rid);
	char *block = text + RID_BYTES_MAX;

	add_option(msg, COAP_OPTION_URI_PATH, request->path.ptr,
		   request->path.len);
	add_option(msg, COAP_OPTION_URI_QUERY, text, (size_t)len);
	if (request->has_block)
		add_option(msg, COAP_OPTION_BLOCK2, block,
			   carob_block_write((uint8_t *)block,
					     &request->block));
}
