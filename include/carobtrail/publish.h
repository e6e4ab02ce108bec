/**
 * @file publish.h
 * Publishes manifests: writes all parts, and then the head with one
 * compare-and-swap. Removes parts that no generation refers to any more.
 */
#ifndef CAROBTRAIL_PUBLISH_H
#define CAROBTRAIL_PUBLISH_H

#include "carobtrail/kernel.h"
#include "carobtrail/kv.h"
#include "carobtrail/manifest_store.h"

typedef struct carob_publish carob_publish_t;

/** Outcome of a publish operation. */
typedef struct carob_publish_outcome {
	/**
	 * 0 if the manifest was accepted or is in force already. Otherwise the
	 * last error has the details, and the result is one of:
	 * CAROB_ECONFLICT: another operation was accepted first; nothing
	 * changed;
	 * CAROB_EINVALID: the manifest may not follow the one in force;
	 * CAROB_EUNAVAILABLE: the platform is not available; nothing changed;
	 * CAROB_EUNKNOWN: the manifest may have been accepted, or may still be.
	 */
	int result;
	/**
	 * The accepted generation. After a failure, the one that was found in
	 * force; 0 if the head was not read or nothing is published.
	 */
	uint64_t generation;
	bool unchanged; /* the manifest was in force already */
} carob_publish_outcome_t;

/** Options of `carob_publish_new`. */
typedef struct carob_publish_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_kv_t *kv;
	carob_manifest_t *manifest; /* the operation takes its own reference */
	carob_publish_id_t publish_id;
	bool has_base; /* fail unless generation `base` is in force */
	uint64_t base;
	/** The new generation is also higher than this one; 0: no bound. */
	uint64_t above;
	/**
	 * Every instance has this generation or a later one in force; 0 if
	 * none is known.
	 */
	uint64_t confirmed;
	uint64_t seed; /* seed of the jitter of retries */
	/** Called once, when the operation has ended. */
	void (*done)(void *context, const carob_publish_outcome_t *outcome);
	void *context; /* passed to `done` */
} carob_publish_options_t;

#define CAROB_PUBLISH_OPTIONS_VERSION 1
#define CAROB_PUBLISH_OPTIONS_INIT                                             \
	{                                                                      \
		.version = CAROB_PUBLISH_OPTIONS_VERSION                       \
	}

/**
 * Starts to publish a manifest.
 *
 * @param out receives the publish operation; release it with
 *        `carob_publish_free`, but not from within `done`
 * @param options the options
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_publish_new(carob_publish_t **out,
		      const carob_publish_options_t *options);

/**
 * Frees a publish operation; NULL is allowed. If the operation has not ended
 * yet, it is stopped and its outcome is unknown.
 */
void carob_publish_free(carob_publish_t *publish);

typedef struct carob_clean carob_clean_t;

/** Options of `carob_clean_new`. */
typedef struct carob_clean_options {
	unsigned int version;
	carob_kv_t *kv;
	carob_str_t deployment; /* borrowed until the clean-up is freed */
	unsigned int keep; /* generations to keep before the one in force */
	carob_manifest_mutation_t mutation; /* for tests only */
	/** Called once at the end, with the number of removed parts. */
	void (*done)(void *context, int result, size_t removed);
	void *context; /* passed to `done` */
} carob_clean_options_t;

#define CAROB_CLEAN_KEEP_DEFAULT    4
#define CAROB_CLEAN_OPTIONS_VERSION 1
#define CAROB_CLEAN_OPTIONS_INIT                                               \
	{                                                                      \
		.version = CAROB_CLEAN_OPTIONS_VERSION,                        \
		.keep = CAROB_CLEAN_KEEP_DEFAULT                               \
	}

/**
 * Starts to remove the parts that are no longer needed.
 *
 * Let H be the generation of the head, which is read first. A part "G/HASH" is
 * removed only if G is at most H, and neither the index of H nor those of the
 * `keep` generations before it refer to the part. No later index can refer to
 * such a part again: the index of H + 1 only refers to parts of the index of H
 * and to new parts "H+1/...". Removing the part therefore stays correct even if
 * the clean-up is paused for any length of time, and needs no clock.
 *
 * @param out receives the clean-up; release it with `carob_clean_free`, but not
 *        from within `done`
 * @param options the options
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_clean_new(carob_clean_t **out, const carob_clean_options_t *options);

/** Stops and frees a clean-up; NULL is allowed. */
void carob_clean_free(carob_clean_t *clean);

#endif
