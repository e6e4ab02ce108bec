/**
 * @file manifest_sync_state.h
 * Internal state of the manifest synchronisation, shared by its source files.
 */
#ifndef CAROB_CORE_MANIFEST_SYNC_STATE_H
#define CAROB_CORE_MANIFEST_SYNC_STATE_H

#include "carobtrail/manifest_sync.h"
#include "carobtrail/rng.h"
#include "core/manifest/delta_log.h"
#include "core/manifest/manifest_fetch.h"

/** Largest number of candidates that are kept. */
#define CAROB_SYNC_CANDIDATES_MAX 8

/** A peer that reported a later generation than the one in force here. */
typedef struct sync_candidate {
	carob_control_peer_t peer;
	uint64_t generation;
} sync_candidate_t;

struct carob_manifest_sync {
	carob_manifest_sync_options_t options;
	char deployment_text[CAROB_MANIFEST_NAME_MAX + 1];
	carob_str_t deployment;
	carob_rng_t rng;
	carob_manifest_sync_counters_t counters;
	carob_delta_log_t deltas;
	carob_timer_t review;

	/* Platform: */
	bool watching;	       /* this instance watches for its zone */
	bool platform_failed;  /* the last call failed */
	unsigned int failures; /* consecutive failed calls */
	uint64_t retry_ns;     /* earliest time of the next call */
	uint64_t poll_ns;      /* time of the next read without watching */
	carob_kv_call_t head_call;
	/* Index from which to watch the head; 0: read without waiting. */
	uint64_t head_index;
	carob_head_t head; /* head of the generation being fetched */
	carob_kv_call_t delta_call;
	carob_fetch_t fetch;

	/* Peers: */
	sync_candidate_t candidates[CAROB_SYNC_CANDIDATES_MAX];
	size_t candidate_count;
	bool request_pending; /* no reply has arrived yet */
	sync_candidate_t request_peer;
	bool whole_needed; /* the last delta could not be applied */
	carob_timer_t reply_timer;
	uint64_t budget_bytes; /* bytes of whole manifests that may be sent */
	uint64_t budget_ns;    /* time of the last refill; 0: never */
};

/** A generation that was received, and how. */
typedef struct sync_arrival {
	carob_generation_t generation;
	/* Delta from the generation in force; empty: whole manifest. */
	carob_str_t delta;
	bool from_peer; /* false: from the platform */
} sync_arrival_t;

/**
 * Offers a generation to the store. If it is put in force, adds the delta to
 * the delta log and announces the generation to peers.
 *
 * @return 0 or as `carob_manifest_store_offer`
 */
int carob_sync_apply(carob_manifest_sync_t *sync,
		     const sync_arrival_t *arrival);

/** @return the number of the generation in force */
uint64_t carob_sync_current(const carob_manifest_sync_t *sync);

/**
 * Decides whether this instance watches the platform, and starts or cancels
 * calls accordingly; called about once a second.
 */
void carob_sync_review_platform(carob_manifest_sync_t *sync);

/** Cancels all calls of the platform. */
void carob_sync_cancel_platform_calls(carob_manifest_sync_t *sync);

/** Requests a later generation from a peer, if there is a candidate. */
void carob_sync_review_peers(carob_manifest_sync_t *sync);

/** Announces the generation in force to some peers. */
void carob_sync_announce(carob_manifest_sync_t *sync);

#endif
