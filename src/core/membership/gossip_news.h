/**
 * @file gossip_news.h
 * The members of which something new is known, and how often it has still to
 * be told. What is told least goes first (SWIM, Das et al. 2002, 4.1).
 */
#ifndef CAROB_CORE_GOSSIP_NEWS_H
#define CAROB_CORE_GOSSIP_NEWS_H

#include "carobtrail/ids.h"

/** Most members in the queue; more are left to the repair of tables. */
#define CAROB_NEWS_MAX 4096

/** News of one member. */
typedef struct carob_news_item {
	carob_instance_id_t member;
	carob_instance_id_t source; /* who told it */
	uint32_t left;		    /* times to tell it */
	bool fresh;		    /* not yet passed on to all links */
} carob_news_item_t;

/** A queue of news; zero-initialise it. */
typedef struct carob_news {
	carob_news_item_t *items;
	size_t count;
	size_t cap;
} carob_news_t;

/** Releases the queue's memory. */
void carob_news_dispose(carob_news_t *news);

/**
 * Adds news of a member in place of older news of it. Drops it when the
 * queue is full or memory is short.
 */
void carob_news_add(carob_news_t *news, const carob_news_item_t *item);

/**
 * Takes what is to be told next; every item counts as told once.
 *
 * @param out receives up to `cap` members
 * @return how many were written
 */
size_t carob_news_take(carob_instance_id_t *out, size_t cap,
		       carob_news_t *news);

#endif
