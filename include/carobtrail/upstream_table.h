/**
 * @file upstream_table.h
 * The upstreams that an instance knows, with what their entries say and the
 * load that this instance's own flows put on them.
 */
#ifndef CAROBTRAIL_UPSTREAM_TABLE_H
#define CAROBTRAIL_UPSTREAM_TABLE_H

#include "carobtrail/clock.h"
#include "carobtrail/flow_packet.h"
#include "carobtrail/index_map.h"
#include "carobtrail/name_table.h"

/** Longest id of an upstream, in bytes. */
#define CAROB_UPSTREAM_ID_MAX 63

/** What an entry in the platform's list says of an upstream. */
typedef struct carob_upstream_entry {
	carob_str_t id;
	uint64_t number; /* the id as packets to the upstream carry it */
	carob_str_t service;
	carob_str_t zone;
	carob_endpoint_t endpoint;
	uint32_t slots;	     /* requests that it processes at a time */
	uint32_t cold_ms;    /* how much longer it is slow after its start */
	uint64_t started_ms; /* Unix time of its start: its incarnation */
	bool draining;
} carob_upstream_entry_t;

/** What this instance believes of an upstream. */
typedef enum carob_upstream_state {
	CAROB_UPSTREAM_READY,
	CAROB_UPSTREAM_DRAINING, /* keeps its flows, gets no new ones */
	CAROB_UPSTREAM_LAPSED,	 /* entry missing after a platform outage */
	CAROB_UPSTREAM_GONE,	 /* entry removed */
} carob_upstream_state_t;

/** Index of an upstream in its table; stays the same while flows use it. */
typedef uint32_t carob_upstream_index_t;

/** No upstream. */
#define CAROB_UPSTREAM_NONE CAROB_INDEX_END

/** One upstream. */
typedef struct carob_upstream {
	bool used; /* false: a free place of the table */
	char id[CAROB_UPSTREAM_ID_MAX + 1];
	uint64_t number;
	uint32_t tag; /* steering tag that names it; never 0 */
	carob_name_id_t service;
	carob_name_id_t zone;
	carob_endpoint_t endpoint;
	uint32_t slots;
	uint64_t started_ms;
	carob_upstream_state_t state;
	uint64_t revision;	/* of the entry */
	uint64_t cold_until_ns; /* slow until then */
	uint64_t changed_ns;	/* when `state` changed */
	bool listed;		/* seen by the listing in progress */

	uint32_t open_flows;  /* of this instance */
	uint32_t pending;     /* of those, with a request in progress */
	uint64_t answered_ns; /* when a caller last acknowledged something */
	uint32_t failures;    /* SYNs without an answer since then */
	uint32_t waiting;     /* requests that were repeated since then */
	bool stalled;	      /* a caller repeats one for too long */
	uint64_t failed_ns;   /* when the last of these was seen */
	uint64_t avoid_until_ns;
} carob_upstream_t;

/** All upstreams; zero-initialise it. */
typedef struct carob_upstream_table {
	carob_upstream_t *items;
	size_t count; /* places, also free ones */
	size_t cap;
	size_t first_free;	 /* no place before it is free */
	carob_index_map_t by_id; /* the three hold used places only */
	carob_index_map_t by_tag;
	carob_index_map_t by_service;
	carob_name_table_t services;
	carob_name_table_t zones;
	uint64_t answered_ns; /* when a caller last acknowledged anything */
} carob_upstream_table_t;

/** @return the steering tag of an upstream's number; never 0 */
uint32_t carob_upstream_tag(uint64_t number);

/** @return the name of a state, for logs */
const char *carob_upstream_state_name(carob_upstream_state_t state);

/**
 * Adds an upstream or updates it. An entry that is not newer than what is
 * known changes nothing.
 *
 * @param table the table
 * @param entry what its entry says
 * @param revision of the entry
 * @param now_ns monotonic time
 * @return 0, CAROB_ESTALE, CAROB_ELIMIT (id too long) or CAROB_ENOMEM
 */
int carob_upstream_table_put(carob_upstream_table_t *table,
			     const carob_upstream_entry_t *entry,
			     uint64_t revision, uint64_t now_ns);

/**
 * Notes that an entry was removed, or names no usable upstream any more.
 * Flows keep their upstream.
 *
 * @param table the table
 * @param id the upstream
 * @param revision of the removal
 * @param to CAROB_UPSTREAM_LAPSED or CAROB_UPSTREAM_GONE; an upstream that
 *        drains is gone in either case
 * @param now_ns monotonic time
 */
void carob_upstream_table_remove(carob_upstream_table_t *table, carob_str_t id,
				 uint64_t revision, carob_upstream_state_t to,
				 uint64_t now_ns);

/** Marks all upstreams as not seen, at the beginning of a listing. */
void carob_upstream_table_begin_listing(carob_upstream_table_t *table);

/**
 * Removes, as `carob_upstream_table_remove`, what a listing did not name.
 *
 * @param revision the listing's; entries that are newer stay
 */
void carob_upstream_table_end_listing(carob_upstream_table_t *table,
				      uint64_t revision,
				      carob_upstream_state_t to,
				      uint64_t now_ns);

/** Takes upstreams whose entries have lapsed, and not come back, as gone. */
void carob_upstream_table_expire_lapsed(carob_upstream_table_t *table,
					uint64_t now_ns);

/** Forgets upstreams that are gone for `after_ns` and have no flows. */
void carob_upstream_table_forget_gone(carob_upstream_table_t *table,
				      uint64_t after_ns, uint64_t now_ns);

/** @return the index of an upstream by its tag, or CAROB_UPSTREAM_NONE */
carob_upstream_index_t
carob_upstream_table_by_tag(const carob_upstream_table_t *table, uint32_t tag);

/** @return the index of an upstream by its id, or CAROB_UPSTREAM_NONE */
carob_upstream_index_t
carob_upstream_table_by_id(const carob_upstream_table_t *table, carob_str_t id);

/** @return the first upstream of a service, or CAROB_UPSTREAM_NONE */
carob_upstream_index_t
carob_upstream_table_first_of(const carob_upstream_table_t *table,
			      carob_name_id_t service);

/** @return the next one of the same service, or CAROB_UPSTREAM_NONE */
carob_upstream_index_t
carob_upstream_table_next_of(const carob_upstream_table_t *table,
			     carob_upstream_index_t index);

/** Visits the upstreams of one service, in no order. */
#define CAROB_UPSTREAMS_OF(index, table, service)                              \
	for (carob_upstream_index_t index =                                    \
		     carob_upstream_table_first_of(table, service);            \
	     index != CAROB_UPSTREAM_NONE;                                     \
	     index = carob_upstream_table_next_of(table, index))

/** @return whether new flows may be placed on it */
static inline bool carob_upstream_accepts(const carob_upstream_t *upstream)
{
	return upstream->used && (upstream->state == CAROB_UPSTREAM_READY ||
				  upstream->state == CAROB_UPSTREAM_LAPSED);
}

/** Releases what the table holds. */
void carob_upstream_table_dispose(carob_upstream_table_t *table);

#endif
