/**
 * @file manifest_fetch.h
 * Reads a whole manifest from the platform: its index, then the parts that
 * are not at hand already.
 */
#ifndef CAROB_CORE_MANIFEST_FETCH_H
#define CAROB_CORE_MANIFEST_FETCH_H

#include "core/manifest/publish_doc.h"

typedef struct carob_fetch carob_fetch_t;

/** A fetch; its user embeds it, sets `done` and zero-initialises the rest. */
struct carob_fetch {
	/**
	 * Ends the fetch; the result is a code, with `index` and `manifest`
	 * to be taken from the object if it is 0. `manifest` is the callee's,
	 * who releases it.
	 */
	void (*done)(carob_fetch_t *fetch, int result,
		     carob_manifest_t *manifest);
	carob_index_t index;

	/* Private: */
	carob_kv_call_t call;
	carob_kv_t *kv;
	carob_str_t deployment;
	carob_part_name_t wanted;
	size_t next_part;
	carob_buf_t parts[CAROB_PART_COUNT];
};

/**
 * Starts a fetch.
 *
 * @param fetch an idle fetch
 * @param kv the platform
 * @param deployment whose manifest; must stay valid
 * @param index name of the index to read
 * @param at_hand a manifest whose parts need not be read; may be NULL
 */
void carob_fetch_start(carob_fetch_t *fetch, carob_kv_t *kv,
		       carob_str_t deployment, const carob_part_name_t *index,
		       const carob_manifest_t *at_hand);

/** Gives up a fetch without calling `done`; nothing happens if idle. */
void carob_fetch_cancel(carob_fetch_t *fetch);

#endif
