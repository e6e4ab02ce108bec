/**
 * @file manifest_sync_state.h
 * State of manifest synchronisation, shared by its source files.
 */
#ifndef CAROB_CORE_MANIFEST_SYNC_STATE_H
#define CAROB_CORE_MANIFEST_SYNC_STATE_H

#include "carobtrail/manifest_sync.h"
#include "carobtrail/rng.h"
#include "core/manifest/delta_log.h"
#include "core/manifest/manifest_fetch.h"

/** Peers remembered as having a later generation. */
#define CAROB_SYNC_CANDIDATES_MAX 8

/** A peer that has a later generation than this instance. */
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
	bool watching;	      /* this instance watches for its zone */
	bool platform_failed; /* the last call failed */
	unsigned int failures;
	uint64_t retry_ns; /* no call before this time */
	uint64_t poll_ns;  /* next read without watching */
	carob_kv_call_t head_call;
	uint64_t head_index;
	carob_head_t head; /* being fetched */
	carob_kv_call_t delta_call;
	carob_fetch_t fetch;

	/* Peers: */
	sync_candidate_t candidates[CAROB_SYNC_CANDIDATES_MAX];
	size_t candidate_count;
	bool asked; /* a peer's reply is awaited */
	sync_candidate_t asked_peer;
	bool want_whole; /* a delta did not apply */
	carob_timer_t reply_timer;
	uint64_t budget_bytes; /* left for sending whole manifests */
	uint64_t budget_ns;    /* when it was last filled */
};

/** A generation that arrived, with how it did. */
typedef struct sync_arrival {
	carob_generation_t generation;
	carob_str_t delta; /* text from the generation in force, or empty */
	bool from_peer;
} sync_arrival_t;

/**
 * Offers a generation to the store; if it is put in force, remembers the
 * delta and tells peers.
 */
int carob_sync_apply(carob_manifest_sync_t *sync,
		     const sync_arrival_t *arrival);

/** @return the number of the generation in force */
uint64_t carob_sync_current(const carob_manifest_sync_t *sync);

/** Starts, keeps or stops calls of the platform; called once a second. */
void carob_sync_review_platform(carob_manifest_sync_t *sync);

/** Cancels calls of the platform. */
void carob_sync_stop_platform(carob_manifest_sync_t *sync);

/** Asks a peer that has a later generation, if there is one. */
void carob_sync_review_peers(carob_manifest_sync_t *sync);

/** Tells some peers which generation is in force here. */
void carob_sync_announce(carob_manifest_sync_t *sync);

#endif
