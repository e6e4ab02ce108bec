#include "carobtrail/load_sums.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAP 32
/* Bounds of a reader's memory: records, and entries of all records (6 bytes
 * each; as many again while messages arrive). */
#define RECORDS_MAX 2048
#define ENTRIES_MAX 500000
/* Time for which the incarnation of a silent sender is remembered, so that
 * datagrams of an earlier one that arrive late change nothing. */
#define REMEMBER_NS (60 * CAROB_NS_PER_S)
#define WORD_BITS   64
#define MS_PER_S    1000

uint32_t carob_load_view_ms(uint32_t interval_ms)
{
	uint32_t ms = CAROB_LOAD_INTERVALS_KEPT * interval_ms;

	return ms > CAROB_LOAD_VIEW_MS_MIN ? ms : CAROB_LOAD_VIEW_MS_MIN;
}

static carob_load_record_t *find_record(const carob_load_sums_t *sums,
					uint64_t id, bool is_zone)
{
	for (size_t i = 0; i < sums->count; i++)
		if (sums->records[i].id == id &&
		    sums->records[i].is_zone == is_zone)
			return &sums->records[i];
	return NULL;
}

const carob_load_record_t *carob_load_sums_find(const carob_load_sums_t *sums,
						uint64_t id, bool is_zone)
{
	return find_record(sums, id, is_zone);
}

/* Adds the loads of a record to the totals, or subtracts them. Unsigned
 * arithmetic wraps around, so that the inverse undoes it exactly. */
static void count_entry(carob_load_sums_t *sums,
			const carob_load_entry_t *entry, bool add)
{
	carob_load_total_t *total = &sums->totals[entry->tag];
	uint32_t sign = add ? 1U : UINT32_MAX;
	uint32_t weight = entry->load ? entry->load : 1U;

	total->load += sign * entry->load;
	if (entry->late == CAROB_LOAD_LATE_UNKNOWN)
		return;
	total->weight += sign * weight;
	total->late += sign * weight * (uint32_t)(entry->late - 1);
}

static void mark_used(carob_load_sums_t *sums, uint16_t tag)
{
	const carob_load_total_t *total = &sums->totals[tag];
	uint64_t *word = &sums->used[tag / WORD_BITS];
	uint64_t bit = 1ULL << tag % WORD_BITS;
	bool is_used = total->load > 0 || total->weight > 0;

	if (is_used == ((*word & bit) != 0))
		return;
	*word ^= bit;
	sums->used_count += is_used ? 1 : SIZE_MAX;
}

static void count_record(carob_load_sums_t *sums,
			 const carob_load_record_t *record, bool add)
{
	for (size_t i = 0; i < record->loads.count; i++) {
		count_entry(sums, &record->loads.items[i], add);
		mark_used(sums, record->loads.items[i].tag);
	}
}

static void clear_loads(carob_load_sums_t *sums, carob_load_record_t *record)
{
	if (record->alive)
		count_record(sums, record, false);
	record->alive = false;
	sums->entries -= record->loads.count + record->arriving.count;
	carob_load_list_dispose(&record->loads);
	carob_load_list_dispose(&record->arriving);
	record->parts = 0;
}

static int allocate_totals(carob_load_sums_t *sums)
{
	if (!sums->totals)
		sums->totals = calloc(CAROB_LOAD_TAGS, sizeof(*sums->totals));
	return sums->totals ? 0
			    : carob_error_set(CAROB_ENOMEM,
					      "cannot allocate sums of load");
}

static int grow_records(carob_load_sums_t *sums)
{
	size_t cap = sums->cap ? 2 * sums->cap : FIRST_CAP;
	carob_load_record_t *records;

	if (sums->count == RECORDS_MAX)
		return CAROB_ELIMIT;
	records = realloc(sums->records, cap * sizeof(*records));
	if (!records)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate reports of load");
	sums->records = records;
	sums->cap = cap;
	return 0;
}

static int add_record(carob_load_record_t **out, carob_load_sums_t *sums,
		      const carob_load_part_t *part)
{
	int error = allocate_totals(sums);

	if (!error && sums->count == sums->cap)
		error = grow_records(sums);
	if (error)
		return error;
	*out = &sums->records[sums->count++];
	**out = (carob_load_record_t){.id = part->id, .is_zone = part->is_zone};
	return 0;
}

static bool is_old(const carob_load_record_t *record,
		   const carob_load_header_t *header)
{
	if (header->incarnation != record->incarnation)
		return header->incarnation < record->incarnation;
	if (header->sequence != record->sequence)
		return header->sequence < record->sequence;
	return !record->parts || header->part >= CAROB_LOAD_PARTS_MAX ||
	       (record->parts_seen & 1ULL << header->part) != 0;
}

static void begin_message(carob_load_sums_t *sums, carob_load_record_t *record,
			  const carob_load_header_t *header)
{
	sums->entries -= record->arriving.count;
	record->arriving.count = 0;
	record->incarnation = header->incarnation;
	record->sequence = header->sequence;
	record->parts = header->parts;
	record->parts_seen = 0;
	record->parts_count = 0;
}

/* Puts the loads of a message that is whole into the totals. */
static void apply_message(carob_load_sums_t *sums, carob_load_record_t *record,
			  const carob_load_part_t *part)
{
	const carob_load_header_t *header = part->header;
	carob_load_list_t loads = record->loads;
	uint64_t kept_ms;

	if (record->alive)
		count_record(sums, record, false);
	sums->entries -= loads.count;
	record->loads = record->arriving;
	record->arriving = loads;
	record->arriving.count = 0;
	record->parts = 0;
	carob_load_list_sort(&record->loads);
	count_record(sums, record, true);
	record->alive = true;
	record->instances = part->is_zone ? header->zone_instances : 1;
	record->interval_ms = header->interval_ms;
	if (record->interval_ms < CAROB_LOAD_INTERVAL_MS_MIN)
		record->interval_ms = CAROB_LOAD_INTERVAL_MS_MIN;
	if (record->interval_ms > CAROB_LOAD_INTERVAL_MS_MAX)
		record->interval_ms = CAROB_LOAD_INTERVAL_MS_MAX;
	kept_ms = part->is_zone
			  ? carob_load_view_ms(record->interval_ms)
			  : CAROB_LOAD_INTERVALS_KEPT * record->interval_ms;
	record->measured_ns = part->measured_ns;
	record->expires_ns = part->measured_ns + kept_ms * CAROB_NS_PER_MS;
}

int carob_load_sums_put(carob_load_sums_t *sums, const carob_load_part_t *part,
			uint64_t now_ns)
{
	const carob_load_header_t *header = part->header;
	carob_load_record_t *record =
		find_record(sums, part->id, part->is_zone);
	bool is_new = !record;
	int error = 0;

	if (sums->entries + part->count > ENTRIES_MAX)
		return CAROB_ELIMIT;
	if (is_new)
		error = add_record(&record, sums, part);
	if (error)
		return error;
	if (!is_new && is_old(record, header))
		return CAROB_ESTALE;
	if (is_new || header->incarnation != record->incarnation ||
	    header->sequence != record->sequence)
		begin_message(sums, record, header);
	if (header->parts != record->parts)
		return CAROB_EFORMAT;
	for (size_t i = 0; !error && i < part->count; i++)
		error = carob_load_list_add(&record->arriving,
					    &part->entries[i]);
	if (error)
		return error;
	sums->entries += part->count;
	record->heard_ns = now_ns;
	record->parts_seen |= 1ULL << header->part;
	if (++record->parts_count < record->parts)
		return CAROB_EEXISTS;
	apply_message(sums, record, part);
	return 0;
}

void carob_load_sums_drop(carob_load_sums_t *sums, uint64_t id, bool is_zone)
{
	carob_load_record_t *record = find_record(sums, id, is_zone);

	if (record)
		clear_loads(sums, record);
}

void carob_load_sums_expire(carob_load_sums_t *sums, uint64_t now_ns)
{
	for (size_t i = sums->count; i-- > 0;) {
		carob_load_record_t *record = &sums->records[i];

		if (record->alive && now_ns >= record->expires_ns)
			clear_loads(sums, record);
		if (record->alive || now_ns - record->heard_ns < REMEMBER_NS)
			continue;
		clear_loads(sums, record);
		*record = sums->records[--sums->count];
	}
}

static bool is_left_out(const carob_load_record_t *record,
			const carob_load_query_t *query)
{
	if (!record->alive)
		return true;
	return record->is_zone ? query->zone_only
			       : query->except && record->id == query->except;
}

/* Takes the records that a query leaves out of the totals, or puts them back.
 * What stays marked as used in between has a total of 0. */
static void count_left_out(carob_load_sums_t *sums,
			   const carob_load_query_t *query, bool add)
{
	for (size_t i = 0; i < sums->count; i++) {
		const carob_load_record_t *record = &sums->records[i];

		if (!record->alive || !is_left_out(record, query))
			continue;
		for (size_t k = 0; k < record->loads.count; k++)
			count_entry(sums, &record->loads.items[k], add);
	}
}

static void summarize(carob_load_summary_t *out, const carob_load_sums_t *sums,
		      const carob_load_query_t *query, uint64_t now_ns)
{
	uint64_t age_ms = 0;

	*out = (carob_load_summary_t){0};
	for (size_t i = 0; i < sums->count; i++) {
		const carob_load_record_t *record = &sums->records[i];

		if (is_left_out(record, query))
			continue;
		out->all_instances += record->instances;
		if (!record->is_zone)
			out->zone_instances += record->instances;
		age_ms += (now_ns - record->measured_ns) / CAROB_NS_PER_MS *
			  record->instances;
	}
	if (out->all_instances > 0)
		out->age_ms = (uint32_t)(age_ms / out->all_instances);
}

static int write_total(carob_load_list_t *out, const carob_load_sums_t *sums,
		       uint16_t tag)
{
	const carob_load_total_t *total = &sums->totals[tag];
	carob_load_entry_t entry = {
		.tag = tag,
		.load = (uint16_t)(total->load < CAROB_LOAD_MAX
					   ? total->load
					   : CAROB_LOAD_MAX),
	};

	if (total->weight > 0)
		entry.late = (uint8_t)(1 + (total->late + total->weight / 2) /
						   total->weight);
	if (entry.load == 0 && entry.late <= 1)
		return 0;
	return carob_load_list_add(out, &entry);
}

int carob_load_sums_write(carob_load_list_t *out, carob_load_summary_t *summary,
			  carob_load_sums_t *sums,
			  const carob_load_query_t *query, uint64_t now_ns)
{
	int error = allocate_totals(sums);

	if (error)
		return error;
	out->count = 0;
	summarize(summary, sums, query, now_ns);
	count_left_out(sums, query, false);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sums->used); i++)
		for (uint64_t word = sums->used[i]; !error && word;
		     word &= word - 1)
			error = write_total(
				out, sums,
				(uint16_t)(i * WORD_BITS +
					   (size_t)__builtin_ctzll(word)));
	count_left_out(sums, query, true);
	return error;
}

uint32_t carob_load_sums_interval_ms(const carob_load_sums_t *sums,
				     size_t messages)
{
	uint64_t bytes = messages * carob_load_wire_bytes(sums->used_count);
	uint64_t ms = bytes * MS_PER_S / CAROB_LOAD_BYTES_PER_S;

	if (sums->used_count > CAROB_LOAD_ENTRIES_MAX ||
	    ms > CAROB_LOAD_INTERVAL_MS_MAX)
		return CAROB_LOAD_INTERVAL_MS_MAX + 1;
	return ms > CAROB_LOAD_INTERVAL_MS_MIN ? (uint32_t)ms
					       : CAROB_LOAD_INTERVAL_MS_MIN;
}

void carob_load_sums_dispose(carob_load_sums_t *sums)
{
	for (size_t i = 0; i < sums->count; i++) {
		carob_load_list_dispose(&sums->records[i].loads);
		carob_load_list_dispose(&sums->records[i].arriving);
	}
	free(sums->records);
	free(sums->totals);
	*sums = (carob_load_sums_t){0};
}
