#include "emulator/ledger/ledger.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct run_node run_node_t;

struct run_node {
	carob_run_record_t record;
	run_node_t *next; /* other run of the same request */
};

/* All records of one request id. */
typedef struct entry {
	uint64_t rid;
	bool has_call;
	carob_call_record_t call;
	run_node_t *runs;
	UT_hash_handle hh;
} entry_t;

struct carob_ledger {
	entry_t *entries;
};

static const char *const fault_keys[] = {
#define X(name, key, meaning) key,
	CAROB_LEDGER_FAULTS(X)
#undef X
};

const char *carob_ledger_fault_key(carob_ledger_fault_t fault)
{
	return fault_keys[fault];
}

int carob_ledger_new(carob_ledger_t **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0
		    : carob_error_set(CAROB_ENOMEM, "cannot allocate ledger");
}

static void free_entry(entry_t *entry)
{
	while (entry->runs) {
		run_node_t *run = entry->runs;

		entry->runs = run->next;
		free(run);
	}
	free(entry);
}

void carob_ledger_free(carob_ledger_t *ledger)
{
	entry_t *entry;
	entry_t *next;

	if (!ledger)
		return;
	HASH_ITER (hh, ledger->entries, entry, next) {
		HASH_DEL(ledger->entries, entry);
		free_entry(entry);
	}
	free(ledger);
}

static int find_or_add(entry_t **out, carob_ledger_t *ledger, uint64_t rid)
{
	entry_t *entry;

	HASH_FIND(hh, ledger->entries, &rid, sizeof(rid), entry);
	if (!entry) {
		entry = calloc(1, sizeof(*entry));
		if (!entry)
			return carob_error_set(CAROB_ENOMEM,
					       "cannot allocate ledger entry");
		entry->rid = rid;
		HASH_ADD(hh, ledger->entries, rid, sizeof(rid), entry);
	}
	*out = entry;
	return 0;
}

int carob_ledger_add_call(carob_ledger_t *ledger,
			  const carob_call_record_t *record)
{
	entry_t *entry;
	int error;

	error = find_or_add(&entry, ledger, record->rid);
	if (error)
		return error;
	if (entry->has_call)
		return carob_error_set(CAROB_EEXISTS,
				       "ledger has two calls with request id "
				       "%016llx",
				       (unsigned long long)record->rid);
	entry->has_call = true;
	entry->call = *record;
	return 0;
}

int carob_ledger_add_run(carob_ledger_t *ledger,
			 const carob_run_record_t *record)
{
	run_node_t *run = calloc(1, sizeof(*run));
	entry_t *entry;
	int error;

	if (!run)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate run of the ledger");
	run->record = *record;
	error = find_or_add(&entry, ledger, record->rid);
	if (error) {
		free(run);
		return error;
	}
	run->next = entry->runs;
	entry->runs = run;
	return 0;
}

typedef struct loader {
	carob_record_reader_t reader;
	carob_ledger_t *ledger;
} loader_t;

static int load_call(carob_record_reader_t *reader,
		     const carob_call_record_t *record)
{
	return carob_ledger_add_call(((loader_t *)reader)->ledger, record);
}

static int load_run(carob_record_reader_t *reader,
		    const carob_run_record_t *record)
{
	return carob_ledger_add_run(((loader_t *)reader)->ledger, record);
}

int carob_ledger_load(carob_ledger_t *ledger, const char *path)
{
	loader_t loader = {{load_call, load_run}, ledger};

	return carob_records_read(path, &loader.reader);
}

static bool is_lost(const carob_call_record_t *call,
		    const carob_ledger_bounds_t *bounds)
{
	if (call->cancelled || call->is_feed)
		return false;
	return call->result == CAROB_CALL_NONE ||
	       call->final_us > call->deadline_us + bounds->answer_us;
}

static bool is_late(const carob_call_record_t *call)
{
	return !call->cancelled && !call->is_feed &&
	       call->result != CAROB_CALL_NONE &&
	       call->final_us > call->deadline_us;
}

static unsigned int count_executed_runs(const entry_t *entry)
{
	unsigned int count = 0;

	for (const run_node_t *run = entry->runs; run; run = run->next)
		if (run->record.end != CAROB_RUN_SHED)
			count++;
	return count;
}

static bool is_misrouted(const entry_t *entry)
{
	const carob_call_record_t *call = &entry->call;

	for (const run_node_t *run = entry->runs; run; run = run->next)
		if (strcmp(run->record.service, call->service) != 0)
			return true;
	if (call->answer_service[0] &&
	    strcmp(call->answer_service, call->service) != 0)
		return true;
	return call->answer_rid != 0 && call->answer_rid != call->rid;
}

static bool is_broken(const carob_call_record_t *call,
		      const carob_ledger_bounds_t *bounds)
{
	const carob_feed_record_t *feed = &call->feed;

	return call->is_feed &&
	       (feed->ended_without_reason || feed->regressions ||
		feed->wrong_content || feed->longest_gap_us > bounds->gap_us);
}

static void report_fault(carob_ledger_report_t *out,
			 const carob_ledger_bounds_t *bounds,
			 carob_ledger_fault_t fault, uint64_t rid)
{
	out->faults[fault]++;
	if (bounds->listener)
		bounds->listener->fault(bounds->listener, fault, rid);
}

static void count_result(carob_ledger_report_t *out,
			 const carob_call_record_t *call)
{
	out->calls++;
	if (call->is_feed)
		out->feeds++;
	if (call->cancelled)
		out->cancelled++;
	else if (call->result == CAROB_CALL_ANSWERED)
		out->answered++;
	else if (call->result == CAROB_CALL_NOT_RUN)
		out->refused++;
	else if (call->result == CAROB_CALL_UNKNOWN)
		out->unknown++;
}

static void count_runs(carob_ledger_report_t *out, const entry_t *entry)
{
	for (const run_node_t *run = entry->runs; run; run = run->next) {
		uint64_t busy = run->record.end_us - run->record.start_us;

		out->runs++;
		if (!entry->has_call)
			out->runs_without_call++;
		if (run->record.end == CAROB_RUN_SHED || entry->call.is_feed)
			continue;
		out->busy_us += busy;
		if (run->record.end == CAROB_RUN_DONE && entry->has_call &&
		    entry->call.cancelled)
			out->wasted_us += busy;
	}
}

static void check_call(carob_ledger_report_t *out, const entry_t *entry,
		       const carob_ledger_bounds_t *bounds)
{
	const carob_call_record_t *call = &entry->call;
	unsigned int executed = count_executed_runs(entry);

	count_result(out, call);
	if (is_lost(call, bounds))
		report_fault(out, bounds, CAROB_FAULT_LOST, call->rid);
	else if (is_late(call))
		report_fault(out, bounds, CAROB_FAULT_LATE, call->rid);
	if (!call->idempotent && executed > 1)
		report_fault(out, bounds, CAROB_FAULT_DOUBLED, call->rid);
	/* A feed may have run and ended before a later registration of it is
	 * refused, so a refusal does not mean that it never ran. */
	if (call->result == CAROB_CALL_NOT_RUN && executed > 0 &&
	    !call->is_feed)
		report_fault(out, bounds, CAROB_FAULT_FALSE_NOT_RUN, call->rid);
	if (is_misrouted(entry))
		report_fault(out, bounds, CAROB_FAULT_MISROUTED, call->rid);
	if (is_broken(call, bounds))
		report_fault(out, bounds, CAROB_FAULT_BROKEN_FLOW, call->rid);
}

void carob_ledger_check(carob_ledger_report_t *out,
			const carob_ledger_t *ledger,
			const carob_ledger_bounds_t *bounds)
{
	const entry_t *entry;

	memset(out, 0, sizeof(*out));
	for (entry = ledger->entries; entry; entry = entry->hh.next) {
		count_runs(out, entry);
		if (entry->has_call)
			check_call(out, entry, bounds);
	}
}

bool carob_ledger_report_clean(const carob_ledger_report_t *report)
{
	for (int i = 0; i < CAROB_FAULT_COUNT; i++)
		if (i != CAROB_FAULT_LATE && report->faults[i] != 0)
			return false;
	return true;
}
