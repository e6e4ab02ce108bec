#include "carobtrail/errors.h"

#include <stdarg.h>
#include <stdio.h>

#define ERROR_MESSAGE_MAX 512

static _Thread_local char last_message[ERROR_MESSAGE_MAX];

static const carob_result_info_t result_table[] = {
#define X(name, number, meaning) {number, #name, meaning},
	CAROB_RESULT_CODES(X)
#undef X
};

int carob_error_set(int code, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, args);
	va_end(args);
	return code;
}

const char *carob_error_last(void)
{
	return last_message;
}

void carob_error_clear(void)
{
	last_message[0] = '\0';
}

const carob_result_info_t *carob_result_find(int code)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(result_table); i++)
		if (result_table[i].code == code)
			return &result_table[i];
	return NULL;
}

const carob_result_info_t *carob_result_table(size_t *count)
{
	*count = CAROB_ARRAY_SIZE(result_table);
	return result_table;
}
