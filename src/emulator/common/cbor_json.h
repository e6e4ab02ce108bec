/**
 * @file cbor_json.h
 * Encodes JSON as CBOR (RFC 8949), the form in which the platform's store
 * sends it.
 */
#ifndef CAROB_EMULATOR_CBOR_JSON_H
#define CAROB_EMULATOR_CBOR_JSON_H

#include "carobtrail/str.h"

#include <jansson.h>

/** Appends a JSON tree, encoded as CBOR. @return 0 or CAROB_ENOMEM */
int cbor_json_encode(carob_buf_t *out, const json_t *tree);

/**
 * Appends a JSON text, encoded as CBOR. A text that is not valid JSON is
 * appended unchanged, so that the recipient cannot decode it either.
 *
 * @return 0 or CAROB_ENOMEM
 */
int cbor_json_encode_text(carob_buf_t *out, carob_str_t text);

#endif
