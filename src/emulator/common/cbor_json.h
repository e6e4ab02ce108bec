/**
 * @file cbor_json.h
 * CBOR (RFC 8949) of JSON trees, as the platform's store sends them.
 */
#ifndef CAROB_EMULATOR_CBOR_JSON_H
#define CAROB_EMULATOR_CBOR_JSON_H

#include "carobtrail/str.h"

#include <jansson.h>

/** Appends the CBOR of a tree. @return 0 or CAROB_ENOMEM */
int cbor_json_encode(carob_buf_t *out, const json_t *tree);

/**
 * Appends the CBOR of a text in JSON; a text that is none is appended as it
 * is, so that bytes which can't be read stay so.
 *
 * @return 0 or CAROB_ENOMEM
 */
int cbor_json_encode_text(carob_buf_t *out, carob_str_t text);

#endif
