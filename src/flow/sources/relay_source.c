#include "carobtrail/relay_source.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>

/* Longest wait of a watch, as parts of the time within which a change must be
 * in force. A reader asks the platform often, since the others see its age; the
 * others ask a reader often, since that costs the platform nothing. */
#define READER_WAIT_MS(apply_ms) ((apply_ms) / 6)
#define PEER_WAIT_MS(apply_ms)	 ((apply_ms) / 6)
/* Time without a byte after which a reader counts as silent. */
#define PEER_TIMEOUT_MS(apply_ms) ((apply_ms) / 4)
/* A read of the platform in place of a reader asks what is there by now, on a
 * new connection: the old one was idle and may have gone silent. */
#define FALLBACK_WAIT_MS    1
#define FALLBACK_TIMEOUT_MS 1000
/* A reader that failed is not asked again for this long. */
#define PEER_RETRY_NS (2 * CAROB_NS_PER_S)

typedef enum relay_via {
	VIA_NONE,
	VIA_STORE,
	VIA_PEER,
} relay_via_t;

struct carob_relay_source {
	carob_catalog_source_t source;
	carob_catalog_reader_t reader; /* receives from store and peer */
	carob_relay_source_options_t options;
	carob_catalog_reader_t *client; /* the read in progress is for it */
	relay_via_t via;
	size_t slot;		     /* of the reader that is read from */
	carob_catalog_watch_t watch; /* the last one */
	bool is_reader;
	bool has_era;
	uint64_t era; /* highest era of a response */
	uint64_t retry_ns[CAROB_READER_SLOTS];
	carob_relay_counters_t counters;
};

static uint64_t now_ns(const carob_relay_source_t *relay)
{
	return carob_kernel_now_ns(relay->options.kernel);
}

static bool may_ask(const carob_relay_source_t *relay, size_t slot)
{
	const carob_reader_slot_t *reader =
		&relay->options.readers->slots[slot];

	return reader->used && now_ns(relay) >= relay->retry_ns[slot] &&
	       !carob_str_eq(carob_str_from(reader->name),
			     relay->options.instance);
}

/* Chooses a reader, so that the instances of a zone share them evenly.
 * @return its slot, or CAROB_READER_SLOTS */
static size_t choose_reader(const carob_relay_source_t *relay)
{
	carob_str_t name = relay->options.instance;
	size_t first = (size_t)(carob_hash_bytes(0, name.ptr, name.len) %
				CAROB_READER_SLOTS);

	if (relay->is_reader)
		return CAROB_READER_SLOTS;
	for (size_t i = 0; i < CAROB_READER_SLOTS; i++) {
		size_t slot = (first + i) % CAROB_READER_SLOTS;

		if (may_ask(relay, slot))
			return slot;
	}
	return CAROB_READER_SLOTS;
}

static void relay_list(carob_catalog_source_t *source,
		       carob_catalog_reader_t *reader, carob_str_t after,
		       uint32_t timeout_ms)
{
	carob_relay_source_t *relay = (carob_relay_source_t *)source;

	relay->client = reader;
	relay->via = VIA_STORE;
	relay->options.store->ops->list(relay->options.store, &relay->reader,
					after, timeout_ms);
}

static void watch_store(carob_relay_source_t *relay, uint32_t wait_ms,
			uint32_t timeout_ms)
{
	carob_catalog_watch_t watch = relay->watch;

	watch.wait_ms = wait_ms;
	watch.timeout_ms = timeout_ms;
	relay->via = VIA_STORE;
	relay->options.store->ops->watch(relay->options.store, &relay->reader,
					 &watch);
}

static void watch_peer(carob_relay_source_t *relay, size_t slot)
{
	carob_peer_source_t *peer = relay->options.peer;
	uint32_t apply_ms = relay->options.apply_ms;
	const carob_catalog_watch_t watch = {
		.after = relay->watch.after,
		.wait_ms = PEER_WAIT_MS(apply_ms),
		.timeout_ms = PEER_TIMEOUT_MS(apply_ms),
		.stall_ms = PEER_TIMEOUT_MS(apply_ms),
		.bytes_max = relay->watch.bytes_max,
	};

	if (relay->via != VIA_PEER || relay->slot != slot)
		CAROB_LOG(CAROB_EV_SOURCE_CHANGED,
			  CAROB_FIELD_CSTR(
				  "reader",
				  relay->options.readers->slots[slot].name),
			  CAROB_FIELD_U64("revision", watch.after));
	relay->via = VIA_PEER;
	relay->slot = slot;
	peer->connect(peer, &relay->options.readers->slots[slot]);
	peer->source.ops->watch(&peer->source, &relay->reader, &watch);
}

static void relay_watch(carob_catalog_source_t *source,
			carob_catalog_reader_t *reader,
			const carob_catalog_watch_t *watch)
{
	carob_relay_source_t *relay = (carob_relay_source_t *)source;
	uint32_t reader_wait = READER_WAIT_MS(relay->options.apply_ms);
	uint32_t timeout_ms = watch->timeout_ms;
	uint32_t wait_ms = watch->wait_ms;
	size_t slot = choose_reader(relay);

	relay->client = reader;
	relay->watch = *watch;
	if (slot < CAROB_READER_SLOTS) {
		watch_peer(relay, slot);
		return;
	}
	if (relay->is_reader && wait_ms > reader_wait) {
		timeout_ms -= wait_ms - reader_wait;
		wait_ms = reader_wait;
	}
	watch_store(relay, wait_ms, timeout_ms);
}

static void relay_cancel(carob_catalog_source_t *source)
{
	carob_relay_source_t *relay = (carob_relay_source_t *)source;

	if (relay->client && relay->via == VIA_PEER)
		relay->options.peer->source.ops->cancel(
			&relay->options.peer->source);
	else if (relay->client)
		relay->options.store->ops->cancel(relay->options.store);
	relay->client = NULL;
}

static void deliver(carob_relay_source_t *relay,
		    const carob_catalog_reply_t *reply,
		    carob_catalog_pace_t pace)
{
	carob_catalog_reader_t *client = relay->client;
	carob_catalog_reply_t paced = *reply;

	if (reply->has_era && (!relay->has_era || reply->era > relay->era)) {
		relay->has_era = true;
		relay->era = reply->era;
	}
	paced.pace = pace;
	relay->client = NULL;
	client->done(client, &paced);
}

/* Returns whether a reader's response may be used. */
static bool is_usable(const carob_relay_source_t *relay,
		      const carob_catalog_reply_t *reply)
{
	return reply->result == 0 &&
	       (!relay->has_era || !reply->has_era ||
		reply->era >= relay->era) &&
	       reply->age_ms <= CAROB_RELAY_AGE_MS_MAX(relay->options.apply_ms);
}

/* Reads the platform in place of a reader that failed or is out of date. */
static void fall_back(carob_relay_source_t *relay,
		      const carob_catalog_reply_t *reply)
{
	relay->counters.fallbacks++;
	relay->retry_ns[relay->slot] = now_ns(relay) + PEER_RETRY_NS;
	CAROB_LOG(CAROB_EV_READER_FAILED,
		  CAROB_FIELD_CSTR(
			  "reader",
			  relay->options.readers->slots[relay->slot].name),
		  CAROB_FIELD_I64("result", reply->result),
		  CAROB_FIELD_U64("age_ms", reply->age_ms),
		  CAROB_FIELD_U64("era", reply->era),
		  CAROB_FIELD_CSTR("error",
				   reply->result ? carob_error_last() : ""));
	relay->options.store->ops->cancel(relay->options.store);
	watch_store(relay, FALLBACK_WAIT_MS, FALLBACK_TIMEOUT_MS);
}

static void on_done(carob_catalog_reader_t *reader,
		    const carob_catalog_reply_t *reply)
{
	carob_relay_source_t *relay =
		CAROB_CONTAINER_OF(reader, carob_relay_source_t, reader);

	if (relay->via == VIA_STORE) {
		deliver(relay, reply,
			relay->is_reader ? CAROB_CATALOG_PACE_READER
					 : CAROB_CATALOG_PACE_NORMAL);
		return;
	}
	if (!is_usable(relay, reply)) {
		fall_back(relay, reply);
		return;
	}
	relay->counters.relayed++;
	deliver(relay, reply, CAROB_CATALOG_PACE_RELAYED);
}

static const carob_catalog_source_ops_t relay_ops = {
	.list = relay_list,
	.watch = relay_watch,
	.cancel = relay_cancel,
};

carob_catalog_source_t *carob_relay_source_base(carob_relay_source_t *relay)
{
	return &relay->source;
}

void carob_relay_source_set_reader(carob_relay_source_t *relay, bool is_reader)
{
	relay->is_reader = is_reader;
}

void carob_relay_source_set_apply_ms(carob_relay_source_t *relay,
				     uint32_t apply_ms)
{
	relay->options.apply_ms = apply_ms;
}

const carob_reader_slot_t *
carob_relay_source_reader(const carob_relay_source_t *relay)
{
	return relay->via == VIA_PEER
		       ? &relay->options.readers->slots[relay->slot]
		       : NULL;
}

const carob_relay_counters_t *
carob_relay_source_counters(const carob_relay_source_t *relay)
{
	return &relay->counters;
}

int carob_relay_source_new(carob_relay_source_t **out,
			   const carob_relay_source_options_t *options)
{
	carob_relay_source_t *relay;

	if (options->version != CAROB_RELAY_SOURCE_OPTIONS_VERSION ||
	    !options->kernel || !options->store || !options->peer ||
	    !options->readers)
		return carob_error_set(CAROB_EINVALID,
				       "relay source options: unsupported "
				       "version or a required member is NULL");
	relay = calloc(1, sizeof(*relay));
	if (!relay)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate relay source");
	relay->source.ops = &relay_ops;
	relay->reader.done = on_done;
	relay->options = *options;
	*out = relay;
	return 0;
}

void carob_relay_source_free(carob_relay_source_t *relay)
{
	if (!relay)
		return;
	relay_cancel(&relay->source);
	free(relay);
}
