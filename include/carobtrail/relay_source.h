/**
 * @file relay_source.h
 * A source of the catalogue that spares the platform: listings come from the
 * platform, changes from a reader of the own zone if there is one that answers
 * and is fresh, else from the platform too. No guarantee rests on who reads:
 * each response of a reader says how long ago the platform confirmed it, and
 * one that is too old is replaced by a read of the platform.
 */
#ifndef CAROBTRAIL_RELAY_SOURCE_H
#define CAROBTRAIL_RELAY_SOURCE_H

#include "carobtrail/catalog.h"

/** Client of a reader; implementations embed a source as first member. */
typedef struct carob_peer_source carob_peer_source_t;
struct carob_peer_source {
	carob_catalog_source_t source;
	/** Sets the reader that further reads ask. */
	void (*connect)(carob_peer_source_t *peer,
			const carob_reader_slot_t *reader);
};

/** Options of `carob_relay_source_new`. */
typedef struct carob_relay_source_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_catalog_source_t *store; /* the platform */
	carob_peer_source_t *peer;
	const carob_reader_table_t *readers;
	carob_str_t
		instance; /* the own name, as readers announce it; borrowed */
	/** Time within which a change must be in force, in milliseconds. */
	uint32_t apply_ms;
} carob_relay_source_options_t;

#define CAROB_RELAY_SOURCE_OPTIONS_VERSION 1
#define CAROB_RELAY_SOURCE_OPTIONS_INIT                                        \
	{                                                                      \
		.version = CAROB_RELAY_SOURCE_OPTIONS_VERSION,                 \
		.apply_ms = 3000                                               \
	}

/** Oldest state that is taken from a reader: this part of the time within which
 * a change must be in force. The rest is for a reader that falls silent, and
 * for the read of the platform that replaces it. */
#define CAROB_RELAY_AGE_MS_MAX(apply_ms) ((apply_ms)*2 / 5)

/** Counters of a relay source. */
typedef struct carob_relay_counters {
	uint64_t relayed;   /* responses of readers that were used */
	uint64_t fallbacks; /* reads of the platform in place of a reader */
} carob_relay_counters_t;

typedef struct carob_relay_source carob_relay_source_t;

/**
 * Creates a relay source.
 *
 * @param out receives the source; release it with `carob_relay_source_free`
 * @param options what it reads from; must outlive the source
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_relay_source_new(carob_relay_source_t **out,
			   const carob_relay_source_options_t *options);

/** Cancels the read in progress and releases the source; NULL is allowed. */
void carob_relay_source_free(carob_relay_source_t *relay);

/** @return the source, for the catalogue; borrowed */
carob_catalog_source_t *carob_relay_source_base(carob_relay_source_t *relay);

/** Sets whether this instance is a reader: it then reads the platform itself,
 * and more often, since others read from it. */
void carob_relay_source_set_reader(carob_relay_source_t *relay, bool is_reader);

/** Changes the time that the options describe. */
void carob_relay_source_set_apply_ms(carob_relay_source_t *relay,
				     uint32_t apply_ms);

/** @return the reader that is read from, borrowed, or NULL: the platform */
const carob_reader_slot_t *
carob_relay_source_reader(const carob_relay_source_t *relay);

/** @return the counters, borrowed */
const carob_relay_counters_t *
carob_relay_source_counters(const carob_relay_source_t *relay);

#endif
