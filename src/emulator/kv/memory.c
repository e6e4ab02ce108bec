#include "emulator/kv/memory.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

typedef struct kv_item {
	char *key;
	size_t key_len;
	carob_buf_t value;
	uint64_t index;
	UT_hash_handle hh;
} kv_item_t;

typedef enum pending_kind {
	PENDING_GET,
	PENDING_WATCH,
	PENDING_PUT,
	PENDING_REMOVE,
	PENDING_LIST,
} pending_kind_t;

/* A call that has not been served yet. */
typedef struct pending {
	carob_kv_memory_t *memory;
	carob_kv_call_t *call;
	pending_kind_t kind;
	carob_buf_t key;
	carob_buf_t value;
	uint64_t index;
	uint64_t ready_ns;   /* when the latency has passed */
	uint64_t expires_ns; /* when a watch ends without a change */
	struct pending *prev;
	struct pending *next;
} pending_t;

struct carob_kv_memory {
	carob_kv_t kv;
	carob_kernel_t *kernel;
	carob_timer_t timer;
	kv_item_t *items;
	pending_t *pending;
	uint64_t last_index;
	uint64_t latency_ns;
	uint64_t calls;
	carob_kv_outcome_t outcome;
	carob_kv_outcome_t write_outcome;
	unsigned int write_outcome_skip;
	unsigned int write_outcome_count;
};

static void on_timer(carob_timer_t *timer);

static uint64_t now_ns(const carob_kv_memory_t *memory)
{
	return memory->kernel ? carob_kernel_now_ns(memory->kernel) : 0;
}

static kv_item_t *find_item(const carob_kv_memory_t *memory, carob_str_t key)
{
	kv_item_t *item;

	HASH_FIND(hh, memory->items, key.ptr, key.len, item);
	return item;
}

static void pending_free(pending_t *pending)
{
	carob_buf_dispose(&pending->key);
	carob_buf_dispose(&pending->value);
	free(pending);
}

/* Returns whether a call can be served now. A watch waits until the index of
 * its key changes, calls are set to be lost or, with a kernel, it expires. */
static bool is_ready(const pending_t *pending)
{
	const carob_kv_memory_t *memory = pending->memory;
	uint64_t now = now_ns(memory);
	const kv_item_t *item;

	if (now < pending->ready_ns)
		return false;
	if (pending->kind != PENDING_WATCH)
		return true;
	if (memory->outcome == CAROB_KV_LOST)
		return true;
	item = find_item(memory, carob_buf_view(&pending->key));
	if ((item ? item->index : 0) != pending->index)
		return true;
	return memory->kernel && now >= pending->expires_ns;
}

static uint64_t due_ns(const pending_t *pending)
{
	uint64_t now = now_ns(pending->memory);

	if (now < pending->ready_ns)
		return pending->ready_ns;
	if (is_ready(pending))
		return now;
	return pending->expires_ns;
}

static void arm(carob_kv_memory_t *memory)
{
	uint64_t due = UINT64_MAX;
	pending_t *pending;

	if (!memory->kernel)
		return;
	DL_FOREACH (memory->pending, pending) {
		uint64_t call_due_ns = due_ns(pending);

		if (call_due_ns < due)
			due = call_due_ns;
	}
	if (due == UINT64_MAX)
		carob_timer_cancel(memory->kernel, &memory->timer);
	else
		(void)carob_timer_arm(memory->kernel, &memory->timer, due);
}

static pending_t *enqueue(carob_kv_t *kv, carob_kv_call_t *call,
			  pending_kind_t kind, carob_str_t key)
{
	carob_kv_memory_t *memory =
		CAROB_CONTAINER_OF(kv, carob_kv_memory_t, kv);
	pending_t *pending = calloc(1, sizeof(*pending));

	if (!pending || carob_buf_append(&pending->key, key.ptr, key.len) != 0)
		abort(); /* calls can't report errors; only tests use this */
	pending->memory = memory;
	pending->call = call;
	pending->kind = kind;
	pending->ready_ns = now_ns(memory) + memory->latency_ns;
	memory->calls++;
	call->pending = pending;
	DL_APPEND(memory->pending, pending);
	return pending;
}

static void memory_get(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key)
{
	arm(enqueue(kv, call, PENDING_GET, key)->memory);
}

static void memory_watch(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key,
			 uint64_t index, uint32_t wait_ms)
{
	pending_t *pending = enqueue(kv, call, PENDING_WATCH, key);

	pending->index = index;
	pending->expires_ns = pending->ready_ns + wait_ms * CAROB_NS_PER_MS;
	arm(pending->memory);
}

static void memory_put_cas(carob_kv_t *kv, carob_kv_call_t *call,
			   carob_str_t key, carob_str_t value, uint64_t index)
{
	pending_t *pending = enqueue(kv, call, PENDING_PUT, key);

	if (carob_buf_append(&pending->value, value.ptr, value.len) != 0)
		abort();
	pending->index = index;
	arm(pending->memory);
}

static void memory_remove(carob_kv_t *kv, carob_kv_call_t *call,
			  carob_str_t key)
{
	arm(enqueue(kv, call, PENDING_REMOVE, key)->memory);
}

static void memory_list(carob_kv_t *kv, carob_kv_call_t *call,
			carob_str_t prefix)
{
	arm(enqueue(kv, call, PENDING_LIST, prefix)->memory);
}

static void memory_cancel(carob_kv_t *kv, carob_kv_call_t *call)
{
	carob_kv_memory_t *memory =
		CAROB_CONTAINER_OF(kv, carob_kv_memory_t, kv);
	pending_t *pending = call->pending;

	if (!pending)
		return;
	call->pending = NULL;
	DL_DELETE(memory->pending, pending);
	pending_free(pending);
}

static const carob_kv_ops_t memory_ops = {
	.get = memory_get,
	.watch = memory_watch,
	.put_cas = memory_put_cas,
	.remove = memory_remove,
	.list = memory_list,
	.cancel = memory_cancel,
};

int carob_kv_memory_new(carob_kv_memory_t **out, carob_kernel_t *kernel)
{
	carob_kv_memory_t *memory = calloc(1, sizeof(*memory));

	if (!memory)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate key-value service");
	memory->kv.ops = &memory_ops;
	memory->kernel = kernel;
	memory->timer.fire = on_timer;
	*out = memory;
	return 0;
}

static void item_free(carob_kv_memory_t *memory, kv_item_t *item)
{
	HASH_DEL(memory->items, item);
	carob_buf_dispose(&item->value);
	free(item->key);
	free(item);
}

void carob_kv_memory_free(carob_kv_memory_t *memory)
{
	pending_t *pending;
	pending_t *next_pending;
	kv_item_t *item;
	kv_item_t *next_item;

	if (!memory)
		return;
	if (memory->kernel)
		carob_timer_cancel(memory->kernel, &memory->timer);
	DL_FOREACH_SAFE (memory->pending, pending, next_pending) {
		pending->call->pending = NULL;
		pending_free(pending);
	}
	HASH_ITER (hh, memory->items, item, next_item)
		item_free(memory, item);
	free(memory);
}

carob_kv_t *carob_kv_memory_kv(carob_kv_memory_t *memory)
{
	return &memory->kv;
}

void carob_kv_memory_set_latency(carob_kv_memory_t *memory, uint64_t ns)
{
	memory->latency_ns = ns;
}

void carob_kv_memory_set_outcome(carob_kv_memory_t *memory,
				 carob_kv_outcome_t outcome)
{
	memory->outcome = outcome;
	arm(memory);
}

void carob_kv_memory_set_write_outcome(carob_kv_memory_t *memory,
				       carob_kv_outcome_t outcome,
				       unsigned int skip, unsigned int count)
{
	memory->write_outcome = outcome;
	memory->write_outcome_skip = skip;
	memory->write_outcome_count = count;
}

uint64_t carob_kv_memory_calls(const carob_kv_memory_t *memory)
{
	return memory->calls;
}

size_t carob_kv_memory_size(const carob_kv_memory_t *memory)
{
	return HASH_COUNT(memory->items);
}

static pending_t *find_ready(const carob_kv_memory_t *memory, size_t i)
{
	pending_t *pending;

	DL_FOREACH (memory->pending, pending) {
		if (!is_ready(pending))
			continue;
		if (i == 0)
			return pending;
		i--;
	}
	return NULL;
}

size_t carob_kv_memory_ready(const carob_kv_memory_t *memory)
{
	pending_t *pending;
	size_t count = 0;

	DL_FOREACH (memory->pending, pending)
		count += is_ready(pending);
	return count;
}

carob_kv_call_t *carob_kv_memory_ready_call(const carob_kv_memory_t *memory,
					    size_t i)
{
	pending_t *pending = find_ready(memory, i);

	return pending ? pending->call : NULL;
}

static kv_item_t *add_item(carob_kv_memory_t *memory, carob_str_t key)
{
	kv_item_t *item = calloc(1, sizeof(*item));

	if (!item)
		abort();
	item->key = malloc(key.len + 1);
	if (!item->key)
		abort();
	memcpy(item->key, key.ptr, key.len);
	item->key[key.len] = '\0';
	item->key_len = key.len;
	HASH_ADD_KEYPTR(hh, memory->items, item->key, item->key_len, item);
	return item;
}

static int execute_put(carob_kv_memory_t *memory, const pending_t *pending)
{
	carob_str_t key = carob_buf_view(&pending->key);
	kv_item_t *item = find_item(memory, key);

	if (pending->value.len > CAROB_KV_VALUE_BYTES_MAX)
		return CAROB_ELIMIT;
	if ((item ? item->index : 0) != pending->index)
		return CAROB_ECONFLICT;
	if (!item)
		item = add_item(memory, key);
	item->index = ++memory->last_index;
	carob_buf_clear(&item->value);
	return carob_buf_append(&item->value, pending->value.ptr,
				pending->value.len);
}

static carob_kv_entry_t make_entry(const kv_item_t *item, bool with_value)
{
	carob_kv_entry_t entry = {.key = {item->key, item->key_len},
				  .index = item->index};

	entry.value = with_value ? carob_buf_view(&item->value)
				 : (carob_str_t){"", 0};
	return entry;
}

static int compare_entries(const void *a, const void *b)
{
	const carob_kv_entry_t *left = a;
	const carob_kv_entry_t *right = b;

	return strcmp(left->key.ptr, right->key.ptr);
}

static carob_kv_entry_t *
execute_list(size_t *count, const carob_kv_memory_t *memory, carob_str_t prefix)
{
	size_t size = HASH_COUNT(memory->items);
	carob_kv_entry_t *entries = calloc(size + 1, sizeof(entries[0]));
	const kv_item_t *item;
	const kv_item_t *next;

	if (!entries)
		abort();
	*count = 0;
	HASH_ITER (hh, memory->items, item, next) {
		if (item->key_len < prefix.len ||
		    memcmp(item->key, prefix.ptr, prefix.len) != 0)
			continue;
		entries[(*count)++] = make_entry(item, false);
	}
	qsort(entries, *count, sizeof(entries[0]), compare_entries);
	return entries;
}

static void execute_call(carob_kv_memory_t *memory, const pending_t *pending,
			 carob_kv_reply_t *reply, carob_kv_entry_t *entry)
{
	kv_item_t *item = find_item(memory, carob_buf_view(&pending->key));

	if (pending->kind == PENDING_PUT) {
		reply->result = execute_put(memory, pending);
	} else if (pending->kind == PENDING_REMOVE) {
		if (item)
			item_free(memory, item);
	} else if (pending->kind == PENDING_LIST) {
		reply->entries = execute_list(&reply->count, memory,
					      carob_buf_view(&pending->key));
	} else if (!item) {
		reply->result = CAROB_ENOTFOUND;
	} else {
		*entry = make_entry(item, true);
		reply->entries = entry;
		reply->count = 1;
		reply->index = item->index;
	}
}

static void serve_call(pending_t *pending, carob_kv_outcome_t outcome)
{
	carob_kv_memory_t *memory = pending->memory;
	bool write = pending->kind == PENDING_PUT ||
		     pending->kind == PENDING_REMOVE;
	carob_kv_call_t *call = pending->call;
	carob_kv_entry_t entry = {.index = 0};
	carob_kv_reply_t reply = {.result = 0};

	DL_DELETE(memory->pending, pending);
	call->pending = NULL;
	if (outcome != CAROB_KV_LOST)
		execute_call(memory, pending, &reply, &entry);
	if (outcome == CAROB_KV_LOST)
		reply.result = CAROB_EUNAVAILABLE;
	else if (outcome == CAROB_KV_RESPONSE_LOST && write)
		reply.result = CAROB_EUNKNOWN;
	call->done(call, &reply);
	if (pending->kind == PENDING_LIST)
		free((void *)reply.entries);
	pending_free(pending);
}

void carob_kv_memory_serve(carob_kv_memory_t *memory, size_t i,
			   carob_kv_outcome_t outcome)
{
	pending_t *pending = find_ready(memory, i);

	if (pending)
		serve_call(pending, outcome);
}

static carob_kv_outcome_t choose_outcome(carob_kv_memory_t *memory,
					 const pending_t *pending)
{
	bool write = pending->kind == PENDING_PUT;

	if (!write || memory->write_outcome_count == 0)
		return memory->outcome;
	if (memory->write_outcome_skip > 0) {
		memory->write_outcome_skip--;
		return memory->outcome;
	}
	memory->write_outcome_count--;
	return memory->write_outcome;
}

static void on_timer(carob_timer_t *timer)
{
	carob_kv_memory_t *memory =
		CAROB_CONTAINER_OF(timer, carob_kv_memory_t, timer);
	size_t ready_count = carob_kv_memory_ready(memory);

	for (size_t i = 0; i < ready_count; i++) {
		pending_t *pending = find_ready(memory, 0);

		if (pending)
			serve_call(pending, choose_outcome(memory, pending));
	}
	arm(memory);
}

bool carob_kv_memory_peek(carob_str_t *value, const carob_kv_memory_t *memory,
			  carob_str_t key)
{
	const kv_item_t *item = find_item(memory, key);

	if (!item)
		return false;
	*value = carob_buf_view(&item->value);
	return true;
}

uint64_t carob_kv_memory_hash(const carob_kv_memory_t *memory)
{
	const kv_item_t *item;
	const kv_item_t *next;
	uint64_t sum = 0;

	HASH_ITER (hh, memory->items, item, next) {
		uint64_t hash =
			carob_hash_bytes(item->index, item->key, item->key_len);

		sum += carob_hash_bytes(hash, item->value.ptr, item->value.len);
	}
	return carob_hash_u64(sum);
}

void carob_kv_memory_copy(carob_kv_memory_t *to, const carob_kv_memory_t *from)
{
	const kv_item_t *item;
	const kv_item_t *next;

	HASH_ITER (hh, from->items, item, next) {
		carob_str_t key = {item->key, item->key_len};
		kv_item_t *copy = find_item(to, key);

		if (!copy)
			copy = add_item(to, key);
		copy->index = item->index;
		carob_buf_clear(&copy->value);
		if (carob_buf_append(&copy->value, item->value.ptr,
				     item->value.len) != 0)
			abort();
	}
	to->last_index = from->last_index;
}
