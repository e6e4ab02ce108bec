/**
 * @file call.h
 * One request of a flow, from its first transmission until its record is
 * written to the ledger.
 */
#ifndef CAROB_CALLER_CALL_H
#define CAROB_CALLER_CALL_H

#include "caller.h"
#include "emulator/common/con.h"
#include "emulator/common/request.h"

#include <uthash.h>

/** A request in progress. */
struct caller_call {
	caller_flow_t *flow;
	uint64_t token; /* CoAP token; sent in host byte order */
	carob_con_t request;
	carob_con_t cancel;
	uint16_t request_mid;
	uint16_t cancel_mid;
	uint32_t challenges;
	uint32_t retry_after_s;
	bool more_blocks; /* the download has further blocks */
	bool cancel_sent;
	bool cancel_confirmed;
	carob_timer_t cancel_timer; /* sends the cancel */
	/* Ends the call: at its deadline plus `answer_bound_ms`, or some time
	 * after a cancel. */
	carob_timer_t limit_timer;
	carob_call_record_t record;
	/* The members below are used by feeds only. */
	carob_timer_t freshness_timer; /* Max-Age of the last notification */
	bool established;	       /* a notification has arrived */
	uint32_t observe;
	uint64_t sequence;
	uint64_t notified_us;
	uint64_t registered_us;
	UT_hash_handle hh; /* handle in the socket's `calls` */
};

/** Starts the flow's next request. */
void caller_call_start(caller_flow_t *flow);

/**
 * Sends the request with a new message id and the flow's newest Echo. Also
 * used to send it again.
 */
void caller_call_send(caller_call_t *call);

/** Cancels a request, unless it was cancelled before. */
void caller_call_cancel(caller_call_t *call);

/**
 * Writes a request's record with its result, releases the request and
 * schedules the flow's next one.
 */
void caller_call_finish(caller_call_t *call, carob_call_result_t result);

/** Handles a message that carries the request's token. */
void caller_call_receive(caller_call_t *call, const carob_msg_t *msg);

/** Handles an empty acknowledgement or reset with message id `mid`. */
void caller_call_acknowledged(caller_call_t *call, uint16_t mid, bool reset);

/** Releases a request without writing its record. */
void caller_call_free(caller_call_t *call);

#endif
