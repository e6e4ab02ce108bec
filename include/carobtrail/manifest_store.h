/**
 * @file manifest_store.h
 * Holds the manifest generation in force at this instance. A generation is
 * applied by all subscribers or by none, and only if it is higher than the one
 * in force at that moment. A generation in force is never reverted.
 */
#ifndef CAROBTRAIL_MANIFEST_STORE_H
#define CAROBTRAIL_MANIFEST_STORE_H

#include "carobtrail/manifest.h"

/** Identity of one publish, drawn at random by the publisher. */
typedef struct carob_publish_id {
	uint8_t bytes[CAROB_PUBLISH_ID_BYTES];
} carob_publish_id_t;

/** A manifest with the generation number under which it was published. */
typedef struct carob_generation {
	uint64_t number; /* 0: none */
	carob_publish_id_t publish_id;
	carob_manifest_t *manifest; /* borrowed; NULL while number is 0 */
} carob_generation_t;

/** Deliberately wrong variants of the protocol that tests must detect. */
typedef enum carob_manifest_fault {
	CAROB_MANIFEST_FAULT_NONE,
	/**
	 * Skips the comparison with the generation in force at the time of
	 * applying, so that an outdated generation can replace a newer one.
	 */
	CAROB_MANIFEST_FAULT_NO_RECHECK,
	/** Deletes parts by their age, even if they are still referenced. */
	CAROB_MANIFEST_FAULT_CLEAN_BY_AGE,
} carob_manifest_fault_t;

typedef struct carob_manifest_store carob_manifest_store_t;
typedef struct carob_manifest_subscriber carob_manifest_subscriber_t;

/** A user of the manifest in force; embed it and set `apply`. */
struct carob_manifest_subscriber {
	/**
	 * Puts a generation in force.
	 *
	 * @return 0, or a negative code if the subscriber keeps the previous
	 *         generation
	 */
	int (*apply)(carob_manifest_subscriber_t *subscriber,
		     const carob_generation_t *generation);
	carob_manifest_subscriber_t *next; /* owned by the store */
};

/**
 * Creates a store without a manifest.
 *
 * @param out receives the store; release it with `carob_manifest_store_free`
 * @return 0 or CAROB_ENOMEM
 */
int carob_manifest_store_new(carob_manifest_store_t **out);

/** Releases the store and its reference to the manifest in force. */
void carob_manifest_store_free(carob_manifest_store_t *store);

/** Selects a deliberately wrong variant; for tests only. */
void carob_manifest_store_set_fault(carob_manifest_store_t *store,
				    carob_manifest_fault_t mutation);

/**
 * Adds a subscriber. Subscribers are called in the order of subscription; the
 * new one is called at once if a manifest is in force.
 *
 * @param store the store
 * @param subscriber must outlive the store
 * @return 0 or what `apply` returned
 */
int carob_manifest_store_subscribe(carob_manifest_store_t *store,
				   carob_manifest_subscriber_t *subscriber);

/**
 * Applies a generation if it is higher than the one in force now. Callers need
 * not compare first: an earlier comparison may be outdated if the process was
 * paused since. If a subscriber fails, the subscribers before it apply the
 * previous generation again.
 *
 * @param store the store; takes its own reference to the manifest
 * @param offered the generation
 * @return 0, CAROB_EINVALID if number or manifest is missing, CAROB_ESTALE if
 *         the generation is not higher, CAROB_EMISMATCH if that number is in
 *         force with another publish id, or what a subscriber returned
 */
int carob_manifest_store_offer(carob_manifest_store_t *store,
			       const carob_generation_t *offered);

/** @return the generation in force, borrowed; `number` is 0 if there is none */
const carob_generation_t *
carob_manifest_store_current(const carob_manifest_store_t *store);

/** Bytes of a publish id as hexadecimal digits, with the NUL byte. */
#define CAROB_PUBLISH_ID_TEXT_BYTES (2 * CAROB_PUBLISH_ID_BYTES + 1)

/** Writes a publish id as hexadecimal digits. */
void carob_publish_id_format(char out[CAROB_PUBLISH_ID_TEXT_BYTES],
			     const carob_publish_id_t *id);

/** Parses a publish id in hexadecimal digits. @return 0 or CAROB_EINVALID */
int carob_publish_id_parse(carob_publish_id_t *out, carob_str_t text);

/** @return whether two publish ids are equal */
bool carob_publish_id_eq(const carob_publish_id_t *a,
			 const carob_publish_id_t *b);

#endif
