/**
 * @file payload.h
 * Header line of the payload of an upstream's response. Callers use it to
 * check which request, service and upstream a response belongs to.
 */
#ifndef CAROB_EMULATOR_PAYLOAD_H
#define CAROB_EMULATOR_PAYLOAD_H

#include "emulator/ledger/record.h"

/** Size of a buffer for a header line, in bytes. */
#define CAROB_PAYLOAD_HEADER_MAX 112

/** Header line of a payload; the rest of the payload is content. */
typedef struct carob_payload_header {
	uint64_t rid;
	/* Sequence number of a notification, or the number of a block. */
	uint64_t sequence;
	carob_record_name_t service;
	carob_record_name_t upstream;
} carob_payload_header_t;

/** Writes "RID SEQUENCE SERVICE UPSTREAM\n". @return its length in bytes */
size_t carob_payload_write(char out[CAROB_PAYLOAD_HEADER_MAX],
			   const carob_payload_header_t *header);

/** Reads a header line. @return 0 or CAROB_EFORMAT */
int carob_payload_read(carob_payload_header_t *out, carob_str_t payload);

#endif
