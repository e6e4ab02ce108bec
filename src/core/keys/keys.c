#include "core/keys/keys.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"
#include "core/keys/keyset.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval of the timer while there are no keys. */
#define POLL_WITHOUT_KEYS_NS (250 * CAROB_NS_PER_MS)
/* Interval of the timer once there are keys. */
#define POLL_WITH_KEYS_NS (1000 * CAROB_NS_PER_MS)
/* Time after the start in which keys are requested only from peers. */
#define PEERS_ONLY_NS (1 * CAROB_NS_PER_S)
/* Shortest time between two requests to peers. */
#define PEER_REQUEST_INTERVAL_NS (500 * CAROB_NS_PER_MS)
/* Mean time to the next store call without keys, or after a failed write. */
#define STORE_RETRY_MS 1000
/* Mean time to the next store call with keys, or after an invalid document. */
#define STORE_RETRY_WITH_KEYS_MS 60000
/* Time between two log events about missing keys. */
#define NO_KEYS_LOG_INTERVAL_NS (10 * CAROB_NS_PER_S)

struct carob_keys {
	carob_kernel_t *kernel;
	const carob_membership_t *membership;
	carob_gossip_t *gossip;
	carob_control_port_t *port;
	carob_keyring_t *keyring;
	carob_kv_t *kv;
	carob_kv_call_t call;
	bool call_pending;
	char store_key[CAROB_KV_KEY_MAX + 1]; /* key of the document */
	uint8_t secret[CAROB_KEY_BYTES];
	carob_rng_t rng;
	carob_cluster_mutation_t mutation;
	carob_timer_t poll_timer;
	uint64_t started_ns;
	uint64_t next_store_ns;
	uint64_t next_peer_request_ns;
	uint64_t next_log_ns;
	carob_keyset_t set;
	carob_keyset_t proposed; /* being written to the store */
	bool keyring_filled;	 /* set once the instance has joined */
	uint32_t sealing_serial; /* serial of the active key; 0: none */
	carob_keys_status_t counters;
};

static uint64_t now_of(const carob_keys_t *keys)
{
	return carob_kernel_now_ns(keys->kernel);
}

static uint64_t wall_ms_of(const carob_keys_t *keys)
{
	return carob_clock_wall_ms(carob_kernel_clock(keys->kernel));
}

static void log_key(carob_log_event_t event, uint32_t serial)
{
	CAROB_LOG(event, CAROB_FIELD_U64("serial", serial));
}

/*
 * Puts a key on the keyring, unless the keyring isn't filled yet. A key with
 * the same epoch is replaced: it lost a conflict or is 256 serials older.
 */
static void add_to_keyring(carob_keys_t *keys, const carob_control_key_t *key)
{
	if (!keys->keyring_filled)
		return;
	carob_keyring_remove(keys->keyring, (uint8_t)key->serial);
	carob_keyring_add(keys->keyring, (uint8_t)key->serial, key->key);
}

/*
 * Fills the keyring once the instance knows the other members. Before that, an
 * owner of a flow that is missing in the member table would be treated as
 * dead; with an empty keyring the instance opens no tokens and accepts no
 * flows.
 */
static void fill_keyring(carob_keys_t *keys)
{
	if (keys->keyring_filled || !carob_gossip_joined(keys->gossip))
		return;
	keys->keyring_filled = true;
	for (size_t i = 0; i < keys->set.count; i++)
		add_to_keyring(keys, &keys->set.keys[i]);
}

static void activate_sealing_key(carob_keys_t *keys)
{
	const carob_control_key_t *key =
		carob_keyset_sealing(&keys->set, wall_ms_of(keys));

	fill_keyring(keys);
	if (!keys->keyring_filled)
		return;
	if (keys->mutation == CAROB_CLUSTER_MUTATION_ACTIVATE_AT_ONCE)
		key = carob_keyset_newest(&keys->set);
	if (!key)
		return;
	carob_keyring_activate(keys->keyring, (uint8_t)key->serial);
	if (keys->sealing_serial != key->serial)
		log_key(CAROB_EV_KEY_ACTIVATED, key->serial);
	keys->sealing_serial = key->serial;
}

static void announce_newest_key(carob_keys_t *keys)
{
	carob_control_peer_t peers[CAROB_GOSSIP_LINKS_MAX];
	carob_control_msg_t msg = {.type = CAROB_CONTROL_KEY_AVAILABLE};
	size_t count =
		carob_gossip_links(peers, CAROB_GOSSIP_LINKS_MAX, keys->gossip);

	msg.from = carob_membership_self(keys->membership)->id;
	msg.keys.newest = carob_keyset_newest(&keys->set)->serial;
	for (size_t i = 0; i < count; i++)
		keys->port->ops->send(keys->port, &peers[i], &msg);
}

static void merge_key(carob_keys_t *keys, const carob_control_key_t *key)
{
	switch (carob_keyset_merge(&keys->set, key)) {
	case CAROB_KEYSET_ADDED:
		add_to_keyring(keys, key);
		log_key(CAROB_EV_KEY_ADDED, key->serial);
		break;
	case CAROB_KEYSET_REPLACED:
		add_to_keyring(keys, key);
		keys->counters.conflicts++;
		log_key(CAROB_EV_KEY_CONFLICT, key->serial);
		break;
	case CAROB_KEYSET_SUPERSEDED:
		keys->counters.conflicts++;
		log_key(CAROB_EV_KEY_CONFLICT, key->serial);
		break;
	default:
		break;
	}
}

static void merge_keys(carob_keys_t *keys, const carob_control_key_t *list,
		       size_t count)
{
	const carob_control_key_t *newest = carob_keyset_newest(&keys->set);
	uint32_t previous = newest ? newest->serial : 0;

	for (size_t i = 0; i < count; i++)
		merge_key(keys, &list[i]);
	activate_sealing_key(keys);
	newest = carob_keyset_newest(&keys->set);
	if (!newest || newest->serial == previous)
		return;
	carob_gossip_set_key_serial(keys->gossip, newest->serial);
	announce_newest_key(keys);
}

static void expire_keys(carob_keys_t *keys)
{
	uint32_t serial;

	while (carob_keyset_remove_expired(&serial, &keys->set,
					   wall_ms_of(keys))) {
		carob_keyring_remove(keys->keyring, (uint8_t)serial);
		log_key(CAROB_EV_KEY_REMOVED, serial);
	}
}

static void delay_store_call(carob_keys_t *keys, uint32_t ms)
{
	uint32_t jitter = carob_rng_below(&keys->rng, ms);

	keys->next_store_ns =
		now_of(keys) + (ms / 2 + jitter) * CAROB_NS_PER_MS;
}

static void read_store(carob_keys_t *keys);

static void on_written(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_keys_t *keys = CAROB_CONTAINER_OF(call, carob_keys_t, call);
	bool ignore_conflict = keys->mutation ==
			       CAROB_CLUSTER_MUTATION_IGNORE_CONFLICT;

	keys->call_pending = false;
	if (reply->result == 0 || ignore_conflict) {
		keys->counters.created++;
		merge_keys(keys, keys->proposed.keys, keys->proposed.count);
		carob_keyset_wipe(&keys->proposed);
		return;
	}
	/*
	 * Another instance wrote first, or the outcome is unknown: the keys in
	 * the store are used.
	 */
	carob_keyset_wipe(&keys->proposed);
	if (reply->result == CAROB_EUNAVAILABLE) {
		keys->counters.store_failures++;
		delay_store_call(keys, STORE_RETRY_MS);
		return;
	}
	read_store(keys);
}

static void write_store(carob_keys_t *keys, uint64_t index)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t document = CAROB_BUF_INIT;
	int error =
		carob_keyset_write(&document, &keys->proposed, keys->secret);

	if (error) {
		CAROB_LOG(CAROB_EV_KEYS_UNAVAILABLE,
			  CAROB_FIELD_I64("code", error),
			  CAROB_FIELD_CSTR("error", carob_error_last()));
		keys->counters.store_failures++;
		delay_store_call(keys, STORE_RETRY_MS);
		return;
	}
	keys->call_pending = true;
	keys->counters.store_calls++;
	keys->call.done = on_written;
	keys->kv->ops->put_cas(keys->kv, &keys->call,
			       carob_str_from(keys->store_key),
			       carob_buf_view(&document), index);
}

/* Writes the known keys to the store, with a new key if one is due. */
static void write_proposal(carob_keys_t *keys, uint64_t index)
{
	carob_control_key_t next;

	keys->proposed = keys->set;
	if (keys->set.count == 0 ||
	    carob_keyset_rotation_due(&keys->set, wall_ms_of(keys))) {
		carob_keyset_generate(&next, &keys->set, wall_ms_of(keys));
		carob_keyset_merge(&keys->proposed, &next);
		sodium_memzero(&next, sizeof(next));
	}
	write_store(keys, index);
}

static void on_document(carob_keys_t *keys, const carob_kv_entry_t *entry)
{
	carob_keyset_t stored;
	int error = carob_keyset_read(&stored, entry->value, keys->secret);

	if (error) {
		CAROB_LOG(CAROB_EV_KEYS_UNAVAILABLE,
			  CAROB_FIELD_I64("code", error),
			  CAROB_FIELD_CSTR("error", carob_error_last()));
		keys->counters.store_failures++;
		delay_store_call(keys, STORE_RETRY_WITH_KEYS_MS);
		return;
	}
	merge_keys(keys, stored.keys, stored.count);
	carob_keyset_wipe(&stored);
	if (carob_keyset_rotation_due(&keys->set, wall_ms_of(keys)))
		write_proposal(keys, entry->index);
}

static void on_read(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_keys_t *keys = CAROB_CONTAINER_OF(call, carob_keys_t, call);

	keys->call_pending = false;
	delay_store_call(keys, keys->set.count ? STORE_RETRY_WITH_KEYS_MS
					       : STORE_RETRY_MS);
	if (reply->result == 0 && reply->count == 1)
		on_document(keys, &reply->entries[0]);
	else if (reply->result == CAROB_ENOTFOUND)
		write_proposal(keys, 0);
	else
		keys->counters.store_failures++;
}

static void read_store(carob_keys_t *keys)
{
	keys->call_pending = true;
	keys->counters.store_calls++;
	keys->call.done = on_read;
	keys->kv->ops->get(keys->kv, &keys->call,
			   carob_str_from(keys->store_key));
}

static bool all_members_reachable(const carob_keys_t *keys)
{
	const carob_member_t *const *all;
	size_t count;

	all = carob_membership_all(keys->membership, &count);
	for (size_t i = 0; i < count; i++)
		if (all[i]->state == CAROB_MEMBER_ALIVE &&
		    !carob_membership_is_reachable(keys->membership,
						   all[i]->id))
			return false;
	return true;
}

/*
 * Returns whether this instance creates the next key: the hash of its id and
 * the newest serial must be the lowest among the members that are alive. If
 * several instances conclude this, the store's compare-and-swap decides. While
 * a member is unreachable and could not receive the key, the rotation is
 * delayed by up to CAROB_KEY_ROTATE_MS.
 */
static bool should_rotate(const carob_keys_t *keys)
{
	const carob_control_key_t *newest = carob_keyset_newest(&keys->set);
	const carob_member_t *self = carob_membership_self(keys->membership);
	const carob_member_t *const *alive;
	uint64_t own_hash = carob_hash_u64(self->id.id + newest->serial);
	size_t count;

	if (wall_ms_of(keys) < newest->created_ms + 2 * CAROB_KEY_ROTATE_MS &&
	    !all_members_reachable(keys))
		return false;
	alive = carob_membership_alive(keys->membership, &count);
	for (size_t i = 0; i < count; i++)
		if (carob_hash_u64(alive[i]->id.id + newest->serial) < own_hash)
			return false;
	return self->state == CAROB_MEMBER_ALIVE;
}

static bool should_read_store(const carob_keys_t *keys)
{
	if (!keys->kv || keys->call_pending ||
	    now_of(keys) < keys->next_store_ns)
		return false;
	if (keys->set.count == 0)
		return carob_gossip_joined(keys->gossip) &&
		       now_of(keys) >= keys->started_ns + PEERS_ONLY_NS;
	return carob_keyset_rotation_due(&keys->set, wall_ms_of(keys)) &&
	       should_rotate(keys);
}

static void log_missing_keys(carob_keys_t *keys)
{
	if (keys->set.count > 0 || now_of(keys) < keys->next_log_ns)
		return;
	keys->next_log_ns = now_of(keys) + NO_KEYS_LOG_INTERVAL_NS;
	CAROB_LOG(CAROB_EV_KEYS_UNAVAILABLE,
		  CAROB_FIELD_U64("store_failures",
				  keys->counters.store_failures),
		  CAROB_FIELD_U64("peer_requests",
				  keys->counters.peer_requests));
}

static void on_poll(carob_timer_t *timer)
{
	carob_keys_t *keys =
		CAROB_CONTAINER_OF(timer, carob_keys_t, poll_timer);

	expire_keys(keys);
	activate_sealing_key(keys);
	if (should_read_store(keys))
		read_store(keys);
	log_missing_keys(keys);
	carob_timer_arm(keys->kernel, timer,
			now_of(keys) + (keys->set.count
						? POLL_WITH_KEYS_NS
						: POLL_WITHOUT_KEYS_NS));
}

int carob_keys_new(carob_keys_t **out, const carob_keys_options_t *options)
{
	carob_keys_t *keys = calloc(1, sizeof(*keys));

	if (!keys)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate key management");
	keys->kernel = options->kernel;
	keys->membership = options->membership;
	keys->gossip = options->gossip;
	keys->port = options->port;
	keys->keyring = options->keyring;
	keys->kv = options->kv;
	keys->mutation = options->mutation;
	keys->poll_timer.fire = on_poll;
	memcpy(keys->secret, options->secret, sizeof(keys->secret));
	carob_rng_init(&keys->rng, options->seed);
	snprintf(keys->store_key, sizeof(keys->store_key),
		 "carobtrail/%.*s/keys", (int)options->deployment.len,
		 options->deployment.ptr);
	*out = keys;
	return 0;
}

void carob_keys_free(carob_keys_t *keys)
{
	if (!keys)
		return;
	if (keys->call_pending)
		keys->kv->ops->cancel(keys->kv, &keys->call);
	carob_timer_cancel(keys->kernel, &keys->poll_timer);
	sodium_memzero(keys, sizeof(*keys));
	free(keys);
}

int carob_keys_start(carob_keys_t *keys)
{
	keys->started_ns = now_of(keys);
	keys->next_log_ns = keys->started_ns + NO_KEYS_LOG_INTERVAL_NS;
	return carob_timer_arm(keys->kernel, &keys->poll_timer,
			       keys->started_ns + POLL_WITHOUT_KEYS_NS);
}

static void request_keys(carob_keys_t *keys, const carob_control_peer_t *peer)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_KEY_REQUEST};
	const carob_control_key_t *newest = carob_keyset_newest(&keys->set);

	if (now_of(keys) < keys->next_peer_request_ns)
		return;
	keys->next_peer_request_ns = now_of(keys) + PEER_REQUEST_INTERVAL_NS;
	keys->counters.peer_requests++;
	msg.from = carob_membership_self(keys->membership)->id;
	msg.keys.newest = newest ? newest->serial : 0;
	keys->port->ops->send(keys->port, peer, &msg);
}

void carob_keys_on_peer_serial(carob_keys_t *keys,
			       const carob_control_peer_t *peer,
			       uint32_t serial)
{
	const carob_control_key_t *newest = carob_keyset_newest(&keys->set);

	if (serial > (newest ? newest->serial : 0))
		request_keys(keys, peer);
}

static void send_keys(carob_keys_t *keys, const carob_control_peer_t *peer)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_KEY_REPLY};

	if (keys->set.count == 0)
		return;
	msg.from = carob_membership_self(keys->membership)->id;
	msg.keys.newest = carob_keyset_newest(&keys->set)->serial;
	msg.keys.count = keys->set.count;
	msg.keys.keys = keys->set.keys;
	keys->port->ops->send(keys->port, peer, &msg);
}

void carob_keys_on_message(carob_keys_t *keys, const carob_control_msg_t *msg)
{
	const carob_member_t *member =
		carob_membership_find(keys->membership, msg->from);
	carob_control_peer_t peer = {.id = msg->from};

	if (member)
		peer.addr = member->control_addr;
	if (msg->type == CAROB_CONTROL_KEY_AVAILABLE)
		carob_keys_on_peer_serial(keys, &peer, msg->keys.newest);
	else if (msg->type == CAROB_CONTROL_KEY_REQUEST)
		send_keys(keys, &peer);
	else if (msg->type == CAROB_CONTROL_KEY_REPLY)
		merge_keys(keys, msg->keys.keys, msg->keys.count);
}

void carob_keys_status(carob_keys_status_t *out, const carob_keys_t *keys)
{
	const carob_control_key_t *newest = carob_keyset_newest(&keys->set);

	*out = keys->counters;
	out->newest = newest ? newest->serial : 0;
	out->sealing = keys->sealing_serial;
	out->count = keys->set.count;
}
