#include "carobtrail/log.h"

#include <inttypes.h>
#include <stdio.h>
#include <unistd.h>

static const carob_log_event_info_t catalogue[] = {
#define X(name, number, level, text) {number, #name, CAROB_LOG_##level, text},
	CAROB_LOG_EVENTS(X)
#undef X
};

static const char *const level_names[] = {"debug", "info", "warn", "error"};

static struct {
	const char *program;
	const carob_clock_t *clock;
	carob_log_level_t level;
	carob_log_sink_t *sink;
} config;

void carob_log_configure(const char *program, const carob_clock_t *clock,
			 carob_log_level_t level, carob_log_sink_t *sink)
{
	config.program = program;
	config.clock = clock;
	config.level = level;
	config.sink = sink;
}

const carob_log_event_info_t *carob_log_catalogue(size_t *count)
{
	*count = CAROB_ARRAY_SIZE(catalogue);
	return catalogue;
}

const char *carob_log_level_name(carob_log_level_t level)
{
	return level_names[level];
}

static const carob_log_event_info_t *find_event(carob_log_event_t event)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(catalogue); i++)
		if (catalogue[i].number == (int)event)
			return &catalogue[i];
	return NULL;
}

static void append_json_string(carob_buf_t *line, carob_str_t value)
{
	carob_buf_append(line, "\"", 1);
	for (size_t i = 0; i < value.len; i++) {
		unsigned char c = (unsigned char)value.ptr[i];

		if (c == '"' || c == '\\')
			carob_buf_printf(line, "\\%c", c);
		else if (c < 0x20 || c >= 0x7f)
			carob_buf_printf(line, "\\u%04x", c);
		else
			carob_buf_append(line, &value.ptr[i], 1);
	}
	carob_buf_append(line, "\"", 1);
}

static void append_field(carob_buf_t *line, const carob_log_field_t *field)
{
	carob_buf_printf(line, ",\"%s\":", field->name);
	switch (field->kind) {
	case CAROB_LOG_FIELD_STR:
		append_json_string(line, field->str);
		break;
	case CAROB_LOG_FIELD_U64:
		carob_buf_printf(line, "%" PRIu64, field->u64);
		break;
	case CAROB_LOG_FIELD_I64:
		carob_buf_printf(line, "%" PRId64, field->i64);
		break;
	}
}

static void write_line(carob_str_t line)
{
	ssize_t written;

	if (config.sink) {
		config.sink->write(config.sink, line);
		return;
	}
	/* A log that cannot be written must not stop the program. */
	written = write(STDERR_FILENO, line.ptr, line.len);
	(void)written;
}

void carob_log_write(carob_log_event_t event, const carob_log_field_t *fields,
		     size_t count)
{
	const carob_log_event_info_t *info = find_event(event);
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t line = CAROB_BUF_INIT;
	uint64_t wall_ms;

	if (!info || info->level < config.level)
		return;
	wall_ms = config.clock ? carob_clock_wall_ms(config.clock) : 0;
	carob_buf_printf(&line,
			 "{\"ts_ms\":%" PRIu64 ",\"level\":\"%s\","
			 "\"event\":%d,\"program\":\"%s\",\"text\":\"%s\"",
			 wall_ms, level_names[info->level], info->number,
			 config.program ? config.program : "", info->text);
	for (size_t i = 0; i < count; i++)
		append_field(&line, &fields[i]);
	carob_buf_append(&line, "}\n", 2);
	write_line(carob_buf_view(&line));
}
