#include "check_priv.h"

#include <stdlib.h>
#include <string.h>

/* The deepest value with a path of interest, the weight of a share, is at
 * level 6. Deeper ones and long paths are left out to bound the memory. */
#define LEVEL_MAX 6

/* A walk over a valid JSON text that keeps the path of the current value. */
typedef struct walk {
	const char *cursor;
	const char *end;
	unsigned int line;
	size_t level;
	size_t deepest;
	carob_buf_t path;
	json_t *lines;
} walk_t;

static void mark_line(walk_t *walk)
{
	if (walk->level <= LEVEL_MAX && walk->path.len < CHECK_PATH_BYTES)
		(void)json_object_set_new(walk->lines, walk->path.ptr,
					  json_integer(walk->line));
}

/* @return the next character that is no white space; 0 at the end */
static char skip_space(walk_t *walk)
{
	for (; walk->cursor < walk->end; walk->cursor++) {
		if (!strchr(" \t\r\n", *walk->cursor))
			return *walk->cursor;
		walk->line += *walk->cursor == '\n';
	}
	return 0;
}

/* Skips a string or another scalar.
 * @return what is between the quotes of a string, still escaped */
static carob_str_t skip_scalar(walk_t *walk)
{
	const char *begin = walk->cursor + 1;

	if (*walk->cursor != '"') {
		walk->cursor += strcspn(walk->cursor, ",]} \t\r\n");
		return (carob_str_t){begin, 0};
	}
	for (walk->cursor++; *walk->cursor != '"'; walk->cursor++)
		walk->cursor += *walk->cursor == '\\';
	return (carob_str_t){begin, (size_t)(walk->cursor++ - begin)};
}

static void walk_value(walk_t *walk);

/* Walks over member `index` of a list or an object. */
static int walk_member(walk_t *walk, bool in_list, size_t index)
{
	size_t len = walk->path.len;
	carob_str_t key;
	int error;

	if (in_list) {
		error = carob_buf_printf(&walk->path, "[%zu]", index);
	} else {
		key = skip_scalar(walk);
		error = carob_buf_printf(&walk->path, "%s%.*s", len ? "." : "",
					 (int)key.len, key.ptr);
	}
	if (error)
		return error;
	mark_line(walk);
	if (!in_list) {
		(void)skip_space(walk);
		walk->cursor++; /* the colon */
	}
	walk_value(walk);
	walk->path.len = len;
	walk->path.ptr[len] = '\0';
	return 0;
}

/* The parser of the document has bounded the depth of the recursion. */
static void walk_value(walk_t *walk)
{
	char open = skip_space(walk);
	char next;

	if (walk->level > walk->deepest)
		walk->deepest = walk->level;
	if (open != '{' && open != '[') {
		(void)skip_scalar(walk);
		return;
	}
	walk->cursor++;
	walk->level++;
	next = skip_space(walk);
	for (size_t i = 0; next && next != '}' && next != ']'; i++) {
		if (walk_member(walk, open == '[', i) != 0)
			walk->cursor = walk->end;
		next = skip_space(walk);
		if (next == ',') {
			walk->cursor++;
			next = skip_space(walk);
		}
	}
	walk->level--;
	walk->cursor += next != 0;
}

json_t *check_find_lines(size_t *depth, carob_str_t text)
{
	walk_t walk = {.cursor = text.ptr,
		       .end = text.ptr + text.len,
		       .line = 1,
		       .level = 1,
		       .lines = json_object()};

	*depth = 0;
	if (!walk.lines || carob_buf_printf(&walk.path, "%s", "") != 0)
		return walk.lines;
	(void)skip_space(&walk);
	mark_line(&walk);
	walk_value(&walk);
	carob_buf_dispose(&walk.path);
	*depth = walk.deepest;
	return walk.lines;
}
