/**
 * @file settings.h
 * Settings of carob-caller: groups of similar flows and the duration of the
 * run.
 */
#ifndef CAROB_CALLER_SETTINGS_H
#define CAROB_CALLER_SETTINGS_H

#include "carobtrail/ids.h"
#include "emulator/ledger/record.h"
#include "util/json_doc.h"

/** Kind of requests that the flows of a group send. */
typedef enum caller_kind {
	CALLER_FEED,	 /* an observation (RFC 7641) */
	CALLER_CHECK,	 /* non-idempotent requests, one after another */
	CALLER_DOWNLOAD, /* block-wise transfers (RFC 7959) */
} caller_kind_t;

/** A group of flows with the same settings. */
typedef struct caller_flow_group {
	carob_record_name_t service;
	carob_addr_t addr;
	caller_kind_t kind;
	uint32_t count;		    /* number of concurrent flows */
	uint32_t start_ms;	    /* time over which the flows start */
	uint32_t think_ms;	    /* mean pause between requests */
	uint32_t deadline_ms;	    /* deadline of a request */
	uint32_t cancel_percent;    /* share of requests to cancel */
	uint32_t cancel_after_ms;   /* longest random time until a cancel */
	uint32_t requests_per_flow; /* requests before a new flow starts */
} caller_flow_group_t;

/** All settings. */
typedef struct caller_settings {
	uint64_t seed;
	carob_str_t ledger_path; /* borrowed from the document */
	/* Address of the first socket; the others have the ports that
	 * follow. */
	carob_addr_t addr;
	uint32_t sockets;
	uint32_t duration_ms;
	uint64_t max_requests; /* 0: no limit */
	/* Wait after a request's deadline before the caller gives it up. */
	uint32_t answer_bound_ms;
	size_t group_count;
	caller_flow_group_t *groups;
} caller_settings_t;

/** Reads and checks the settings. @return 0 or a negative code */
int caller_settings_read(caller_settings_t *out, const carob_json_node_t *root);

/** Releases the memory that `caller_settings_read` allocated. */
void caller_settings_dispose(caller_settings_t *settings);

#endif
