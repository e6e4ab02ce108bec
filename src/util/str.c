#include "carobtrail/str.h"

#include "carobtrail/errors.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUF_MIN_CAP 64

carob_str_t carob_str_from(const char *s)
{
	return (carob_str_t){s, s ? strlen(s) : 0};
}

bool carob_str_eq(carob_str_t a, carob_str_t b)
{
	if (a.len != b.len)
		return false;
	return a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0;
}

carob_str_t carob_buf_view(const carob_buf_t *buf)
{
	return (carob_str_t){buf->ptr ? buf->ptr : "", buf->len};
}

static int buf_reserve(carob_buf_t *buf, size_t extra)
{
	size_t need = buf->len + extra + 1;
	size_t cap = buf->cap ? buf->cap : BUF_MIN_CAP;
	char *ptr;

	if (need <= buf->cap)
		return 0;
	while (cap < need)
		cap *= 2;
	ptr = realloc(buf->ptr, cap);
	if (!ptr)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate buffer of %zu bytes",
				       cap);
	buf->ptr = ptr;
	buf->cap = cap;
	return 0;
}

int carob_buf_append(carob_buf_t *buf, const void *ptr, size_t len)
{
	int error = buf_reserve(buf, len);

	if (error)
		return error;
	if (len)
		memcpy(buf->ptr + buf->len, ptr, len);
	buf->len += len;
	buf->ptr[buf->len] = '\0';
	return 0;
}

int carob_buf_printf(carob_buf_t *buf, const char *fmt, ...)
{
	size_t spare = buf->cap - buf->len; /* 0 if nothing is allocated */
	va_list args;
	int len;
	int error;

	va_start(args, fmt);
	len = vsnprintf(buf->ptr ? buf->ptr + buf->len : NULL, spare, fmt,
			args);
	va_end(args);
	if (len >= 0 && (size_t)len < spare) {
		buf->len += (size_t)len;
		return 0;
	}
	if (buf->ptr)
		buf->ptr[buf->len] = '\0';
	if (len < 0)
		return carob_error_set(CAROB_EINVALID,
				       "invalid printf format or value");
	error = buf_reserve(buf, (size_t)len);
	if (error)
		return error;
	va_start(args, fmt);
	vsnprintf(buf->ptr + buf->len, (size_t)len + 1, fmt, args);
	va_end(args);
	buf->len += (size_t)len;
	return 0;
}

void carob_buf_clear(carob_buf_t *buf)
{
	buf->len = 0;
	if (buf->ptr)
		buf->ptr[0] = '\0';
}

void carob_buf_dispose(carob_buf_t *buf)
{
	free(buf->ptr);
	*buf = (carob_buf_t)CAROB_BUF_INIT;
}
