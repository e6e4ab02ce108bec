/**
 * @file reader_table.h
 * The readers of the own availability zone: instances that read the platform
 * for the others, which read from them (relay_source.h). Readers announce
 * themselves in the catalogue, in one of a fixed number of slots. The table also
 * knows the readers of other zones, to which load is reported (load_sharing.h).
 */
#ifndef CAROBTRAIL_READER_TABLE_H
#define CAROBTRAIL_READER_TABLE_H

#include "carobtrail/flow_packet.h"
#include "carobtrail/str.h"

#include <stdint.h>

/** Readers of a zone. While none answers, each instance reads the platform. */
#define CAROB_READER_SLOTS 1
/** Maximum length of the name of a reader, in bytes. */
#define CAROB_READER_NAME_MAX 255
/** Other zones whose readers are known. */
#define CAROB_READER_ZONES_MAX 16
/** Length of the key that authenticates a reader's responses, in bytes. */
#define CAROB_READER_KEY_BYTES 32

/** A reader's entry in the catalogue. */
typedef struct carob_reader_entry {
	carob_str_t zone;
	uint32_t slot;
	carob_str_t name;
	carob_endpoint_t endpoint; /* where the other instances read */
	uint8_t key[CAROB_READER_KEY_BYTES];
} carob_reader_entry_t;

/** One slot. */
typedef struct carob_reader_slot {
	bool used;
	bool listed; /* seen in the listing in progress */
	char name[CAROB_READER_NAME_MAX + 1];
	carob_endpoint_t endpoint;
	uint8_t key[CAROB_READER_KEY_BYTES];
	uint64_t revision; /* of the entry or of its removal */
} carob_reader_slot_t;

/** The reader of another zone, that of its first slot. */
typedef struct carob_reader_zone {
	char zone[CAROB_READER_NAME_MAX + 1]; /* empty: a free element */
	carob_reader_slot_t slot;
} carob_reader_zone_t;

/** The readers of one zone; zero-initialise it and set `zone`, borrowed. */
typedef struct carob_reader_table {
	carob_str_t zone;
	carob_reader_slot_t slots[CAROB_READER_SLOTS];
	/** Readers of other zones; as many as fit. */
	carob_reader_zone_t others[CAROB_READER_ZONES_MAX];
} carob_reader_table_t;

/** Enters a reader; revisions that are not newer are ignored. */
void carob_reader_table_put(carob_reader_table_t *table,
			    const carob_reader_entry_t *entry,
			    uint64_t revision);

/** Removes a reader; older revisions are ignored. */
void carob_reader_table_remove(carob_reader_table_t *table, carob_str_t zone,
			       uint32_t slot, uint64_t revision);

/** Begins an era, whose revisions are unrelated to the earlier ones. */
void carob_reader_table_begin_era(carob_reader_table_t *table);

/** Begins a listing. */
void carob_reader_table_begin_listing(carob_reader_table_t *table);

/** Ends a listing: removes the readers that it did not contain, unless their
 * entries are newer than `revision`. */
void carob_reader_table_end_listing(carob_reader_table_t *table,
				    uint64_t revision);

/** @return the slot that a reader holds, or CAROB_READER_SLOTS */
size_t carob_reader_table_slot_of(const carob_reader_table_t *table,
				  carob_str_t name);

/** @return the lowest free slot, or CAROB_READER_SLOTS */
size_t carob_reader_table_free_slot(const carob_reader_table_t *table);

#endif
