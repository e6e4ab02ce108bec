#include "check_priv.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *check_severity_name(check_severity_t severity)
{
	static const char *const names[] = {"note", "warning", "error"};

	return names[severity];
}

check_place_t check_element(const check_place_t *place, const char *list,
			    size_t index)
{
	check_place_t element = {
		.value = json_array_get(json_object_get(place->value, list),
					index)};

	(void)snprintf(element.path, sizeof(element.path), "%.100s%s%s[%zu]",
		       place->path, *place->path ? "." : "", list, index);
	return element;
}

const char *check_describe(char out[CHECK_TEXT_BYTES], const json_t *value)
{
	const char *kind = json_is_array(value)	   ? "a list"
			   : json_is_object(value) ? "an object"
						   : "missing";
	char *text = NULL;
	bool cut;

	if (value && !json_is_array(value) && !json_is_object(value))
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII);
	cut = text && strlen(text) >= CHECK_TEXT_BYTES;
	(void)snprintf(out, CHECK_TEXT_BYTES, "%.*s%s", CHECK_TEXT_BYTES - 4,
		       text ? text : kind, cut ? "..." : "");
	free(text);
	return out;
}

/* The line of a member that is missing is that of its object. */
static unsigned int find_line(const json_t *lines, const char *path)
{
	char at[CHECK_PATH_BYTES];
	const json_t *line;

	(void)snprintf(at, sizeof(at), "%s", path);
	for (;;) {
		char *dot = strrchr(at, '.');

		line = json_object_get(lines, at);
		if (line || !*at)
			return (unsigned int)json_integer_value(line);
		*(dot ? dot : at) = '\0';
	}
}

/* Replaces what a terminal may not show; @return `text` */
static char *make_printable(char *text)
{
	for (char *c = text; c && *c; c++)
		if (*c < ' ' || *c > '~')
			*c = '?';
	return text;
}

/* @return room for one more finding, or NULL */
static check_finding_t *reserve(check_report_t *report)
{
	size_t cap = report->cap ? 2 * report->cap : 16;
	check_finding_t *grown;

	if (report->count == report->cap) {
		grown = realloc(report->items, cap * sizeof(*grown));
		if (!grown)
			return NULL;
		report->items = grown;
		report->cap = cap;
	}
	return &report->items[report->count++];
}

void check_add(check_report_t *report, check_severity_t severity,
	       const check_place_t *place, const char *name, const char *fmt,
	       ...)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t path = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t reason = CAROB_BUF_INIT;
	char text[CHECK_TEXT_BYTES];
	check_finding_t *finding;
	char *rest = NULL;
	va_list args;
	int error;

	if (report->counts[severity]++ >= CHECK_FINDINGS_MAX) {
		report->omitted++;
		return;
	}
	va_start(args, fmt);
	error = vasprintf(&rest, fmt, args) < 0;
	if (error)
		rest = NULL; /* not defined on failure */
	va_end(args);
	if (!error)
		error = carob_buf_printf(&path, "%s%s%s", place->path,
					 *place->path && name ? "." : "",
					 name ? name : "");
	if (name)
		check_describe(text, json_object_get(place->value, name));
	if (!error)
		error = carob_buf_printf(&reason, "%s%s%s", name ? text : "",
					 name ? ": " : "", rest);
	free(rest);
	finding = error ? NULL : reserve(report);
	if (!finding) {
		report->no_memory = true;
		return;
	}
	*finding = (check_finding_t){
		.document = report->document,
		.severity = severity,
		.line = find_line(report->lines, path.ptr),
		.rank = report->rank,
		.index = report->count,
		.path = make_printable(path.ptr),
		.reason = make_printable(reason.ptr),
	};
	path = reason = (carob_buf_t)CAROB_BUF_INIT;
}

/* Findings without a line are the last of their document. */
static int compare(const void *left, const void *right)
{
	const check_finding_t *a = left;
	const check_finding_t *b = right;

	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	if (a->document != b->document)
		return a->document < b->document ? -1 : 1;
	if (a->line != b->line)
		return a->line - 1 < b->line - 1 ? -1 : 1;
	return a->index < b->index ? -1 : a->index > b->index;
}

void check_report_sort(check_report_t *report)
{
	if (report->count)
		qsort(report->items, report->count, sizeof(*report->items),
		      compare);
}

int check_report_status(const check_report_t *report)
{
	if (report->counts[CHECK_ERROR])
		return 2;
	return report->counts[CHECK_WARNING] ? 1 : 0;
}

void check_report_dispose(check_report_t *report)
{
	for (size_t i = 0; i < report->count; i++) {
		free(report->items[i].path);
		free(report->items[i].reason);
	}
	free(report->items);
	memset(report, 0, sizeof(*report));
}
