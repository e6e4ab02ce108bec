/**
 * @file cbor_stream.h
 * A stream of CBOR items (RFC 8949) with the same functions for writing and
 * reading, so that one description of a message serves both directions. A
 * writer encodes the values that the arguments hold; a reader decodes the next
 * item into them.
 *
 * The stream keeps its first error. Later calls do nothing, and values read
 * after it are zero. Reading accepts definite lengths only and never allocates.
 */
#ifndef CAROB_NET_CBOR_STREAM_H
#define CAROB_NET_CBOR_STREAM_H

#include "carobtrail/str.h"

/**
 * A stream; initialise it with `carob_cbor_writer` or `carob_cbor_reader`.
 */
typedef struct carob_cbor {
	carob_buf_t *out; /* NULL when reading */
	const uint8_t *in;
	size_t left; /* bytes not yet read */
	int error;   /* 0, CAROB_ENOMEM, CAROB_EFORMAT or CAROB_ELIMIT */
} carob_cbor_t;

/** Initialises a stream that appends to `out`. */
void carob_cbor_writer(carob_cbor_t *cbor, carob_buf_t *out);

/** Initialises a stream that reads `bytes`, which must outlive it. */
void carob_cbor_reader(carob_cbor_t *cbor, carob_str_t bytes);

/** @return whether the stream is a reader */
bool carob_cbor_reading(const carob_cbor_t *cbor);

/** Writes or reads an unsigned integer of at most 64 bits. */
void carob_cbor_u64(carob_cbor_t *cbor, uint64_t *value);

/** Writes or reads an unsigned integer of at most 32 bits. */
void carob_cbor_u32(carob_cbor_t *cbor, uint32_t *value);

/** Writes or reads an unsigned integer of at most 16 bits. */
void carob_cbor_u16(carob_cbor_t *cbor, uint16_t *value);

/**
 * Writes or reads an unsigned integer from 0 to `max`.
 *
 * @return the integer written or read, or 0 if it is greater than `max`
 */
unsigned int carob_cbor_bounded_uint(carob_cbor_t *cbor, unsigned int value,
				     unsigned int max);

/** Writes or reads a Boolean. */
void carob_cbor_bool(carob_cbor_t *cbor, bool *value);

/**
 * Writes or reads a byte string of at most `max` bytes. A string that is read
 * is borrowed from the input.
 */
void carob_cbor_bytes(carob_cbor_t *cbor, carob_str_t *bytes, size_t max);

/** Writes or reads a byte string of exactly `len` bytes. */
void carob_cbor_fixed(carob_cbor_t *cbor, void *ptr, size_t len);

/**
 * Writes or reads a text string that contains no NUL byte.
 *
 * @param text NUL terminated; when reading, all bytes after the text are zero
 * @param cap capacity of `text`, including the NUL byte
 */
void carob_cbor_text(carob_cbor_t *cbor, char *text, size_t cap);

/**
 * Writes or reads the head of an array of at most `max` elements.
 *
 * @param count number of elements to write; not used when reading
 * @return number of elements, or 0 if there are more than `max`
 */
size_t carob_cbor_array(carob_cbor_t *cbor, size_t count, size_t max);

/** Writes or reads the head of an array of exactly `count` elements. */
void carob_cbor_fields(carob_cbor_t *cbor, size_t count);

/** Fails a reader that has unread bytes. @return the error of the stream */
int carob_cbor_finish(carob_cbor_t *cbor);

/** Sets the error of the stream unless it already has one. */
void carob_cbor_fail(carob_cbor_t *cbor, int error);

#endif
