/**
 * @file manifest_history.h
 * Records the ids, addresses and service ports that a deployment no longer
 * uses, and checks whether a new manifest may use them again. An instance that
 * is partitioned from the platform keeps serving its old manifest for an
 * unlimited time. An address must therefore not be assigned to another service
 * until every instance has a generation in force that no longer contains the
 * previous use; see docs/design/manifest.md.
 */
#ifndef CAROB_CORE_MANIFEST_HISTORY_H
#define CAROB_CORE_MANIFEST_HISTORY_H

#include "carobtrail/manifest.h"

typedef struct carob_history carob_history_t;

/** Creates an empty history. @return 0 or CAROB_ENOMEM */
int carob_history_new(carob_history_t **out);

/** Frees a history; NULL is allowed. */
void carob_history_free(carob_history_t *history);

/** Parses the text of a history. @return 0 or as `carob_json_doc_parse` */
int carob_history_parse(carob_history_t **out, const char *source,
			carob_str_t text);

/**
 * Appends a history in the format that `carob_history_parse` reads.
 *
 * @return 0, CAROB_ELIMIT if the history is too large, or CAROB_ENOMEM
 */
int carob_history_format(carob_buf_t *out, const carob_history_t *history);

/**
 * Checks that a manifest may follow another.
 *
 * @param history the history of the generations before `prev`
 * @param prev the manifest in force
 * @param next the manifest to be published
 * @param confirmed a generation such that every instance has it or a later
 *        one in force; 0 if none is known
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_history_check(const carob_history_t *history,
			const carob_manifest_t *prev,
			const carob_manifest_t *next, uint64_t confirmed);

/**
 * Records what `prev` uses and `next` does not, and removes the records of what
 * is in use again or can no longer be in use at any instance.
 *
 * @param history the history of the generations before `prev`; updated
 * @param prev the manifest in force
 * @param next the manifest that follows, accepted by `carob_history_check`
 * @param generation the generation of `next`
 * @param confirmed as in `carob_history_check`
 * @return 0 or CAROB_ENOMEM
 */
int carob_history_advance(carob_history_t *history,
			  const carob_manifest_t *prev,
			  const carob_manifest_t *next, uint64_t generation,
			  uint64_t confirmed);

/** @return the number of records in the history */
size_t carob_history_size(const carob_history_t *history);

#endif
