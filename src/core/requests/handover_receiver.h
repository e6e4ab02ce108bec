/**
 * @file handover_receiver.h
 * The successor's side of a hand-over: puts the parts of a predecessor's
 * memory together and takes it over once.
 */
#ifndef CAROB_CORE_HANDOVER_RECEIVER_H
#define CAROB_CORE_HANDOVER_RECEIVER_H

#include "carobtrail/cluster_host.h"

/** Hand-overs in progress, or kept to answer a repeated last part. */
#define CAROB_HANDOVER_TRANSFERS_MAX 8

/** One predecessor's memory. */
typedef struct carob_transfer {
	carob_instance_id_t predecessor; /* id 0: free */
	carob_buf_t bytes;
	uint32_t total;
	bool done;
	uint64_t heard_ns;
} carob_transfer_t;

/** The receiving side; zero-initialise it. */
typedef struct carob_handover_receiver {
	carob_transfer_t transfers[CAROB_HANDOVER_TRANSFERS_MAX];
} carob_handover_receiver_t;

/** Releases it. */
void carob_handover_receiver_dispose(carob_handover_receiver_t *receiver);

/**
 * Takes in a part.
 *
 * @param ack receives the acknowledgement
 * @param receiver the receiving side
 * @param host takes the memory over when it is complete
 * @param part the part
 * @param now_ns monotonic time
 * @return 0; CAROB_ELIMIT, CAROB_EFORMAT or what the host returned: then
 *         nothing is acknowledged
 */
int carob_handover_receive(carob_control_memory_t *ack,
			   carob_handover_receiver_t *receiver,
			   carob_cluster_host_t *host,
			   const carob_control_memory_t *part, uint64_t now_ns);

#endif
