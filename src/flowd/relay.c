#include "relay.h"

#include "carobtrail/errors.h"
#include "platform/lease.h"
#include "platform/relay_server.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

struct flowd_relay {
	flowd_relay_options_t options;
	platform_store_observer_t observer;
	carob_reader_role_t role;
	uint8_t key[CAROB_READER_KEY_BYTES];
	/* Copies: the settings' strings change when the settings are read
	 * again. */
	carob_buf_t instance;
	carob_buf_t zone;
	platform_store_t *peer;
	platform_relay_server_t *server;
	platform_lease_t *lease;
	carob_relay_source_t *source;
	carob_reader_claim_t *claim;
};

static void on_watched(platform_store_observer_t *observer,
		       const platform_store_response_t *response)
{
	flowd_relay_t *relay =
		CAROB_CONTAINER_OF(observer, flowd_relay_t, observer);
	const platform_relay_update_t update = {
		.era = response->reply->era,
		.after = response->after,
		.revision = response->reply->revision,
		.age_ms = response->reply->age_ms,
		.has_changes = response->reply->count > 0,
		.body = response->body,
	};

	platform_relay_server_update(relay->server, &update);
}

static void on_failed(platform_store_observer_t *observer)
{
	platform_relay_server_fail(
		CAROB_CONTAINER_OF(observer, flowd_relay_t, observer)->server);
}

static void on_role(carob_reader_role_t *role, bool is_reader)
{
	carob_relay_source_set_reader(
		CAROB_CONTAINER_OF(role, flowd_relay_t, role)->source,
		is_reader);
}

static int copy_names(flowd_relay_t *relay)
{
	const flowd_settings_t *settings = relay->options.settings;
	int error = carob_buf_append(&relay->instance, settings->instance.ptr,
				     settings->instance.len);

	if (!error)
		error = carob_buf_append(&relay->zone, settings->zone.ptr,
					 settings->zone.len);
	relay->options.readers->zone = carob_buf_view(&relay->zone);
	return error;
}

static int create_clients(flowd_relay_t *relay)
{
	const flowd_relay_options_t *options = &relay->options;
	const flowd_settings_t *settings = options->settings;
	platform_relay_server_options_t server = {
		.kernel = options->kernel,
		.base = options->base,
		.local = settings->relay,
		.link = options->link,
	};
	int error;

	memcpy(server.key, relay->key, sizeof(server.key));
	error = platform_peer_new(&relay->peer, options->kernel, options->base,
				  &settings->packets);
	if (!error)
		error = platform_lease_new(&relay->lease, options->kernel,
					   options->base, &settings->store,
					   &settings->packets);
	if (!error)
		error = platform_relay_server_new(&relay->server, &server);
	return error;
}

static int create_source(flowd_relay_t *relay)
{
	carob_relay_source_options_t options = CAROB_RELAY_SOURCE_OPTIONS_INIT;

	options.kernel = relay->options.kernel;
	options.store = platform_store_source(relay->options.store);
	options.peer = platform_peer_source(relay->peer);
	options.readers = relay->options.readers;
	options.instance = carob_buf_view(&relay->instance);
	options.apply_ms = relay->options.settings->apply_ms;
	return carob_relay_source_new(&relay->source, &options);
}

static int create_claim(flowd_relay_t *relay)
{
	carob_reader_claim_options_t options = CAROB_READER_CLAIM_OPTIONS_INIT;
	const flowd_settings_t *settings = relay->options.settings;

	options.kernel = relay->options.kernel;
	options.store = platform_lease_store(relay->lease);
	options.readers = relay->options.readers;
	options.role = &relay->role;
	options.self.zone = carob_buf_view(&relay->zone);
	options.self.name = carob_buf_view(&relay->instance);
	options.self.endpoint = carob_endpoint_of(&settings->relay);
	memcpy(options.self.key, relay->key, sizeof(relay->key));
	options.link_mbps = settings->link_mbps;
	options.seed = carob_addr_hash(1, &settings->packets);
	return carob_reader_claim_new(&relay->claim, &options);
}

int flowd_relay_new(flowd_relay_t **out, const flowd_relay_options_t *options)
{
	flowd_relay_t *relay = calloc(1, sizeof(*relay));
	int error;

	if (!relay)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate relay");
	relay->options = *options;
	relay->observer.watched = on_watched;
	relay->observer.failed = on_failed;
	relay->role.changed = on_role;
	randombytes_buf(relay->key, sizeof(relay->key));
	error = copy_names(relay);
	if (!error)
		error = create_clients(relay);
	if (!error)
		error = create_source(relay);
	if (!error)
		error = create_claim(relay);
	if (error) {
		flowd_relay_free(relay);
		return error;
	}
	platform_store_set_observer(options->store, &relay->observer);
	*out = relay;
	return 0;
}

void flowd_relay_free(flowd_relay_t *relay)
{
	if (!relay)
		return;
	platform_store_set_observer(relay->options.store, NULL);
	carob_reader_claim_free(relay->claim);
	carob_relay_source_free(relay->source);
	platform_relay_server_free(relay->server);
	platform_lease_free(relay->lease);
	platform_store_free(relay->peer);
	carob_buf_dispose(&relay->instance);
	carob_buf_dispose(&relay->zone);
	sodium_memzero(relay->key, sizeof(relay->key));
	free(relay);
}

const uint8_t *flowd_relay_key(const flowd_relay_t *relay)
{
	return relay->key;
}

carob_catalog_source_t *flowd_relay_source(flowd_relay_t *relay)
{
	return carob_relay_source_base(relay->source);
}

void flowd_relay_check(flowd_relay_t *relay, size_t upstreams, bool able)
{
	carob_reader_claim_check(
		relay->claim,
		able && upstreams >= relay->options.settings->relay_upstreams);
}

void flowd_relay_drain(flowd_relay_t *relay)
{
	platform_relay_server_drain(relay->server);
	carob_reader_claim_check(relay->claim, false);
}

void flowd_relay_set_apply_ms(flowd_relay_t *relay, uint32_t apply_ms)
{
	carob_relay_source_set_apply_ms(relay->source, apply_ms);
}

flowd_relay_status_t flowd_relay_status(const flowd_relay_t *relay)
{
	flowd_relay_status_t status = {.source = "platform"};
	const carob_reader_slot_t *reader;

	if (!relay)
		return status;
	reader = carob_relay_source_reader(relay->source);
	status.is_reader = carob_reader_claim_is_reader(relay->claim);
	status.counters = *carob_relay_source_counters(relay->source);
	if (reader)
		status.source = reader->name;
	return status;
}
