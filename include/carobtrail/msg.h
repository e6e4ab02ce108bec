/**
 * @file msg.h
 * A decoded CoAP message (RFC 7252). The network code decodes it from a
 * datagram and encodes it again; the decision logic in src/core never looks at
 * the options in `other` or at the payload.
 */
#ifndef CAROBTRAIL_MSG_H
#define CAROBTRAIL_MSG_H

#include "carobtrail/common.h"
#include "carobtrail/str.h"

#define CAROB_MSG_TOKEN_MAX 8
#define CAROB_MSG_ECHO_MAX  40 /* RFC 9175, section 2.2.1 */
#define CAROB_MSG_OTHER_MAX 24
#define CAROB_MSG_BYTES_MAX 1400 /* small enough to avoid IP fragmentation */

/** CoAP message type, RFC 7252 section 3. */
typedef enum carob_msg_type {
	CAROB_MSG_CON = 0,
	CAROB_MSG_NON = 1,
	CAROB_MSG_ACK = 2,
	CAROB_MSG_RST = 3,
} carob_msg_type_t;

/** Builds a CoAP code from its class and detail: (2, 5) for 2.05. */
#define CAROB_MSG_CODE(class, detail) ((uint8_t)(((class) << 5) | (detail)))

/** CoAP codes that the balancer itself reads or writes. */
typedef enum carob_msg_code {
	CAROB_CODE_EMPTY = CAROB_MSG_CODE(0, 0),
	CAROB_CODE_GET = CAROB_MSG_CODE(0, 1),
	CAROB_CODE_POST = CAROB_MSG_CODE(0, 2),
	CAROB_CODE_PUT = CAROB_MSG_CODE(0, 3),
	CAROB_CODE_DELETE = CAROB_MSG_CODE(0, 4),
	CAROB_CODE_FETCH = CAROB_MSG_CODE(0, 5),
	CAROB_CODE_PATCH = CAROB_MSG_CODE(0, 6),
	CAROB_CODE_IPATCH = CAROB_MSG_CODE(0, 7),
	CAROB_CODE_CREATED = CAROB_MSG_CODE(2, 1),
	CAROB_CODE_DELETED = CAROB_MSG_CODE(2, 2),
	CAROB_CODE_VALID = CAROB_MSG_CODE(2, 3),
	CAROB_CODE_CHANGED = CAROB_MSG_CODE(2, 4),
	CAROB_CODE_CONTENT = CAROB_MSG_CODE(2, 5),
	CAROB_CODE_BAD_REQUEST = CAROB_MSG_CODE(4, 0),
	CAROB_CODE_UNAUTHORIZED = CAROB_MSG_CODE(4, 1),
	CAROB_CODE_BAD_OPTION = CAROB_MSG_CODE(4, 2),
	CAROB_CODE_NOT_FOUND = CAROB_MSG_CODE(4, 4),
	CAROB_CODE_TOO_LARGE = CAROB_MSG_CODE(4, 13),
	CAROB_CODE_TOO_MANY_REQUESTS = CAROB_MSG_CODE(4, 29),
	CAROB_CODE_INTERNAL_ERROR = CAROB_MSG_CODE(5, 0),
	CAROB_CODE_BAD_GATEWAY = CAROB_MSG_CODE(5, 2),
	CAROB_CODE_SERVICE_UNAVAILABLE = CAROB_MSG_CODE(5, 3),
	CAROB_CODE_GATEWAY_TIMEOUT = CAROB_MSG_CODE(5, 4),
} carob_msg_code_t;

/** What a response from the balancer itself says about its request. */
typedef enum carob_verdict {
	CAROB_VERDICT_NONE = 0,	   /* the response is from the upstream */
	CAROB_VERDICT_NOT_RUN = 1, /* no upstream has run or will run it */
	CAROB_VERDICT_UNKNOWN = 2, /* an upstream may have run it */
} carob_verdict_t;

/** W3C trace context, carried in an elective option. */
typedef struct carob_trace_context {
	uint8_t trace_id[16];
	uint8_t span_id[8];
	uint8_t flags; /* bit 0: sampled */
} carob_trace_context_t;

/** An option that the balancer forwards without interpreting it. */
typedef struct carob_msg_option {
	uint16_t number;
	carob_str_t value;
} carob_msg_option_t;

/** A decoded message; its strings borrow from the datagram. */
typedef struct carob_msg {
	carob_msg_type_t type;
	uint8_t code;
	uint16_t mid;
	uint8_t token_len;
	uint8_t token[CAROB_MSG_TOKEN_MAX];
	uint8_t echo_len; /* 0: no Echo option */
	uint8_t echo[CAROB_MSG_ECHO_MAX];
	bool has_observe;
	uint32_t observe; /* RFC 7641: 24 bits */
	bool has_max_age;
	uint32_t max_age_s;
	bool has_deadline;
	uint32_t deadline_ms; /* time left when the message was sent */
	bool has_trace;
	carob_trace_context_t trace;
	carob_verdict_t verdict;
	uint8_t other_count;
	carob_msg_option_t other[CAROB_MSG_OTHER_MAX];
	carob_str_t payload;
} carob_msg_t;

/** @return whether the code is a request method (class 0, not empty) */
bool carob_msg_is_request(const carob_msg_t *msg);

/** @return whether the code is a response (class 2, 4 or 5) */
bool carob_msg_is_response(const carob_msg_t *msg);

/** @return whether repeating the request has no further effect */
bool carob_msg_is_idempotent(const carob_msg_t *msg);

/**
 * @return whether the request registers an observation (RFC 7641): GET or FETCH
 *         with Observe 0
 */
bool carob_msg_is_registration(const carob_msg_t *msg);

/**
 * @return whether the message is a cancellation: GET or FETCH with Observe 1.
 *         It cancels the observation, or any other request in progress, that
 *         uses the same token.
 */
bool carob_msg_is_cancel(const carob_msg_t *msg);

#endif
