/**
 * @file flow_table.h
 * The flows whose packets this instance has seen lately. A cache: any flow
 * can be steered without it, by its steering tag.
 */
#ifndef CAROBTRAIL_FLOW_TABLE_H
#define CAROBTRAIL_FLOW_TABLE_H

#include "carobtrail/flow_packet.h"
#include "carobtrail/upstream_table.h"

/** How far a flow has come, by the caller's packets. */
typedef enum carob_flow_phase {
	CAROB_FLOW_FREE,    /* an empty place of the table */
	CAROB_FLOW_OPENING, /* a SYN was forwarded */
	CAROB_FLOW_OPEN,    /* the caller has acknowledged the upstream's SYN */
	CAROB_FLOW_CLOSING, /* the caller has sent its FIN */
} carob_flow_phase_t;

/** One flow; 40 bytes, since an instance may hold hundreds of thousands. */
typedef struct carob_flow {
	uint32_t caller_ip;
	uint32_t route_ip;
	uint16_t caller_port;
	uint16_t route_port;
	uint8_t phase;	  /* carob_flow_phase_t */
	uint8_t pending;  /* a request is in progress */
	uint8_t repeated; /* the request in progress was sent again */
	uint8_t reserved;
	carob_upstream_index_t upstream;
	uint32_t first_seq; /* of the caller's SYN */
	uint32_t last_ack;  /* of the caller */
	uint32_t last_seq;  /* of the caller's newest data */
	uint32_t used_ms;   /* when its last packet came */
	uint32_t since_ms;  /* when the SYN, or then the request, was sent on */
} carob_flow_t;

_Static_assert(sizeof(carob_flow_t) == 40, "a flow costs 40 bytes");

/** Open addressing with linear probing; zero-initialise it. */
typedef struct carob_flow_table {
	carob_flow_t *items;
	size_t cap;
	size_t count;
	size_t sweep_at; /* where the next sweep goes on */
} carob_flow_table_t;

/** @return a hash of the flow's four addresses and ports */
uint64_t carob_flow_hash(const carob_flow_packet_t *packet);

/** @return the flow of a packet, borrowed until the table changes, or NULL */
carob_flow_t *carob_flow_table_find(const carob_flow_table_t *table,
				    const carob_flow_packet_t *packet);

/**
 * Adds the flow of a packet, which must not be there.
 *
 * @param out receives the flow, with its addresses set, borrowed
 * @param table the table
 * @param packet a packet of the flow
 * @return 0, CAROB_ELIMIT if the table is full, or CAROB_ENOMEM
 */
int carob_flow_table_add(carob_flow_t **out, carob_flow_table_t *table,
			 const carob_flow_packet_t *packet);

/** Removes a flow; other flows may move in memory. */
void carob_flow_table_remove(carob_flow_table_t *table, carob_flow_t *flow);

/** Who looks at flows during a sweep; implementations embed it. */
typedef struct carob_flow_visitor carob_flow_visitor_t;
struct carob_flow_visitor {
	/** @return whether to remove the flow */
	bool (*visit)(carob_flow_visitor_t *visitor, carob_flow_t *flow);
};

/** Visits the next `places` places of the table, round and round. */
void carob_flow_table_sweep(carob_flow_table_t *table, size_t places,
			    carob_flow_visitor_t *visitor);

/** Releases what the table holds. */
void carob_flow_table_dispose(carob_flow_table_t *table);

#endif
