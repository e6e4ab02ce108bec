/**
 * @file load.h
 * Load sharing over UDP, on the address and port of the setting `relay`: the
 * socket and the authenticators for load_sharing.h.
 */
#ifndef CAROB_FLOWD_LOAD_H
#define CAROB_FLOWD_LOAD_H

#include "carobtrail/load_sharing.h"
#include "net/udp.h"
#include "settings.h"

typedef struct flowd_load flowd_load_t;

/** Options of `flowd_load_new`; all of them must outlive it. */
typedef struct flowd_load_options {
	carob_kernel_t *kernel;
	carob_udp_hub_t *hub;
	const flowd_settings_t *settings;
	carob_upstream_table_t *upstreams;
	const carob_reader_table_t *readers;
	carob_load_view_t *view;
	const uint8_t *key; /* of this instance's reader entry */
} flowd_load_options_t;

/**
 * Opens the socket and starts to share load.
 *
 * @param out receives it; release it with `flowd_load_free`
 * @param options what it uses
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int flowd_load_new(flowd_load_t **out, const flowd_load_options_t *options);

/** Closes the socket and releases it; NULL is allowed. */
void flowd_load_free(flowd_load_t *load);

/** @return load sharing, borrowed; NULL for NULL */
carob_load_sharing_t *flowd_load_sharing(flowd_load_t *load);

#endif
