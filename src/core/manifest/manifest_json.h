/**
 * @file manifest_json.h
 * The canonical JSON form of a manifest, its content hash, and deltas between
 * two manifests. Equal manifests have the same canonical text, regardless of
 * the order of members and of omitted defaults in the published document.
 */
#ifndef CAROB_CORE_MANIFEST_JSON_H
#define CAROB_CORE_MANIFEST_JSON_H

#include "carobtrail/manifest.h"

/** Bytes of a content hash as hexadecimal digits, with the NUL byte. */
#define CAROB_HASH_TEXT_BYTES 33

/** Appends the canonical text of a manifest. @return 0 or CAROB_ENOMEM */
int carob_manifest_format(carob_buf_t *out, const carob_manifest_t *manifest);

/**
 * Appends the canonical text of a manifest up to and including the opening
 * bracket of "services": the deployment and the zones.
 *
 * @return 0 or CAROB_ENOMEM
 */
int carob_manifest_format_head(carob_buf_t *out,
			       const carob_manifest_t *manifest);

/** Appends the canonical text of one service. @return 0 or CAROB_ENOMEM */
int carob_manifest_format_service(carob_buf_t *out,
				  const carob_manifest_service_t *service);

/** Writes the BLAKE2b-128 hash of bytes as hexadecimal digits. */
void carob_content_hash(char out[CAROB_HASH_TEXT_BYTES], carob_str_t bytes);

/**
 * Writes the hash of the canonical text of a manifest and caches it there.
 *
 * @return 0 or CAROB_ENOMEM
 */
int carob_manifest_hash(char out[CAROB_HASH_TEXT_BYTES],
			const carob_manifest_t *manifest);

/**
 * Appends the delta between two manifests, as JSON.
 *
 * @param out receives the text
 * @param from the earlier manifest
 * @param to the later manifest
 * @return 0 or CAROB_ENOMEM
 */
int carob_manifest_delta(carob_buf_t *out, const carob_manifest_t *from,
			 const carob_manifest_t *to);

/**
 * Applies a delta. The result is checked by the same rules as a published
 * document, and its hash must be the one that the delta contains.
 *
 * @param out receives the manifest; release it with `carob_manifest_free`
 * @param from the manifest that the delta was made from
 * @param source name of the delta in error texts
 * @param delta the text of the delta; may be untrusted input
 * @return 0, CAROB_EMISMATCH if the delta was made from another manifest or
 *         leads to another hash, or as `carob_manifest_parse`
 */
int carob_manifest_patch(carob_manifest_t **out, const carob_manifest_t *from,
			 const char *source, carob_str_t delta);

#endif
