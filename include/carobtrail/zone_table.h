/**
 * @file zone_table.h
 * Availability zones that the operator has taken out of service: nothing new is
 * sent to the upstreams of an evacuated zone. The table only remembers what the
 * catalogue says; upstream_table.h marks the upstreams.
 */
#ifndef CAROBTRAIL_ZONE_TABLE_H
#define CAROBTRAIL_ZONE_TABLE_H

#include "carobtrail/name_table.h"

#include <stdint.h>

/** Maximum length of the name of a zone, in bytes. */
#define CAROB_ZONE_TABLE_NAME_MAX 255
/** Maximum number of zones. Any client of the platform may name zones, so the
 * table is bounded. */
#define CAROB_ZONE_TABLE_MAX 256

/** One zone that has been evacuated at some time. */
typedef struct carob_zone_entry {
	bool evacuated;
	bool listed;	   /* seen in the listing in progress */
	uint64_t revision; /* of the evacuation or of its end */
	uint64_t since_ns; /* monotonic time of the last change of `evacuated` */
} carob_zone_entry_t;

/** All such zones; zero-initialise it. `items[i]` is the zone `names[i]`. */
typedef struct carob_zone_table {
	carob_name_table_t names;
	carob_zone_entry_t items[CAROB_ZONE_TABLE_MAX];
	bool reconciling; /* see carob_zone_table_begin_era */
} carob_zone_table_t;

/**
 * Evacuates a zone.
 *
 * @param table the table
 * @param name the zone; it is copied
 * @param revision the revision of the evacuation
 * @param now_ns monotonic time
 * @return 0, CAROB_ESTALE (the revision is not newer than the known one, or the
 *         zone is evacuated already), CAROB_ELIMIT (the name is too long or
 *         there are too many zones) or CAROB_ENOMEM
 */
int carob_zone_table_evacuate(carob_zone_table_t *table, carob_str_t name,
			      uint64_t revision, uint64_t now_ns);

/**
 * Ends the evacuation of a zone.
 *
 * @param out_since_ns receives the time since which it was evacuated; unchanged
 *        if it was not
 * @param table the table
 * @param name the zone
 * @param revision the revision of the end; older ones are ignored
 * @param now_ns monotonic time
 * @return whether the zone was evacuated
 */
bool carob_zone_table_restore(uint64_t *out_since_ns, carob_zone_table_t *table,
			      carob_str_t name, uint64_t revision,
			      uint64_t now_ns);

/**
 * Begins an era of the catalogue, whose revisions are unrelated to the earlier
 * ones. Until `carob_zone_table_end_reconciling`, listings may stem from the
 * copy that the platform returned from and restore no zone.
 */
void carob_zone_table_begin_era(carob_zone_table_t *table);

/** Ends the comparison with the former era: listings count as they are. */
void carob_zone_table_end_reconciling(carob_zone_table_t *table);

/** Begins a listing: marks all zones as not listed. */
void carob_zone_table_begin_listing(carob_zone_table_t *table);

/**
 * Tells, after the last page of a listing, whether it has ended the evacuation
 * of a zone: whether it did not contain the zone.
 *
 * @param table the table
 * @param index the index of the zone
 * @param revision the revision of the listing; newer evacuations are kept
 * @return whether the zone is evacuated and to be restored
 */
bool carob_zone_table_is_unlisted(const carob_zone_table_t *table, size_t index,
				  uint64_t revision);

/** @return whether a zone is evacuated */
bool carob_zone_table_is_evacuated(const carob_zone_table_t *table,
				   carob_str_t name);

/** @return the number of evacuated zones */
size_t carob_zone_table_count_evacuated(const carob_zone_table_t *table);

/** Releases the names and zeroes the table. */
void carob_zone_table_dispose(carob_zone_table_t *table);

#endif
