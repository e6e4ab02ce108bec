/**
 * @file manifest_store.h
 * The manifest generation in force at this instance. A generation is applied
 * whole or not at all, only if it is higher than the one in force at that
 * moment, and is never reverted.
 */
#ifndef CAROBTRAIL_MANIFEST_STORE_H
#define CAROBTRAIL_MANIFEST_STORE_H

#include "carobtrail/manifest.h"

/** Identity of one publish; drawn at random by whoever publishes. */
typedef struct carob_publish_id {
	uint8_t bytes[CAROB_PUBLISH_ID_BYTES];
} carob_publish_id_t;

/** A manifest with the generation that the platform accepted it as. */
typedef struct carob_generation {
	uint64_t number; /* 0: none */
	carob_publish_id_t publish_id;
	carob_manifest_t *manifest; /* borrowed; NULL while number is 0 */
} carob_generation_t;

/** Wrong variants of the protocol, for proofs that checks catch them. */
typedef enum carob_manifest_mutation {
	CAROB_MANIFEST_MUTATION_NONE,
	/** Applies what was newer when its fetch began. */
	CAROB_MANIFEST_MUTATION_NO_RECHECK,
	/** Cleans up by the age of parts, whatever names them. */
	CAROB_MANIFEST_MUTATION_CLEAN_BY_AGE,
} carob_manifest_mutation_t;

typedef struct carob_manifest_store carob_manifest_store_t;
typedef struct carob_manifest_subscriber carob_manifest_subscriber_t;

/** Someone who works with the manifest; embed it and set `apply`. */
struct carob_manifest_subscriber {
	/**
	 * Puts a generation in force.
	 *
	 * @return 0, or a negative code with the former one still in force
	 */
	int (*apply)(carob_manifest_subscriber_t *subscriber,
		     const carob_generation_t *generation);
	carob_manifest_subscriber_t *next; /* owned by the store */
};

/**
 * Creates a store without a manifest.
 *
 * @param out receives it; release it with `carob_manifest_store_free`
 * @return 0 or CAROB_ENOMEM
 */
int carob_manifest_store_new(carob_manifest_store_t **out);

/** Releases the store and its reference to the manifest. */
void carob_manifest_store_free(carob_manifest_store_t *store);

/** Switches a wrong variant on; for tests only. */
void carob_manifest_store_set_mutation(carob_manifest_store_t *store,
				       carob_manifest_mutation_t mutation);

/**
 * Adds a subscriber, called in the order of subscription and at once if a
 * manifest is in force.
 *
 * @param store the store
 * @param subscriber must outlive the store
 * @return 0 or what `apply` returned
 */
int carob_manifest_store_subscribe(carob_manifest_store_t *store,
				   carob_manifest_subscriber_t *subscriber);

/**
 * Applies a generation if it is higher than the one in force now. Callers
 * need not compare before; what they compared before a pause is worth
 * nothing. If a subscriber fails, those before it get the former generation
 * again.
 *
 * @param store the store; takes a reference of its own
 * @param offered the generation
 * @return 0, CAROB_ESTALE if it is not higher, CAROB_EMISMATCH if that
 *         generation is in force by another publish, or what a subscriber
 *         returned
 */
int carob_manifest_store_offer(carob_manifest_store_t *store,
			       const carob_generation_t *offered);

/** @return the generation in force, borrowed; `number` is 0 if there is none */
const carob_generation_t *
carob_manifest_store_current(const carob_manifest_store_t *store);

/** Hexadecimal digits of a publish id, with the NUL byte. */
#define CAROB_PUBLISH_ID_TEXT_BYTES (2 * CAROB_PUBLISH_ID_BYTES + 1)

/** Writes a publish id as hexadecimal digits. */
void carob_publish_id_format(char out[CAROB_PUBLISH_ID_TEXT_BYTES],
			     const carob_publish_id_t *id);

/** Reads what `carob_publish_id_format` wrote. @return 0 or CAROB_EINVALID */
int carob_publish_id_parse(carob_publish_id_t *out, carob_str_t text);

/** @return whether both are the same publish */
bool carob_publish_id_eq(const carob_publish_id_t *a,
			 const carob_publish_id_t *b);

#endif
