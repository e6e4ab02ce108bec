#include "core/requests/entry_priv.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "core/messages/bytes.h"

#include <stdlib.h>
#include <string.h>

#define ANNOUNCE_PERIOD_NS (20 * CAROB_NS_PER_MS)
/* With 2048 buckets, the successor is announced to all feeds in about 5 s. */
#define ANNOUNCE_BUCKETS 8
#define EXPORT_VERSION	 1
#define HEADER_BYTES	 7
#define ID_BYTES	 8
#define RECORD_BYTES	 30
/* Records with longer responses are exported without the response. */
#define ANSWER_BYTES_MAX 256

carob_instance_id_t carob_drain_owner(const carob_entry_t *entry)
{
	return entry->draining ? entry->successor : carob_entry_self(entry);
}

bool carob_drain_is_predecessor(const carob_entry_t *entry,
				carob_instance_id_t id)
{
	for (size_t i = 0; i < entry->predecessor_count; i++)
		if (carob_instance_id_eq(entry->predecessors[i], id))
			return true;
	return false;
}

/* Announces the successor to the callers of all feeds in one bucket. */
static void announce_to_bucket(carob_request_t *request)
{
	while (request) {
		carob_request_t *next = request->addr_next;

		if (request->phase == CAROB_REQUEST_FEED)
			carob_feed_announce_successor(request);
		request = next;
	}
}

static void on_announce_timer(carob_timer_t *timer)
{
	carob_entry_t *entry =
		CAROB_CONTAINER_OF(timer, carob_entry_t, drain_timer);

	for (size_t i = 0; i < ANNOUNCE_BUCKETS; i++)
		if (entry->drain_bucket < CAROB_ADDR_BUCKETS)
			announce_to_bucket(
				entry->by_addr[entry->drain_bucket++]);
	if (entry->drain_bucket < CAROB_ADDR_BUCKETS)
		carob_timer_arm(entry->kernel, timer,
				carob_entry_now(entry) + ANNOUNCE_PERIOD_NS);
}

static void abandon_requests(carob_entry_t *entry)
{
	for (size_t i = 0; i < CAROB_ADDR_BUCKETS; i++)
		while (entry->by_addr[i])
			carob_request_abandon(entry->by_addr[i]);
}

void carob_entry_drain(carob_entry_t *entry, carob_instance_id_t successor)
{
	entry->draining = true;
	entry->successor = successor;
	if (entry->mutation == CAROB_ENTRY_MUTATION_DRAIN_DROPS)
		abandon_requests(entry);
	if (carob_timer_armed(&entry->drain_timer))
		return;
	entry->drain_bucket = 0;
	entry->drain_timer.fire = on_announce_timer;
	on_announce_timer(&entry->drain_timer);
}

bool carob_entry_drained(const carob_entry_t *entry)
{
	return entry->draining && entry->counters.requests_open == 0 &&
	       entry->counters.feeds_open == 0;
}

/*
 * Export. All numbers are big-endian. A header (version, number of instances,
 * number of records) is followed by the identities of this instance and its
 * predecessors, and then by the records.
 */

static int append_id(carob_buf_t *out, carob_instance_id_t id)
{
	uint8_t bytes[ID_BYTES];

	carob_put_be(carob_put_be(bytes, id.id, 4), id.incarnation, 4);
	return carob_buf_append(out, bytes, sizeof(bytes));
}

static int append_header(carob_buf_t *out, const carob_entry_t *entry,
			 size_t record_count)
{
	uint8_t bytes[HEADER_BYTES];
	uint8_t *cursor = bytes;
	int error;

	cursor = carob_put_be(cursor, EXPORT_VERSION, 1);
	cursor = carob_put_be(cursor, entry->predecessor_count + 1, 2);
	carob_put_be(cursor, record_count, 4);
	error = carob_buf_append(out, bytes, sizeof(bytes));
	if (!error)
		error = append_id(out, carob_entry_self(entry));
	for (size_t i = 0; !error && i < entry->predecessor_count; i++)
		error = append_id(out, entry->predecessors[i]);
	return error;
}

/*
 * A request that is still in progress may or may not have run, so its record
 * is exported with an unknown outcome.
 */
static carob_record_state_t exported_state(const carob_record_t *record)
{
	return record->state == CAROB_RECORD_IN_PROGRESS ? CAROB_RECORD_UNKNOWN
							 : record->state;
}

static int append_record(carob_buf_t *out, const carob_record_t *record)
{
	uint8_t bytes[RECORD_BYTES];
	uint8_t *cursor = bytes;
	size_t answer_len = record->answer ? record->answer->len : 0;
	int error;

	if (answer_len > ANSWER_BYTES_MAX)
		answer_len = 0;
	cursor = carob_put_be(cursor, record->key.flow, 6);
	cursor = carob_put_be(cursor, record->key.token_len, 1);
	memcpy(cursor, record->key.token, CAROB_MSG_TOKEN_MAX);
	cursor += CAROB_MSG_TOKEN_MAX;
	cursor = carob_put_be(cursor, record->key.mid, 2);
	cursor = carob_put_be(cursor, exported_state(record), 1);
	cursor = carob_put_be(cursor, record->redirected_to.id, 4);
	cursor = carob_put_be(cursor, record->redirected_to.incarnation, 4);
	cursor = carob_put_be(cursor, answer_len, 4);
	error = carob_buf_append(out, bytes, (size_t)(cursor - bytes));
	if (!error && answer_len)
		error = carob_buf_append(out, record->answer->bytes,
					 answer_len);
	return error;
}

int carob_entry_export(carob_buf_t *out, carob_entry_t *entry)
{
	carob_record_t *record;
	carob_record_t *next;
	int error;

	entry->exported = true;
	error = append_header(out, entry,
			      HASH_COUNT(entry->record_store.records[false]));
	HASH_ITER (hh, entry->record_store.records[false], record, next) {
		if (!error)
			error = append_record(out, record);
	}
	return error;
}

/* Import */

typedef struct imported_record {
	carob_exchange_key_t key;
	carob_record_state_t state;
	carob_instance_id_t redirected_to;
	const uint8_t *answer;
	size_t answer_len;
} imported_record_t;

static carob_instance_id_t read_id(carob_reader_t *in)
{
	carob_instance_id_t id;

	id.id = (uint32_t)carob_read_be(in, 4);
	id.incarnation = (uint32_t)carob_read_be(in, 4);
	return id;
}

static void read_record(imported_record_t *out, carob_reader_t *in)
{
	const uint8_t *token;

	memset(out, 0, sizeof(*out));
	out->key.flow = carob_read_be(in, 6);
	out->key.token_len = (uint8_t)carob_read_be(in, 1);
	token = carob_read_bytes(in, CAROB_MSG_TOKEN_MAX);
	if (token)
		memcpy(out->key.token, token, CAROB_MSG_TOKEN_MAX);
	out->key.mid = (uint16_t)carob_read_be(in, 2);
	out->state = (carob_record_state_t)carob_read_be(in, 1);
	out->redirected_to = read_id(in);
	out->answer_len = (size_t)carob_read_be(in, 4);
	out->answer = carob_read_bytes(in, out->answer_len);
	if (out->key.token_len > CAROB_MSG_TOKEN_MAX ||
	    out->state > CAROB_RECORD_UNKNOWN ||
	    out->state == CAROB_RECORD_IN_PROGRESS)
		in->failed = true;
}

/* Adds an imported record, unless the request already has one here. `out`
 * receives the new record, or NULL if there was one. */
static int restore_record(carob_record_t **out, carob_entry_t *entry,
			  const imported_record_t *imported)
{
	carob_record_t *record =
		carob_record_find(entry, &imported->key, false);
	carob_msg_t msg;

	*out = NULL;
	if (record)
		return 0;
	record = carob_record_new(entry, &imported->key, false);
	if (!record)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate an imported record");
	*out = record;
	record->state = imported->state;
	record->redirected_to = imported->redirected_to;
	if (imported->answer_len &&
	    carob_msg_unpack(&msg, imported->answer, imported->answer_len) == 0)
		carob_record_answer(entry, record, imported->state, &msg);
	return 0;
}

/* Allocates room for `count` more predecessors, so that adding them can't
 * fail. */
static int reserve_predecessors(carob_entry_t *entry, size_t count)
{
	carob_instance_id_t *ids =
		realloc(entry->predecessors,
			(entry->predecessor_count + count + 1) * sizeof(*ids));

	if (!ids)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the predecessors");
	entry->predecessors = ids;
	return 0;
}

static void add_predecessor(carob_entry_t *entry, carob_instance_id_t id)
{
	if (!carob_drain_is_predecessor(entry, id))
		entry->predecessors[entry->predecessor_count++] = id;
}

typedef struct import_header {
	size_t id_count;
	size_t record_count;
	carob_reader_t ids;
	carob_reader_t records;
} import_header_t;

/*
 * Validates the complete export before anything is imported, and stores the
 * positions at which the identities and the records start.
 */
static int validate_import(import_header_t *out,
			   carob_instance_id_t predecessor, carob_str_t records)
{
	carob_reader_t in = {(const uint8_t *)records.ptr, records.len, false};
	imported_record_t record;
	carob_instance_id_t first = {0};

	if (carob_read_be(&in, 1) != EXPORT_VERSION)
		in.failed = true;
	out->id_count = (size_t)carob_read_be(&in, 2);
	out->record_count = (size_t)carob_read_be(&in, 4);
	out->ids = in;
	for (size_t i = 0; i < out->id_count; i++) {
		carob_instance_id_t id = read_id(&in);

		if (i == 0)
			first = id;
	}
	out->records = in;
	for (size_t i = 0; !in.failed && i < out->record_count; i++)
		read_record(&record, &in);
	if (in.failed || in.left != 0 ||
	    !carob_instance_id_eq(first, predecessor))
		return carob_error_set(CAROB_EFORMAT,
				       "invalid request records of instance "
				       "%u/%u",
				       predecessor.id, predecessor.incarnation);
	return 0;
}

/* Adds all records, or none if memory runs out. */
static int restore_records(carob_entry_t *entry, import_header_t *header)
{
	carob_record_t **added =
		calloc(header->record_count + 1, sizeof(carob_record_t *));
	imported_record_t record;
	size_t count = 0;
	int error = 0;

	if (!added)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the imported records");
	while (!error && count < header->record_count) {
		read_record(&record, &header->records);
		error = restore_record(&added[count++], entry, &record);
	}
	for (size_t i = 0; error && i < count; i++)
		if (added[i])
			carob_record_free(entry, added[i]);
	free(added);
	return error;
}

int carob_entry_import(carob_entry_t *entry, carob_instance_id_t predecessor,
		       carob_str_t records)
{
	import_header_t header;
	int error = validate_import(&header, predecessor, records);

	if (!error)
		error = reserve_predecessors(entry, header.id_count);
	if (!error)
		error = restore_records(entry, &header);
	if (error)
		return error;
	/*
	 * The instances count as predecessors only once every record has been
	 * restored: a duplicate of a request without a record would run again.
	 */
	for (size_t i = 0; i < header.id_count; i++)
		add_predecessor(entry, read_id(&header.ids));
	CAROB_LOG(CAROB_EV_MEMORY_IMPORTED,
		  CAROB_FIELD_U64("instance", predecessor.id),
		  CAROB_FIELD_U64("records", header.record_count));
	return 0;
}
