#include "core/requests/entry_priv.h"

#include "carobtrail/errors.h"

#include <string.h>

#define MS_PER_MIN 60000
/* Maximum ratio of sent to received bytes for unverified addresses. */
#define AMPLIFICATION_MAX     3
#define HEADER_BYTES	      4
#define OPTION_HEADER_MAX     3 /* for option values below 269 bytes */
#define NO_UPSTREAM_MAX_AGE_S 2

void carob_answer_init(carob_msg_t *out, carob_entry_t *entry,
		       const carob_msg_t *request)
{
	memset(out, 0, sizeof(*out));
	if (request->type == CAROB_MSG_CON) {
		out->type = CAROB_MSG_ACK;
		out->mid = request->mid;
	} else {
		out->type = CAROB_MSG_NON;
		out->mid = entry->next_mid++;
	}
	out->token_len = request->token_len;
	memcpy(out->token, request->token, request->token_len);
}

void carob_answer_init_for(carob_msg_t *out, carob_entry_t *entry,
			   const carob_request_t *request)
{
	carob_msg_t original = {
		.type = (carob_msg_type_t)request->type,
		.mid = request->mid,
		.token_len = request->key.token_len,
	};

	memcpy(original.token, request->key.token, sizeof(original.token));
	carob_answer_init(out, entry, &original);
}

void carob_answer_seal(carob_msg_t *out, carob_entry_t *entry,
		       const carob_token_t *token)
{
	const carob_clock_t *clock = carob_kernel_clock(entry->kernel);
	carob_token_t sealed = *token;

	if (carob_instance_id_eq(sealed.owner, carob_entry_self(entry)))
		sealed.owner = carob_drain_owner(entry);
	sealed.issued_min = (uint16_t)(carob_clock_wall_ms(clock) / MS_PER_MIN);
	if (carob_token_seal(out->echo, entry->keyring, &sealed) == 0)
		out->echo_len = CAROB_TOKEN_SEALED_BYTES;
}

int carob_answer_fresh_token(carob_token_t *out, carob_entry_t *entry,
			     uint32_t service_id)
{
	memset(out, 0, sizeof(*out));
	out->service_id = service_id;
	out->flow = carob_rng_u64(&entry->rng) & CAROB_FLOW_ID_MASK;
	return carob_scheduler_choose_owner(&out->owner, &out->upstream,
					    entry->scheduler, service_id);
}

static size_t option_bytes(size_t len)
{
	return len < 13 ? 1 + len : 2 + len;
}

/* Lower bound of the size of the datagram that contained a message. */
static size_t min_received_bytes(const carob_msg_t *msg)
{
	size_t size = HEADER_BYTES + msg->token_len;

	if (msg->echo_len)
		size += option_bytes(msg->echo_len);
	if (msg->has_observe)
		size += option_bytes(0);
	if (msg->has_deadline)
		size += option_bytes(1) + 2;
	if (msg->has_trace)
		size += option_bytes(sizeof(msg->trace));
	for (size_t i = 0; i < msg->other_count; i++)
		size += option_bytes(msg->other[i].value.len);
	return size + msg->payload.len;
}

/* Upper bound of the size of the datagram of a response without payload. */
static size_t max_sent_bytes(const carob_msg_t *msg)
{
	size_t size = HEADER_BYTES + msg->token_len;

	if (msg->echo_len)
		size += OPTION_HEADER_MAX + msg->echo_len;
	if (msg->has_max_age)
		size += OPTION_HEADER_MAX + 4;
	if (msg->verdict)
		size += OPTION_HEADER_MAX + 1;
	return size;
}

static void send_to_caller(carob_entry_t *entry, const carob_packet_t *packet,
			   const carob_msg_t *msg)
{
	entry->port->ops->to_caller(entry->port, packet->service_id,
				    &packet->caller, msg);
}

/*
 * Answers a packet without a valid token, whose source address may be forged.
 * No response is sent if it could amplify traffic towards that address.
 */
static void send_to_unverified(carob_entry_t *entry,
			       const carob_packet_t *packet,
			       const carob_msg_t *msg)
{
	if (max_sent_bytes(msg) >
	    AMPLIFICATION_MAX * min_received_bytes(packet->msg)) {
		entry->counters.dropped++;
		return;
	}
	send_to_caller(entry, packet, msg);
}

static void count_verdict(carob_entry_t *entry, carob_verdict_t verdict)
{
	if (verdict == CAROB_VERDICT_UNKNOWN)
		entry->counters.outcome_unknown++;
	else
		entry->counters.refused_not_run++;
}

void carob_answer_challenge(carob_entry_t *entry, const carob_packet_t *packet,
			    carob_verdict_t verdict)
{
	carob_token_t token;
	carob_msg_t out;

	carob_answer_init(&out, entry, packet->msg);
	out.verdict = verdict;
	if (carob_answer_fresh_token(&token, entry, packet->service_id) == 0) {
		out.code = CAROB_CODE_UNAUTHORIZED;
		carob_answer_seal(&out, entry, &token);
	}
	if (out.echo_len == 0) {
		out.code = CAROB_CODE_SERVICE_UNAVAILABLE;
		out.has_max_age = true;
		out.max_age_s = NO_UPSTREAM_MAX_AGE_S;
		count_verdict(entry, verdict);
	}
	send_to_unverified(entry, packet, &out);
}

/*
 * Chooses the token of the flow's next request: an established flow keeps its
 * upstream, if that is still in the manifest; otherwise a new flow begins.
 */
static void choose_next_token(carob_token_t *out, carob_entry_t *entry,
			      const carob_token_t *token)
{
	carob_token_t fresh;

	*out = *token;
	if (carob_answer_fresh_token(&fresh, entry, token->service_id) != 0) {
		out->owner = carob_entry_self(entry);
		return;
	}
	if (!(token->flags & CAROB_TOKEN_ESTABLISHED) ||
	    !carob_entry_find_upstream(entry, token))
		*out = fresh;
	else if (!carob_instance_id_eq(token->owner, carob_entry_self(entry)))
		out->owner = fresh.owner;
}

void carob_answer_fill_unknown(carob_msg_t *out, carob_entry_t *entry,
			       const carob_token_t *token)
{
	carob_token_t next;

	out->code = CAROB_CODE_GATEWAY_TIMEOUT;
	out->verdict = CAROB_VERDICT_UNKNOWN;
	if (entry->mutation == CAROB_ENTRY_MUTATION_FALSE_NOT_RUN)
		out->verdict = CAROB_VERDICT_NOT_RUN;
	choose_next_token(&next, entry, token);
	carob_answer_seal(out, entry, &next);
	count_verdict(entry, out->verdict);
}

void carob_answer_renew(carob_entry_t *entry, const carob_packet_t *packet)
{
	carob_token_t token;
	carob_msg_t out;

	carob_answer_init(&out, entry, packet->msg);
	out.code = CAROB_CODE_UNAUTHORIZED;
	choose_next_token(&token, entry, &packet->token);
	token.flags |= CAROB_TOKEN_MAY_HAVE_RUN;
	carob_answer_seal(&out, entry, &token);
	send_to_caller(entry, packet, &out);
}

void carob_answer_unknown(carob_entry_t *entry, const carob_packet_t *packet)
{
	carob_msg_t out;

	carob_answer_init(&out, entry, packet->msg);
	carob_answer_fill_unknown(&out, entry, &packet->token);
	send_to_caller(entry, packet, &out);
}

void carob_answer_refuse(carob_entry_t *entry, const carob_packet_t *packet,
			 uint32_t max_age_s)
{
	carob_msg_t out;

	carob_answer_init(&out, entry, packet->msg);
	out.code = CAROB_CODE_SERVICE_UNAVAILABLE;
	/*
	 * "Not run" could become false: a later copy of the request may run
	 * once there is room for its record.
	 */
	out.verdict = CAROB_VERDICT_UNKNOWN;
	out.has_max_age = true;
	out.max_age_s = max_age_s;
	carob_answer_seal(&out, entry, &packet->token);
	count_verdict(entry, out.verdict);
	send_to_caller(entry, packet, &out);
}
