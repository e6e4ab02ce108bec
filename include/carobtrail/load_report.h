/**
 * @file load_report.h
 * Datagrams by which instances share their load (docs/design/load-sharing.md).
 * A message is a list of loads; it takes as many datagrams as it needs. Numbers
 * are in network order; an authenticator follows each datagram.
 */
#ifndef CAROBTRAIL_LOAD_REPORT_H
#define CAROBTRAIL_LOAD_REPORT_H

#include "carobtrail/str.h"

/** Largest datagram with its authenticator, in bytes. */
#define CAROB_LOAD_DATAGRAM_MAX 1200
/** Length of an authenticator, in bytes. */
#define CAROB_LOAD_AUTH_BYTES 16
/** Length of a header and of an entry, in bytes. */
#define CAROB_LOAD_HEADER_BYTES 64
#define CAROB_LOAD_ENTRY_BYTES	4
/** Entries of a datagram, and datagrams of a message. */
#define CAROB_LOAD_PART_ENTRIES                                                \
	((CAROB_LOAD_DATAGRAM_MAX - CAROB_LOAD_AUTH_BYTES -                    \
	  CAROB_LOAD_HEADER_BYTES) /                                           \
	 CAROB_LOAD_ENTRY_BYTES)
#define CAROB_LOAD_PARTS_MAX 64
/** Most entries of a message. */
#define CAROB_LOAD_ENTRIES_MAX (CAROB_LOAD_PARTS_MAX * CAROB_LOAD_PART_ENTRIES)

/** Steps of a request in which load is counted. */
#define CAROB_LOAD_STEPS 8
/** Highest load, in steps; higher ones are reported as this. */
#define CAROB_LOAD_MAX 2047
/** Values of `late`: 0 says that no response was seen. */
#define CAROB_LOAD_LATE_UNKNOWN 0
#define CAROB_LOAD_LATE_MAX	31

/** Load on one upstream. */
typedef struct carob_load_entry {
	uint16_t tag;  /* see carob_load_tag */
	uint16_t load; /* requests in progress, in steps */
	uint8_t late;  /* see carob_load_late_encode */
} carob_load_entry_t;

/** A growing list of loads, sorted by tag; zero-initialise it. */
typedef struct carob_load_list {
	carob_load_entry_t *items;
	size_t count;
	size_t cap;
} carob_load_list_t;

/** Kind of a message. */
typedef enum carob_load_kind {
	CAROB_LOAD_REPORT = 1, /* of an instance to the reader of its zone */
	CAROB_LOAD_ANSWER = 2, /* of the reader: the load of all others */
	CAROB_LOAD_ZONE = 3,   /* of a reader to that of another zone */
} carob_load_kind_t;

/** Header of a datagram. */
typedef struct carob_load_header {
	carob_load_kind_t kind;
	uint8_t part; /* number of this datagram, from 0 */
	uint8_t parts;
	uint64_t from; /* see carob_load_sender */
	uint64_t to;
	uint64_t incarnation;	 /* start of the sender, Unix time in ms */
	uint64_t to_incarnation; /* of an answer; else 0 */
	uint32_t sequence;	 /* rises with each message of the sender */
	/** The receiver's sequence that this answers; 0: none. */
	uint32_t echo;
	uint32_t age_ms;      /* mean age of the loads when they were sent */
	uint32_t hold_ms;     /* time since the message `echo` arrived */
	uint16_t interval_ms; /* between reports; set by the reader */
	uint16_t zone_instances;
	uint32_t all_instances;
} carob_load_header_t;

/** @return the tag of an upstream in reports, from its steering tag */
static inline uint16_t carob_load_tag(uint32_t tag)
{
	return (uint16_t)(tag >> 16 ^ tag);
}

/** @return the number of an instance in messages, from zone and name */
uint64_t carob_load_sender(carob_str_t zone, carob_str_t name);

/** @return a share in [0, 1] as `late` */
uint8_t carob_load_late_encode(double share);

/** @return the share that `late` says; 0 if it is unknown */
double carob_load_late_decode(uint8_t late);

/** Appends an entry. @return 0 or CAROB_ENOMEM */
int carob_load_list_add(carob_load_list_t *list,
			const carob_load_entry_t *entry);

/** Sorts a list by tag and joins entries of equal tags. */
void carob_load_list_sort(carob_load_list_t *list);

/** @return the entry of a tag in a sorted list, or NULL */
const carob_load_entry_t *carob_load_list_find(const carob_load_list_t *list,
					       uint16_t tag);

/** Releases the entries and zeroes the list. */
void carob_load_list_dispose(carob_load_list_t *list);

/** @return the number of datagrams for `count` entries */
size_t carob_load_parts(size_t count);

/** @return the bytes on the wire for `count` entries, with headers of IPv4 and
 *          UDP */
size_t carob_load_wire_bytes(size_t count);

/**
 * Encodes one datagram of a message, without its authenticator.
 *
 * @param out receives the datagram
 * @param header the header; `part` says which datagram
 * @param list all loads of the message, at most CAROB_LOAD_ENTRIES_MAX
 * @return its length in bytes
 */
size_t carob_load_encode(uint8_t out[CAROB_LOAD_DATAGRAM_MAX],
			 const carob_load_header_t *header,
			 const carob_load_list_t *list);

/**
 * Decodes a datagram, which is not trusted.
 *
 * @param out receives the header
 * @param entries receives the loads
 * @param count receives the number of loads
 * @param datagram the datagram without its authenticator
 * @return 0 or CAROB_EFORMAT
 */
int carob_load_decode(carob_load_header_t *out,
		      carob_load_entry_t entries[CAROB_LOAD_PART_ENTRIES],
		      size_t *count, carob_str_t datagram);

#endif
