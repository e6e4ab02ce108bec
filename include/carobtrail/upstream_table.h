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
	bool cold_unstated;  /* the entry lacks `cold_ms` */
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

/** What this instance measures of an upstream; see load_meter.h. */
typedef struct carob_upstream_meter {
	int64_t area;	     /* tenths of a request, times nanoseconds */
	uint64_t updated_ns; /* `area` counts up to here */
	uint64_t faded_ns;   /* time up to which the responses have faded */
	float answered;	     /* responses, of which the old ones fade */
	float late;	     /* of these, late, missing or failed ones */
} carob_upstream_meter_t;
/**
 * State of the slow start of an upstream; pace.h describes its use. Rates are
 * those of this instance.
 */
typedef struct carob_upstream_pace {
	bool known;	   /* the members below are about this incarnation */
	bool ramping;	   /* its share is limited */
	bool bounded;	   /* it is cold, and its service states a rate */
	bool free;	   /* no warm upstream to compare it with */
	uint8_t fast;	   /* answers since the last step of the share */
	uint8_t slow;	   /* slow and missing answers since then */
	float share;	   /* of what a warm upstream receives */
	float floor_share; /* lower limit of the share at `floor_ns` */
	float level;	   /* random number in [0, 1), set once per ramp */
	float tokens;	   /* flows allowed at `refilled_ns` */
	float per_s;	   /* tokens per second */
	float open_max;	   /* open flows allowed */
	float sent_per_s;  /* new flows per second, an average, at `sent_ns` */
	uint32_t rise_ms;  /* time in which the lower limit rises to 1 */
	uint64_t started_ms; /* incarnation */
	uint64_t floor_ns;
	uint64_t refilled_ns;
	uint64_t sent_ns;
	/** Windows in which one flow each is allowed while `bounded`. */
	uint64_t window_ns; /* start of the first that is not used up */
	uint64_t period_ns; /* from one start to the next */
	uint64_t width_ns;
} carob_upstream_pace_t;

/** What outlier detection has decided; see outlier_detector.h. */
typedef struct carob_upstream_outlier {
	bool ejected;
	/** It fails most requests, and its group hardly any. */
	bool failing;
	uint8_t in_a_row;    /* ejections with short times between them */
	uint64_t changed_ns; /* time of the last ejection or return */
	uint64_t known_ns;   /* when its share was known last */
	/** Since when it has failed most requests; 0: it does not. */
	uint64_t failing_since_ns;
} carob_upstream_outlier_t;

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
	bool evacuated;		/* its zone has been taken out of service */
	/** Time at which its entry was removed while it was ready and the
	 * platform was reachable; 0: it was not, or that is not certain. */
	uint64_t removed_ns;

	uint32_t open_flows; /* open flows of this instance */
	uint32_t pending;    /* open flows with a request in progress */
	/** Those of them whose callers have fallen silent; see flow_table.h. */
	uint32_t overdue;
	uint64_t answered_ns; /* time of a caller's last acknowledgement */
	/** SYNs that callers have retransmitted since `answered_ns`. */
	uint32_t unanswered_syns;
	/** Attempts since `answered_ns` after which callers tried again at
	 * once; see attempt_table.h. */
	uint32_t refused_syns;
	/** Requests that callers have retransmitted since `answered_ns`. */
	uint32_t repeated_requests;
	bool stalled;	      /* a request was retransmitted for too long */
	uint64_t evidence_ns; /* time of the last such retransmission */
	/** Time of the last retransmission of a request that is overdue (see
	 * failure_detector.h), or 0 if there was none since `answered_ns`. */
	uint64_t overdue_ns;
	/** Until then, new flows are placed elsewhere if possible. */
	uint64_t avoid_until_ns;
	carob_upstream_pace_t pace;
	carob_upstream_outlier_t outlier;

	/** What other instances report of it; see load_view.h. */
	float others_load; /* their requests in progress, a time average */
	/** Share of their responses that were late, missing or failed. */
	float others_late;
	bool others_answered; /* they have seen responses lately */
	carob_upstream_meter_t meter;
} carob_upstream_t;

/**
 * The load of a group as placement measured it last (placement.h). It is a
 * cache, so placement writes it also through a const table.
 */
typedef struct carob_group_load {
	uint64_t refusals;    /* of the table, at the last measurement */
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
	/** When a flow was refused or deferred or upstreams were busy last. */
	uint64_t overloaded_ns;
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
	/** Whether a zone is evacuated, by its number in `zones`; shorter than
	 * `zones` if the last ones are not. */
	bool *evacuated_zones;
	size_t evacuated_zones_cap;
	bool reconciling;     /* see carob_upstream_table_begin_era */
	uint64_t answered_ns; /* latest `answered_ns` of all upstreams */
	/** Rises when an upstream changes its state, starts or is cold. */
	uint64_t changes;
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
 * Notes that an entry is about to be removed while the platform is reachable.
 * Call it before `carob_upstream_table_remove`, with the same arguments. Only
 * the removal of a ready upstream is noted: one that drains leaves on purpose.
 */
void carob_upstream_table_note_removal(carob_upstream_table_t *table,
				       carob_str_t id, uint64_t revision,
				       uint64_t now_ns);

/**
 * Takes back the removals that were noted at `since_ns` or later: an outage of
 * the platform may have caused them.
 */
void carob_upstream_table_distrust_removals(carob_upstream_table_t *table,
					    uint64_t since_ns);

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

/**
 * Sets whether a zone is evacuated, for its upstreams and those that are added
 * later. Open flows stay on them.
 *
 * @param out_count receives the number of upstreams of the zone
 * @param table the table
 * @param zone the zone; it need not have upstreams yet
 * @param evacuated whether its upstreams get no new flows
 * @return 0 or CAROB_ENOMEM
 */
int carob_upstream_table_set_evacuated(size_t *out_count,
				       carob_upstream_table_t *table,
				       carob_str_t zone, bool evacuated);

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

/** Discards the evidence of the failure detector against an upstream: it has
 * answered, or a new incarnation of it has started. */
void carob_upstream_discard_evidence(carob_upstream_t *upstream);

/** Load of an open flow without a request in progress, in requests. */
#define CAROB_IDLE_FLOW_LOAD 0.1
/** Part of its slots with which a cold upstream counts: its requests take about
 * 1.6 times as long. */
#define CAROB_COLD_SLOTS_PART 0.6

/** @return the slots of an upstream, fewer while it is cold */
static inline double
carob_upstream_usable_slots(const carob_upstream_t *upstream, uint64_t now_ns)
{
	return now_ns < upstream->cold_until_ns
		       ? CAROB_COLD_SLOTS_PART * upstream->slots
		       : upstream->slots;
}

/** @return whether new flows may be placed on the upstream */
static inline bool carob_upstream_accepts(const carob_upstream_t *upstream)
{
	return upstream->used && !upstream->evacuated &&
	       (upstream->state == CAROB_UPSTREAM_READY ||
		upstream->state == CAROB_UPSTREAM_LAPSED);
}

/** Releases the upstreams and names and zeroes the table. */
void carob_upstream_table_dispose(carob_upstream_table_t *table);

#endif
