#include "core/requests/entry_priv.h"

static void accept_again(carob_entry_t *entry, carob_record_t *record,
			 carob_packet_t *packet)
{
	carob_record_free(entry, record);
	packet->may_have_run = true;
	carob_request_accept(entry, packet);
}

static void duplicate_of_redirected(carob_entry_t *entry,
				    carob_record_t *record,
				    carob_packet_t *packet)
{
	const carob_member_t *member =
		carob_membership_find(entry->membership, record->redirected_to);

	if (member && (member->state == CAROB_MEMBER_ALIVE ||
		       member->state == CAROB_MEMBER_LEAVING))
		carob_entry_relay(entry, packet, CAROB_RELAY_OVERFLOW,
				  record->redirected_to);
	else if (carob_msg_is_registration(packet->msg) ||
		 (entry->mutation == CAROB_ENTRY_MUTATION_FORGET_OWNER &&
		  !record->idempotent))
		accept_again(entry, record, packet);
	else
		carob_entry_handle_orphaned(entry, packet);
}

static void replay_response(carob_entry_t *entry, carob_record_t *record,
			    carob_packet_t *packet)
{
	carob_msg_t msg;

	if (record->answer && carob_msg_unpack(&msg, record->answer->bytes,
					       record->answer->len) == 0)
		entry->port->ops->to_caller(entry->port, packet->service_id,
					    &packet->caller, &msg);
	else if (record->idempotent)
		accept_again(entry, record, packet);
	else
		carob_answer_unknown(entry, packet);
}

void carob_request_duplicate(carob_entry_t *entry, carob_record_t *record,
			     carob_packet_t *packet)
{
	entry->counters.duplicates++;
	switch (record->state) {
	case CAROB_RECORD_IN_PROGRESS:
		/* NULL if dropped by CAROB_ENTRY_MUTATION_DRAIN_DROPS. */
		if (record->request)
			carob_request_set_caller(record->request,
						 &packet->caller);
		break;
	case CAROB_RECORD_REDIRECTED:
		duplicate_of_redirected(entry, record, packet);
		break;
	case CAROB_RECORD_ANSWERED:
	case CAROB_RECORD_UNKNOWN:
		replay_response(entry, record, packet);
		break;
	}
}
