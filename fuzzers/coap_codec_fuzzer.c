#include "net/coap_codec.h"

#include <stdlib.h>
#include <string.h>

#define ENCODED_MAX 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void expect_same(const carob_msg_t *a, const carob_msg_t *b)
{
	if (a->type != b->type || a->code != b->code || a->mid != b->mid ||
	    a->token_len != b->token_len || a->echo_len != b->echo_len ||
	    a->other_count != b->other_count ||
	    !carob_str_eq(a->payload, b->payload))
		abort();
	if (memcmp(a->token, b->token, a->token_len) != 0 ||
	    memcmp(a->echo, b->echo, a->echo_len) != 0)
		abort();
}

/* A message that decodes must encode to bytes that decode to the same message,
 * if they decode. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint8_t encoded[ENCODED_MAX];
	carob_msg_t first;
	carob_msg_t second;
	uint8_t refusal;
	size_t len;

	if (carob_coap_decode(&first, &refusal, data, size) != 0)
		return 0;
	if (carob_coap_encode(encoded, &len, sizeof(encoded), &first) != 0)
		abort();
	if (carob_coap_decode(&second, &refusal, encoded, len) != 0)
		return 0;
	expect_same(&first, &second);
	return 0;
}
