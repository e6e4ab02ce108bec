/**
 * @file settings.h
 * Settings of carob-entryd; docs/operations/settings.md describes them.
 */
#ifndef CAROB_ENTRYD_SETTINGS_H
#define CAROB_ENTRYD_SETTINGS_H

#include "carobtrail/gossip.h"
#include "carobtrail/ids.h"
#include "util/json_doc.h"

/** Settings of one instance; strings are borrowed from the document. */
typedef struct entryd_settings {
	uint32_t instance;
	carob_zone_t zone;
	carob_str_t deployment;
	/* IP address that all services listen at, each on its own port; the
	 * port here is 0. */
	carob_addr_t service_ip;
	carob_addr_t relay;		 /* address for relayed packets */
	carob_addr_t relay_advertised;	 /* address that other instances use */
	carob_addr_t control;		 /* address of the control channel */
	carob_addr_t control_advertised; /* address that other instances use */
	carob_addr_t platform;		 /* family 0: no platform */
	uint8_t secret[CAROB_KEY_BYTES]; /* secret of the deployment */
	size_t seed_count;
	carob_addr_t seeds[CAROB_GOSSIP_SEEDS_MAX]; /* instances to join */
	carob_addr_t collector; /* trace collector; family 0: standard error */
	/* One in this many requests is traced; 0: only those whose callers
	 * ask for it. */
	uint32_t trace_one_in;
	uint32_t drain_limit_ms; /* longest time of a graceful stop */
} entryd_settings_t;

/** Reads and checks the settings. @return 0 or a negative code */
int entryd_settings_read(entryd_settings_t *out, const carob_json_node_t *root);

#endif
