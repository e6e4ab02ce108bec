/**
 * @file catalog.h
 * The platform's catalogue of upstreams and its configuration, as the
 * decisions see them: asynchronous reads that give typed changes. `platform/`
 * implements the source; tests use a fake.
 */
#ifndef CAROBTRAIL_CATALOG_H
#define CAROBTRAIL_CATALOG_H

#include "carobtrail/kernel.h"
#include "carobtrail/route_table.h"
#include "carobtrail/upstream_table.h"

/** What one item of the catalogue says. */
typedef enum carob_catalog_change_kind {
	CAROB_CATALOG_UPSTREAM,		 /* an upstream's entry */
	CAROB_CATALOG_UPSTREAM_UNUSABLE, /* an entry that can't be read */
	CAROB_CATALOG_UPSTREAM_REMOVED,
	CAROB_CATALOG_CONFIG,
	CAROB_CATALOG_CONFIG_UNUSABLE,
	CAROB_CATALOG_OTHER, /* nothing that concerns an instance */
} carob_catalog_change_kind_t;

/** Names of a configuration's routes are resolved when it is applied. */
typedef struct carob_catalog_share {
	carob_str_t service;
	uint32_t weight;
} carob_catalog_share_t;

/** One route as the configuration has it. */
typedef struct carob_catalog_route {
	carob_endpoint_t endpoint;
	bool idempotent;
	uint32_t target_ms;
	uint32_t priority;
	size_t share_count;
	carob_catalog_share_t shares[CAROB_ROUTE_SHARES_MAX];
} carob_catalog_route_t;

/** One configuration. */
typedef struct carob_catalog_config {
	uint64_t version;
	uint32_t idle_timeout_ms;
	size_t count;
	const carob_catalog_route_t *routes;
} carob_catalog_config_t;

/** One item that was read, or one change that was seen; borrowed. */
typedef struct carob_catalog_change {
	carob_catalog_change_kind_t kind;
	uint64_t revision;
	carob_str_t upstream_id; /* of the three kinds about upstreams */
	union {
		carob_upstream_entry_t upstream;
		carob_catalog_config_t config;
	};
} carob_catalog_change_t;

/** How a read ended; borrowed during the callback. */
typedef struct carob_catalog_reply {
	/**
	 * 0; CAROB_ESTALE: a watch from a revision whose history is gone;
	 * CAROB_EUNAVAILABLE; CAROB_ELIMIT: too many calls; CAROB_EFORMAT;
	 * CAROB_ENOMEM
	 */
	int result;
	/** On failure: the answer had begun, but is too long to be read. */
	bool partial;
	uint64_t revision;    /* that the next watch goes on from */
	bool truncated;	      /* another page follows */
	carob_str_t last_key; /* where the next page goes on */
	size_t count;
	const carob_catalog_change_t *changes;
} carob_catalog_reply_t;

typedef struct carob_catalog_source carob_catalog_source_t;
typedef struct carob_catalog_reader carob_catalog_reader_t;

/** Who reads; implementations embed it. */
struct carob_catalog_reader {
	/** Ends a read; may begin the next one. */
	void (*done)(carob_catalog_reader_t *reader,
		     const carob_catalog_reply_t *reply);
};

/** Behaviour of a source. One read at a time; strings are copied. */
typedef struct carob_catalog_source_ops {
	/** Reads one page of everything, from behind the key `after`. */
	void (*list)(carob_catalog_source_t *source,
		     carob_catalog_reader_t *reader, carob_str_t after,
		     uint32_t timeout_ms);
	/**
	 * Reads what changed after a revision, waiting for `wait_ms` if nothing
	 * has; `timeout_ms` bounds how long it may be silent.
	 */
	void (*watch)(carob_catalog_source_t *source,
		      carob_catalog_reader_t *reader, uint64_t after,
		      uint32_t wait_ms, uint32_t timeout_ms);
	/** Forgets the read in progress: `done` is not called. */
	void (*cancel)(carob_catalog_source_t *source);
} carob_catalog_source_ops_t;

/** A source; implementations embed it as their first member. */
struct carob_catalog_source {
	const carob_catalog_source_ops_t *ops;
};

typedef struct carob_catalog carob_catalog_t;

/** Options of `carob_catalog_new`. */
typedef struct carob_catalog_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_catalog_source_t *source;
	carob_route_table_t *routes;
	carob_upstream_table_t *upstreams;
	/**
	 * Beliefs that are older than this may break a promise: a silent
	 * connection must be given up, and all be read again, within it.
	 */
	uint32_t contact_ms;
	/** A change must be in force within this after it was accepted. */
	uint32_t apply_ms;
	uint64_t seed; /* spreads retries of instances over time */
} carob_catalog_options_t;

/** 4 s and 3 s: what the platform promises on its smallest deployments. */
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
	uint64_t failed;   /* of both, without an answer to use */
	uint64_t changes;  /* items applied */
	uint64_t unusable; /* items that could not be read */
} carob_catalog_counters_t;

/**
 * Creates a catalogue; `carob_catalog_start` begins to read.
 *
 * @param out receives it; release it with `carob_catalog_free`
 * @param options where to read from and what to keep up to date
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_catalog_new(carob_catalog_t **out,
		      const carob_catalog_options_t *options);

/** Cancels the read in progress and releases the catalogue. */
void carob_catalog_free(carob_catalog_t *catalog);

/** Begins with a listing. */
void carob_catalog_start(carob_catalog_t *catalog);

/** Reads at once: beliefs may be old, for instance after a pause. */
void carob_catalog_refresh(carob_catalog_t *catalog);

/** Changes the spans that `carob_catalog_options_t` describes. */
void carob_catalog_set_spans(carob_catalog_t *catalog, uint32_t contact_ms,
			     uint32_t apply_ms);

/**
 * @return whether flows could be placed since the start: there were a whole
 *         listing, a configuration and an upstream. It stays so when entries
 *         lapse, since flows that are open still need the instance.
 */
bool carob_catalog_complete(const carob_catalog_t *catalog);

/** @return the age of the last answer from the platform, in ms */
uint64_t carob_catalog_age_ms(const carob_catalog_t *catalog);

/** @return the revision up to which changes are known */
uint64_t carob_catalog_revision(const carob_catalog_t *catalog);

/** @return the counters, borrowed */
const carob_catalog_counters_t *
carob_catalog_counters(const carob_catalog_t *catalog);

#endif
