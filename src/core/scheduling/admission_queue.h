/**
 * @file admission_queue.h
 * FIFO queue of work that waits for a slot, and the estimates used to admit
 * work: the expected wait for a slot, and the time after which refused callers
 * may retry.
 */
#ifndef CAROBTRAIL_ADMISSION_QUEUE_H
#define CAROBTRAIL_ADMISSION_QUEUE_H

#include "carobtrail/rng.h"
#include "carobtrail/scheduler.h"

/** A queue of work. */
typedef struct carob_admission_queue {
	carob_work_t *head;
	carob_work_t *tail;
	uint32_t length;
} carob_admission_queue_t;

/** Appends work to the queue, which does not own it. */
void carob_admission_queue_push(carob_admission_queue_t *queue,
				carob_work_t *work);

/** Removes work from the queue; it must be in this queue. */
void carob_admission_queue_remove(carob_admission_queue_t *queue,
				  carob_work_t *work);

/**
 * Estimates how long requests of a service wait for a slot. Zero-initialise it.
 */
typedef struct carob_wait_estimator {
	double hold_ms; /* mean time that a request holds a slot; 0: unknown */
	double recent_refusals;	  /* recent refusals, decaying exponentially */
	uint64_t last_refusal_ns; /* time of the last refusal */
} carob_wait_estimator_t;

/** Records that a request held its slot for `hold_ns`. */
void carob_wait_estimator_on_release(carob_wait_estimator_t *estimator,
				     uint64_t hold_ns);

/**
 * @param estimator the estimator
 * @param ahead number of requests that are served first
 * @param slots number of slots that serve the requests; not 0
 * @return expected wait for a slot in milliseconds
 */
double carob_wait_estimator_wait_ms(const carob_wait_estimator_t *estimator,
				    uint32_t ahead, uint32_t slots);

/**
 * Records a refusal and computes when the caller may retry. The retries of
 * recently refused callers are spread at random over the time that the slots
 * need to serve them all.
 *
 * @param estimator the estimator
 * @param now_ns the current time
 * @param ahead number of requests that wait now
 * @param slots number of slots that serve the requests; 0 if there is none now
 * @param rng source of the jitter
 * @return time from now after which the caller may retry, in milliseconds
 */
uint32_t carob_wait_estimator_on_refusal(carob_wait_estimator_t *estimator,
					 uint64_t now_ns, uint32_t ahead,
					 uint32_t slots, carob_rng_t *rng);

#endif
