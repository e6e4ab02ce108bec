#include "carobtrail/reader_claim.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"

#include <stdlib.h>

/* A slot of a reader that died is free after this time. Until then its zone
 * reads the platform itself. */
#define TTL_MS	 6000
#define RENEW_MS (TTL_MS / 3)
/* Longest random time from seeing a free slot to claiming it. The others see a
 * claim within about 3 s; in a zone of twenty, two or three more try until
 * then. */
#define CLAIM_DELAY_MS 20000
/* Instances with a fast link claim within this time, and those with a slow one
 * after it. It is longer than the time in which others see a claim. */
#define CLAIM_DELAY_FAST_MS 5000
/* A link of this rate sends 16 KB, the longest body that is relayed, to fifty
 * instances in 0.07 s. */
#define FAST_LINK_MBPS 100
/* After a failure the slot is looked at again no sooner. */
#define RETRY_MS 2000

typedef enum claim_state {
	CLAIM_IDLE,
	CLAIM_DELAYED,	 /* a slot is free; waits for the random delay */
	CLAIM_BEGINNING, /* the lease is being begun */
	CLAIM_CLAIMING,	 /* the entry is being written */
	CLAIM_HOLDING,
	CLAIM_RENEWING,
	CLAIM_ENDING,
} claim_state_t;

struct carob_reader_claim {
	carob_lease_call_t call;
	carob_reader_claim_options_t options;
	carob_timer_t timer; /* end of the delay, or the next renewal */
	carob_rng_t rng;
	claim_state_t state;
	uint64_t lease;
	uint64_t renewed_ns; /* start of the last renewal that succeeded */
	uint64_t retry_ns;
	bool wanted;
	bool seen;	/* the table has shown the own entry */
	bool is_reader; /* last value that the role has learned */
};

static uint64_t now_ns(const carob_reader_claim_t *claim)
{
	return carob_kernel_now_ns(claim->options.kernel);
}

static void arm(carob_reader_claim_t *claim, uint64_t ms)
{
	(void)carob_timer_arm(claim->options.kernel, &claim->timer,
			      now_ns(claim) + ms * CAROB_NS_PER_MS);
}

static void set_role(carob_reader_claim_t *claim, bool is_reader,
		     const char *reason)
{
	if (claim->is_reader == is_reader)
		return;
	claim->is_reader = is_reader;
	CAROB_LOG(CAROB_EV_READER_ROLE, CAROB_FIELD_U64("reader", is_reader),
		  CAROB_FIELD_U64("slot", claim->options.self.slot),
		  CAROB_FIELD_CSTR("reason", reason));
	claim->options.role->changed(claim->options.role, is_reader);
}

static void become_idle(carob_reader_claim_t *claim, const char *reason)
{
	carob_timer_cancel(claim->options.kernel, &claim->timer);
	claim->state = CLAIM_IDLE;
	claim->retry_ns = now_ns(claim) + RETRY_MS * CAROB_NS_PER_MS;
	set_role(claim, false, reason);
}

/* Ends the lease; whether that succeeds does not matter, since it expires. */
static void end_lease(carob_reader_claim_t *claim, const char *reason)
{
	become_idle(claim, reason);
	claim->state = CLAIM_ENDING;
	claim->options.store->ops->end(claim->options.store, &claim->call,
				       claim->lease);
}

/* Returns the slot that this instance may claim, or CAROB_READER_SLOTS: one
 * that an earlier process of the instance holds, or a free one. */
static size_t claimable_slot(const carob_reader_claim_t *claim)
{
	size_t slot = carob_reader_table_slot_of(claim->options.readers,
						 claim->options.self.name);

	if (slot < CAROB_READER_SLOTS)
		return slot;
	return carob_reader_table_free_slot(claim->options.readers);
}

static uint64_t expected_revision(const carob_reader_claim_t *claim,
				  size_t slot)
{
	const carob_reader_slot_t *reader =
		&claim->options.readers->slots[slot];

	return reader->used ? reader->revision : 0;
}

static void on_begun(carob_reader_claim_t *claim, int result, uint64_t lease)
{
	size_t slot = claimable_slot(claim);

	if (result) {
		become_idle(claim, "no lease");
		return;
	}
	claim->lease = lease;
	if (!claim->wanted || slot == CAROB_READER_SLOTS) {
		end_lease(claim, "no free slot");
		return;
	}
	claim->options.self.slot = (uint32_t)slot;
	claim->state = CLAIM_CLAIMING;
	claim->options.store->ops->claim(claim->options.store, &claim->call,
					 &claim->options.self, lease,
					 expected_revision(claim, slot));
}

static void hold(carob_reader_claim_t *claim)
{
	claim->state = CLAIM_HOLDING;
	claim->renewed_ns = now_ns(claim);
	arm(claim, RENEW_MS);
}

static void on_claimed(carob_reader_claim_t *claim, int result)
{
	if (result) {
		end_lease(claim, "slot not claimed");
		return;
	}
	claim->seen = false;
	hold(claim);
	set_role(claim, true, "slot claimed");
}

static void on_renewed(carob_reader_claim_t *claim, int result)
{
	if (result == 0) {
		hold(claim);
	} else if (result == CAROB_ESTALE || now_ns(claim) - claim->renewed_ns >
						     TTL_MS * CAROB_NS_PER_MS) {
		become_idle(claim, "lease lost");
	} else {
		claim->state = CLAIM_HOLDING;
		arm(claim, RENEW_MS);
	}
}

static void on_call_done(carob_lease_call_t *call, int result, uint64_t lease)
{
	carob_reader_claim_t *claim =
		CAROB_CONTAINER_OF(call, carob_reader_claim_t, call);

	switch (claim->state) {
	case CLAIM_BEGINNING:
		on_begun(claim, result, lease);
		break;
	case CLAIM_CLAIMING:
		on_claimed(claim, result);
		break;
	case CLAIM_RENEWING:
		on_renewed(claim, result);
		break;
	default:
		claim->state = CLAIM_IDLE;
		break;
	}
}

static void on_timer(carob_timer_t *timer)
{
	carob_reader_claim_t *claim =
		CAROB_CONTAINER_OF(timer, carob_reader_claim_t, timer);
	carob_lease_store_t *store = claim->options.store;

	if (claim->state == CLAIM_HOLDING) {
		claim->state = CLAIM_RENEWING;
		store->ops->renew(store, &claim->call, claim->lease);
	} else if (claim->state == CLAIM_DELAYED && claim->wanted &&
		   claimable_slot(claim) < CAROB_READER_SLOTS) {
		claim->state = CLAIM_BEGINNING;
		store->ops->begin(store, &claim->call, TTL_MS);
	} else if (claim->state == CLAIM_DELAYED) {
		claim->state = CLAIM_IDLE;
	}
}

/* Gives the slot up when the table shows that the entry is gone, for instance
 * since the platform came back from a copy. */
static void check_entry(carob_reader_claim_t *claim)
{
	size_t slot = carob_reader_table_slot_of(claim->options.readers,
						 claim->options.self.name);

	if (slot < CAROB_READER_SLOTS)
		claim->seen = true;
	else if (claim->seen && claim->state == CLAIM_HOLDING)
		end_lease(claim, "entry removed");
}

/* Returns the random time after which this instance claims a free slot. */
static uint64_t claim_delay_ms(carob_reader_claim_t *claim)
{
	double mbps = claim->options.link_mbps;

	if (mbps >= FAST_LINK_MBPS)
		return carob_rng_below(&claim->rng, CLAIM_DELAY_FAST_MS);
	return (mbps > 0 ? CLAIM_DELAY_FAST_MS : 0) +
	       carob_rng_below(&claim->rng, CLAIM_DELAY_MS);
}

void carob_reader_claim_check(carob_reader_claim_t *claim, bool wanted)
{
	size_t slot;

	claim->wanted = wanted;
	if (claim->is_reader) {
		if (!wanted && claim->state == CLAIM_HOLDING)
			end_lease(claim, "not wanted");
		else
			check_entry(claim);
		return;
	}
	if (!wanted || claim->state != CLAIM_IDLE ||
	    now_ns(claim) < claim->retry_ns)
		return;
	slot = claimable_slot(claim);
	if (slot == CAROB_READER_SLOTS)
		return;
	claim->state = CLAIM_DELAYED;
	arm(claim,
	    expected_revision(claim, slot) > 0 ? 0 : claim_delay_ms(claim));
}

bool carob_reader_claim_is_reader(const carob_reader_claim_t *claim)
{
	return claim->is_reader;
}

int carob_reader_claim_new(carob_reader_claim_t **out,
			   const carob_reader_claim_options_t *options)
{
	carob_reader_claim_t *claim;

	if (options->version != CAROB_READER_CLAIM_OPTIONS_VERSION ||
	    !options->kernel || !options->store || !options->readers ||
	    !options->role)
		return carob_error_set(CAROB_EINVALID,
				       "reader claim options: unsupported "
				       "version or a required member is NULL");
	claim = calloc(1, sizeof(*claim));
	if (!claim)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate reader claim");
	claim->call.done = on_call_done;
	claim->options = *options;
	claim->timer.fire = on_timer;
	carob_rng_init(&claim->rng, options->seed);
	*out = claim;
	return 0;
}

void carob_reader_claim_free(carob_reader_claim_t *claim)
{
	if (!claim)
		return;
	carob_timer_cancel(claim->options.kernel, &claim->timer);
	free(claim);
}
