/**
 * @file bytes.h
 * Big-endian integers in byte strings.
 */
#ifndef CAROBTRAIL_CORE_BYTES_H
#define CAROBTRAIL_CORE_BYTES_H

#include "carobtrail/common.h"

/** Reads a byte string front to back; `failed` once it was too short. */
typedef struct carob_reader {
	const uint8_t *at;
	size_t left;
	bool failed;
} carob_reader_t;

/** Writes the low `bytes` bytes of `value`. @return the end of them */
static inline uint8_t *carob_put_be(uint8_t *at, uint64_t value, size_t bytes)
{
	for (size_t i = bytes; i > 0; i--) {
		at[i - 1] = (uint8_t)value;
		value >>= 8;
	}
	return at + bytes;
}

/** @return the next `bytes` bytes, or NULL if there are fewer */
static inline const uint8_t *carob_read_bytes(carob_reader_t *reader,
					      size_t bytes)
{
	const uint8_t *at = reader->at;

	if (reader->failed || bytes > reader->left) {
		reader->failed = true;
		return NULL;
	}
	reader->at += bytes;
	reader->left -= bytes;
	return at;
}

/** @return the next integer of `bytes` bytes, 0 if there are fewer */
static inline uint64_t carob_read_be(carob_reader_t *reader, size_t bytes)
{
	const uint8_t *at = carob_read_bytes(reader, bytes);
	uint64_t value = 0;

	for (size_t i = 0; at && i < bytes; i++)
		value = value << 8 | at[i];
	return value;
}

#endif
