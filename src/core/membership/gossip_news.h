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
#define CAROB_NEWS_MAX 4096

/** A queued update of one member; its record is read when it is sent. */
typedef struct carob_news_item {
	carob_instance_id_t member;
	carob_instance_id_t source; /* member that sent it here */
	uint32_t left;		    /* remaining times to piggyback it */
	bool fresh;		    /* not yet flushed to all links */
} carob_news_item_t;

/** The queue; zero-initialise it. */
typedef struct carob_news {
	carob_news_item_t *items;
	size_t count;
	size_t cap;
} carob_news_t;

/** Releases the memory of the queue. */
void carob_news_dispose(carob_news_t *news);

/**
 * Adds an update. It replaces an earlier one of the same member, and is
 * dropped if the queue is full or out of memory.
 */
void carob_news_add(carob_news_t *news, const carob_news_item_t *item);

/**
 * Takes the members to piggyback next; each counts as sent once.
 *
 * @param out receives up to `cap` members
 * @param cap capacity of `out`
 * @param news the queue
 * @return number of members written
 */
size_t carob_news_take(carob_instance_id_t *out, size_t cap,
		       carob_news_t *news);

#endif
