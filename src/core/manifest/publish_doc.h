/**
 * @file publish_doc.h
 * Format of manifest generations in the platform's key-value service.
 *
 * The head contains a generation, the id of its publish, and the names of an
 * index and of a delta from the previous generation. One compare-and-swap of
 * the head publishes a generation. The index contains the names of the parts;
 * the services of a manifest are distributed over the parts by a hash of their
 * ids. Parts, deltas, histories and indexes are immutable. Their names have the
 * form "GENERATION/HASH", with the generation they were written for and a hash
 * of their content.
 *
 *     carobtrail/DEPLOYMENT/head
 *     carobtrail/DEPLOYMENT/parts/GENERATION/HASH
 */
#ifndef CAROB_CORE_PUBLISH_DOC_H
#define CAROB_CORE_PUBLISH_DOC_H

#include "carobtrail/kv.h"
#include "carobtrail/manifest_store.h"
#include "core/manifest/manifest_json.h"

/** Number of parts that the services of a manifest are distributed over. */
#define CAROB_PART_COUNT 16

/**
 * Size of the longest name of a part, "18446744073709551615/HASH", with the
 * NUL byte.
 */
#define CAROB_PART_NAME_BYTES (21 + CAROB_HASH_TEXT_BYTES)

/** Name of a part, delta, history or index; empty if there is none. */
typedef struct carob_part_name {
	char text[CAROB_PART_NAME_BYTES];
} carob_part_name_t;

/** Content of the head. */
typedef struct carob_head {
	uint64_t generation; /* 0: nothing is published */
	carob_publish_id_t publish_id;
	carob_part_name_t index;
	/* Delta from the previous generation; empty if there is none. */
	carob_part_name_t delta;
} carob_head_t;

/** Content of an index. */
typedef struct carob_index {
	uint64_t generation;
	carob_publish_id_t publish_id;
	carob_part_name_t previous;	  /* index of the previous generation */
	carob_part_name_t history;	  /* see manifest_history.h */
	char hash[CAROB_HASH_TEXT_BYTES]; /* hash of the whole manifest */
	carob_part_name_t parts[CAROB_PART_COUNT];
} carob_index_t;

/** Key in the key-value service. */
typedef struct carob_kv_key {
	char text[CAROB_KV_KEY_MAX + 1];
} carob_kv_key_t;

/** Formats the key of the head of a deployment. */
void carob_head_key(carob_kv_key_t *out, carob_str_t deployment);

/** Formats the key of a part of a deployment. */
void carob_part_key(carob_kv_key_t *out, carob_str_t deployment,
		    const carob_part_name_t *name);

/** Formats the common prefix of the keys of all parts of a deployment. */
void carob_parts_prefix(carob_kv_key_t *out, carob_str_t deployment);

/** Sets the name of a part from its generation and content. */
void carob_part_name(carob_part_name_t *out, uint64_t generation,
		     carob_str_t content);

/** @return the generation that a part was written for; 0 if malformed */
uint64_t carob_part_generation(carob_str_t name);

/** @return whether the hash in a part's name is that of the content */
bool carob_part_matches(const carob_part_name_t *name, carob_str_t content);

/** @return whether two names are the same */
bool carob_part_name_eq(const carob_part_name_t *a, const carob_part_name_t *b);

/** Appends the JSON text of a head. @return 0 or CAROB_ENOMEM */
int carob_head_format(carob_buf_t *out, const carob_head_t *head);

/** Parses the JSON text of a head. @return 0 or as `carob_json_doc_parse` */
int carob_head_parse(carob_head_t *out, const char *source, carob_str_t text);

/** Appends the JSON text of an index. @return 0 or CAROB_ENOMEM */
int carob_index_format(carob_buf_t *out, const carob_index_t *index);

/** Parses the JSON text of an index. @return 0 or as `carob_json_doc_parse` */
int carob_index_parse(carob_index_t *out, const char *source, carob_str_t text);

/**
 * Appends the text of one part of a manifest: its services, each followed by a
 * comma. Part 0 starts with the text before the first service of the manifest.
 *
 * @param out receives the text
 * @param manifest the manifest
 * @param part number of the part, below CAROB_PART_COUNT
 * @return 0 or CAROB_ENOMEM
 */
int carob_part_format(carob_buf_t *out, const carob_manifest_t *manifest,
		      size_t part);

/**
 * Assembles a manifest from the texts of all its parts.
 *
 * @param out receives the manifest; release it with `carob_manifest_free`
 * @param index the index that refers to the parts
 * @param parts the texts of the parts
 * @return 0, CAROB_EMISMATCH if the manifest does not have the hash in the
 *         index, or as `carob_manifest_parse`
 */
int carob_parts_join(carob_manifest_t **out, const carob_index_t *index,
		     const carob_buf_t parts[CAROB_PART_COUNT]);

#endif
