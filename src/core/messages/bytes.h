/**
 * @file bytes.h
 * Reading and writing of big-endian integers in byte buffers.
 */
#ifndef CAROBTRAIL_CORE_BYTES_H
#define CAROBTRAIL_CORE_BYTES_H

#include "carobtrail/common.h"

/** Reads a byte buffer sequentially. */
typedef struct carob_reader {
	const uint8_t *next; /* the next byte */
	size_t left;	     /* number of bytes from `next` to the end */
	bool failed;	     /* a read went past the end */
} carob_reader_t;

/** Writes the low `bytes` bytes of `value`. @return the position after them */
static inline uint8_t *carob_put_be(uint8_t *out, uint64_t value, size_t bytes)
{
	for (size_t i = bytes; i > 0; i--) {
		out[i - 1] = (uint8_t)value;
		value >>= 8;
	}
	return out + bytes;
}

/**
 * Reads bytes. If fewer than `bytes` are left, the reader fails, and so does
 * every later read.
 *
 * @return the next `bytes` bytes, borrowed from the buffer, or NULL
 */
static inline const uint8_t *carob_read_bytes(carob_reader_t *reader,
					      size_t bytes)
{
	const uint8_t *start = reader->next;

	if (reader->failed || bytes > reader->left) {
		reader->failed = true;
		return NULL;
	}
	reader->next += bytes;
	reader->left -= bytes;
	return start;
}

/** @return the next integer of `bytes` bytes, or 0 if the reader fails */
static inline uint64_t carob_read_be(carob_reader_t *reader, size_t bytes)
{
	const uint8_t *start = carob_read_bytes(reader, bytes);
	uint64_t value = 0;

	for (size_t i = 0; start && i < bytes; i++)
		value = value << 8 | start[i];
	return value;
}

#endif
