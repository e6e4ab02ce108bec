/**
 * @file json_doc.h
 * Reads JSON documents and checks them. Every getter that fails sets the last
 * error to "SOURCE: PATH: VALUE: expected WHAT". Duplicate keys, unknown keys,
 * documents that are too large and documents that are nested too deeply are
 * refused.
 */
#ifndef CAROB_UTIL_JSON_DOC_H
#define CAROB_UTIL_JSON_DOC_H

#include "carobtrail/ids.h"
#include "carobtrail/str.h"

#include <jansson.h>

/** Deepest nesting of arrays and objects that is accepted. */
#define CAROB_JSON_DEPTH_MAX 32

/** Largest settings document, in bytes. */
#define CAROB_JSON_SETTINGS_BYTES_MAX (64 * 1024)

typedef struct carob_json_doc carob_json_doc_t;
typedef struct carob_json_node carob_json_node_t;

/**
 * A value in a document with its path, which error messages name. It is
 * usually on the stack; its parent must stay valid as long as it is used.
 */
struct carob_json_node {
	const carob_json_doc_t *doc;
	const carob_json_node_t *parent; /* NULL for the root */
	const char *key;		 /* NULL for an array's element */
	size_t index;			 /* index of an array's element */
	json_t *value;			 /* borrowed from the document */
};

/**
 * Parses a document.
 *
 * @param out receives it; release it with `carob_json_doc_free`
 * @param source name of the document in error messages, such as its file
 * @param text the document
 * @param max_bytes largest size that is accepted
 * @return 0, CAROB_ELIMIT (size or depth), CAROB_EFORMAT (not JSON),
 *         CAROB_EINVALID (duplicate key) or CAROB_ENOMEM
 */
int carob_json_doc_parse(carob_json_doc_t **out, const char *source,
			 carob_str_t text, size_t max_bytes);

/**
 * Reads and parses a file.
 *
 * @param out receives the document; release it with `carob_json_doc_free`
 * @param path the file
 * @param max_bytes largest size that is accepted
 * @return as `carob_json_doc_parse`, CAROB_ENOTFOUND or CAROB_EIO
 */
int carob_json_doc_load(carob_json_doc_t **out, const char *path,
			size_t max_bytes);

/**
 * Reads a whole file.
 *
 * @param out buffer to which the contents are appended
 * @param path the file; "-" is standard input
 * @param max_bytes largest size that is accepted
 * @return 0, CAROB_ELIMIT, CAROB_ENOTFOUND, CAROB_EIO or CAROB_ENOMEM
 */
int carob_file_read(carob_buf_t *out, const char *path, size_t max_bytes);

/** Releases a document with all values borrowed from it. */
void carob_json_doc_free(carob_json_doc_t *doc);

/** @return the outermost value */
carob_json_node_t carob_json_doc_root(const carob_json_doc_t *doc);

/**
 * Sets the last error for an invalid value.
 *
 * @param node the value
 * @param fmt what was expected, as printf format
 * @return CAROB_EINVALID
 */
int carob_json_expected(const carob_json_node_t *node, const char *fmt, ...)
	CAROB_PRINTF(2, 3);

/**
 * Checks that a value is an object that has only known keys.
 *
 * @param node the value
 * @param keys the known keys
 * @param count number of known keys
 * @return 0 or CAROB_EINVALID
 */
int carob_json_object(const carob_json_node_t *node, const char *const *keys,
		      size_t count);

/** @return whether the object has the key; if so `out` receives the member */
bool carob_json_find(carob_json_node_t *out, const carob_json_node_t *object,
		     const char *key);

/** Gets a member that must exist. @return 0 or CAROB_EINVALID */
int carob_json_get(carob_json_node_t *out, const carob_json_node_t *object,
		   const char *key);

/** Checks for an array of `min` to `max` elements. @return 0 or a code */
int carob_json_array(size_t *count, const carob_json_node_t *node, size_t min,
		     size_t max);

/** @return element `index` of an array that `carob_json_array` accepted */
carob_json_node_t carob_json_at(const carob_json_node_t *array, size_t index);

/** Reads a string of `min` to `max` bytes, borrowed. @return 0 or a code */
int carob_json_str(carob_str_t *out, const carob_json_node_t *node, size_t min,
		   size_t max);

/** Reads a whole number in [min, max]. @return 0 or CAROB_EINVALID */
int carob_json_u64(uint64_t *out, const carob_json_node_t *node, uint64_t min,
		   uint64_t max);

/** Reads true or false. @return 0 or CAROB_EINVALID */
int carob_json_bool(bool *out, const carob_json_node_t *node);

/** Reads an address with port, "127.0.0.1:5683". @return 0 or a code */
int carob_json_addr(carob_addr_t *out, const carob_json_node_t *node);

/** Reads a name: letters, digits, '-', '_', '.'. @return 0 or a code */
int carob_json_name(carob_str_t *out, const carob_json_node_t *node,
		    size_t max);

/** Reads a zone's name. @return 0 or CAROB_EINVALID */
int carob_json_zone(carob_zone_t *out, const carob_json_node_t *node);

/** Reads a string that must be one of `names`. @return 0 or a code */
int carob_json_choice(size_t *out, const carob_json_node_t *node,
		      const char *const *names, size_t count);

/** `carob_json_get`, then `carob_json_str`. */
int carob_json_get_str(carob_str_t *out, const carob_json_node_t *object,
		       const char *key, size_t min, size_t max);

/** `carob_json_get`, then `carob_json_u64`. */
int carob_json_get_u64(uint64_t *out, const carob_json_node_t *object,
		       const char *key, uint64_t min, uint64_t max);

/** `carob_json_get`, then `carob_json_bool`. */
int carob_json_get_bool(bool *out, const carob_json_node_t *object,
			const char *key);

/** `carob_json_get`, then `carob_json_addr`. */
int carob_json_get_addr(carob_addr_t *out, const carob_json_node_t *object,
			const char *key);

/** Reads a whole number, or `fallback` if there is no such key. */
int carob_json_get_u64_or(uint64_t *out, const carob_json_node_t *object,
			  const char *key, uint64_t min, uint64_t max,
			  uint64_t fallback);

/** Reads a number, integer or not, or `fallback` if there is no such key. */
int carob_json_get_real_or(double *out, const carob_json_node_t *object,
			   const char *key, double min, double max,
			   double fallback);

/** Reads true or false, or `fallback` if there is no such key. */
int carob_json_get_bool_or(bool *out, const carob_json_node_t *object,
			   const char *key, bool fallback);

#endif
