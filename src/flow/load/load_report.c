#include "carobtrail/load_report.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>

#define VERSION	      1
#define LOAD_BITS     11
#define FIRST_CAP     64
#define IP_UDP_BYTES  28
#define LATE_STEPS    (CAROB_LOAD_LATE_MAX - 1)
#define MESSAGE_BYTES (CAROB_LOAD_HEADER_BYTES + CAROB_LOAD_AUTH_BYTES)

/* Offsets of the header's members. */
enum {
	AT_VERSION = 0,
	AT_KIND = 1,
	AT_PART = 2,
	AT_PARTS = 3,
	AT_FROM = 4,
	AT_TO = 12,
	AT_INCARNATION = 20,
	AT_TO_INCARNATION = 28,
	AT_SEQUENCE = 36,
	AT_ECHO = 40,
	AT_AGE = 44,
	AT_HOLD = 48,
	AT_INTERVAL = 52,
	AT_ZONE_INSTANCES = 54,
	AT_ALL_INSTANCES = 56,
	AT_RESERVED = 60,
};

_Static_assert(AT_RESERVED + 4 == CAROB_LOAD_HEADER_BYTES,
	       "the header has 64 bytes");

uint64_t carob_load_sender(carob_str_t zone, carob_str_t name)
{
	return carob_hash_bytes(carob_hash_bytes(0, zone.ptr, zone.len),
				name.ptr, name.len);
}

uint8_t carob_load_late_encode(double share)
{
	if (share >= 1)
		return CAROB_LOAD_LATE_MAX;
	return (uint8_t)(1 + (int)(share * LATE_STEPS + 0.5));
}

double carob_load_late_decode(uint8_t late)
{
	return late == CAROB_LOAD_LATE_UNKNOWN
		       ? 0
		       : (double)(late - 1) / LATE_STEPS;
}

int carob_load_list_add(carob_load_list_t *list,
			const carob_load_entry_t *entry)
{
	size_t cap = list->cap ? 2 * list->cap : FIRST_CAP;

	if (list->count == list->cap) {
		carob_load_entry_t *items =
			realloc(list->items, cap * sizeof(*items));

		if (!items)
			return carob_error_set(CAROB_ENOMEM,
					       "cannot allocate loads");
		list->items = items;
		list->cap = cap;
	}
	list->items[list->count++] = *entry;
	return 0;
}

static int compare_tags(const void *a, const void *b)
{
	return (int)((const carob_load_entry_t *)a)->tag -
	       (int)((const carob_load_entry_t *)b)->tag;
}

/* Upstreams with equal tags count as one with the load of both. */
static void join(carob_load_entry_t *entry, const carob_load_entry_t *other)
{
	uint32_t load = (uint32_t)entry->load + other->load;

	entry->load = (uint16_t)(load < CAROB_LOAD_MAX ? load : CAROB_LOAD_MAX);
	if (other->late > entry->late)
		entry->late = other->late;
}

void carob_load_list_sort(carob_load_list_t *list)
{
	size_t kept = 0;

	if (list->count == 0)
		return;
	qsort(list->items, list->count, sizeof(*list->items), compare_tags);
	for (size_t i = 1; i < list->count; i++) {
		if (list->items[i].tag == list->items[kept].tag)
			join(&list->items[kept], &list->items[i]);
		else
			list->items[++kept] = list->items[i];
	}
	list->count = kept + 1;
}

const carob_load_entry_t *carob_load_list_find(const carob_load_list_t *list,
					       uint16_t tag)
{
	const carob_load_entry_t key = {.tag = tag};

	if (list->count == 0)
		return NULL;
	return bsearch(&key, list->items, list->count, sizeof(*list->items),
		       compare_tags);
}

void carob_load_list_dispose(carob_load_list_t *list)
{
	free(list->items);
	*list = (carob_load_list_t){0};
}

size_t carob_load_parts(size_t count)
{
	return count == 0 ? 1
			  : (count + CAROB_LOAD_PART_ENTRIES - 1) /
				    CAROB_LOAD_PART_ENTRIES;
}

size_t carob_load_wire_bytes(size_t count)
{
	return carob_load_parts(count) * (MESSAGE_BYTES + IP_UDP_BYTES) +
	       count * CAROB_LOAD_ENTRY_BYTES;
}

static void put(uint8_t *bytes, size_t len, uint64_t value)
{
	for (size_t i = len; i-- > 0; value >>= 8)
		bytes[i] = (uint8_t)value;
}

static uint64_t get(const uint8_t *bytes, size_t len)
{
	uint64_t value = 0;

	for (size_t i = 0; i < len; i++)
		value = value << 8 | bytes[i];
	return value;
}

static void encode_header(uint8_t *out, const carob_load_header_t *header,
			  size_t parts)
{
	put(out + AT_VERSION, 1, VERSION);
	put(out + AT_KIND, 1, header->kind);
	put(out + AT_PART, 1, header->part);
	put(out + AT_PARTS, 1, parts);
	put(out + AT_FROM, 8, header->from);
	put(out + AT_TO, 8, header->to);
	put(out + AT_INCARNATION, 8, header->incarnation);
	put(out + AT_TO_INCARNATION, 8, header->to_incarnation);
	put(out + AT_SEQUENCE, 4, header->sequence);
	put(out + AT_ECHO, 4, header->echo);
	put(out + AT_AGE, 4, header->age_ms);
	put(out + AT_HOLD, 4, header->hold_ms);
	put(out + AT_INTERVAL, 2, header->interval_ms);
	put(out + AT_ZONE_INSTANCES, 2, header->zone_instances);
	put(out + AT_ALL_INSTANCES, 4, header->all_instances);
	put(out + AT_RESERVED, 4, 0);
}

size_t carob_load_encode(uint8_t out[CAROB_LOAD_DATAGRAM_MAX],
			 const carob_load_header_t *header,
			 const carob_load_list_t *list)
{
	size_t first = (size_t)header->part * CAROB_LOAD_PART_ENTRIES;
	size_t end = first + CAROB_LOAD_PART_ENTRIES;
	uint8_t *at = out + CAROB_LOAD_HEADER_BYTES;

	encode_header(out, header, carob_load_parts(list->count));
	if (end > list->count)
		end = list->count;
	for (size_t i = first; i < end; i++) {
		const carob_load_entry_t *entry = &list->items[i];

		put(at, 2, entry->tag);
		put(at + 2, 2,
		    (uint64_t)entry->late << LOAD_BITS | entry->load);
		at += CAROB_LOAD_ENTRY_BYTES;
	}
	return (size_t)(at - out);
}

static void decode_header(carob_load_header_t *out, const uint8_t *bytes)
{
	out->kind = (carob_load_kind_t)bytes[AT_KIND];
	out->part = bytes[AT_PART];
	out->parts = bytes[AT_PARTS];
	out->from = get(bytes + AT_FROM, 8);
	out->to = get(bytes + AT_TO, 8);
	out->incarnation = get(bytes + AT_INCARNATION, 8);
	out->to_incarnation = get(bytes + AT_TO_INCARNATION, 8);
	out->sequence = (uint32_t)get(bytes + AT_SEQUENCE, 4);
	out->echo = (uint32_t)get(bytes + AT_ECHO, 4);
	out->age_ms = (uint32_t)get(bytes + AT_AGE, 4);
	out->hold_ms = (uint32_t)get(bytes + AT_HOLD, 4);
	out->interval_ms = (uint16_t)get(bytes + AT_INTERVAL, 2);
	out->zone_instances = (uint16_t)get(bytes + AT_ZONE_INSTANCES, 2);
	out->all_instances = (uint32_t)get(bytes + AT_ALL_INSTANCES, 4);
}

/* Only the last datagram of a message is not full. */
static bool is_well_formed(const carob_load_header_t *header, size_t count)
{
	if (header->kind < CAROB_LOAD_REPORT || header->kind > CAROB_LOAD_ZONE)
		return false;
	if (header->parts == 0 || header->parts > CAROB_LOAD_PARTS_MAX ||
	    header->part >= header->parts)
		return false;
	if (header->part + 1 < header->parts)
		return count == CAROB_LOAD_PART_ENTRIES;
	return count > 0 || header->parts == 1;
}

int carob_load_decode(carob_load_header_t *out,
		      carob_load_entry_t entries[CAROB_LOAD_PART_ENTRIES],
		      size_t *count, carob_str_t datagram)
{
	const uint8_t *bytes = (const uint8_t *)datagram.ptr;

	if (datagram.len < CAROB_LOAD_HEADER_BYTES ||
	    datagram.len > CAROB_LOAD_DATAGRAM_MAX - CAROB_LOAD_AUTH_BYTES ||
	    bytes[AT_VERSION] != VERSION ||
	    (datagram.len - CAROB_LOAD_HEADER_BYTES) % CAROB_LOAD_ENTRY_BYTES)
		return CAROB_EFORMAT;
	decode_header(out, bytes);
	*count = (datagram.len - CAROB_LOAD_HEADER_BYTES) /
		 CAROB_LOAD_ENTRY_BYTES;
	bytes += CAROB_LOAD_HEADER_BYTES;
	for (size_t i = 0; i < *count; i++) {
		uint16_t value = (uint16_t)get(bytes + 2, 2);

		entries[i].tag = (uint16_t)get(bytes, 2);
		entries[i].load = value & CAROB_LOAD_MAX;
		entries[i].late = (uint8_t)(value >> LOAD_BITS);
		if (i > 0 && entries[i].tag <= entries[i - 1].tag)
			return CAROB_EFORMAT;
		bytes += CAROB_LOAD_ENTRY_BYTES;
	}
	return is_well_formed(out, *count) ? 0 : CAROB_EFORMAT;
}
