/**
 * @file link.h
 * Network faults between groups of addresses, set for each direction by
 * itself.
 */
#ifndef CAROB_FABRIC_LINK_H
#define CAROB_FABRIC_LINK_H

#include "carobtrail/ids.h"
#include "carobtrail/rng.h"
#include "util/json_doc.h"

/** Name in a rule that matches every group. */
#define FABRIC_ANY_GROUP "any"

/** Name of the group of all addresses that are in no other group. */
#define FABRIC_OTHER_GROUP "other"

/** Faults of one direction; probabilities are in [0, 1]. */
typedef struct fabric_faults {
	double drop;	     /* probability of loss; 1: the link is cut */
	double duplicate;    /* probability of a second copy */
	double reorder;	     /* probability of a delay by `reorder_ms` more */
	uint32_t reorder_ms; /* added to delay and jitter */
	uint32_t delay_ms;
	uint32_t jitter_ms; /* largest random addition to the delay */
} fabric_faults_t;

/** Groups of addresses and the faults between them. */
typedef struct fabric_links fabric_links_t;

/** Copies of one datagram to deliver and the delay of each. */
typedef struct fabric_delivery {
	unsigned int copies; /* 0 to 2 */
	uint64_t delay_ns[2];
} fabric_delivery_t;

/** Creates links without groups or faults. @return 0 or CAROB_ENOMEM */
int fabric_links_new(fabric_links_t **out, uint64_t seed);

/** Releases the links. */
void fabric_links_free(fabric_links_t *links);

/** Adds an IP address to a group. @return 0, CAROB_ELIMIT or CAROB_EINVALID */
int fabric_links_add_to_group(fabric_links_t *links, carob_str_t group,
			      carob_str_t ip);

/**
 * Sets the faults from one group to another and replaces earlier ones.
 *
 * @return 0, CAROB_ELIMIT, or CAROB_ENOTFOUND if a group does not exist
 */
int fabric_links_set(fabric_links_t *links, carob_str_t from, carob_str_t to,
		     const fabric_faults_t *faults);

/** Removes all faults. */
void fabric_links_clear(fabric_links_t *links);

/** @return the faults from one address to another; never NULL */
const fabric_faults_t *fabric_links_find(const fabric_links_t *links,
					 const carob_addr_t *from,
					 const carob_addr_t *to);

/** @return whether the link is cut in the direction between two addresses */
bool fabric_links_is_cut(const fabric_links_t *links, const carob_addr_t *from,
			 const carob_addr_t *to);

/** Decides at random how a datagram is delivered. */
void fabric_links_decide_delivery(fabric_delivery_t *out, fabric_links_t *links,
				  const carob_addr_t *from,
				  const carob_addr_t *to);

/** @return a random number below `bound` */
uint32_t fabric_links_random_below(fabric_links_t *links, uint32_t bound);

/** Reads faults from the members of an object. @return 0 or CAROB_EINVALID */
int fabric_faults_read(fabric_faults_t *out, const carob_json_node_t *object);

#endif
