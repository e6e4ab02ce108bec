#include "load.h"

#include "carobtrail/errors.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

_Static_assert(CAROB_READER_KEY_BYTES == crypto_auth_hmacsha512256_KEYBYTES,
	       "a reader's key is a key of the authenticator");
_Static_assert(CAROB_LOAD_AUTH_BYTES <= crypto_auth_hmacsha512256_BYTES,
	       "an authenticator is a part of the full one");

struct flowd_load {
	carob_load_transport_t transport;
	carob_udp_handler_t handler;
	carob_udp_hub_t *hub;
	carob_udp_t *udp;
	carob_load_sharing_t *sharing;
};

static void send_datagram(carob_load_transport_t *transport,
			  carob_endpoint_t to,
			  const uint8_t key[CAROB_READER_KEY_BYTES],
			  uint8_t *data, size_t len)
{
	flowd_load_t *load = (flowd_load_t *)transport;
	uint8_t mac[crypto_auth_hmacsha512256_BYTES];
	carob_addr_t addr = carob_endpoint_addr(to);

	crypto_auth_hmacsha512256(mac, data, len, key);
	memcpy(data + len, mac, CAROB_LOAD_AUTH_BYTES);
	carob_udp_send(load->udp, &addr, data, len + CAROB_LOAD_AUTH_BYTES);
}

static bool verify_datagram(carob_load_transport_t *transport,
			    const uint8_t key[CAROB_READER_KEY_BYTES],
			    carob_str_t data, const uint8_t *auth)
{
	uint8_t mac[crypto_auth_hmacsha512256_BYTES];

	(void)transport;
	crypto_auth_hmacsha512256(mac, (const uint8_t *)data.ptr, data.len,
				  key);
	return sodium_memcmp(mac, auth, CAROB_LOAD_AUTH_BYTES) == 0;
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	flowd_load_t *load = CAROB_CONTAINER_OF(handler, flowd_load_t, handler);

	if (from->family == 4)
		carob_load_sharing_receive(load->sharing,
					   carob_endpoint_of(from), data,
					   carob_udp_hub_age_ms(load->hub));
}

int flowd_load_new(flowd_load_t **out, const flowd_load_options_t *options)
{
	carob_load_sharing_options_t sharing = CAROB_LOAD_SHARING_OPTIONS_INIT;
	const flowd_settings_t *settings = options->settings;
	flowd_load_t *load = calloc(1, sizeof(*load));
	int error;

	if (!load)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate load sharing");
	load->transport.send = send_datagram;
	load->transport.verify = verify_datagram;
	load->handler.receive = on_datagram;
	load->hub = options->hub;
	sharing.kernel = options->kernel;
	sharing.transport = &load->transport;
	sharing.upstreams = options->upstreams;
	sharing.readers = options->readers;
	sharing.view = options->view;
	sharing.instance = settings->instance;
	sharing.key = options->key;
	sharing.seed = carob_addr_hash(2, &settings->packets);
	error = carob_load_sharing_new(&load->sharing, &sharing);
	if (!error)
		error = carob_udp_open(&load->udp, options->hub,
				       &settings->relay, &load->handler);
	if (error) {
		flowd_load_free(load);
		return error;
	}
	*out = load;
	return 0;
}

void flowd_load_free(flowd_load_t *load)
{
	if (!load)
		return;
	carob_udp_close(load->udp);
	carob_load_sharing_free(load->sharing);
	free(load);
}

carob_load_sharing_t *flowd_load_sharing(flowd_load_t *load)
{
	return load ? load->sharing : NULL;
}
