/**
 * @file flow.h
 * Flows: the time of the next request and the newest Echo.
 */
#ifndef CAROB_CALLER_FLOW_H
#define CAROB_CALLER_FLOW_H

#include "caller.h"

/** Initializes a flow and schedules its first request. */
void caller_flow_init(caller_flow_t *flow, caller_t *caller,
		      const caller_flow_group_t *group,
		      caller_socket_t *socket);

/** Stores the Echo of a message, if it has one, for the next requests. */
void caller_flow_keep_echo(caller_flow_t *flow, const carob_msg_t *msg);

/**
 * Schedules the flow's next request after one has ended.
 *
 * @param flow the flow
 * @param retry_after_s wait that a refusal asked for, in seconds; 0: none
 * @param finished false if the next request continues a download
 */
void caller_flow_schedule_next(caller_flow_t *flow, uint32_t retry_after_s,
			       bool finished);

/** Stops a flow and releases its request in progress without a record. */
void caller_flow_dispose(caller_flow_t *flow);

#endif
