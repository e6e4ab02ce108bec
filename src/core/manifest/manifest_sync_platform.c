#include "core/manifest/manifest_sync_state.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

#include <string.h>

#define WATCHERS_PER_ZONE 2
#define WATCH_WAIT_MS	  30000
#define BACKOFF_FIRST_NS  (500 * CAROB_NS_PER_MS)
#define BACKOFF_SHIFT_MAX 5 /* doubles 500 ms up to 16 s */

/* Interval at which instances that don't watch read the head. */
#define POLL_NS (600 * CAROB_NS_PER_S)

static uint64_t now_ns(const carob_manifest_sync_t *sync)
{
	return carob_kernel_now_ns(sync->options.kernel);
}

/* Returns a random time between 1/2 and 3/2 of `ns`. */
static uint64_t jittered(carob_manifest_sync_t *sync, uint64_t ns)
{
	return ns / 2 + (uint64_t)((double)ns * carob_rng_unit(&sync->rng));
}

static void record_failure(carob_manifest_sync_t *sync, int result)
{
	unsigned int shift = sync->failures < BACKOFF_SHIFT_MAX
				     ? sync->failures
				     : BACKOFF_SHIFT_MAX;

	sync->counters.platform_failures++;
	sync->failures++;
	sync->retry_ns =
		now_ns(sync) + jittered(sync, BACKOFF_FIRST_NS << shift);
	if (sync->platform_failed)
		return;
	sync->platform_failed = true;
	CAROB_LOG(CAROB_EV_PLATFORM_UNREACHABLE,
		  CAROB_FIELD_I64("result", result),
		  CAROB_FIELD_CSTR("error", carob_error_last()));
}

static void record_success(carob_manifest_sync_t *sync)
{
	sync->failures = 0;
	if (!sync->platform_failed)
		return;
	sync->platform_failed = false;
	CAROB_LOG(CAROB_EV_PLATFORM_REACHABLE,
		  CAROB_FIELD_U64("failures",
				  sync->counters.platform_failures));
}

/*
 * Returns the weight of a member in rendezvous hashing (Thaler, Ravishankar
 * 1998). The members with the lowest weights in a zone watch the platform.
 */
static uint64_t watch_weight(const carob_member_t *member)
{
	uint64_t id = ((uint64_t)member->id.id << 32) | member->id.incarnation;

	return carob_hash_u64(id);
}

static bool is_watcher(const carob_manifest_sync_t *sync)
{
	const carob_membership_t *membership = sync->options.membership;
	const carob_member_t *self = carob_membership_self(membership);
	const carob_member_t *const *members;
	uint64_t weight = watch_weight(self);
	unsigned int lower_count = 0;
	size_t count;

	members = carob_membership_alive(membership, &count);
	for (size_t i = 0; i < count; i++)
		if (strcmp(members[i]->zone.name, self->zone.name) == 0 &&
		    watch_weight(members[i]) < weight)
			lower_count++;
	return lower_count < WATCHERS_PER_ZONE;
}

static bool is_fetching(const carob_manifest_sync_t *sync)
{
	return sync->delta_call.pending || sync->fetch.call.pending;
}

static void start_watch(carob_manifest_sync_t *sync);

static void restart_watch(carob_manifest_sync_t *sync)
{
	if (sync->watching && !sync->head_call.pending)
		start_watch(sync);
}

static void on_fetched(carob_fetch_t *fetch, int result,
		       carob_manifest_t *manifest)
{
	carob_manifest_sync_t *sync =
		CAROB_CONTAINER_OF(fetch, carob_manifest_sync_t, fetch);
	sync_arrival_t arrival = {
		.generation = {.number = fetch->index.generation,
			       .publish_id = fetch->index.publish_id,
			       .manifest = manifest}};

	if (result != 0) {
		/*
		 * Makes the next call read the head without waiting for a
		 * change: the head may have changed already, and parts that
		 * the previous one referred to may have been removed.
		 */
		sync->head_index = 0;
		record_failure(sync, result);
		return;
	}
	record_success(sync);
	(void)carob_sync_apply(sync, &arrival);
	carob_manifest_free(manifest);
	restart_watch(sync);
}

static void fetch_whole(carob_manifest_sync_t *sync)
{
	const carob_generation_t *current =
		carob_manifest_store_current(sync->options.store);

	sync->counters.platform_calls++;
	sync->fetch.done = on_fetched;
	carob_fetch_start(&sync->fetch, sync->options.kv, sync->deployment,
			  &sync->head.index, current->manifest);
}

static int patch_current(carob_manifest_t **out, carob_manifest_sync_t *sync,
			 const carob_kv_reply_t *reply)
{
	const carob_generation_t *current =
		carob_manifest_store_current(sync->options.store);

	if (reply->result != 0)
		return reply->result;
	if (!current->manifest)
		return CAROB_EMISMATCH;
	return carob_manifest_patch(out, current->manifest,
				    sync->head.delta.text,
				    reply->entries[0].value);
}

static void on_delta(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_manifest_sync_t *sync =
		CAROB_CONTAINER_OF(call, carob_manifest_sync_t, delta_call);
	sync_arrival_t arrival = {
		.generation = {.number = sync->head.generation,
			       .publish_id = sync->head.publish_id}};

	if (sync->head.generation <= carob_sync_current(sync)) {
		restart_watch(sync); /* a peer has already sent it */
		return;
	}
	if (patch_current(&arrival.generation.manifest, sync, reply) != 0) {
		fetch_whole(sync);
		return;
	}
	arrival.delta = reply->entries[0].value;
	(void)carob_sync_apply(sync, &arrival);
	carob_manifest_free(arrival.generation.manifest);
	restart_watch(sync);
}

static void fetch_generation(carob_manifest_sync_t *sync)
{
	carob_kv_key_t key;

	if (sync->head.generation != carob_sync_current(sync) + 1 ||
	    sync->head.delta.text[0] == '\0') {
		fetch_whole(sync);
		return;
	}
	sync->counters.platform_calls++;
	carob_part_key(&key, sync->deployment, &sync->head.delta);
	sync->delta_call.done = on_delta;
	sync->options.kv->ops->get(sync->options.kv, &sync->delta_call,
				   carob_str_from(key.text));
}

/* Stores the head. Returns whether its generation has to be fetched. */
static bool store_head(carob_manifest_sync_t *sync,
		       const carob_kv_reply_t *reply)
{
	carob_head_t head;

	if (reply->result != 0)
		return false;
	if (carob_head_parse(&head, "head", reply->entries[0].value) != 0) {
		sync->counters.refused++;
		CAROB_LOG(CAROB_EV_MANIFEST_REFUSED,
			  CAROB_FIELD_I64("result", CAROB_EFORMAT),
			  CAROB_FIELD_CSTR("error", carob_error_last()));
		return false;
	}
	if (head.generation <= carob_sync_current(sync) || is_fetching(sync))
		return false;
	sync->head = head;
	return true;
}

static void on_head(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_manifest_sync_t *sync =
		CAROB_CONTAINER_OF(call, carob_manifest_sync_t, head_call);
	bool timed_out = reply->index == sync->head_index;

	if (reply->result != 0 && reply->result != CAROB_ENOTFOUND) {
		sync->head_index = 0;
		record_failure(sync, reply->result);
		return;
	}
	record_success(sync);
	sync->head_index = reply->index;
	if (store_head(sync, reply))
		fetch_generation(sync);
	else if (timed_out)
		restart_watch(sync);
	/* Otherwise the reply may be outdated; the next review calls again. */
}

static void start_watch(carob_manifest_sync_t *sync)
{
	carob_kv_t *kv = sync->options.kv;
	carob_kv_key_t key;

	if (now_ns(sync) < sync->retry_ns)
		return;
	sync->counters.platform_calls++;
	carob_head_key(&key, sync->deployment);
	sync->head_call.done = on_head;
	if (sync->head_index == 0)
		kv->ops->get(kv, &sync->head_call, carob_str_from(key.text));
	else
		kv->ops->watch(kv, &sync->head_call, carob_str_from(key.text),
			       sync->head_index, WATCH_WAIT_MS);
}

/* Reads the head at long intervals, in case the watchers of the zone fail. */
static void poll_head(carob_manifest_sync_t *sync)
{
	uint64_t now = now_ns(sync);

	if (sync->poll_ns == 0)
		sync->poll_ns = now + jittered(sync, POLL_NS);
	if (now < sync->poll_ns)
		return;
	sync->poll_ns = now + jittered(sync, POLL_NS);
	sync->head_index = 0;
	start_watch(sync);
}

void carob_sync_review_platform(carob_manifest_sync_t *sync)
{
	bool watcher = sync->options.kv && is_watcher(sync);

	if (!sync->options.kv)
		return;
	if (watcher != sync->watching)
		CAROB_LOG(CAROB_EV_WATCH_CHANGED,
			  CAROB_FIELD_U64("watching", watcher));
	sync->watching = watcher;
	if (!watcher && sync->head_call.pending && sync->head_index != 0)
		sync->options.kv->ops->cancel(sync->options.kv,
					      &sync->head_call);
	if (sync->head_call.pending || is_fetching(sync))
		return;
	if (watcher)
		start_watch(sync);
	else
		poll_head(sync);
}

void carob_sync_cancel_platform_calls(carob_manifest_sync_t *sync)
{
	carob_kv_t *kv = sync->options.kv;

	if (!kv)
		return;
	if (sync->head_call.pending)
		kv->ops->cancel(kv, &sync->head_call);
	if (sync->delta_call.pending)
		kv->ops->cancel(kv, &sync->delta_call);
	carob_fetch_cancel(&sync->fetch);
}
