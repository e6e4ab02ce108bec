/**
 * @file flow_table.h
 * Hash table of the flows whose packets this instance has seen recently. It is
 * a cache: an open flow can also be steered by the steering tag in its
 * packets.
 */
#ifndef CAROBTRAIL_FLOW_TABLE_H
#define CAROBTRAIL_FLOW_TABLE_H

#include "carobtrail/flow_packet.h"
#include "carobtrail/upstream_table.h"

/** State of a flow, derived from the caller's packets. */
typedef enum carob_flow_phase {
	CAROB_FLOW_FREE,    /* an empty bucket of the table */
	CAROB_FLOW_OPENING, /* a SYN was forwarded */
	CAROB_FLOW_OPEN,    /* the caller has acknowledged the upstream's SYN */
	CAROB_FLOW_CLOSING, /* the caller has sent its FIN */
} carob_flow_phase_t;

/**
 * One flow. It is kept to 40 bytes, since an instance may hold hundreds of
 * thousands. Times are monotonic, in milliseconds modulo 2^32.
 */
typedef struct carob_flow {
	uint32_t caller_ip;
	uint32_t route_ip;
	uint16_t caller_port;
	uint16_t route_port;
	uint8_t phase;	      /* carob_flow_phase_t */
	uint8_t pending : 1;  /* a request is in progress */
	uint8_t repeated : 1; /* the request in progress was retransmitted */
	/** The caller of the request in progress should have repeated it by
	 * now. It goes on through another instance, or it has ended. */
	uint8_t overdue : 1;
	/** The request in progress was metered as one without a response. */
	uint8_t missing : 1;
	/** `response_bytes` counts the response to the last request. */
	uint8_t measured : 1;
	/** It was opened through another instance; routers may move it back. */
	uint8_t taken_over : 1;
	uint16_t response_bytes; /* acknowledged so far; at most UINT16_MAX */
	carob_upstream_index_t upstream;
	uint32_t first_seq; /* sequence number of the caller's SYN */
	uint32_t last_ack;  /* the caller's highest acknowledgement */
	uint32_t last_seq;  /* sequence number of the caller's newest data */
	uint32_t last_packet_ms; /* time of the last packet */
	uint32_t request_ms; /* time of the SYN or, later, of the last request */
} carob_flow_t;

_Static_assert(sizeof(carob_flow_t) == 40, "a flow takes 40 bytes");

/** A table with open addressing and linear probing; zero-initialise it. */
typedef struct carob_flow_table {
	carob_flow_t *items;
	size_t cap;
	size_t count;
	size_t sweep_at; /* bucket at which the next sweep begins */
} carob_flow_table_t;

/** @return a hash of the addresses and ports of the caller and the route */
uint64_t carob_flow_hash(const carob_flow_packet_t *packet);

/** @return the flow of a packet, borrowed until the table changes, or NULL */
carob_flow_t *carob_flow_table_find(const carob_flow_table_t *table,
				    const carob_flow_packet_t *packet);

/**
 * Adds the flow of a packet, which must not be in the table yet.
 *
 * @param out receives the flow, with its addresses set and in the phase
 *        CAROB_FLOW_OPENING; borrowed until the table changes
 * @param table the table
 * @param packet a packet of the flow
 * @return 0, CAROB_ELIMIT if the table is full, or CAROB_ENOMEM
 */
int carob_flow_table_add(carob_flow_t **out, carob_flow_table_t *table,
			 const carob_flow_packet_t *packet);

/** Removes a flow; other flows may move in memory. */
void carob_flow_table_remove(carob_flow_table_t *table, carob_flow_t *flow);

/** Callback of a sweep; implementations embed it. */
typedef struct carob_flow_visitor carob_flow_visitor_t;
struct carob_flow_visitor {
	/** @return whether to remove the flow */
	bool (*visit)(carob_flow_visitor_t *visitor, carob_flow_t *flow);
};

/**
 * Visits the flows in the next `buckets` buckets. Each sweep begins where the
 * last one ended and wraps around at the end of the table.
 */
void carob_flow_table_sweep(carob_flow_table_t *table, size_t buckets,
			    carob_flow_visitor_t *visitor);

/** The same with a place of its own, which is 0 at first. */
void carob_flow_table_sweep_at(carob_flow_table_t *table, size_t *at,
			       size_t buckets, carob_flow_visitor_t *visitor);

/** Releases the flows and zeroes the table. */
void carob_flow_table_dispose(carob_flow_table_t *table);

#endif
