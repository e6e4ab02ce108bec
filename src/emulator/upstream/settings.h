/**
 * @file settings.h
 * Settings of carob-upstream: services and the hosts that run them.
 */
#ifndef CAROB_UPSTREAM_SETTINGS_H
#define CAROB_UPSTREAM_SETTINGS_H

#include "carobtrail/ids.h"
#include "emulator/ledger/record.h"
#include "util/json_doc.h"

/** How a service's upstreams behave. */
typedef struct upstream_service {
	carob_record_name_t name;
	uint32_t slots;		 /* concurrent requests on one host */
	uint32_t connections;	 /* concurrent feeds on one host */
	uint32_t min_service_ms; /* shortest service time of a request */
	uint32_t mean_service_ms;
	uint32_t cold_ms;     /* time after start in which a host is slow */
	uint32_t cold_factor; /* factor of the service time at start */
	uint32_t cancel_ms;   /* time until a cancel frees the slot */
	/* A confirmable request is acknowledged after this time; its response
	 * is then sent separately (RFC 7252, section 5.2.2). */
	uint32_t ack_ms;
	uint32_t notify_ms;	/* interval of a feed's notifications */
	uint32_t block_count;	/* number of blocks of a download */
	uint32_t report_lag_ms; /* interval of load and health reports */
	uint32_t retry_after_s; /* Max-Age of a refusal */
} upstream_service_t;

/** One host. */
typedef struct upstream_host_settings {
	carob_record_name_t name;
	carob_addr_t addr;
	const upstream_service_t *service;
} upstream_host_settings_t;

/** All settings. */
typedef struct upstream_settings {
	uint64_t seed;
	carob_addr_t command_addr; /* family 0: none */
	carob_str_t ledger_path;   /* borrowed from the document */
	size_t service_count;
	upstream_service_t *services;
	size_t host_count;
	upstream_host_settings_t *hosts;
} upstream_settings_t;

/** Reads and checks the settings. @return 0 or a negative code */
int upstream_settings_read(upstream_settings_t *out,
			   const carob_json_node_t *root);

/** Releases the memory that `upstream_settings_read` allocated. */
void upstream_settings_dispose(upstream_settings_t *settings);

#endif
