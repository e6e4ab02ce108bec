/**
 * @file upstream_table.h
 * Table of the upstreams that an instance knows: the attributes from their
 * entries in the platform's catalogue, the load that this instance's flows put
 * on them, and the evidence of the failure detector (failure_detector.h).
 */
#ifndef CAROBTRAIL_UPSTREAM_TABLE_H
#define CAROBTRAIL_UPSTREAM_TABLE_H

#include "carobtrail/clock.h"
#include "carobtrail/flow_packet.h"
#include "carobtrail/index_map.h"
#include "carobtrail/name_table.h"

/** Maximum length of an upstream's id, in bytes. */
#define CAROB_UPSTREAM_ID_MAX 63

/** An upstream's entry in the platform's catalogue. */
typedef struct carob_upstream_entry {
	carob_str_t id;
	uint64_t number; /* the id in packets to the upstream */
	carob_str_t service;
	carob_str_t zone;
	carob_endpoint_t endpoint;
	uint32_t slots;	     /* requests that it processes concurrently */
	uint32_t cold_ms;    /* remaining time of its slow start */
	uint64_t started_ms; /* Unix time of its start; its incarnation */
	uint64_t sequence;   /* rises with each report of an incarnation */
	bool draining;
} carob_upstream_entry_t;

/** State of an upstream, as this instance knows it. */
typedef enum carob_upstream_state {
	CAROB_UPSTREAM_READY,
	CAROB_UPSTREAM_DRAINING, /* keeps its flows but gets no new ones */
	CAROB_UPSTREAM_LAPSED,	 /* its entry expired in a platform outage */
	CAROB_UPSTREAM_GONE,	 /* its entry was removed */
} carob_upstream_state_t;

/** Index of an upstream in its table; unchanged while flows use it. */
typedef uint32_t carob_upstream_index_t;

/** No upstream. */
#define CAROB_UPSTREAM_NONE CAROB_INDEX_END

/** One upstream. */
typedef struct carob_upstream {
	bool used; /* false: a free element of the table */
	char id[CAROB_UPSTREAM_ID_MAX + 1];
	uint64_t number;
	uint32_t tag; /* its steering tag; never 0 */
	carob_name_id_t service;
	carob_name_id_t zone;
	uint32_t group; /* its group, CAROB_INDEX_END if it is in none */
	carob_endpoint_t endpoint;
	uint32_t slots;
	uint64_t started_ms;
	uint64_t sequence; /* of the latest report */
	carob_upstream_state_t state;
	uint64_t revision;	/* revision of the entry or of its removal */
	uint64_t cold_until_ns; /* end of its slow start, monotonic */
	uint64_t changed_ns;	/* time of the last change of `state` */
	bool listed;		/* seen in the listing in progress */

	uint32_t open_flows;  /* open flows of this instance */
	uint32_t pending;     /* open flows with a request in progress */
	uint64_t answered_ns; /* time of a caller's last acknowledgement */
	/** SYNs that callers have retransmitted since `answered_ns`. */
	uint32_t unanswered_syns;
	/** Requests that callers have retransmitted since `answered_ns`. */
	uint32_t repeated_requests;
	bool stalled;	      /* a request was retransmitted for too long */
	uint64_t evidence_ns; /* time of the last such retransmission */
	/** Until then, new flows are placed elsewhere if possible. */
	uint64_t avoid_until_ns;

	/** What other instances report of it; see load_view.h. */
	float others_load; /* their requests in progress, a time average */
	float others_late; /* share of their answers that were late or missing */
} carob_upstream_t;

/**
 * The load of a group as placement measured it last (placement.h). It is a
 * cache, so placement writes it also through a const table.
 */
typedef struct carob_group_load {
	uint64_t measured_ns; /* monotonic time; 0: never */
	double slots;	      /* of the members that can be chosen */
	double per_slot;      /* smoothed requests in progress per slot */
	double late;	      /* mean share of late or missing responses */
	double others_load;   /* mean load that others report of a member */
	double own_pending;   /* smoothed requests of this instance */
	double own_idle;      /* smoothed load of its idle flows */
	/** Share of the own zone's new flows that are placed here instead. */
	double spill;
	double spill_lasting; /* part of it that changes slowly */
	uint32_t next_member; /* position at which to go on measuring */
	int rank;	      /* best rank of a member; see placement_priv.h */
} carob_group_load_t;

/** The upstreams of one service and zone that are neither draining nor gone. */
typedef struct carob_upstream_group {
	carob_name_id_t service;
	carob_name_id_t zone;
	uint32_t next; /* next group of the service, CAROB_INDEX_END: none */
	/** In the order of their numbers, which all instances know alike. */
	carob_upstream_index_t *members;
	uint32_t count;
	uint32_t cap;
	uint64_t answered_ns; /* latest `answered_ns` of its members */
	/** SYNs that several members have left unanswered since then. */
	uint32_t unanswered;
	carob_upstream_index_t last_unanswered; /* of the last one */
	carob_group_load_t load;
} carob_upstream_group_t;

/** All upstreams; zero-initialise it. */
typedef struct carob_upstream_table {
	carob_upstream_t *items;
	size_t count; /* elements, including free ones */
	size_t cap;
	size_t first_free; /* no element before it is free */
	/** The indexes omit free elements. */
	carob_index_map_t by_id;
	carob_index_map_t by_tag;
	carob_index_map_t by_service;
	carob_upstream_group_t *groups;
	size_t group_count;
	uint32_t *group_heads; /* first group of each service */
	size_t group_head_count;
	carob_name_table_t services;
	carob_name_table_t zones;
	bool reconciling;     /* see carob_upstream_table_begin_era */
	uint64_t answered_ns; /* latest `answered_ns` of all upstreams */
} carob_upstream_table_t;

/** @return the steering tag for an upstream's number; never 0 */
uint32_t carob_upstream_tag(uint64_t number);

/** @return the name of a state, for logs */
const char *carob_upstream_state_name(carob_upstream_state_t state);

/**
 * Adds an upstream or updates it. An entry whose revision is not newer than
 * the known one changes nothing, nor does one that is older by
 * `carob_upstream_table_begin_era`.
 *
 * @param table the table
 * @param entry the entry; its strings are copied
 * @param revision the revision of the entry
 * @param now_ns monotonic time
 * @return 0, CAROB_ESTALE (not newer), CAROB_ELIMIT (id too long) or
 *         CAROB_ENOMEM
 */
int carob_upstream_table_put(carob_upstream_table_t *table,
			     const carob_upstream_entry_t *entry,
			     uint64_t revision, uint64_t now_ns);

/**
 * Marks an upstream whose entry was removed or has become unusable. Its flows
 * stay on it.
 *
 * @param table the table
 * @param id the upstream
 * @param revision the revision of the removal; older ones are ignored
 * @param to its new state, CAROB_UPSTREAM_LAPSED or CAROB_UPSTREAM_GONE; a
 *        draining upstream is always set to CAROB_UPSTREAM_GONE
 * @param now_ns monotonic time
 */
void carob_upstream_table_remove(carob_upstream_table_t *table, carob_str_t id,
				 uint64_t revision, carob_upstream_state_t to,
				 uint64_t now_ns);

/**
 * Begins an era of the catalogue, whose revisions are unrelated to the earlier
 * ones. Until `carob_upstream_table_end_reconciling`, entries may stem from the
 * copy that the platform returned from. Those that are older than what is known
 * change nothing: by incarnation and sequence, and for an upstream that drains
 * or is gone also with the same sequence.
 */
void carob_upstream_table_begin_era(carob_upstream_table_t *table);

/** Ends the comparison with the former era: entries count as they are. */
void carob_upstream_table_end_reconciling(carob_upstream_table_t *table);

/** Begins a listing: marks all upstreams as not listed. */
void carob_upstream_table_begin_listing(carob_upstream_table_t *table);

/**
 * Ends a listing: treats the upstreams that it did not contain as
 * `carob_upstream_table_remove` does.
 *
 * @param table the table
 * @param revision the revision of the listing; newer entries are kept
 * @param to the new state, as in `carob_upstream_table_remove`
 * @param now_ns monotonic time
 */
void carob_upstream_table_end_listing(carob_upstream_table_t *table,
				      uint64_t revision,
				      carob_upstream_state_t to,
				      uint64_t now_ns);

/** Sets all upstreams in the state LAPSED to GONE. */
void carob_upstream_table_expire_lapsed(carob_upstream_table_t *table,
					uint64_t now_ns);

/**
 * Removes the upstreams that have been in the state GONE for longer than
 * `after_ns` and have no open flows; frees their elements for others.
 */
void carob_upstream_table_forget_gone(carob_upstream_table_t *table,
				      uint64_t after_ns, uint64_t now_ns);

/**
 * @return the index of the upstream with a tag, or CAROB_UPSTREAM_NONE; of two
 *         with the same tag, one that is not in the state GONE
 */
carob_upstream_index_t
carob_upstream_table_by_tag(const carob_upstream_table_t *table, uint32_t tag);

/** @return the index of the upstream with an id, or CAROB_UPSTREAM_NONE */
carob_upstream_index_t
carob_upstream_table_by_id(const carob_upstream_table_t *table, carob_str_t id);

/** @return the first upstream of a service, or CAROB_UPSTREAM_NONE */
carob_upstream_index_t
carob_upstream_table_first_of_service(const carob_upstream_table_t *table,
				      carob_name_id_t service);

/** @return the next upstream of its service, or CAROB_UPSTREAM_NONE */
carob_upstream_index_t
carob_upstream_table_next_of_service(const carob_upstream_table_t *table,
				     carob_upstream_index_t index);

/** Iterates over the upstreams of one service, in unspecified order. */
#define CAROB_UPSTREAMS_OF(index, table, service)                              \
	for (carob_upstream_index_t index =                                    \
		     carob_upstream_table_first_of_service(table, service);    \
	     index != CAROB_UPSTREAM_NONE;                                     \
	     index = carob_upstream_table_next_of_service(table, index))

/**
 * @return the first group of a service in the order of zone names, or NULL;
 *         borrowed until an upstream is added
 */
carob_upstream_group_t *
carob_upstream_table_first_group(const carob_upstream_table_t *table,
				 carob_name_id_t service);

/** @return the next group of the same service, or NULL */
carob_upstream_group_t *
carob_upstream_table_next_group(const carob_upstream_table_t *table,
				const carob_upstream_group_t *group);

/** Iterates over the groups of one service, in the order of zone names. */
#define CAROB_UPSTREAM_GROUPS_OF(group, table, service)                        \
	for (carob_upstream_group_t *group =                                   \
		     carob_upstream_table_first_group(table, service);         \
	     group != NULL;                                                    \
	     group = carob_upstream_table_next_group(table, group))

/** @return whether new flows may be placed on the upstream */
static inline bool carob_upstream_accepts(const carob_upstream_t *upstream)
{
	return upstream->used && (upstream->state == CAROB_UPSTREAM_READY ||
				  upstream->state == CAROB_UPSTREAM_LAPSED);
}

/** Releases the upstreams and names and zeroes the table. */
void carob_upstream_table_dispose(carob_upstream_table_t *table);

#endif
