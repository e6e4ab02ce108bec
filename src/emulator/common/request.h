/**
 * @file request.h
 * The options of a request that emulators use and the balancer does not
 * read: path, request id and block.
 */
#ifndef CAROB_EMULATOR_REQUEST_H
#define CAROB_EMULATOR_REQUEST_H

#include "carobtrail/msg.h"

/** Bytes for the values of the options that `carob_request_write` adds. */
#define CAROB_REQUEST_TEXT_MAX 32

/** A Block2 option (RFC 7959, section 2.2). */
typedef struct carob_block {
	uint32_t number;
	bool more;
	uint8_t szx; /* a block has 2^(szx + 4) bytes */
} carob_block_t;

/** Path, request id and block of a request. */
typedef struct carob_request {
	carob_str_t path; /* first segment */
	uint64_t rid;	  /* request id, as query "rid=HEX"; 0: none */
	bool has_block;
	carob_block_t block;
} carob_request_t;

/** @return the size of a block in bytes */
size_t carob_block_bytes(const carob_block_t *block);

/** Reads a Block2 option. @return whether the message has one */
bool carob_block_read(carob_block_t *out, const carob_msg_t *msg);

/** Encodes a Block2 option. @return the length of its value in bytes */
size_t carob_block_write(uint8_t out[4], const carob_block_t *block);

/** Reads path, request id and block of a request. */
void carob_request_read(carob_request_t *out, const carob_msg_t *msg);

/**
 * Adds path, request id and block to a message that has no other options yet.
 *
 * @param msg receives the options, which borrow from `text` and `request`
 * @param text buffer for the options' values
 * @param request path, request id and block to add
 */
void carob_request_write(carob_msg_t *msg, char text[CAROB_REQUEST_TEXT_MAX],
			 const carob_request_t *request);

#endif
