/**
 * @file explain.h
 * Explains as JSON where the flows of a service or a given flow are sent now,
 * and why.
 */
#ifndef CAROB_ENTRYD_EXPLAIN_H
#define CAROB_ENTRYD_EXPLAIN_H

#include "core.h"

/**
 * Explains a service ("service NAME") or the flow of a sealed token
 * ("token HEX").
 *
 * @param json buffer that the explanation is appended to
 * @param core shared state of this instance
 * @param args the query
 * @return 0, CAROB_EINVALID for an invalid query, CAROB_ENOTFOUND if the
 *         service or a manifest is missing, or a code of `carob_token_open`
 */
int entryd_explain(carob_buf_t *json, const entryd_core_t *core,
		   carob_str_t args);

#endif
