#include "admission_queue.h"

#include <math.h>

#define HOLD_DEFAULT_MS	   100.0
#define HOLD_SMOOTHING	   0.05
#define REFUSALS_DECAY_NS  (2.0 * CAROB_NS_PER_S)
#define RETRY_AFTER_MIN_MS 1000.0 /* the unit of Max-Age is one second */
#define RETRY_AFTER_MAX_MS 30000.0

void carob_admission_queue_push(carob_admission_queue_t *queue,
				carob_work_t *work)
{
	work->prev = queue->tail;
	work->next = NULL;
	if (queue->tail)
		queue->tail->next = work;
	else
		queue->head = work;
	queue->tail = work;
	queue->length++;
}

void carob_admission_queue_remove(carob_admission_queue_t *queue,
				  carob_work_t *work)
{
	if (work->prev)
		work->prev->next = work->next;
	else
		queue->head = work->next;
	if (work->next)
		work->next->prev = work->prev;
	else
		queue->tail = work->prev;
	work->prev = NULL;
	work->next = NULL;
	queue->length--;
}

static double hold_ms(const carob_wait_estimator_t *estimator)
{
	return estimator->hold_ms > 0.0 ? estimator->hold_ms : HOLD_DEFAULT_MS;
}

void carob_wait_estimator_on_release(carob_wait_estimator_t *estimator,
				     uint64_t hold_ns)
{
	double ms = (double)hold_ns / CAROB_NS_PER_MS;

	estimator->hold_ms =
		hold_ms(estimator) + HOLD_SMOOTHING * (ms - hold_ms(estimator));
}

double carob_wait_estimator_wait_ms(const carob_wait_estimator_t *estimator,
				    uint32_t ahead, uint32_t slots)
{
	return hold_ms(estimator) * (ahead + 1) / slots;
}

uint32_t carob_wait_estimator_on_refusal(carob_wait_estimator_t *estimator,
					 uint64_t now_ns, uint32_t ahead,
					 uint32_t slots, carob_rng_t *rng)
{
	double age = (double)(now_ns - estimator->last_refusal_ns);
	double base;
	double spread;
	double ms;

	estimator->recent_refusals =
		estimator->recent_refusals * exp(-age / REFUSALS_DECAY_NS);
	estimator->recent_refusals += 1.0;
	estimator->last_refusal_ns = now_ns;
	if (slots == 0)
		slots = 1;
	base = carob_wait_estimator_wait_ms(estimator, ahead, slots);
	if (base < RETRY_AFTER_MIN_MS)
		base = RETRY_AFTER_MIN_MS;
	spread = hold_ms(estimator) * estimator->recent_refusals / slots;
	if (spread < base)
		spread = base;
	ms = base + spread * carob_rng_unit(rng);
	return (uint32_t)(ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : ms);
}
