#include "emulator/ledger/record.h"

#include "carobtrail/errors.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define RID_BASE 16

static const char *const result_names[] = {"none", "answered", "cancelled",
					   "not-run", "unknown"};
static const char *const end_names[] = {"done", "cancelled", "shed", "open"};

void carob_record_name(carob_record_name_t out, carob_str_t name)
{
	size_t len = name.len;

	if (len > CAROB_RECORD_NAME_MAX)
		len = CAROB_RECORD_NAME_MAX;
	memset(out, 0, sizeof(carob_record_name_t));
	if (len)
		memcpy(out, name.ptr, len);
}

static int check_write(int written)
{
	if (written < 0)
		return carob_error_set(CAROB_EIO, "cannot write to ledger: %s",
				       strerror(errno));
	return 0;
}

static const char *json_bool(bool value)
{
	return value ? "true" : "false";
}

static int write_feed(FILE *file, const carob_feed_record_t *feed)
{
	return check_write(fprintf(
		file,
		",\"feed\":{\"longest_gap_us\":%" PRIu64
		",\"notifications\":%u,\"regressions\":%u"
		",\"wrong_content\":%u,\"ended_without_reason\":%s}",
		feed->longest_gap_us, feed->notifications, feed->regressions,
		feed->wrong_content, json_bool(feed->ended_without_reason)));
}

int carob_call_record_write(FILE *file, const carob_call_record_t *record)
{
	int error = check_write(fprintf(
		file,
		"{\"kind\":\"call\",\"rid\":\"%016" PRIx64
		"\",\"service\":\"%s\",\"idempotent\":%s,\"cancelled\":%s"
		",\"result\":\"%s\",\"sent_us\":%" PRIu64
		",\"final_us\":%" PRIu64 ",\"deadline_us\":%" PRIu64
		",\"answer_rid\":\"%016" PRIx64 "\",\"answer_service\":\"%s\"",
		record->rid, record->service, json_bool(record->idempotent),
		json_bool(record->cancelled), result_names[record->result],
		record->sent_us, record->final_us, record->deadline_us,
		record->answer_rid, record->answer_service));

	if (!error && record->is_feed)
		error = write_feed(file, &record->feed);
	if (!error)
		error = check_write(fputs("}\n", file));
	return error;
}

int carob_run_record_write(FILE *file, const carob_run_record_t *record)
{
	return check_write(fprintf(
		file,
		"{\"kind\":\"run\",\"rid\":\"%016" PRIx64
		"\",\"upstream\":\"%s\",\"service\":\"%s\",\"end\":\"%s\""
		",\"start_us\":%" PRIu64 ",\"end_us\":%" PRIu64
		",\"worked_after_cancel\":%s}\n",
		record->rid, record->upstream, record->service,
		end_names[record->end], record->start_us, record->end_us,
		json_bool(record->worked_after_cancel)));
}

/* A line of a ledger. */
typedef struct line {
	json_t *object;
	const char *bad_key; /* last member found missing or wrong, or NULL */
} line_t;

static json_t *get_member(line_t *line, const char *key, json_type type)
{
	json_t *value = json_object_get(line->object, key);

	if (!value || json_typeof(value) != type) {
		line->bad_key = key;
		return NULL;
	}
	return value;
}

static uint64_t get_uint(line_t *line, const char *key)
{
	json_t *value = get_member(line, key, JSON_INTEGER);

	if (value && json_integer_value(value) < 0)
		line->bad_key = key;
	return value ? (uint64_t)json_integer_value(value) : 0;
}

static bool get_bool(line_t *line, const char *key)
{
	json_t *value = json_object_get(line->object, key);

	if (!json_is_boolean(value))
		line->bad_key = key;
	return json_is_true(value);
}

static void get_name(carob_record_name_t out, line_t *line, const char *key)
{
	json_t *value = get_member(line, key, JSON_STRING);

	carob_record_name(out, carob_str_from(json_string_value(value)));
}

static uint64_t get_rid(line_t *line, const char *key)
{
	const char *text =
		json_string_value(get_member(line, key, JSON_STRING));
	char *end = NULL;
	uint64_t rid;

	if (!text)
		return 0;
	rid = strtoull(text, &end, RID_BASE);
	if (*text == '\0' || *end != '\0')
		line->bad_key = key;
	return rid;
}

static unsigned int get_choice(line_t *line, const char *key,
			       const char *const *names, unsigned int count)
{
	const char *text =
		json_string_value(get_member(line, key, JSON_STRING));

	for (unsigned int i = 0; text && i < count; i++)
		if (strcmp(text, names[i]) == 0)
			return i;
	line->bad_key = key;
	return 0;
}

static void read_feed(carob_feed_record_t *out, line_t *line)
{
	line_t feed = {json_object_get(line->object, "feed"), NULL};

	out->longest_gap_us = get_uint(&feed, "longest_gap_us");
	out->notifications = (uint32_t)get_uint(&feed, "notifications");
	out->regressions = (uint32_t)get_uint(&feed, "regressions");
	out->wrong_content = (uint32_t)get_uint(&feed, "wrong_content");
	out->ended_without_reason = get_bool(&feed, "ended_without_reason");
	if (feed.bad_key)
		line->bad_key = feed.bad_key;
}

static int read_call(line_t *line, carob_record_reader_t *reader)
{
	carob_call_record_t record = {0};

	record.rid = get_rid(line, "rid");
	get_name(record.service, line, "service");
	record.idempotent = get_bool(line, "idempotent");
	record.cancelled = get_bool(line, "cancelled");
	record.result = (carob_call_result_t)get_choice(
		line, "result", result_names, CAROB_ARRAY_SIZE(result_names));
	record.sent_us = get_uint(line, "sent_us");
	record.final_us = get_uint(line, "final_us");
	record.deadline_us = get_uint(line, "deadline_us");
	record.answer_rid = get_rid(line, "answer_rid");
	get_name(record.answer_service, line, "answer_service");
	record.is_feed = json_object_get(line->object, "feed") != NULL;
	if (record.is_feed)
		read_feed(&record.feed, line);
	if (line->bad_key || !reader->call)
		return 0;
	return reader->call(reader, &record);
}

static int read_run(line_t *line, carob_record_reader_t *reader)
{
	carob_run_record_t record = {0};

	record.rid = get_rid(line, "rid");
	get_name(record.upstream, line, "upstream");
	get_name(record.service, line, "service");
	record.end = (carob_run_end_t)get_choice(line, "end", end_names,
						 CAROB_ARRAY_SIZE(end_names));
	record.start_us = get_uint(line, "start_us");
	record.end_us = get_uint(line, "end_us");
	record.worked_after_cancel = get_bool(line, "worked_after_cancel");
	if (line->bad_key || !reader->run)
		return 0;
	return reader->run(reader, &record);
}

static int read_line(const char *path, size_t number, const char *text,
		     carob_record_reader_t *reader)
{
	line_t line = {json_loads(text, 0, NULL), NULL};
	const char *kind =
		json_string_value(json_object_get(line.object, "kind"));
	int error = 0;

	if (kind && strcmp(kind, "call") == 0)
		error = read_call(&line, reader);
	else if (kind && strcmp(kind, "run") == 0)
		error = read_run(&line, reader);
	else
		line.bad_key = "kind";
	json_decref(line.object);
	if (line.bad_key)
		return carob_error_set(CAROB_EFORMAT,
				       "%s:%zu: record has no valid \"%s\"",
				       path, number, line.bad_key);
	return error;
}

int carob_records_read(const char *path, carob_record_reader_t *reader)
{
	FILE *file = fopen(path, "r");
	char *text = NULL;
	size_t cap = 0;
	size_t number = 0;
	ssize_t len;
	int error = 0;

	if (!file)
		return carob_error_set(CAROB_ENOTFOUND,
				       "cannot open ledger %s: %s", path,
				       strerror(errno));
	while (!error && (len = getline(&text, &cap, file)) > 0) {
		if (text[len - 1] != '\n')
			break;
		error = read_line(path, ++number, text, reader);
	}
	free(text);
	fclose(file);
	return error;
}
