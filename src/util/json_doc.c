#include "util/json_doc.h"

#include "carobtrail/errors.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_TEXT_MAX	  200
#define VALUE_TEXT_MAX	  80
#define EXPECTED_TEXT_MAX 200
#define READ_CHUNK_BYTES  16384

struct carob_json_doc {
	json_t *root;
	char source[];
};

/* Checks the nesting before parsing, since the parser is recursive. */
static int check_depth(const char *source, carob_str_t text)
{
	bool in_string = false;
	size_t depth = 0;

	for (size_t i = 0; i < text.len; i++) {
		char c = text.ptr[i];

		if (in_string) {
			if (c == '\\')
				i++;
			else if (c == '"')
				in_string = false;
			continue;
		}
		if (c == '"')
			in_string = true;
		else if (c == '[' || c == '{')
			depth++;
		else if ((c == ']' || c == '}') && depth > 0)
			depth--;
		if (depth > CAROB_JSON_DEPTH_MAX)
			return carob_error_set(CAROB_ELIMIT,
					       "%s: byte %zu: nesting deeper "
					       "than %d: expected at most %d",
					       source, i, CAROB_JSON_DEPTH_MAX,
					       CAROB_JSON_DEPTH_MAX);
	}
	return 0;
}

static int report_parse_error(const char *source, const json_error_t *error)
{
	int code = json_error_code(error) == json_error_duplicate_key
			   ? CAROB_EINVALID
			   : CAROB_EFORMAT;

	return carob_error_set(code,
			       "%s: line %d, column %d: %s: expected a valid "
			       "JSON document",
			       source, error->line, error->column, error->text);
}

int carob_json_doc_parse(carob_json_doc_t **out, const char *source,
			 carob_str_t text, size_t max_bytes)
{
	size_t source_size = strlen(source) + 1;
	carob_json_doc_t *doc;
	json_error_t error;
	int result;

	if (text.len > max_bytes)
		return carob_error_set(CAROB_ELIMIT,
				       "%s: %zu bytes: expected at most %zu",
				       source, text.len, max_bytes);
	result = check_depth(source, text);
	if (result != 0)
		return result;
	doc = malloc(sizeof(*doc) + source_size);
	if (!doc)
		return carob_error_set(CAROB_ENOMEM,
				       "%s: cannot allocate document", source);
	memcpy(doc->source, source, source_size);
	doc->root =
		json_loadb(text.ptr, text.len, JSON_REJECT_DUPLICATES, &error);
	if (!doc->root) {
		free(doc);
		return report_parse_error(source, &error);
	}
	*out = doc;
	return 0;
}

static int read_stream(carob_buf_t *out, FILE *file, const char *path,
		       size_t max_bytes)
{
	char chunk[READ_CHUNK_BYTES];
	size_t total = 0;
	size_t n;
	int result;

	while ((n = fread(chunk, 1, sizeof(chunk), file)) > 0) {
		total += n;
		if (total > max_bytes)
			return carob_error_set(CAROB_ELIMIT,
					       "%s: file too large: expected "
					       "at most %zu bytes",
					       path, max_bytes);
		result = carob_buf_append(out, chunk, n);
		if (result != 0)
			return result;
	}
	if (ferror(file))
		return carob_error_set(CAROB_EIO, "%s: read error", path);
	return 0;
}

int carob_file_read(carob_buf_t *out, const char *path, size_t max_bytes)
{
	bool standard_input = strcmp(path, "-") == 0;
	FILE *file = standard_input ? stdin : fopen(path, "rb");
	int result;

	if (!file)
		return carob_error_set(errno == ENOENT ? CAROB_ENOTFOUND
						       : CAROB_EIO,
				       "%s: %s: expected a readable file", path,
				       strerror(errno));
	result = read_stream(out, file, path, max_bytes);
	if (!standard_input)
		(void)fclose(file);
	return result;
}

int carob_json_doc_load(carob_json_doc_t **out, const char *path,
			size_t max_bytes)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	int result = carob_file_read(&text, path, max_bytes);

	if (result != 0)
		return result;
	return carob_json_doc_parse(out, path, carob_buf_view(&text),
				    max_bytes);
}

void carob_json_doc_free(carob_json_doc_t *doc)
{
	if (!doc)
		return;
	json_decref(doc->root);
	free(doc);
}

carob_json_node_t carob_json_doc_root(const carob_json_doc_t *doc)
{
	return (carob_json_node_t){.doc = doc, .value = doc->root};
}

/* Formats the path from the root, such as "services[2].upstreams[0].addr". */
static size_t format_path(char *out, size_t cap, const carob_json_node_t *node)
{
	size_t len = 0;
	int n;

	if (!node->parent)
		return 0;
	len = format_path(out, cap, node->parent);
	if (len >= cap - 1)
		return len;
	if (node->key)
		n = snprintf(out + len, cap - len, "%s%s", len ? "." : "",
			     node->key);
	else
		n = snprintf(out + len, cap - len, "[%zu]", node->index);
	if (n < 0)
		return len;
	len += (size_t)n;
	return len < cap ? len : cap - 1;
}

static void format_value(char *out, size_t cap, const json_t *value)
{
	char *text;

	if (json_is_object(value)) {
		(void)snprintf(out, cap, "an object");
		return;
	}
	if (json_is_array(value)) {
		(void)snprintf(out, cap, "an array of %zu",
			       json_array_size(value));
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII);
	if (text && strlen(text) >= cap)
		(void)snprintf(out, cap, "%.*s...", (int)cap - 4, text);
	else
		(void)snprintf(out, cap, "%s", text ? text : "?");
	free(text);
}

static int report_invalid(const carob_json_node_t *node, const char *value,
			  const char *expected)
{
	char path[PATH_TEXT_MAX] = "";

	(void)format_path(path, sizeof(path), node);
	(void)carob_error_set(CAROB_EINVALID, "%s: %s: %s: expected %s",
			      node->doc->source, path[0] ? path : "document",
			      value, expected);
	return CAROB_EINVALID;
}

int carob_json_expected(const carob_json_node_t *node, const char *fmt, ...)
{
	char expected[EXPECTED_TEXT_MAX];
	char value[VALUE_TEXT_MAX];
	va_list args;

	va_start(args, fmt);
	(void)vsnprintf(expected, sizeof(expected), fmt, args);
	va_end(args);
	format_value(value, sizeof(value), node->value);
	return report_invalid(node, value, expected);
}

static bool is_listed(const char *key, const char *const *keys, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (strcmp(key, keys[i]) == 0)
			return true;
	return false;
}

static void join_names(char *out, size_t cap, const char *const *names,
		       size_t count)
{
	size_t len = 0;

	out[0] = '\0';
	for (size_t i = 0; i < count && len < cap; i++) {
		int n = snprintf(out + len, cap - len, "%s%s", i ? ", " : "",
				 names[i]);

		len += n > 0 ? (size_t)n : 0;
	}
}

int carob_json_object(const carob_json_node_t *node, const char *const *keys,
		      size_t count)
{
	const char *key;
	json_t *value;

	if (!json_is_object(node->value))
		return carob_json_expected(node, "an object");
	json_object_foreach (node->value, key, value) {
		carob_json_node_t member = {node->doc, node, key, 0, value};
		char known[EXPECTED_TEXT_MAX - 16];

		if (is_listed(key, keys, count))
			continue;
		join_names(known, sizeof(known), keys, count);
		return carob_json_expected(&member, "one of the keys %s",
					   known);
	}
	return 0;
}

bool carob_json_find(carob_json_node_t *out, const carob_json_node_t *object,
		     const char *key)
{
	json_t *value = json_object_get(object->value, key);

	*out = (carob_json_node_t){object->doc, object, key, 0, value};
	return value != NULL;
}

int carob_json_get(carob_json_node_t *out, const carob_json_node_t *object,
		   const char *key)
{
	carob_json_node_t missing = {object->doc, object, key, 0, NULL};

	if (carob_json_find(out, object, key))
		return 0;
	return report_invalid(&missing, "nothing", "a value of this key");
}

int carob_json_array(size_t *count, const carob_json_node_t *node, size_t min,
		     size_t max)
{
	size_t n = json_array_size(node->value);

	if (!json_is_array(node->value) || n < min || n > max)
		return carob_json_expected(
			node, "an array of %zu to %zu elements", min, max);
	*count = n;
	return 0;
}

carob_json_node_t carob_json_at(const carob_json_node_t *array, size_t index)
{
	return (carob_json_node_t){array->doc, array, NULL, index,
				   json_array_get(array->value, index)};
}

int carob_json_str(carob_str_t *out, const carob_json_node_t *node, size_t min,
		   size_t max)
{
	size_t len = json_string_length(node->value);

	if (!json_is_string(node->value) || len < min || len > max)
		return carob_json_expected(node, "a string of %zu to %zu bytes",
					   min, max);
	*out = (carob_str_t){json_string_value(node->value), len};
	return 0;
}

int carob_json_u64(uint64_t *out, const carob_json_node_t *node, uint64_t min,
		   uint64_t max)
{
	json_int_t n = json_integer_value(node->value);

	if (!json_is_integer(node->value) || n < 0 || (uint64_t)n < min ||
	    (uint64_t)n > max)
		return carob_json_expected(node,
					   "a whole number from %llu to %llu",
					   (unsigned long long)min,
					   (unsigned long long)max);
	*out = (uint64_t)n;
	return 0;
}

int carob_json_bool(bool *out, const carob_json_node_t *node)
{
	if (!json_is_boolean(node->value))
		return carob_json_expected(node, "true or false");
	*out = json_is_true(node->value);
	return 0;
}

int carob_json_addr(carob_addr_t *out, const carob_json_node_t *node)
{
	carob_str_t text = CAROB_STR("");

	if (carob_json_str(&text, node, 1, CAROB_ADDR_TEXT_MAX - 1) != 0 ||
	    carob_addr_parse(out, text) != 0)
		return carob_json_expected(
			node, "an IP address with port, as in 127.0.0.1:5683");
	return 0;
}

static bool is_name(carob_str_t text)
{
	for (size_t i = 0; i < text.len; i++) {
		char c = text.ptr[i];

		if (!(c >= 'a' && c <= 'z') && !(c >= 'A' && c <= 'Z') &&
		    !(c >= '0' && c <= '9') && c != '-' && c != '_' && c != '.')
			return false;
	}
	return true;
}

int carob_json_name(carob_str_t *out, const carob_json_node_t *node, size_t max)
{
	carob_str_t text = CAROB_STR("");

	if (carob_json_str(&text, node, 1, max) != 0 || !is_name(text))
		return carob_json_expected(node,
					   "a name of 1 to %zu letters, "
					   "digits, '-', '_' or '.'",
					   max);
	*out = text;
	return 0;
}

int carob_json_zone(carob_zone_t *out, const carob_json_node_t *node)
{
	carob_str_t name = CAROB_STR("");
	int result = carob_json_name(&name, node, CAROB_ZONE_NAME_MAX);

	if (result != 0)
		return result;
	memset(out, 0, sizeof(*out));
	memcpy(out->name, name.ptr, name.len);
	return 0;
}

int carob_json_choice(size_t *out, const carob_json_node_t *node,
		      const char *const *names, size_t count)
{
	char known[EXPECTED_TEXT_MAX - 16];

	for (size_t i = 0; json_is_string(node->value) && i < count; i++) {
		if (strcmp(json_string_value(node->value), names[i]) != 0)
			continue;
		*out = i;
		return 0;
	}
	join_names(known, sizeof(known), names, count);
	return carob_json_expected(node, "one of %s", known);
}

int carob_json_get_str(carob_str_t *out, const carob_json_node_t *object,
		       const char *key, size_t min, size_t max)
{
	carob_json_node_t node;
	int result = carob_json_get(&node, object, key);

	return result != 0 ? result : carob_json_str(out, &node, min, max);
}

int carob_json_get_u64(uint64_t *out, const carob_json_node_t *object,
		       const char *key, uint64_t min, uint64_t max)
{
	carob_json_node_t node;
	int result = carob_json_get(&node, object, key);

	return result != 0 ? result : carob_json_u64(out, &node, min, max);
}

int carob_json_get_bool(bool *out, const carob_json_node_t *object,
			const char *key)
{
	carob_json_node_t node;
	int result = carob_json_get(&node, object, key);

	return result != 0 ? result : carob_json_bool(out, &node);
}

int carob_json_get_addr(carob_addr_t *out, const carob_json_node_t *object,
			const char *key)
{
	carob_json_node_t node;
	int result = carob_json_get(&node, object, key);

	return result != 0 ? result : carob_json_addr(out, &node);
}

int carob_json_get_u64_or(uint64_t *out, const carob_json_node_t *object,
			  const char *key, uint64_t min, uint64_t max,
			  uint64_t fallback)
{
	carob_json_node_t node;

	*out = fallback;
	if (!carob_json_find(&node, object, key))
		return 0;
	return carob_json_u64(out, &node, min, max);
}

int carob_json_get_real_or(double *out, const carob_json_node_t *object,
			   const char *key, double min, double max,
			   double fallback)
{
	carob_json_node_t node;
	double value;

	*out = fallback;
	if (!carob_json_find(&node, object, key))
		return 0;
	value = json_number_value(node.value);
	if (!json_is_number(node.value) || value < min || value > max)
		return carob_json_expected(&node, "a number from %g to %g", min,
					   max);
	*out = value;
	return 0;
}

int carob_json_get_bool_or(bool *out, const carob_json_node_t *object,
			   const char *key, bool fallback)
{
	carob_json_node_t node;

	*out = fallback;
	if (!carob_json_find(&node, object, key))
		return 0;
	return carob_json_bool(out, &node);
}
