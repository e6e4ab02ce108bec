/**
 * @file str.h
 * Length-counted strings: a borrowed view and an owned, growing buffer.
 */
#ifndef CAROBTRAIL_STR_H
#define CAROBTRAIL_STR_H

#include "carobtrail/common.h"

/** A borrowed sequence of bytes, not NUL-terminated. */
typedef struct carob_str {
	const char *ptr;
	size_t len;
} carob_str_t;

/** An owned, growing sequence of bytes, NUL-terminated once allocated. */
typedef struct carob_buf {
	char *ptr;
	size_t len;
	size_t cap;
} carob_buf_t;

/** Static initialiser of an empty buffer. */
#define CAROB_BUF_INIT                                                         \
	{                                                                      \
		NULL, 0, 0                                                     \
	}

/** The view of a string literal. */
#define CAROB_STR(literal) ((carob_str_t){(literal), sizeof(literal) - 1})

/** @return the view of the terminated string `s`, which it borrows */
carob_str_t carob_str_from(const char *s);

/** @return whether both views hold the same bytes */
bool carob_str_eq(carob_str_t a, carob_str_t b);

/** @return a view of the contents of `buf`; valid until `buf` changes */
carob_str_t carob_buf_view(const carob_buf_t *buf);

/**
 * Appends bytes.
 *
 * @param buf the buffer to grow
 * @param ptr the bytes to append
 * @param len how many bytes
 * @return 0 or CAROB_ENOMEM, with `buf` unchanged
 */
int carob_buf_append(carob_buf_t *buf, const void *ptr, size_t len);

/**
 * Appends formatted text.
 *
 * @param buf the buffer to grow
 * @param fmt printf format
 * @return 0, CAROB_ENOMEM or CAROB_EINVALID
 */
int carob_buf_printf(carob_buf_t *buf, const char *fmt, ...) CAROB_PRINTF(2, 3);

/** Empties the buffer and keeps its memory. */
void carob_buf_clear(carob_buf_t *buf);

/** Releases the buffer's memory; it is empty and usable afterwards. */
void carob_buf_dispose(carob_buf_t *buf);

#endif
