/**
 * @file relay.h
 * Reading of changes through readers of the own zone: the source of the
 * catalogue, the server for the other instances, and the claim of a reader's
 * slot, put together.
 */
#ifndef CAROB_FLOWD_RELAY_H
#define CAROB_FLOWD_RELAY_H

#include "carobtrail/link_meter.h"
#include "carobtrail/relay_source.h"
#include "platform/store.h"
#include "settings.h"

struct event_base;

typedef struct flowd_relay flowd_relay_t;

/** Options of `flowd_relay_new`; all of them must outlive the relay. */
typedef struct flowd_relay_options {
	carob_kernel_t *kernel;
	struct event_base *base;
	platform_store_t *store;
	carob_reader_table_t *readers;
	const flowd_settings_t *settings;
	carob_link_meter_t *link; /* of this instance */
} flowd_relay_options_t;

/**
 * Creates a relay and listens on the `relay` address of the settings.
 *
 * @param out receives the relay; release it with `flowd_relay_free`
 * @param options what it uses
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int flowd_relay_new(flowd_relay_t **out, const flowd_relay_options_t *options);

/** Releases the relay; NULL is allowed. */
void flowd_relay_free(flowd_relay_t *relay);

/** @return the key of the own reader entry, borrowed */
const uint8_t *flowd_relay_key(const flowd_relay_t *relay);

/** @return the source for the catalogue, borrowed */
carob_catalog_source_t *flowd_relay_source(flowd_relay_t *relay);

/**
 * Looks whether a reader is needed; call it a few times a second.
 *
 * @param relay the relay
 * @param upstreams number of upstreams that this instance knows
 * @param able whether this instance may be a reader: it is complete and stays
 */
void flowd_relay_check(flowd_relay_t *relay, size_t upstreams, bool able);

/** Stops serving others and gives the slot up, for a process that stops. */
void flowd_relay_drain(flowd_relay_t *relay);

/** Changes the time within which a change must be in force. */
void flowd_relay_set_apply_ms(flowd_relay_t *relay, uint32_t apply_ms);

/** State of a relay, for metrics and explanations. */
typedef struct flowd_relay_status {
	bool is_reader;
	const char *source; /* name of the reader, or "platform"; borrowed */
	carob_relay_counters_t counters;
} flowd_relay_status_t;

/** @return the state; with NULL that of an instance without a relay */
flowd_relay_status_t flowd_relay_status(const flowd_relay_t *relay);

#endif
