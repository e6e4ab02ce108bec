/**
 * @file catalog_changes.h
 * Changes of the catalogue that several tests use.
 */
#ifndef CAROB_TESTS_FLOW_CATALOG_CHANGES_H
#define CAROB_TESTS_FLOW_CATALOG_CHANGES_H

#include "carobtrail/catalog.h"

/** @return a version of the configuration, with one route to the service desk */
static inline carob_catalog_change_t catalog_config_change(uint64_t version,
							   uint64_t revision)
{
	static const carob_catalog_share_t share = {.service = {"desk", 4},
						    .weight = 1};
	static const carob_catalog_route_t route = {
		.endpoint = {0xc6120001, 443},
		.share_count = 1,
		.shares = &share,
	};

	return (carob_catalog_change_t){
		.kind = CAROB_CATALOG_CONFIG,
		.revision = revision,
		.config = {.version = version, .count = 1, .routes = &route},
	};
}

#endif
