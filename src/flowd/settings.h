/**
 * @file settings.h
 * Settings of carob-flowd; docs/operations/settings.md describes them.
 */
#ifndef CAROB_FLOWD_SETTINGS_H
#define CAROB_FLOWD_SETTINGS_H

#include "carobtrail/ids.h"
#include "util/json_doc.h"

/** All settings of one instance; strings borrow from the document. */
typedef struct flowd_settings {
	carob_str_t instance;
	carob_str_t zone;
	carob_addr_t packets;	/* UDP address for packets of callers */
	carob_addr_t readiness; /* HTTP address for readiness checks */
	carob_addr_t metrics;	/* HTTP address; family 0: none */
	carob_addr_t store;
	carob_addr_t relay; /* HTTP address for instances of the zone that read
			       from this one; family 0: none do */
	uint32_t relay_upstreams; /* fewer upstreams need no readers */
	bool share_load;	  /* see load_sharing.h; needs `relay` */
	bool first_start;	  /* first start of the whole deployment */
	uint32_t contact_ms;	  /* see carob_catalog_options_t */
	uint32_t apply_ms;	  /* see carob_catalog_options_t */
	double link_mbps;	  /* rate of the own link; 0: not known */
	uint32_t stop_grace_ms;	  /* time from SIGTERM to SIGKILL */
	double cold_overage;	  /* see carob_pace_options_t; 0: off */
	double cold_slack;	  /* see carob_pace_options_t */
	uint32_t pace_instances;  /* see carob_pace_options_t */
} flowd_settings_t;

/**
 * Reads and validates the settings.
 *
 * @param out receives the settings
 * @param root root of the settings document
 * @return 0 or a negative code
 */
int flowd_settings_read(flowd_settings_t *out, const carob_json_node_t *root);

#endif
