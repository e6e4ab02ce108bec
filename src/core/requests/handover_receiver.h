/**
 * @file handover_receiver.h
 * The successor's side of a handover: reassembles a predecessor's request
 * records from their parts and imports them once.
 */
#ifndef CAROB_CORE_HANDOVER_RECEIVER_H
#define CAROB_CORE_HANDOVER_RECEIVER_H

#include "carobtrail/cluster_host.h"

/**
 * Maximum number of handovers at a time, including completed ones, which are
 * kept to acknowledge a repeated last part.
 */
#define CAROB_HANDOVER_TRANSFERS_MAX 8

/** The transfer of one predecessor's request records. */
typedef struct carob_transfer {
	carob_instance_id_t predecessor; /* id 0: unused */
	carob_buf_t bytes;     /* received parts; empty once imported */
	uint32_t total;	       /* announced size in bytes */
	bool done;	       /* the records have been imported */
	uint64_t last_part_ns; /* time of the last part */
} carob_transfer_t;

/** The transfers of a successor; zero-initialise it. */
typedef struct carob_handover_receiver {
	carob_transfer_t transfers[CAROB_HANDOVER_TRANSFERS_MAX];
} carob_handover_receiver_t;

/** Releases all transfers. */
void carob_handover_receiver_dispose(carob_handover_receiver_t *receiver);

/**
 * Receives one part of a predecessor's request records.
 *
 * @param ack receives the acknowledgement to send
 * @param receiver the transfers of this successor
 * @param host imports the records when all parts have been received
 * @param part the part
 * @param now_ns monotonic time in nanoseconds
 * @return 0, CAROB_ELIMIT, CAROB_EFORMAT, CAROB_ENOMEM or an error of the
 *         host; on an error nothing is acknowledged
 */
int carob_handover_receive(carob_control_records_t *ack,
			   carob_handover_receiver_t *receiver,
			   carob_cluster_host_t *host,
			   const carob_control_records_t *part,
			   uint64_t now_ns);

#endif
