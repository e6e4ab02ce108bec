/**
 * @file manifest_json.h
 * The canonical JSON form of a manifest, its content hash, and deltas between
 * two manifests. Equal manifests have equal text, whatever order and defaults
 * the operators' document used.
 */
#ifndef CAROB_CORE_MANIFEST_JSON_H
#define CAROB_CORE_MANIFEST_JSON_H

#include "carobtrail/manifest.h"

/** Hexadecimal digits of a content hash, with the NUL byte. */
#define CAROB_HASH_TEXT_BYTES 33

/** Appends the canonical text of a manifest. @return 0 or CAROB_ENOMEM */
int carob_manifest_format(carob_buf_t *out, const carob_manifest_t *manifest);

/**
 * Appends a manifest's document up to its services: deployment and zones,
 * with "services":[ still open.
 */
int carob_manifest_format_head(carob_buf_t *out,
			       const carob_manifest_t *manifest);

/** Appends the canonical text of one service. @return 0 or CAROB_ENOMEM */
int carob_manifest_format_service(carob_buf_t *out,
				  const carob_manifest_service_t *service);

/** Writes the BLAKE2b-128 hash of bytes as hexadecimal digits. */
void carob_content_hash(char out[CAROB_HASH_TEXT_BYTES], carob_str_t bytes);

/** Writes the hash of a manifest's canonical text. @return 0 or a code */
int carob_manifest_hash(char out[CAROB_HASH_TEXT_BYTES],
			const carob_manifest_t *manifest);

/**
 * Appends what turns one manifest into another, as JSON.
 *
 * @param out receives the text
 * @param from the former manifest
 * @param to the later manifest
 * @return 0 or CAROB_ENOMEM
 */
int carob_manifest_delta(carob_buf_t *out, const carob_manifest_t *from,
			 const carob_manifest_t *to);

/**
 * Applies a delta. The result is checked like any document, and against the
 * hash that the delta carries.
 *
 * @param out receives the manifest; release it with `carob_manifest_free`
 * @param from the manifest that the delta was made from
 * @param source name of the delta for messages
 * @param delta what `carob_manifest_delta` wrote; any content
 * @return 0, CAROB_EMISMATCH if it was made from another manifest, or as
 *         `carob_manifest_parse`
 */
int carob_manifest_patch(carob_manifest_t **out, const carob_manifest_t *from,
			 const char *source, carob_str_t delta);

#endif
