/**
 * @file load_sharing.h
 * Shares load with the other instances: reports what this instance measures to
 * the reader of its zone, and enters the answer, the load of all others, in the
 * upstream table and in a view. If the reader table says that this instance is
 * the reader, it adds the reports up, answers them, and exchanges sums with the
 * readers of other zones. See docs/design/load-sharing.md.
 */
#ifndef CAROBTRAIL_LOAD_SHARING_H
#define CAROBTRAIL_LOAD_SHARING_H

#include "carobtrail/kernel.h"
#include "carobtrail/load_sums.h"
#include "carobtrail/load_view.h"
#include "carobtrail/reader_table.h"
#include "carobtrail/upstream_table.h"

/** Sends and authenticates datagrams; implementations embed it as first
 * member. */
typedef struct carob_load_transport carob_load_transport_t;
struct carob_load_transport {
	/**
	 * Sends a datagram.
	 *
	 * @param data `len` bytes, in a buffer of CAROB_LOAD_DATAGRAM_MAX; an
	 *        authenticator of CAROB_LOAD_AUTH_BYTES is put behind them
	 * @param key the key of the authenticator
	 */
	void (*send)(carob_load_transport_t *transport, carob_endpoint_t to,
		     const uint8_t key[CAROB_READER_KEY_BYTES], uint8_t *data,
		     size_t len);
	/** @return whether `auth` is the authenticator of `data` */
	bool (*verify)(carob_load_transport_t *transport,
		       const uint8_t key[CAROB_READER_KEY_BYTES],
		       carob_str_t data, const uint8_t *auth);
};

/** Options of `carob_load_sharing_new`. */
typedef struct carob_load_sharing_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_load_transport_t *transport;
	carob_upstream_table_t *upstreams;
	const carob_reader_table_t *readers; /* with `zone` set */
	carob_load_view_t *view;	     /* receives the view */
	carob_str_t instance;		     /* the own name; not kept */
	/** The own key, with which others authenticate reports; borrowed. */
	const uint8_t *key;
	uint64_t seed;
} carob_load_sharing_options_t;

#define CAROB_LOAD_SHARING_OPTIONS_VERSION 1
#define CAROB_LOAD_SHARING_OPTIONS_INIT                                        \
	{                                                                      \
		.version = CAROB_LOAD_SHARING_OPTIONS_VERSION                  \
	}

/** Counters of load sharing; bytes count the headers of IPv4 and UDP. */
typedef struct carob_load_counters {
	uint64_t reports_sent;
	uint64_t answers_received; /* whole answers that were applied */
	uint64_t reports_received; /* whole reports of other instances */
	uint64_t answers_sent;
	uint64_t zone_sums_sent;
	uint64_t zone_sums_received; /* whole sums that were used */
	uint64_t malformed;	     /* datagrams that can't be decoded */
	uint64_t forged;	     /* with a wrong authenticator */
	uint64_t stale;		     /* old or repeated ones */
	uint64_t foreign;	     /* for or from an unexpected instance */
	uint64_t bytes_sent;
	uint64_t bytes_received;
} carob_load_counters_t;

/** State of load sharing, for metrics and explanations. */
typedef struct carob_load_status {
	bool is_reader;
	bool known;	 /* the view is fresh */
	uint32_t age_ms; /* of the view; 0 if there has been none */
	uint32_t interval_ms;
	uint32_t zone_instances; /* 0: not known */
	uint32_t all_instances;	 /* 0: not known */
	carob_load_counters_t counters;
} carob_load_status_t;

typedef struct carob_load_sharing carob_load_sharing_t;

/**
 * Creates load sharing and arms its timer.
 *
 * @param out receives it; release it with `carob_load_sharing_free`
 * @param options what it uses; must outlive it
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_load_sharing_new(carob_load_sharing_t **out,
			   const carob_load_sharing_options_t *options);

/** Releases it; NULL is allowed. */
void carob_load_sharing_free(carob_load_sharing_t *sharing);

/**
 * Handles a datagram, which is not trusted.
 *
 * @param sharing load sharing
 * @param from the address that it came from; a report is answered there
 * @param datagram the datagram with its authenticator
 * @param queued_ms time that it waited in this host before it was read
 */
void carob_load_sharing_receive(carob_load_sharing_t *sharing,
				carob_endpoint_t from, carob_str_t datagram,
				uint32_t queued_ms);

/** Forgets the load of all others, after a suspension of the machine that the
 * monotonic clock does not count. */
void carob_load_sharing_forget(carob_load_sharing_t *sharing);

/** @return the state; with NULL that of an instance that shares no load */
carob_load_status_t
carob_load_sharing_status(const carob_load_sharing_t *sharing);

#endif
