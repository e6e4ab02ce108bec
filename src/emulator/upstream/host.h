/**
 * @file host.h
 * One upstream host: slots, connections, load and health reports.
 */
#ifndef CAROB_UPSTREAM_HOST_H
#define CAROB_UPSTREAM_HOST_H

#include "carobtrail/kernel.h"
#include "carobtrail/msg.h"
#include "carobtrail/rng.h"
#include "emulator/common/request.h"
#include "exchange.h"
#include "net/udp.h"
#include "settings.h"

typedef struct upstream_host upstream_host_t;
typedef struct upstream_job upstream_job_t;
typedef struct upstream_feed upstream_feed_t;

/** Sender, message id and token of a request, used for the response. */
typedef struct upstream_origin {
	carob_addr_t peer;
	carob_msg_type_t type;
	uint16_t mid;
	uint8_t token_len;
	uint8_t token[CAROB_MSG_TOKEN_MAX];
} upstream_origin_t;

/** Load and health that a host reports; they may be out of date. */
typedef struct upstream_report {
	uint32_t in_use;
	uint32_t feeds;
	bool healthy;
	uint64_t measured_ns;
} upstream_report_t;

/** One host. */
struct upstream_host {
	carob_udp_handler_t handler;
	const upstream_host_settings_t *settings;
	carob_kernel_t *kernel;
	carob_udp_t *udp;
	carob_rng_t *rng;
	FILE *ledger;
	exchange_table_t *exchanges;
	carob_timer_t report_timer;
	upstream_report_t report;
	upstream_job_t *jobs;
	upstream_feed_t *feeds;
	uint64_t started_ns;
	uint32_t slots_used;
	uint32_t feed_count;
	uint16_t next_mid;
	bool draining;
	bool silent;	    /* ignores all messages */
	bool shedding;	    /* refuses all new requests and feeds */
	bool report_frozen; /* reports old values with an age of 0 */
	uint64_t runs;
	uint64_t sheds;		  /* refused requests and feeds */
	uint64_t new_since_drain; /* requests and feeds since draining began */
	uint64_t last_new_ns;	  /* time of the last request or feed */
};

/**
 * Opens a host.
 *
 * @param host zero-filled except for `settings`, `kernel`, `rng` and `ledger`
 * @param hub the loop's UDP buffers
 * @return 0, CAROB_ENOMEM or CAROB_EIO; close it in any case
 */
int upstream_host_open(upstream_host_t *host, carob_udp_hub_t *hub);

/** Ends all work, writes its records and closes the host. */
void upstream_host_close(upstream_host_t *host);

/**
 * Sends the response to a request: in the acknowledgement of a confirmable
 * request, else as a non-confirmable message. Stores it for duplicates.
 */
void upstream_host_respond(upstream_host_t *host, const upstream_origin_t *to,
			   carob_msg_t *msg);

/** Refuses a request without running it (5.03) and records that. */
void upstream_host_shed(upstream_host_t *host, const upstream_origin_t *to,
			uint64_t rid);

/** Initializes the record of a run on this host. */
void upstream_host_init_record(carob_run_record_t *out,
			       const upstream_host_t *host, uint64_t rid,
			       uint64_t start_ns);

/** Allocates a message id. @return the host's next message id */
uint16_t upstream_host_next_mid(upstream_host_t *host);

/** @return a random service time for one request, in nanoseconds */
uint64_t upstream_host_random_service_ns(upstream_host_t *host);

#endif
