#include "core/requests/entry_priv.h"

#define SEARCH_MEMBERS_MAX 8
/*
 * Maximum number of Resets per second that are relayed to all other instances.
 * It limits the traffic between instances that forged Resets can cause.
 */
#define SEARCHES_PER_S_MAX 100
#define BUCKET_MASK	   (CAROB_ADDR_BUCKETS - 1)
/* Maximum lag of a Reset's message ID behind the latest notification's. */
#define NOTIFY_MID_LAG_MAX 16

static void cancel_queued(carob_request_t *request)
{
	carob_entry_t *entry = request->entry;

	entry->counters.cancelled_before++;
	carob_scheduler_withdraw(entry->scheduler, &request->work);
	carob_request_refuse(request, CAROB_CODE_SERVICE_UNAVAILABLE, 0);
	carob_request_free(request);
}

static void cancel_request(carob_request_t *request)
{
	carob_entry_counters_t *counters = &request->entry->counters;

	switch (request->phase) {
	case CAROB_REQUEST_QUEUED:
		cancel_queued(request);
		break;
	case CAROB_REQUEST_RUNNING:
		counters->cancelled_after++;
		carob_request_cancel_upstream(request);
		break;
	case CAROB_REQUEST_FEED:
		counters->feeds_ended++;
		carob_request_cancel_upstream(request);
		break;
	case CAROB_REQUEST_CANCELLING:
	case CAROB_REQUEST_REDIRECTED:
		break;
	}
}

static void answer_cancel(carob_entry_t *entry, const carob_packet_t *packet)
{
	carob_token_t token = packet->token;
	carob_msg_t out;

	token.owner = carob_entry_self(entry);
	carob_answer_init(&out, entry, packet->msg);
	out.code = CAROB_CODE_CONTENT;
	carob_answer_seal(&out, entry, &token);
	entry->port->ops->to_caller(entry->port, packet->service_id,
				    &packet->caller, &out);
}

void carob_cancel_by_token(carob_entry_t *entry, const carob_packet_t *packet)
{
	carob_exchange_key_t key;
	carob_request_t *request;

	carob_exchange_key_init(&key, packet->token.flow, packet->msg);
	key.mid = 0;
	request = carob_request_find(entry, &key);
	if (request && request->phase == CAROB_REQUEST_REDIRECTED) {
		carob_entry_relay(entry, packet, CAROB_RELAY_OVERFLOW,
				  request->record->redirected_to);
		return;
	}
	if (request)
		cancel_request(request);
	else
		carob_tombstone_add(entry, &key);
	answer_cancel(entry, packet);
}

static bool matches_reset(const carob_request_t *request,
			  const carob_addr_t *caller, uint16_t mid)
{
	uint16_t lag = (uint16_t)(request->feed.notify_mid - mid);

	if (!carob_addr_eq(&request->caller, caller))
		return false;
	if (request->phase == CAROB_REQUEST_FEED)
		return lag <= NOTIFY_MID_LAG_MAX;
	return request->mid == mid && !request->answered;
}

static carob_request_t *find_by_mid(const carob_entry_t *entry,
				    const carob_addr_t *caller, uint16_t mid)
{
	size_t bucket = carob_addr_hash(0, caller) & BUCKET_MASK;
	carob_request_t *request = entry->by_addr[bucket];

	while (request && !matches_reset(request, caller, mid))
		request = request->addr_next;
	return request;
}

static bool may_relay_search(carob_entry_t *entry)
{
	uint64_t now_s = carob_entry_now(entry) / CAROB_NS_PER_S;

	if (now_s != entry->searches_s) {
		entry->searches_s = now_s;
		entry->searches = 0;
	}
	return ++entry->searches <= SEARCHES_PER_S_MAX;
}

static void relay_to_all_peers(carob_entry_t *entry,
			       const carob_packet_t *packet)
{
	size_t count;
	const carob_member_t *const *alive =
		carob_membership_alive(entry->membership, &count);

	if (packet->relay_kind != 0 || count > SEARCH_MEMBERS_MAX ||
	    !may_relay_search(entry)) {
		entry->counters.dropped++;
		return;
	}
	for (size_t i = 0; i < count; i++)
		if (!carob_instance_id_eq(alive[i]->id,
					  carob_entry_self(entry)))
			carob_entry_relay(entry, packet, CAROB_RELAY_SEARCH,
					  alive[i]->id);
}

void carob_cancel_by_reset(carob_entry_t *entry, const carob_packet_t *packet)
{
	carob_request_t *request =
		find_by_mid(entry, &packet->caller, packet->msg->mid);

	if (request)
		cancel_request(request);
	else
		relay_to_all_peers(entry, packet);
}
