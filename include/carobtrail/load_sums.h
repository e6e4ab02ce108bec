/**
 * @file load_sums.h
 * What a reader knows of the load of the other instances: the reports of its
 * zone, by sender, the sums of the other zones, and the total of all. Reports
 * and sums expire, so that a sender that is frozen or cut off is left out.
 */
#ifndef CAROBTRAIL_LOAD_SUMS_H
#define CAROBTRAIL_LOAD_SUMS_H

#include "carobtrail/clock.h"
#include "carobtrail/load_report.h"

/** Number of tags of upstreams in reports. */
#define CAROB_LOAD_TAGS 65536
/** Longest and shortest interval between reports, in milliseconds. */
#define CAROB_LOAD_INTERVAL_MS_MIN 250
#define CAROB_LOAD_INTERVAL_MS_MAX 8000
/** Bytes on the wire that a reader sends per second, for all its messages. */
#define CAROB_LOAD_BYTES_PER_S 16000
/** Intervals after which a report expires. */
#define CAROB_LOAD_INTERVALS_KEPT 3
/** A view and the sum of a zone expire no sooner, in milliseconds. */
#define CAROB_LOAD_VIEW_MS_MIN 2000

/** The last message of one sender. */
typedef struct carob_load_record {
	uint64_t id; /* the sender of a report, or the zone of a sum */
	bool is_zone;
	bool alive; /* its loads are in the totals */
	uint64_t incarnation;
	uint32_t sequence;    /* of the newest datagram */
	uint32_t instances;   /* that its loads are of */
	uint32_t interval_ms; /* that the sender works with */
	uint64_t measured_ns; /* mean time at which its loads were measured */
	uint64_t heard_ns;    /* time of the last datagram */
	uint64_t expires_ns;
	carob_load_list_t loads;
	/** Datagrams of a message that has not arrived whole. */
	carob_load_list_t arriving;
	uint8_t parts;	      /* of that message */
	uint64_t parts_seen;  /* one bit each */
	uint32_t parts_count; /* of those seen */
} carob_load_record_t;

/** Sums over all senders for one tag. */
typedef struct carob_load_total {
	uint32_t load;	 /* in steps */
	uint32_t late;	 /* sum of weight and share, in steps of the share */
	uint32_t weight; /* of the senders that have seen responses */
} carob_load_total_t;

/** All records and their totals; zero-initialise it. */
typedef struct carob_load_sums {
	carob_load_record_t *records;
	size_t count;
	size_t cap;
	carob_load_total_t *totals; /* by tag */
	uint64_t used[CAROB_LOAD_TAGS /
		      64]; /* tags with a total, one bit each */
	size_t used_count;
	size_t entries; /* of all records */
} carob_load_sums_t;

/** A datagram for `carob_load_sums_put`. */
typedef struct carob_load_part {
	const carob_load_header_t *header;
	const carob_load_entry_t *entries;
	size_t count;
	uint64_t id; /* of the record */
	bool is_zone;
	uint64_t measured_ns; /* mean time at which its loads were measured */
} carob_load_part_t;

/**
 * Enters a datagram. Its loads replace those of the same record once all
 * datagrams of the message are there.
 *
 * @param sums the sums
 * @param part the datagram
 * @param now_ns monotonic time
 * @return 0; CAROB_EEXISTS: more datagrams of the message are expected;
 *         CAROB_ESTALE: old, repeated or of an earlier incarnation;
 *         CAROB_EFORMAT: does not fit to the other datagrams; CAROB_ELIMIT: no
 *         more records or loads are kept; CAROB_ENOMEM
 */
int carob_load_sums_put(carob_load_sums_t *sums, const carob_load_part_t *part,
			uint64_t now_ns);

/** Takes the records that have expired out of the totals. */
void carob_load_sums_expire(carob_load_sums_t *sums, uint64_t now_ns);

/** Takes one record out of the totals; its last sequence stays known. */
void carob_load_sums_drop(carob_load_sums_t *sums, uint64_t id, bool is_zone);

/** Which records a sum leaves out. */
typedef struct carob_load_query {
	uint64_t except; /* the sender that asks; 0: none */
	bool zone_only;	 /* leave out the sums of other zones */
} carob_load_query_t;

/** Numbers that go with a sum. */
typedef struct carob_load_summary {
	uint32_t zone_instances; /* with reports, without `except` */
	uint32_t all_instances;	 /* the same, of all zones */
	uint32_t age_ms;	 /* mean over these instances */
} carob_load_summary_t;

/**
 * Sums the load up.
 *
 * @param out receives the sum by tag, sorted; its content is replaced
 * @param summary receives the numbers
 * @param sums the sums, without expired records
 * @param query what to leave out
 * @param now_ns monotonic time
 * @return 0 or CAROB_ENOMEM
 */
int carob_load_sums_write(carob_load_list_t *out, carob_load_summary_t *summary,
			  carob_load_sums_t *sums,
			  const carob_load_query_t *query, uint64_t now_ns);

/**
 * @param sums the sums
 * @param messages number of messages with a sum that are sent per interval
 * @return the interval in milliseconds with which they stay within the budget;
 *         above CAROB_LOAD_INTERVAL_MS_MAX: load can't be shared
 */
uint32_t carob_load_sums_interval_ms(const carob_load_sums_t *sums,
				     size_t messages);

/** @return the time after which a view expires, in milliseconds */
uint32_t carob_load_view_ms(uint32_t interval_ms);

/** @return the record of an id, borrowed, or NULL */
const carob_load_record_t *carob_load_sums_find(const carob_load_sums_t *sums,
						uint64_t id, bool is_zone);

/** Releases all records and zeroes the sums. */
void carob_load_sums_dispose(carob_load_sums_t *sums);

#endif
