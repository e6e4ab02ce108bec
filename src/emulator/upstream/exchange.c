#include "exchange.h"

#include "carobtrail/errors.h"
#include "endpoint_key.h"

#include <stdlib.h>
#include <uthash.h>

#define EXCHANGE_LIFETIME_NS (247 * CAROB_NS_PER_S) /* RFC 7252, 4.8.2 */

typedef struct exchange exchange_t;

struct exchange {
	endpoint_key_t key;
	uint64_t expires_ns;
	exchange_t *newer;
	uint8_t *response;
	size_t response_len;
	UT_hash_handle hh;
};

struct exchange_table {
	exchange_t *by_key;
	exchange_t *oldest;
	exchange_t *newest;
};

int exchange_table_new(exchange_table_t **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0
		    : carob_error_set(CAROB_ENOMEM,
				      "cannot allocate exchange table");
}

static void remove_oldest(exchange_table_t *table)
{
	exchange_t *oldest = table->oldest;

	table->oldest = oldest->newer;
	if (!table->oldest)
		table->newest = NULL;
	if (table->by_key)
		HASH_DEL(table->by_key, oldest);
	free(oldest->response);
	free(oldest);
}

void exchange_table_free(exchange_table_t *table)
{
	if (!table)
		return;
	while (table->oldest)
		remove_oldest(table);
	free(table);
}

static exchange_t *find_exchange(exchange_table_t *table,
				 const endpoint_key_t *key)
{
	exchange_t *exchange;

	HASH_FIND(hh, table->by_key, key, sizeof(*key), exchange);
	return exchange;
}

static void add_exchange(exchange_table_t *table, const endpoint_key_t *key,
			 uint64_t now_ns)
{
	exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		return;
	exchange->key = *key;
	exchange->expires_ns = now_ns + EXCHANGE_LIFETIME_NS;
	HASH_ADD(hh, table->by_key, key, sizeof(exchange->key), exchange);
	if (table->newest)
		table->newest->newer = exchange;
	else
		table->oldest = exchange;
	table->newest = exchange;
}

bool exchange_table_check_duplicate(carob_str_t *response,
				    exchange_table_t *table,
				    const carob_addr_t *peer, uint16_t mid,
				    uint64_t now_ns)
{
	endpoint_key_t key = endpoint_key(peer, &mid, sizeof(mid));
	exchange_t *exchange;

	while (table->oldest && table->oldest->expires_ns <= now_ns)
		remove_oldest(table);
	exchange = find_exchange(table, &key);
	if (!exchange) {
		add_exchange(table, &key, now_ns);
		return false;
	}
	*response = (carob_str_t){(char *)exchange->response,
				  exchange->response_len};
	return true;
}

void exchange_table_set_response(exchange_table_t *table,
				 const carob_addr_t *peer, uint16_t mid,
				 const void *data, size_t len)
{
	endpoint_key_t key = endpoint_key(peer, &mid, sizeof(mid));
	exchange_t *exchange = find_exchange(table, &key);
	uint8_t *copy;

	if (!exchange)
		return;
	copy = malloc(len);
	if (!copy)
		return;
	memcpy(copy, data, len);
	free(exchange->response);
	exchange->response = copy;
	exchange->response_len = len;
}
