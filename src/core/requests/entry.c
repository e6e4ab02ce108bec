#include "core/requests/entry_priv.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <utlist.h>

uint64_t carob_entry_now(const carob_entry_t *entry)
{
	return carob_kernel_now_ns(entry->kernel);
}

carob_instance_id_t carob_entry_self(const carob_entry_t *entry)
{
	return carob_membership_self(entry->membership)->id;
}

static bool options_complete(const carob_entry_options_t *o)
{
	return o->version == CAROB_ENTRY_OPTIONS_VERSION && o->kernel &&
	       o->port && o->scheduler && o->membership && o->keyring &&
	       o->record_bytes_max;
}

int carob_entry_new(carob_entry_t **out, const carob_entry_options_t *options)
{
	carob_entry_t *entry;

	if (!options_complete(options))
		return carob_error_set(
			CAROB_EINVALID,
			"entry options: unsupported version or missing field");
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the entry");
	entry->kernel = options->kernel;
	entry->port = options->port;
	entry->scheduler = options->scheduler;
	entry->membership = options->membership;
	entry->keyring = options->keyring;
	entry->tracer = options->tracer;
	entry->mutation = options->mutation;
	carob_rng_init(&entry->rng, options->seed);
	entry->next_mid = (uint16_t)carob_rng_u32(&entry->rng);
	entry->next_token = carob_rng_u64(&entry->rng);
	carob_record_store_init(entry, options->record_bytes_max);
	carob_pause_init(entry);
	*out = entry;
	return 0;
}

/* Ensures that no queued request starts while other requests are released. */
static void withdraw_requests(carob_entry_t *entry)
{
	for (size_t i = 0; i < CAROB_ADDR_BUCKETS; i++) {
		carob_request_t *request;

		DL_FOREACH2(entry->by_addr[i], request, addr_next)
		{
			if (request->phase == CAROB_REQUEST_QUEUED)
				carob_scheduler_withdraw(entry->scheduler,
							 &request->work);
		}
	}
}

static void free_requests(carob_entry_t *entry)
{
	for (size_t i = 0; i < CAROB_ADDR_BUCKETS; i++)
		while (entry->by_addr[i])
			carob_request_free(entry->by_addr[i]);
}

void carob_entry_free(carob_entry_t *entry)
{
	if (!entry)
		return;
	carob_timer_cancel(entry->kernel, &entry->drain_timer);
	carob_timer_cancel(entry->kernel, &entry->tick);
	withdraw_requests(entry);
	free_requests(entry);
	carob_path_dispose_all(entry);
	carob_record_store_dispose(entry);
	carob_manifest_free(entry->manifest);
	free(entry->predecessors);
	free(entry);
}

int carob_entry_set_manifest(carob_entry_t *entry, carob_manifest_t *manifest)
{
	carob_manifest_t *previous = entry->manifest;

	entry->manifest = carob_manifest_ref(manifest);
	if (previous)
		carob_manifest_free(previous);
	carob_path_drop_unused(entry);
	return 0;
}

const carob_manifest_upstream_t *
carob_entry_find_upstream(const carob_entry_t *entry,
			  const carob_token_t *token)
{
	const carob_manifest_service_t *service;

	if (!entry->manifest)
		return NULL;
	service =
		carob_manifest_find_service(entry->manifest, token->service_id);
	if (!service)
		return NULL;
	return carob_manifest_find_upstream(service, token->upstream);
}

void carob_entry_relay(carob_entry_t *entry, const carob_packet_t *packet,
		       carob_relay_kind_t kind, carob_instance_id_t to)
{
	carob_relay_t relay = {
		.kind = kind,
		.service_id = packet->service_id,
		.from = carob_entry_self(entry),
		.to = to,
		.caller = packet->caller,
		.msg = *packet->msg,
	};
	uint64_t age_us =
		(carob_entry_now(entry) - packet->arrived_ns) / CAROB_NS_PER_US;

	relay.age_us = age_us > UINT32_MAX ? UINT32_MAX : (uint32_t)age_us;
	carob_request_trace_relay(entry->tracer, &relay.msg,
				  packet->service_id);
	entry->counters.relayed_out++;
	entry->port->ops->to_instance(entry->port, &relay);
}

void carob_entry_handle_owned(carob_entry_t *entry, carob_packet_t *packet)
{
	const carob_msg_t *msg = packet->msg;
	carob_exchange_key_t key;
	carob_record_t *record;
	carob_request_t *request;

	if (carob_msg_is_cancel(msg)) {
		carob_cancel_by_token(entry, packet);
		return;
	}
	carob_exchange_key_init(&key, packet->token.flow, msg);
	record = carob_record_find(entry, &key, carob_msg_is_idempotent(msg));
	if (record) {
		carob_request_duplicate(entry, record, packet);
		return;
	}
	key.mid = 0;
	request = carob_request_find(entry, &key);
	if (request && request->phase == CAROB_REQUEST_FEED &&
	    carob_msg_is_registration(msg))
		carob_feed_refresh(request, packet);
	else
		carob_request_accept(entry, packet);
}

void carob_entry_handle_orphaned(carob_entry_t *entry, carob_packet_t *packet)
{
	const carob_msg_t *msg = packet->msg;
	bool idempotent = carob_msg_is_idempotent(msg);

	/*
	 * A registration continues its observation here at once, and a cancel
	 * only needs a response.
	 */
	if (carob_msg_is_cancel(msg) || carob_msg_is_registration(msg) ||
	    (!idempotent &&
	     entry->mutation == CAROB_ENTRY_MUTATION_FORGET_OWNER))
		carob_entry_handle_owned(entry, packet);
	else if (idempotent)
		carob_answer_renew(entry, packet);
	else
		carob_answer_unknown(entry, packet);
}

static bool has_left(const carob_entry_t *entry)
{
	return carob_membership_self(entry->membership)->state ==
	       CAROB_MEMBER_LEFT;
}

/* Handles a packet of a flow owned here after the records were exported. */
static void route_after_export(carob_entry_t *entry,
			       const carob_packet_t *packet)
{
	if (has_left(entry) && packet->relay_kind != CAROB_RELAY_OVERFLOW)
		carob_entry_relay(entry, packet, CAROB_RELAY_OWNER,
				  entry->successor);
	else
		entry->counters.dropped++;
}

static bool is_owner(const carob_entry_t *entry, const carob_packet_t *packet)
{
	carob_instance_id_t owner = packet->token.owner;

	if (carob_instance_id_eq(owner, carob_entry_self(entry)))
		return true;
	/* Records of idempotent requests are not imported. */
	if (carob_drain_is_predecessor(entry, owner))
		return !carob_msg_is_idempotent(packet->msg);
	return packet->relay_kind == CAROB_RELAY_OVERFLOW &&
	       !packet->misdirected;
}

static void route_request(carob_entry_t *entry, carob_packet_t *packet)
{
	const carob_member_t *member;

	if (is_owner(entry, packet)) {
		if (entry->exported)
			route_after_export(entry, packet);
		else
			carob_entry_handle_owned(entry, packet);
		return;
	}
	member = carob_membership_resolve(entry->membership,
					  packet->token.owner);
	if (packet->relay_kind == 0 && member &&
	    !carob_instance_id_eq(member->id, carob_entry_self(entry)))
		carob_entry_relay(entry, packet, CAROB_RELAY_OWNER, member->id);
	else
		carob_entry_handle_orphaned(entry, packet);
}

/*
 * "Not run" is answered only to an Echo that no instance accepts. For other
 * errors another instance may have run an earlier copy of the request: it may
 * have a key that is missing here.
 */
static void refuse_token(carob_entry_t *entry, const carob_packet_t *packet,
			 int error)
{
	bool invalid = error == CAROB_EFORMAT || error == CAROB_EAUTH;

	entry->counters.tokens_refused++;
	carob_answer_challenge(entry, packet,
			       invalid ? CAROB_VERDICT_NOT_RUN
				       : CAROB_VERDICT_UNKNOWN);
}

static void on_request(carob_entry_t *entry, carob_packet_t *packet)
{
	const carob_msg_t *msg = packet->msg;
	int error;

	if (msg->echo_len == 0) {
		carob_answer_challenge(entry, packet, CAROB_VERDICT_NOT_RUN);
		return;
	}
	error = carob_token_open(&packet->token, entry->keyring, msg->echo,
				 msg->echo_len);
	if (!error && entry->mutation == CAROB_ENTRY_MUTATION_IGNORE_SERVICE)
		packet->service_id = packet->token.service_id;
	if (!error && packet->token.service_id != packet->service_id)
		error = CAROB_EMISMATCH;
	if (error)
		refuse_token(entry, packet, error);
	else
		route_request(entry, packet);
}

/* Answers a CoAP ping with a Reset (RFC 7252, section 4.3). */
static void answer_ping(carob_entry_t *entry, const carob_packet_t *packet)
{
	carob_msg_t rst = {
		.type = CAROB_MSG_RST,
		.mid = packet->msg->mid,
	};

	entry->port->ops->to_caller(entry->port, packet->service_id,
				    &packet->caller, &rst);
}

static void dispatch_packet(carob_entry_t *entry, carob_packet_t *packet)
{
	const carob_msg_t *msg = packet->msg;

	if (msg->type == CAROB_MSG_RST)
		carob_cancel_by_reset(entry, packet);
	else if (carob_msg_is_request(msg) && msg->type != CAROB_MSG_ACK)
		on_request(entry, packet);
	else if (msg->type == CAROB_MSG_CON && msg->code == CAROB_CODE_EMPTY)
		answer_ping(entry, packet);
	else
		entry->counters.dropped++;
}

void carob_entry_on_caller(carob_entry_t *entry, uint32_t service_id,
			   const carob_addr_t *caller, const carob_msg_t *msg)
{
	carob_packet_t packet = {
		.service_id = service_id,
		.caller = *caller,
		.msg = msg,
	};

	carob_pause_check(entry);
	packet.arrived_ns = carob_pause_arrival(entry);
	entry->counters.packets_in++;
	dispatch_packet(entry, &packet);
}

void carob_entry_on_relay(carob_entry_t *entry, const carob_relay_t *relay)
{
	uint64_t age_ns = relay->age_us * CAROB_NS_PER_US;
	uint64_t arrived_ns;
	carob_packet_t packet = {
		.service_id = relay->service_id,
		.caller = relay->caller,
		.msg = &relay->msg,
		.relay_kind = relay->kind,
	};

	carob_pause_check(entry);
	arrived_ns = carob_pause_arrival(entry);
	packet.arrived_ns = arrived_ns > age_ns ? arrived_ns - age_ns : 0;
	packet.misdirected =
		!carob_instance_id_eq(relay->to, carob_entry_self(entry));
	entry->counters.relayed_in++;
	dispatch_packet(entry, &packet);
}

void carob_entry_on_upstream(carob_entry_t *entry, carob_upstream_id_t upstream,
			     uint32_t path, const carob_msg_t *msg)
{
	carob_pause_check(entry);
	carob_path_on_message(entry, upstream, path, msg);
}

void carob_entry_counters(carob_entry_counters_t *out,
			  const carob_entry_t *entry)
{
	*out = entry->counters;
}

const carob_histogram_t *carob_entry_latency(const carob_entry_t *entry)
{
	return &entry->latency;
}
