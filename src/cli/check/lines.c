#include "check_priv.h"

#include <stdlib.h>
#include <string.h>

/* A walk over a valid JSON text that keeps the path of the current member. */
typedef struct walk {
	const char *cursor;
	const char *end;
	unsigned int line;
	carob_buf_t path;
	check_finding_t *findings; /* of the document, sorted by `where` */
	size_t count;
} walk_t;

static int compare_where(const void *left, const void *right)
{
	return strcmp(((const check_finding_t *)left)->where,
		      ((const check_finding_t *)right)->where);
}

static int compare_document(const void *left, const void *right)
{
	const check_finding_t *a = left;
	const check_finding_t *b = right;

	return (int)a->document - (int)b->document;
}

/* Sets the line of the findings with the current path. */
static void mark_line(walk_t *walk)
{
	check_finding_t key = {.where = walk->path.ptr};
	check_finding_t *found = NULL;
	check_finding_t *finding;

	if (walk->count)
		found = bsearch(&key, walk->findings, walk->count, sizeof(key),
				compare_where);
	if (!found)
		return;
	while (found > walk->findings && compare_where(found - 1, &key) == 0)
		found--;
	for (finding = found; finding < walk->findings + walk->count &&
			      compare_where(finding, &key) == 0;
	     finding++)
		if (!finding->line)
			finding->line = walk->line;
}

/* Returns the next character that is no white space; 0 at the end. */
static char skip_space(walk_t *walk)
{
	for (; walk->cursor < walk->end; walk->cursor++) {
		if (*walk->cursor == '\n')
			walk->line++;
		else if (!strchr(" \t\r", *walk->cursor))
			return *walk->cursor;
	}
	return 0;
}

/* Skips a string and returns what is between its quotes, still escaped. */
static carob_str_t skip_string(walk_t *walk)
{
	const char *begin = ++walk->cursor;

	while (walk->cursor < walk->end && *walk->cursor != '"')
		walk->cursor += *walk->cursor == '\\' ? 2 : 1;
	if (walk->cursor > walk->end)
		walk->cursor = walk->end;
	walk->cursor++;
	return (carob_str_t){begin, (size_t)(walk->cursor - 1 - begin)};
}

static void skip_scalar(walk_t *walk)
{
	while (walk->cursor < walk->end && !strchr(",]} \t\r\n", *walk->cursor))
		walk->cursor++;
}

static void walk_value(walk_t *walk);

/* Walks over one member of an object or list; `index` counts elements. */
static void walk_member(walk_t *walk, bool in_list, size_t index)
{
	size_t len = walk->path.len;
	carob_str_t key;
	int error;

	if (in_list) {
		error = carob_buf_printf(&walk->path, "[%zu]", index);
		mark_line(walk);
	} else {
		key = skip_string(walk);
		error = carob_buf_printf(&walk->path, "%s%.*s", len ? "." : "",
					 (int)key.len, key.ptr);
		mark_line(walk);
		(void)skip_space(walk);
		walk->cursor++; /* the colon */
	}
	if (!error)
		walk_value(walk);
	else
		walk->cursor = walk->end;
	walk->path.len = len;
	walk->path.ptr[len] = '\0';
}

/* The parser limits the depth of what it accepts, so that recursion is
 * bounded. */
static void walk_value(walk_t *walk)
{
	char open = skip_space(walk);
	char next;

	if (open == '"') {
		(void)skip_string(walk);
		return;
	}
	if (open != '{' && open != '[') {
		skip_scalar(walk);
		return;
	}
	walk->cursor++;
	next = skip_space(walk);
	for (size_t i = 0; next && next != '}' && next != ']'; i++) {
		walk_member(walk, open == '[', i);
		next = skip_space(walk);
		if (next == ',') {
			walk->cursor++;
			next = skip_space(walk);
		}
	}
	walk->cursor++;
}

static void walk_text(check_finding_t *findings, size_t count, carob_str_t text)
{
	walk_t walk = {.cursor = text.ptr,
		       .end = text.ptr + text.len,
		       .line = 1,
		       .findings = findings,
		       .count = count};

	qsort(findings, count, sizeof(*findings), compare_where);
	if (carob_buf_printf(&walk.path, "%s", "") == 0) {
		(void)skip_space(&walk);
		mark_line(&walk);
		walk_value(&walk);
	}
	carob_buf_dispose(&walk.path);
}

/* Shortens the path of a finding to the object that it is in. */
static void widen(check_finding_t *finding)
{
	char *dot = strrchr(finding->where, '.');

	if (!finding->line)
		*(dot ? dot : finding->where) = '\0';
}

void check_find_lines(check_report_t *report, check_document_t document,
		      carob_str_t text)
{
	size_t begin = 0;
	size_t end;

	if (report->no_memory || !report->count)
		return;
	qsort(report->items, report->count, sizeof(*report->items),
	      compare_document);
	while (begin < report->count &&
	       report->items[begin].document != document)
		begin++;
	for (end = begin;
	     end < report->count && report->items[end].document == document;
	     end++)
		;
	if (begin == end)
		return;
	walk_text(&report->items[begin], end - begin, text);
	/* A member that is missing has the line of its object. */
	for (size_t i = begin; i < end; i++)
		widen(&report->items[i]);
	walk_text(&report->items[begin], end - begin, text);
}
