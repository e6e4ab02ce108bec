/**
 * @file caller.h
 * Types and functions that the source files of carob-caller share.
 */
#ifndef CAROB_CALLER_CALLER_H
#define CAROB_CALLER_CALLER_H

#include "carobtrail/histogram.h"
#include "carobtrail/msg.h"
#include "carobtrail/rng.h"
#include "net/program.h"
#include "settings.h"

typedef struct caller caller_t;
typedef struct caller_socket caller_socket_t;
typedef struct caller_flow caller_flow_t;
typedef struct caller_call caller_call_t;

/** Counters that carob-caller prints in its summary. */
typedef struct caller_counters {
	uint64_t calls;
	uint64_t feeds;
	uint64_t answered;
	uint64_t cancelled;
	uint64_t refused;
	uint64_t unknown;
	uint64_t none;
	uint64_t challenges;
	uint64_t notifications;
	uint64_t registered_again;
	uint64_t stray; /* messages that match no request */
} caller_counters_t;

/** A UDP socket that many flows share. */
struct caller_socket {
	carob_udp_handler_t handler;
	caller_t *caller;
	carob_udp_t *udp;
	uint16_t next_mid;
	caller_call_t *calls; /* hash table by CoAP token */
};

/** A flow: consecutive requests that carry the same flow token. */
struct caller_flow {
	caller_t *caller;
	const caller_flow_group_t *group;
	caller_socket_t *socket;
	carob_timer_t timer; /* starts the next request */
	caller_call_t *call; /* request in progress, or NULL */
	uint32_t requests;   /* requests since the flow began */
	uint32_t next_block; /* next block of a download; 0: no download */
	uint8_t echo_len;
	uint8_t echo[CAROB_MSG_ECHO_MAX];
};

/** State of the program. */
struct caller {
	carob_program_t program;
	caller_settings_t settings;
	carob_rng_t rng;
	FILE *ledger;
	caller_socket_t *sockets;
	size_t flow_count;
	caller_flow_t *flows;
	carob_timer_t end_timer;
	bool stopping;
	uint64_t open_calls;
	caller_counters_t counters;
	carob_histogram_t latency_us;
};

/** @return the monotonic time in microseconds */
uint64_t caller_now_us(const caller_t *caller);

/** Begins to shut down: starts no more requests and cancels all feeds. */
void caller_stop(caller_t *caller);

/** Ends the program if it is stopping and no request is in progress. */
void caller_stop_if_idle(caller_t *caller);

#endif
