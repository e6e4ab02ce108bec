/**
 * @file admission_queue.h
 * Work that waits for a slot, first in first out, and the estimates by which
 * it is admitted: how long it will wait, and when refused callers may return.
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

/** Appends work. */
void carob_admission_queue_push(carob_admission_queue_t *queue,
				carob_work_t *work);

/** Removes work that is in the queue. */
void carob_admission_queue_remove(carob_admission_queue_t *queue,
				  carob_work_t *work);

/** How fast the slots of a service turn over, and how many were refused. */
typedef struct carob_turnover {
	double hold_ms; /* mean time that a request holds a slot */
	double refused; /* lately, decaying */
	uint64_t refused_ns;
} carob_turnover_t;

/** A request held its slot for `hold_ns`. */
void carob_turnover_on_release(carob_turnover_t *turnover, uint64_t hold_ns);

/**
 * @param turnover the estimates
 * @param ahead requests that come first
 * @param slots slots that serve them; not 0
 * @return expected wait for a slot in milliseconds
 */
double carob_turnover_wait_ms(const carob_turnover_t *turnover, uint32_t ahead,
			      uint32_t slots);

/**
 * Counts a refusal and spreads the refused callers over the time that the
 * slots need to serve them all.
 *
 * @param turnover the estimates
 * @param now_ns the time
 * @param ahead requests that wait now
 * @param slots slots that serve them; 0 if none does now
 * @param rng jitter
 * @return when the caller may come back, in milliseconds from now
 */
uint32_t carob_turnover_refuse(carob_turnover_t *turnover, uint64_t now_ns,
			       uint32_t ahead, uint32_t slots,
			       carob_rng_t *rng);

#endif
