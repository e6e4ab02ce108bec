#include "core/requests/handover_receiver.h"

#include "carobtrail/errors.h"
#include "core/requests/handover.h"

/* Time after its last received part at which a transfer may be discarded. */
#define TRANSFER_LIFETIME_NS (120 * CAROB_NS_PER_S)

static void reset_transfer(carob_transfer_t *transfer)
{
	carob_buf_dispose(&transfer->bytes);
	*transfer = (carob_transfer_t){.total = 0};
}

void carob_handover_receiver_dispose(carob_handover_receiver_t *receiver)
{
	for (size_t i = 0; i < CAROB_HANDOVER_TRANSFERS_MAX; i++)
		reset_transfer(&receiver->transfers[i]);
}

static carob_transfer_t *find_transfer(carob_handover_receiver_t *receiver,
				       carob_instance_id_t predecessor)
{
	for (size_t i = 0; i < CAROB_HANDOVER_TRANSFERS_MAX; i++)
		if (carob_instance_id_eq(receiver->transfers[i].predecessor,
					 predecessor))
			return &receiver->transfers[i];
	return NULL;
}

/* Resets and returns an unused or expired slot; NULL if there is none. */
static carob_transfer_t *find_free_slot(carob_handover_receiver_t *receiver,
					uint64_t now_ns)
{
	for (size_t i = 0; i < CAROB_HANDOVER_TRANSFERS_MAX; i++) {
		carob_transfer_t *transfer = &receiver->transfers[i];

		if (transfer->predecessor.id == 0 ||
		    now_ns - transfer->last_part_ns > TRANSFER_LIFETIME_NS) {
			reset_transfer(transfer);
			return transfer;
		}
	}
	return NULL;
}

/*
 * Returns the transfer that a part belongs to, or NULL if all slots are in
 * use. An incomplete transfer with another total starts again from zero.
 */
static carob_transfer_t *begin_transfer(carob_handover_receiver_t *receiver,
					const carob_control_records_t *part,
					uint64_t now_ns)
{
	carob_transfer_t *transfer = find_transfer(receiver, part->predecessor);

	if (transfer && (transfer->done || transfer->total == part->total))
		return transfer;
	if (!transfer)
		transfer = find_free_slot(receiver, now_ns);
	if (!transfer)
		return NULL;
	reset_transfer(transfer);
	transfer->predecessor = part->predecessor;
	transfer->total = part->total;
	return transfer;
}

/* Appends the next part; repeated parts and parts out of order are ignored. */
static int append_part(carob_transfer_t *transfer,
		       const carob_control_records_t *part)
{
	if (transfer->done || part->offset != transfer->bytes.len)
		return 0;
	if (part->bytes.len > transfer->total - transfer->bytes.len)
		return carob_error_set(CAROB_EFORMAT,
				       "request records of instance %u exceed "
				       "the announced size",
				       part->predecessor.id);
	return carob_buf_append(&transfer->bytes, part->bytes.ptr,
				part->bytes.len);
}

/* Imports the records once all of them have been received. */
static int import_records(carob_transfer_t *transfer,
			  carob_cluster_host_t *host)
{
	int error = 0;

	if (transfer->done || transfer->bytes.len != transfer->total)
		return 0;
	if (host->ops->import_records)
		error = host->ops->import_records(
			host, transfer->predecessor,
			carob_buf_view(&transfer->bytes));
	if (error)
		return error;
	transfer->done = true;
	carob_buf_dispose(&transfer->bytes);
	return 0;
}

int carob_handover_receive(carob_control_records_t *ack,
			   carob_handover_receiver_t *receiver,
			   carob_cluster_host_t *host,
			   const carob_control_records_t *part, uint64_t now_ns)
{
	carob_transfer_t *transfer;
	int error;

	if (part->total > CAROB_HANDOVER_BYTES_MAX || part->predecessor.id == 0)
		return carob_error_set(CAROB_ELIMIT,
				       "handover of %u bytes is too large, or "
				       "has no predecessor",
				       part->total);
	transfer = begin_transfer(receiver, part, now_ns);
	if (!transfer)
		return carob_error_set(CAROB_ELIMIT,
				       "too many handovers at a time");
	transfer->last_part_ns = now_ns;
	error = append_part(transfer, part);
	if (!error)
		error = import_records(transfer, host);
	if (error) {
		reset_transfer(transfer);
		return error;
	}
	*ack = (carob_control_records_t){
		.predecessor = part->predecessor,
		.offset = transfer->done ? transfer->total
					 : (uint32_t)transfer->bytes.len,
		.total = transfer->total,
		.done = transfer->done,
		.bytes = {"", 0},
	};
	return 0;
}
