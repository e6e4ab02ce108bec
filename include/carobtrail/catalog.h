/**
 * @file catalog.h
 * Reads the platform's catalogue of upstreams and its configuration, and keeps
 * the upstream table and the route table up to date with them. Reads are
 * asynchronous and deliver typed changes. `platform/` implements the source;
 * tests use a fake.
 */
#ifndef CAROBTRAIL_CATALOG_H
#define CAROBTRAIL_CATALOG_H

#include "carobtrail/kernel.h"
#include "carobtrail/reader_table.h"
#include "carobtrail/route_table.h"
#include "carobtrail/upstream_table.h"
#include "carobtrail/zone_table.h"

/** Kind of one item of the catalogue. */
typedef enum carob_catalog_change_kind {
	CAROB_CATALOG_UPSTREAM,		 /* an upstream's entry */
	CAROB_CATALOG_UPSTREAM_UNUSABLE, /* an entry that can't be parsed */
	CAROB_CATALOG_UPSTREAM_REMOVED,
	CAROB_CATALOG_CONFIG,
	CAROB_CATALOG_CONFIG_UNUSABLE, /* a configuration that can't be parsed */
	CAROB_CATALOG_READER,	       /* a reader's entry */
	/** A reader's entry that was removed or can't be parsed; of `reader`,
	 * zone and slot are set. */
	CAROB_CATALOG_READER_REMOVED,
	CAROB_CATALOG_ZONE_EVACUATED, /* the operator evacuates `zone` */
	CAROB_CATALOG_ZONE_RESTORED,  /* the evacuation of `zone` has ended */
	CAROB_CATALOG_OTHER,	      /* an item that instances ignore */
} carob_catalog_change_kind_t;

/**
 * A service's share of a route's new flows. The service is still a name here;
 * it is resolved to a number when the configuration is applied.
 */
typedef struct carob_catalog_share {
	carob_str_t service;
	uint32_t weight;
} carob_catalog_share_t;

/** One route of a configuration, with its services still as names. */
typedef struct carob_catalog_route {
	carob_endpoint_t endpoint;
	bool idempotent;
	uint32_t target_ms;
	uint32_t timeout_ms;
	uint32_t priority;
	size_t share_count;
	const carob_catalog_share_t *shares; /* borrowed */
} carob_catalog_route_t;

/** What a configuration says of a service; see carob_service_config_t. */
typedef struct carob_catalog_service {
	carob_str_t name;
	double cold_per_s;
	uint32_t cold_start_ms;
} carob_catalog_service_t;

/** One version of the configuration. */
typedef struct carob_catalog_config {
	uint64_t version;
	uint32_t idle_timeout_ms;
	size_t count;
	const carob_catalog_route_t *routes;
	size_t service_count;
	const carob_catalog_service_t *services;
} carob_catalog_config_t;

/** One item of a listing, or one change reported by a watch; borrowed. */
typedef struct carob_catalog_change {
	carob_catalog_change_kind_t kind;
	uint64_t revision;
	carob_str_t upstream_id; /* set for the three kinds of upstreams */
	union {
		carob_upstream_entry_t upstream;
		carob_catalog_config_t config;
		carob_reader_entry_t reader;
		carob_str_t zone; /* name of an availability zone */
	};
} carob_catalog_change_t;

/** How soon a source may be read again after it returned changes. */
typedef enum carob_catalog_pace {
	/** After a pause, so that one call reads a burst of changes. */
	CAROB_CATALOG_PACE_NORMAL,
	/** After a short pause: other instances read from this one. */
	CAROB_CATALOG_PACE_READER,
	/** At once: the read costs the platform nothing. */
	CAROB_CATALOG_PACE_RELAYED,
} carob_catalog_pace_t;

/** Result of a read; borrowed during the callback. */
typedef struct carob_catalog_reply {
	/**
	 * 0; CAROB_ESTALE: the history since the revision of the watch is no
	 * longer kept; CAROB_EUNAVAILABLE; CAROB_ELIMIT: too many calls;
	 * CAROB_EFORMAT; CAROB_ENOMEM
	 */
	int result;
	/** Whether the response says its era; otherwise `era` is 0. */
	bool has_era;
	/**
	 * Incarnation of the platform's data. It rises when the platform
	 * returns from a copy and so loses its last writes. Revisions of
	 * different eras can't be compared. A response without an era counts as
	 * one of the era last seen.
	 */
	uint64_t era;
	/** On failure: a response had begun, but is too long to be read. */
	bool partial;
	/**
	 * Time since the platform confirmed the response, in milliseconds: how
	 * long it took to arrive, and for a response of another instance how
	 * old it was when that sent it.
	 */
	uint32_t age_ms;
	size_t bytes; /* length of the body */
	carob_catalog_pace_t pace;
	uint64_t revision;    /* the next watch continues from here */
	bool truncated;	      /* another page follows */
	carob_str_t last_key; /* the next page begins after this key */
	size_t count;
	const carob_catalog_change_t *changes;
} carob_catalog_reply_t;

/** A watch: reads the changes after a revision (a long poll). */
typedef struct carob_catalog_watch {
	uint64_t after;	     /* the revision */
	uint32_t wait_ms;    /* longest wait if there are no changes */
	uint32_t timeout_ms; /* longest time until the response begins */
	uint32_t stall_ms;   /* longest time without a byte of a response */
	/** A longer response fails at once, as `partial`; 0: no limit. */
	size_t bytes_max;
} carob_catalog_watch_t;

typedef struct carob_catalog_source carob_catalog_source_t;
typedef struct carob_catalog_reader carob_catalog_reader_t;

/** Receiver of a read's result; implementations embed it. */
struct carob_catalog_reader {
	/** Called when a read has ended; may begin the next one. */
	void (*done)(carob_catalog_reader_t *reader,
		     const carob_catalog_reply_t *reply);
};

/**
 * Operations of a source. At most one read is in progress at a time. The source
 * copies the strings that are passed to it.
 */
typedef struct carob_catalog_source_ops {
	/** Reads one page of the listing: the keys that follow `after`. */
	void (*list)(carob_catalog_source_t *source,
		     carob_catalog_reader_t *reader, carob_str_t after,
		     uint32_t timeout_ms);
	/** Reads changes. */
	void (*watch)(carob_catalog_source_t *source,
		      carob_catalog_reader_t *reader,
		      const carob_catalog_watch_t *watch);
	/** Cancels the read in progress; `done` is not called. */
	void (*cancel)(carob_catalog_source_t *source);
} carob_catalog_source_ops_t;

/** A source; implementations embed it as their first member. */
struct carob_catalog_source {
	const carob_catalog_source_ops_t *ops;
};

/** Listener of a catalogue; implementations embed it. */
typedef struct carob_catalog_listener carob_catalog_listener_t;
struct carob_catalog_listener {
	/** Called once, when `carob_catalog_complete` has become true. */
	void (*complete)(carob_catalog_listener_t *listener);
};

typedef struct carob_catalog carob_catalog_t;

/** Options of `carob_catalog_new`. */
typedef struct carob_catalog_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_catalog_source_t *source;
	carob_route_table_t *routes;
	carob_upstream_table_t *upstreams;
	carob_reader_table_t *readers; /* NULL: readers are ignored */
	carob_zone_table_t *zones;     /* NULL: evacuations are ignored */
	/**
	 * Maximum age of the cached state, in milliseconds. Within this time
	 * an unresponsive connection must be given up and the changes be read
	 * again, or guarantees of the platform may be broken.
	 */
	uint32_t contact_ms;
	/**
	 * Time within which a change must be in force after the platform has
	 * accepted it, in milliseconds.
	 */
	uint32_t apply_ms;
	double link_mbps; /* rate of the own link; 0: not known */
	carob_catalog_listener_t *listener; /* NULL: none */
	uint64_t seed; /* seed of the jitter that spreads instances' retries */
} carob_catalog_options_t;

/** Defaults: the guarantees of the platform on its smallest deployments. */
#define CAROB_CATALOG_OPTIONS_VERSION 1
#define CAROB_CATALOG_OPTIONS_INIT                                             \
	{                                                                      \
		.version = CAROB_CATALOG_OPTIONS_VERSION, .contact_ms = 4000,  \
		.apply_ms = 3000                                               \
	}

/** Counters of a catalogue. */
typedef struct carob_catalog_counters {
	uint64_t lists;	   /* pages read */
	uint64_t watches;  /* watches begun */
	uint64_t failed;   /* reads of either kind that failed */
	uint64_t changes;  /* items applied */
	uint64_t unusable; /* items that could not be parsed */
	uint64_t eras;	   /* times that a newer era began */
	uint64_t outdated; /* responses of an older era, ignored */
} carob_catalog_counters_t;

/**
 * Creates a catalogue. Nothing is read before `carob_catalog_start`.
 *
 * @param out receives the catalogue; release it with `carob_catalog_free`
 * @param options the source to read from and the tables to keep up to date
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_catalog_new(carob_catalog_t **out,
		      const carob_catalog_options_t *options);

/** Cancels the read in progress and releases the catalogue. */
void carob_catalog_free(carob_catalog_t *catalog);

/** Begins to read, with a listing. */
void carob_catalog_start(carob_catalog_t *catalog);

/**
 * Cancels the read in progress and reads at once. Call it when the catalogue
 * may be out of date, for instance after the process was suspended.
 */
void carob_catalog_refresh(carob_catalog_t *catalog);

/** Changes the two times that `carob_catalog_options_t` describes. */
void carob_catalog_set_deadlines(carob_catalog_t *catalog, uint32_t contact_ms,
				 uint32_t apply_ms);

/**
 * @return whether there has been a complete listing, a configuration and an
 *         upstream that is ready at the same time since the start, also one of
 *         an evacuated zone. It stays true when the upstreams' entries lapse
 *         or are removed, since the open flows still need the instance.
 */
bool carob_catalog_complete(const carob_catalog_t *catalog);

/**
 * @return time since the platform's last response, or since the creation of
 *         the catalogue if there was none, in milliseconds
 */
uint64_t carob_catalog_age_ms(const carob_catalog_t *catalog);

/** @return the revision up to which changes have been read */
uint64_t carob_catalog_revision(const carob_catalog_t *catalog);

/** @return the era of the catalogue, 0 if no response has said one yet */
uint64_t carob_catalog_era(const carob_catalog_t *catalog);

/** @return the counters, borrowed */
const carob_catalog_counters_t *
carob_catalog_counters(const carob_catalog_t *catalog);

#endif
