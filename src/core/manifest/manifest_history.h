/**
 * @file manifest_history.h
 * Ids, addresses and service ports that a deployment no longer uses, and the
 * rules for using them again. An instance that is cut off goes on serving by
 * its old manifest for as long as it takes, so an address must not pass to
 * another service before every instance has a generation without its former
 * use in force; see docs/design/manifest.md.
 */
#ifndef CAROB_CORE_MANIFEST_HISTORY_H
#define CAROB_CORE_MANIFEST_HISTORY_H

#include "carobtrail/manifest.h"

typedef struct carob_history carob_history_t;

/** Creates an empty history. @return 0 or CAROB_ENOMEM */
int carob_history_new(carob_history_t **out);

/** Releases a history; NULL is allowed. */
void carob_history_free(carob_history_t *history);

/** Reads a history's text. @return 0 or as `carob_json_doc_parse` */
int carob_history_parse(carob_history_t **out, const char *source,
			carob_str_t text);

/** Appends the text that `carob_history_parse` reads. */
int carob_history_format(carob_buf_t *out, const carob_history_t *history);

/**
 * Checks that a manifest may follow another.
 *
 * @param history what generations before `prev` used
 * @param prev the manifest in force
 * @param next the manifest to be published
 * @param confirmed every instance has this generation or a later one in
 *        force; 0: not known
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_history_check(const carob_history_t *history,
			const carob_manifest_t *prev,
			const carob_manifest_t *next, uint64_t confirmed);

/**
 * Adds what `next` no longer uses, and drops what no instance can still use.
 *
 * @param history the history before
 * @param prev the manifest in force
 * @param next the manifest that follows, which `carob_history_check` accepted
 * @param generation of `next`
 * @param confirmed as in `carob_history_check`
 * @return 0 or CAROB_ENOMEM
 */
int carob_history_advance(carob_history_t *history,
			  const carob_manifest_t *prev,
			  const carob_manifest_t *next, uint64_t generation,
			  uint64_t confirmed);

/** @return how many records the history has */
size_t carob_history_size(const carob_history_t *history);

#endif
