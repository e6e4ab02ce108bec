#include "check_priv.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CAP_MIN 16

static const char *const severity_names[] = {"note", "warning", "error"};

const char *check_severity_name(check_severity_t severity)
{
	return severity_names[severity];
}

static bool reserve(check_report_t *report)
{
	size_t cap = report->cap ? 2 * report->cap : CAP_MIN;
	check_finding_t *grown;

	if (report->count < report->cap)
		return true;
	grown = realloc(report->items, cap * sizeof(*grown));
	if (!grown)
		return false;
	report->items = grown;
	report->cap = cap;
	return true;
}

/* Replaces what a terminal may not show; @return `text` */
static char *make_printable(char *text)
{
	for (char *c = text; c && *c; c++)
		if (*c < ' ' || *c > '~')
			*c = '?';
	return text;
}

static char *format_reason(const char *fmt, va_list args)
{
	char *text = NULL;

	if (vasprintf(&text, fmt, args) < 0)
		return NULL;
	return make_printable(text);
}

void check_add(check_report_t *report, check_severity_t severity,
	       const char *path, const char *fmt, ...)
{
	check_finding_t *finding;
	va_list args;

	report->counts[severity]++;
	if (report->count == CHECK_FINDINGS_MAX) {
		report->omitted++;
		return;
	}
	if (!reserve(report)) {
		report->no_memory = true;
		return;
	}
	finding = &report->items[report->count];
	*finding = (check_finding_t){.document = report->document,
				     .severity = severity,
				     .rank = report->rank,
				     .index = report->count,
				     .path = make_printable(strdup(path)),
				     .where = strdup(path)};
	va_start(args, fmt);
	finding->reason = format_reason(fmt, args);
	va_end(args);
	report->count++;
	if (!finding->path || !finding->where || !finding->reason)
		report->no_memory = true;
}

const char *check_describe(char out[CHECK_TEXT_BYTES], const json_t *value)
{
	char *text;

	if (!value || json_is_object(value) || json_is_array(value)) {
		(void)snprintf(out, CHECK_TEXT_BYTES, "%s",
			       !value		      ? "missing"
			       : json_is_array(value) ? "a list"
						      : "an object");
		return out;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII);
	if (!text || strlen(text) < CHECK_TEXT_BYTES)
		(void)snprintf(out, CHECK_TEXT_BYTES, "%s", text ? text : "?");
	else
		(void)snprintf(out, CHECK_TEXT_BYTES, "%.*s...",
			       CHECK_TEXT_BYTES - 4, text);
	free(text);
	return out;
}

/* A finding without a line is about the end of its document, such as settings
 * that the reader of carob-flowd refuses; it follows the others. */
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
		free(report->items[i].where);
		free(report->items[i].reason);
	}
	free(report->items);
	memset(report, 0, sizeof(*report));
}
