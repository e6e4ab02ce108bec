#include "core/manifest/manifest_sync_state.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"

#include <stdlib.h>
#include <string.h>

/*
 * A review checks whether to call the platform or a peer. The first one comes
 * at a random time in this range, later ones about once a second.
 */
#define FIRST_REVIEW_MIN_NS (50 * CAROB_NS_PER_MS)
#define FIRST_REVIEW_MAX_NS (300 * CAROB_NS_PER_MS)
#define REVIEW_NS	    CAROB_NS_PER_S
#define REVIEW_JITTER_NS    (200 * CAROB_NS_PER_MS)

static void arm_review(carob_manifest_sync_t *sync, uint64_t min_ns,
		       uint64_t max_ns)
{
	uint64_t span = max_ns - min_ns;
	uint64_t delay =
		min_ns + (uint64_t)((double)span * carob_rng_unit(&sync->rng));

	(void)carob_timer_arm(sync->options.kernel, &sync->review,
			      carob_kernel_now_ns(sync->options.kernel) +
				      delay);
}

static void on_review(carob_timer_t *timer)
{
	carob_manifest_sync_t *sync =
		CAROB_CONTAINER_OF(timer, carob_manifest_sync_t, review);

	carob_sync_review_platform(sync);
	carob_sync_review_peers(sync);
	arm_review(sync, REVIEW_NS - REVIEW_JITTER_NS,
		   REVIEW_NS + REVIEW_JITTER_NS);
}

uint64_t carob_sync_current(const carob_manifest_sync_t *sync)
{
	return carob_manifest_store_current(sync->options.store)->number;
}

/* Adds the delta from the previous generation to the new one to the log. */
static void record_delta(carob_manifest_sync_t *sync,
			 const carob_generation_t *previous,
			 const sync_arrival_t *arrival)
{
	const carob_generation_t *current = &arrival->generation;
	carob_delta_t delta = {.from = previous->number,
			       .to = current->number,
			       .publish_id = current->publish_id,
			       .text = CAROB_BUF_INIT};
	int result;

	if (!previous->manifest)
		return;
	if (arrival->delta.len > 0)
		result = carob_buf_append(&delta.text, arrival->delta.ptr,
					  arrival->delta.len);
	else
		result = carob_manifest_delta(&delta.text, previous->manifest,
					      current->manifest);
	if (result == 0)
		carob_delta_log_add(&sync->deltas, &delta);
	carob_buf_dispose(&delta.text);
}

static void count_applied(carob_manifest_sync_t *sync,
			  const sync_arrival_t *arrival)
{
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];

	sync->counters.applied++;
	sync->counters.applied_by_delta += arrival->delta.len > 0;
	sync->counters.applied_from_peer += arrival->from_peer;
	carob_publish_id_format(id, &arrival->generation.publish_id);
	CAROB_LOG(CAROB_EV_MANIFEST_APPLIED,
		  CAROB_FIELD_U64("generation", arrival->generation.number),
		  CAROB_FIELD_CSTR("publish", id),
		  CAROB_FIELD_CSTR("from",
				   arrival->from_peer ? "peer" : "platform"),
		  CAROB_FIELD_CSTR("form",
				   arrival->delta.len > 0 ? "delta" : "whole"));
}

int carob_sync_apply(carob_manifest_sync_t *sync, const sync_arrival_t *arrival)
{
	carob_generation_t previous =
		*carob_manifest_store_current(sync->options.store);
	int result;

	if (previous.manifest)
		(void)carob_manifest_ref(previous.manifest);
	result = carob_manifest_store_offer(sync->options.store,
					    &arrival->generation);
	if (result == 0) {
		record_delta(sync, &previous, arrival);
		count_applied(sync, arrival);
		carob_membership_set_generation(sync->options.membership,
						arrival->generation.number);
		carob_sync_announce(sync);
	} else if (result != CAROB_ESTALE) {
		sync->counters.refused++;
		CAROB_LOG(CAROB_EV_MANIFEST_REFUSED,
			  CAROB_FIELD_U64("generation",
					  arrival->generation.number),
			  CAROB_FIELD_I64("result", result),
			  CAROB_FIELD_CSTR("error", carob_error_last()));
	}
	carob_manifest_free(previous.manifest);
	return result;
}

int carob_manifest_sync_new(carob_manifest_sync_t **out,
			    const carob_manifest_sync_options_t *options)
{
	carob_manifest_sync_t *sync;

	if (options->version != CAROB_MANIFEST_SYNC_OPTIONS_VERSION ||
	    !options->kernel || !options->store || !options->membership ||
	    options->deployment.len == 0 ||
	    options->deployment.len > CAROB_MANIFEST_NAME_MAX)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of the manifest "
				       "synchronisation");
	sync = calloc(1, sizeof(*sync));
	if (!sync)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the manifest "
				       "synchronisation");
	sync->options = *options;
	memcpy(sync->deployment_text, options->deployment.ptr,
	       options->deployment.len);
	sync->deployment = carob_str_from(sync->deployment_text);
	carob_rng_init(&sync->rng, options->seed);
	sync->review.fire = on_review;
	arm_review(sync, FIRST_REVIEW_MIN_NS, FIRST_REVIEW_MAX_NS);
	*out = sync;
	return 0;
}

void carob_manifest_sync_free(carob_manifest_sync_t *sync)
{
	if (!sync)
		return;
	carob_timer_cancel(sync->options.kernel, &sync->review);
	carob_timer_cancel(sync->options.kernel, &sync->reply_timer);
	carob_sync_cancel_platform_calls(sync);
	carob_delta_log_dispose(&sync->deltas);
	free(sync);
}

void carob_manifest_sync_counters(carob_manifest_sync_counters_t *out,
				  const carob_manifest_sync_t *sync)
{
	*out = sync->counters;
}

bool carob_manifest_sync_watches(const carob_manifest_sync_t *sync)
{
	return sync->watching;
}
