/**
 * @file gossip_news.h
 * Queue of membership updates to disseminate: the members whose record changed
 * and how often each has still to be sent. Updates that were sent least often
 * go first (SWIM, Das et al. 2002, 4.1).
 */
#ifndef CAROB_CORE_GOSSIP_NEWS_H
#define CAROB_CORE_GOSSIP_NEWS_H

#include "carobtrail/ids.h"

/** Maximum length of the queue; anti-entropy delivers what is dropped. */
#define CAROB_UPDATE_QUEUE_MAX 4096

/** A queued update of one member; its record is read when it is sent. */
typedef struct carob_update {
	carob_instance_id_t member;
	carob_instance_id_t source; /* member that sent it here */
	uint32_t sends_left;	    /* remaining times to piggyback it */
	bool unflushed;		    /* not yet flushed to all links */
} carob_update_t;

/** The queue; zero-initialise it. */
typedef struct carob_update_queue {
	carob_update_t *updates;
	size_t count;
	size_t cap;
} carob_update_queue_t;

/** Releases the memory of the queue. */
void carob_update_queue_dispose(carob_update_queue_t *queue);

/**
 * Adds an update. It replaces an earlier one of the same member, and is
 * dropped if the queue is full or out of memory.
 */
void carob_update_queue_add(carob_update_queue_t *queue,
			    const carob_update_t *update);

/**
 * Selects the members to piggyback next and counts each as sent once.
 *
 * @param out receives up to `cap` members
 * @param cap capacity of `out`
 * @param queue the queue
 * @return number of members written
 */
size_t carob_update_queue_select(carob_instance_id_t *out, size_t cap,
				 carob_update_queue_t *queue);

#endif
