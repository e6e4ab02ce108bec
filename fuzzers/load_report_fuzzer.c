#include "carobtrail/load_sharing.h"

#include "carobtrail/log.h"

#include <stdlib.h>
#include <string.h>

/* Offsets in the header of a datagram. */
#define AT_FROM		  4
#define AT_TO		  12
#define AT_TO_INCARNATION 28
/* Start of the instance, Unix time in ms. */
#define START_MS 1000000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void discard(carob_load_transport_t *transport, carob_endpoint_t to,
		    const uint8_t *key, uint8_t *datagram, size_t len)
{
	(void)transport;
	(void)to;
	(void)key;
	if (len + CAROB_LOAD_AUTH_BYTES > CAROB_LOAD_DATAGRAM_MAX)
		abort();
	memset(datagram + len, 0, CAROB_LOAD_AUTH_BYTES);
}

/* Accepts all, so that what follows the authentication is reached. */
static bool accept(carob_load_transport_t *transport, const uint8_t *key,
		   carob_str_t data, const uint8_t *auth)
{
	(void)transport;
	(void)key;
	(void)data;
	(void)auth;
	return true;
}

/* A datagram that decodes must be encoded the same way, if it is the only one
 * of its message. */
static void check_codec(carob_str_t datagram)
{
	carob_load_entry_t entries[CAROB_LOAD_PART_ENTRIES];
	uint8_t out[CAROB_LOAD_DATAGRAM_MAX];
	carob_load_header_t header;
	carob_load_list_t list = {.items = entries};

	if (carob_load_decode(&header, entries, &list.count, datagram) != 0 ||
	    header.parts != 1)
		return;
	if (carob_load_encode(out, &header, &list) != datagram.len)
		abort();
	memset(out + CAROB_LOAD_HEADER_BYTES - 4, 0, 4);
	if (memcmp(out, datagram.ptr, CAROB_LOAD_HEADER_BYTES - 4) != 0 ||
	    memcmp(out + CAROB_LOAD_HEADER_BYTES,
		   datagram.ptr + CAROB_LOAD_HEADER_BYTES,
		   datagram.len - CAROB_LOAD_HEADER_BYTES) != 0)
		abort();
}

/* Replaces a number in the header that begins with 0. */
static void fill_in(uint8_t *bytes, uint64_t number)
{
	if (bytes[0] != 0)
		return;
	for (size_t i = 8; i-- > 0; number >>= 8)
		bytes[i] = (uint8_t)number;
}

/* Gives datagrams, each with its length in front, to a reader and to another
 * instance. Numbers of instances are filled in, since no input hits them. */
static void receive(carob_load_sharing_t *sharing, uint64_t self, uint64_t from,
		    const uint8_t *data, size_t size)
{
	while (size > 2) {
		size_t len = (size_t)(data[0] << 8 | data[1]) % 1300;
		uint8_t copy[1300] = {0};

		data += 2;
		size -= 2;
		if (len > size)
			len = size;
		memcpy(copy, data, len);
		if (len >= CAROB_LOAD_HEADER_BYTES) {
			fill_in(copy + AT_FROM, from);
			fill_in(copy + AT_TO, self);
			fill_in(copy + AT_TO_INCARNATION, START_MS);
		}
		if (len >= CAROB_LOAD_AUTH_BYTES)
			check_codec((carob_str_t){(char *)copy,
						  len - CAROB_LOAD_AUTH_BYTES});
		carob_load_sharing_receive(sharing, (carob_endpoint_t){1, 2},
					   (carob_str_t){(char *)copy, len},
					   data[0]);
		data += len;
		size -= len;
	}
}

static void put_reader(carob_reader_table_t *readers, const char *zone,
		       const char *name)
{
	const carob_reader_entry_t entry = {.zone = carob_str_from(zone),
					    .name = carob_str_from(name)};

	carob_reader_table_put(readers, &entry, 1);
}

static void run(bool is_reader, const uint8_t *data, size_t size)
{
	static const uint8_t key[CAROB_READER_KEY_BYTES];
	carob_load_sharing_options_t options = CAROB_LOAD_SHARING_OPTIONS_INIT;
	carob_load_transport_t transport = {discard, accept};
	carob_upstream_table_t upstreams = {0};
	carob_reader_table_t readers = {.zone = CAROB_STR("a")};
	carob_load_view_t view = {0};
	carob_load_sharing_t *sharing;
	carob_manual_clock_t clock;

	carob_manual_clock_init(&clock, START_MS * CAROB_NS_PER_MS);
	put_reader(&readers, "a", is_reader ? "self" : "reader");
	put_reader(&readers, "b", "reader");
	options.transport = &transport;
	options.upstreams = &upstreams;
	options.readers = &readers;
	options.view = &view;
	options.instance = CAROB_STR("self");
	options.key = key;
	if (carob_kernel_new(&options.kernel, &clock.clock) != 0 ||
	    carob_load_sharing_new(&sharing, &options) != 0)
		abort();
	for (int i = 0; i < 8; i++) {
		carob_manual_clock_advance(&clock, 500 * CAROB_NS_PER_MS);
		carob_kernel_run_due(options.kernel);
	}
	receive(sharing, carob_load_sender(CAROB_STR("a"), CAROB_STR("self")),
		carob_load_sender(is_reader ? CAROB_STR("b") : CAROB_STR("a"),
				  CAROB_STR("reader")),
		data, size);
	carob_manual_clock_advance(&clock, CAROB_NS_PER_S);
	carob_kernel_run_due(options.kernel);
	carob_load_sharing_free(sharing);
	carob_kernel_free(options.kernel);
	carob_upstream_table_dispose(&upstreams);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	carob_log_configure("fuzzer", NULL, CAROB_LOG_ERROR, NULL);
	if (size < 1)
		return 0;
	run(data[0] & 1, data + 1, size - 1);
	return 0;
}
