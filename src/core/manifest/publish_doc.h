/**
 * @file publish_doc.h
 * How a manifest generation lies in the platform's key-value service.
 *
 * A small head names a generation, who published it, an index and a delta
 * from the generation before; one compare-and-swap of the head publishes. The
 * index names the parts, each with the services of one bucket. Parts, deltas
 * and indexes are named "GENERATION/HASH" after the generation they were
 * written for and their content, and are never changed.
 *
 *     carobtrail/DEPLOYMENT/head
 *     carobtrail/DEPLOYMENT/parts/GENERATION/HASH
 */
#ifndef CAROB_CORE_PUBLISH_DOC_H
#define CAROB_CORE_PUBLISH_DOC_H

#include "carobtrail/kv.h"
#include "carobtrail/manifest_store.h"
#include "core/manifest/manifest_json.h"

/** Parts that the services of a manifest are spread over. */
#define CAROB_PART_COUNT 16

/** Longest name of a part, "18446744073709551615/HASH", with NUL byte. */
#define CAROB_PART_NAME_BYTES (21 + CAROB_HASH_TEXT_BYTES)

/** Name of a part; an empty one names nothing. */
typedef struct carob_part_name {
	char text[CAROB_PART_NAME_BYTES];
} carob_part_name_t;

/** What the head says. */
typedef struct carob_head {
	uint64_t generation; /* 0: nothing was published yet */
	carob_publish_id_t publish_id;
	carob_part_name_t index;
	carob_part_name_t delta; /* from the generation before, or empty */
} carob_head_t;

/** What an index says. */
typedef struct carob_index {
	uint64_t generation;
	carob_publish_id_t publish_id;
	carob_part_name_t previous; /* index of the generation before */
	carob_part_name_t history;  /* ids and addresses no longer in use */
	char hash[CAROB_HASH_TEXT_BYTES]; /* of the whole canonical text */
	carob_part_name_t parts[CAROB_PART_COUNT];
} carob_index_t;

/** A key of the key-value service. */
typedef struct carob_kv_key {
	char text[CAROB_KV_KEY_MAX + 1];
} carob_kv_key_t;

/** The key of a deployment's head. */
void carob_head_key(carob_kv_key_t *out, carob_str_t deployment);

/** The key of a part. */
void carob_part_key(carob_kv_key_t *out, carob_str_t deployment,
		    const carob_part_name_t *name);

/** The prefix of the keys of all parts. */
void carob_parts_prefix(carob_kv_key_t *out, carob_str_t deployment);

/** Names a part after its generation and content. */
void carob_part_name(carob_part_name_t *out, uint64_t generation,
		     carob_str_t content);

/** @return the generation that a part was written for; 0 if malformed */
uint64_t carob_part_generation(carob_str_t name);

/** @return whether the content is what the name says */
bool carob_part_matches(const carob_part_name_t *name, carob_str_t content);

/** @return whether two names are the same */
bool carob_part_name_eq(const carob_part_name_t *a, const carob_part_name_t *b);

/** Appends a head's text. @return 0 or CAROB_ENOMEM */
int carob_head_format(carob_buf_t *out, const carob_head_t *head);

/** Reads a head. @return 0 or as `carob_json_doc_parse` */
int carob_head_parse(carob_head_t *out, const char *source, carob_str_t text);

/** Appends an index's text. @return 0 or CAROB_ENOMEM */
int carob_index_format(carob_buf_t *out, const carob_index_t *index);

/** Reads an index. @return 0 or as `carob_json_doc_parse` */
int carob_index_parse(carob_index_t *out, const char *source, carob_str_t text);

/** Appends the text of part `part` of a manifest; part 0 has the head. */
int carob_part_format(carob_buf_t *out, const carob_manifest_t *manifest,
		      size_t part);

/**
 * Puts the texts of all parts together again.
 *
 * @param out receives the manifest; release it with `carob_manifest_free`
 * @param index the index that names the parts
 * @param parts the text of each
 * @return 0, CAROB_EMISMATCH if the result is not what the index names, or as
 *         `carob_manifest_parse`
 */
int carob_parts_join(carob_manifest_t **out, const carob_index_t *index,
		     const carob_buf_t parts[CAROB_PART_COUNT]);

#endif
