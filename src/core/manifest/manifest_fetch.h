/**
 * @file manifest_fetch.h
 * Reads a whole manifest from the platform: its index, then those parts that
 * differ from a manifest which the caller already has.
 */
#ifndef CAROB_CORE_MANIFEST_FETCH_H
#define CAROB_CORE_MANIFEST_FETCH_H

#include "core/manifest/publish_doc.h"

typedef struct carob_fetch carob_fetch_t;

/** A fetch; its user embeds it, sets `done` and zero-initialises the rest. */
struct carob_fetch {
	/**
	 * Called when the fetch has ended. If `result` is 0, `index` is valid
	 * and `manifest` is owned by the callee; otherwise `result` is a
	 * negative code and `manifest` is NULL.
	 */
	void (*done)(carob_fetch_t *fetch, int result,
		     carob_manifest_t *manifest);
	carob_index_t index;

	/* Private fields: */
	carob_kv_call_t call;
	carob_kv_t *kv;
	carob_str_t deployment;
	carob_part_name_t index_name;
	size_t next_part;
	carob_buf_t parts[CAROB_PART_COUNT];
};

/**
 * Starts a fetch.
 *
 * @param fetch an idle fetch
 * @param kv the platform
 * @param deployment name of the deployment; must be valid until the fetch ends
 * @param index name of the index to read
 * @param base a manifest whose parts are reused where their content is the
 *        same; may be NULL
 */
void carob_fetch_start(carob_fetch_t *fetch, carob_kv_t *kv,
		       carob_str_t deployment, const carob_part_name_t *index,
		       const carob_manifest_t *base);

/** Cancels a fetch without calling `done`; an idle fetch is left as it is. */
void carob_fetch_cancel(carob_fetch_t *fetch);

#endif
