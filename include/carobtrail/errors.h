/**
 * @file errors.h
 * Numbered result codes and the last error of the calling thread.
 *
 * Functions return 0 or one of these negative codes. The function in which a
 * failure occurs sets the error message; its callers only return the code.
 * `docs/result-codes.md` holds the same table; a test compares them.
 */
#ifndef CAROBTRAIL_ERRORS_H
#define CAROBTRAIL_ERRORS_H

#include "carobtrail/common.h"

/** All result codes: X(name, number, meaning). Numbers are never reused. */
#define CAROB_RESULT_CODES(X)                                                  \
	X(CAROB_OK, 0, "success")                                              \
	X(CAROB_ENOMEM, -1, "out of memory")                                   \
	X(CAROB_EINVALID, -2, "an argument or a document is invalid")          \
	X(CAROB_ENOTFOUND, -3, "the named object does not exist")              \
	X(CAROB_EEXISTS, -4, "the named object exists already")                \
	X(CAROB_EFORMAT, -5, "input data cannot be decoded")                   \
	X(CAROB_EAUTH, -6, "a seal, key or signature is not valid")            \
	X(CAROB_EEXPIRED, -7, "a deadline or a lifetime has passed")           \
	X(CAROB_ELIMIT, -8, "a configured or fixed limit is reached")          \
	X(CAROB_ECONFLICT, -9,                                                 \
	  "a compare-and-swap failed: the value has changed")                  \
	X(CAROB_EUNAVAILABLE, -10, "a peer or the platform does not answer")   \
	X(CAROB_EUNKNOWN, -11, "the outcome of an operation is unknown")       \
	X(CAROB_ESTALE, -12, "a generation or incarnation is superseded")      \
	X(CAROB_EIO, -13,                                                      \
	  "the operating system reports an input/output "                      \
	  "error")                                                             \
	X(CAROB_EUSAGE, -14, "the command line is wrong")                      \
	X(CAROB_EMISMATCH, -15, "two documents or ledgers do not match")

/** A result code. */
typedef enum carob_result {
#define X(name, number, meaning) name = (number),
	CAROB_RESULT_CODES(X)
#undef X
} carob_result_t;

/** One row of the table of result codes. */
typedef struct carob_result_info {
	int code;
	const char *name;
	const char *meaning;
} carob_result_info_t;

/**
 * Sets the last error of the calling thread.
 *
 * @param code a negative result code
 * @param fmt printf format of the message
 * @return `code`, so that a caller can return the call's value
 */
int carob_error_set(int code, const char *fmt, ...) CAROB_PRINTF(2, 3);

/**
 * @return the last message set on this thread, or "" if there is none; valid
 *         until the next `carob_error_set` on this thread
 */
const char *carob_error_last(void);

/** Clears the last error of the calling thread. */
void carob_error_clear(void);

/** @return the row for `code`, or NULL if there is no such code */
const carob_result_info_t *carob_result_find(int code);

/**
 * Returns the table of all result codes, ordered by number.
 *
 * @param count receives the number of rows
 * @return the first row; static storage
 */
const carob_result_info_t *carob_result_table(size_t *count);

#endif
