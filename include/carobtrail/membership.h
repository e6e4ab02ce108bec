/**
 * @file membership.h
 * The member table of this instance: which instances are alive, which are
 * leaving and to which successor, and which have departed (left or died). It is
 * maintained by heartbeats and by the updates that neighbours forward. There is
 * no consensus on it, so tables of two instances may differ for a while, and no
 * safety property may depend on it.
 */
#ifndef CAROBTRAIL_MEMBERSHIP_H
#define CAROBTRAIL_MEMBERSHIP_H

#include "carobtrail/ids.h"
#include "carobtrail/kernel.h"

/** State of one run of an instance, as known here. */
typedef enum carob_member_state {
	CAROB_MEMBER_ALIVE,
	CAROB_MEMBER_LEAVING, /* takes no new flows, still serves its own */
	CAROB_MEMBER_LEFT,    /* stopped gracefully; `successor` took over */
	CAROB_MEMBER_DEAD,    /* declared dead, or superseded by a later run */
} carob_member_state_t;

/**
 * One run of an instance: the lifetime of one process. A restarted instance
 * keeps its id and has another incarnation.
 */
typedef struct carob_member {
	carob_instance_id_t id;
	carob_zone_t zone;
	carob_addr_t relay_addr;   /* UDP, for packets that instances relay */
	carob_addr_t control_addr; /* TCP, for the ZeroMQ control channel */
	carob_member_state_t state;
	carob_instance_id_t successor; /* id 0: none */
	uint64_t generation; /* manifest generation in force at the member */
	/*
	 * Version of this record. Only the instance itself raises it, and the
	 * record with the higher revision wins. It begins at the wall-clock
	 * time of the start, in seconds, so that a later run has a higher one.
	 */
	uint32_t revision;
} carob_member_t;

typedef struct carob_membership carob_membership_t;

/** Options of `carob_membership_new`. */
typedef struct carob_membership_options {
	unsigned int version;
	carob_member_t self; /* state ALIVE */
} carob_membership_options_t;

#define CAROB_MEMBERSHIP_OPTIONS_VERSION 1
#define CAROB_MEMBERSHIP_OPTIONS_INIT                                          \
	{                                                                      \
		.version = CAROB_MEMBERSHIP_OPTIONS_VERSION                    \
	}

/**
 * Creates a membership that contains only this instance.
 *
 * @param out receives the membership; release it with `carob_membership_free`
 * @param options the options, with the record of this instance
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_membership_new(carob_membership_t **out,
			 const carob_membership_options_t *options);

/** Releases the membership; NULL is allowed. */
void carob_membership_free(carob_membership_t *m);

/**
 * Merges the record of a member, as reported by some member, into the table.
 * A higher revision wins; at equal revisions the later state wins, in the
 * order alive, leaving, dead, left. A wrong report about this instance is
 * refuted: its own revision is raised above the reported one.
 *
 * Of two runs of one instance that are alive, the one with the higher revision
 * started later (see `carob_member_t`) and supersedes the other, which is
 * marked dead. A run that is leaving is not superseded.
 *
 * @param m the membership
 * @param member the reported record
 * @param changed receives whether the table changed; may be NULL
 * @return 0, CAROB_EINVALID for an invalid id or state, or CAROB_ENOMEM
 */
int carob_membership_learn(carob_membership_t *m, const carob_member_t *member,
			   bool *changed);

/**
 * Changes the state and successor of this instance and raises its revision.
 *
 * @param m the membership
 * @param state the new state
 * @param successor the instance that takes over when this one leaves; id 0
 *        for none
 */
void carob_membership_set_self(carob_membership_t *m,
			       carob_member_state_t state,
			       carob_instance_id_t successor);

/** Raises the revision of this instance to at least `revision`. */
void carob_membership_raise_revision(carob_membership_t *m, uint32_t revision);

/**
 * Sets the manifest generation in force at this instance. This does not raise
 * the revision: generations change too often to be disseminated as membership
 * updates, so heartbeats carry them instead.
 */
void carob_membership_set_generation(carob_membership_t *m,
				     uint64_t generation);

/**
 * Records the manifest generation that a heartbeat of a member carried. A
 * generation lower than the recorded one is ignored, and so is this instance.
 */
void carob_membership_record_generation(carob_membership_t *m,
					carob_instance_id_t id,
					uint64_t generation);

/**
 * Sets whether a member can be reached from this instance. This is local
 * state and never sent to others: an unreachable member gets no new flows from
 * this instance, but is not declared dead.
 */
void carob_membership_set_reachable(carob_membership_t *m,
				    carob_instance_id_t id, bool reachable);

/** Sets whether this instance's zone receives messages from another zone. */
void carob_membership_set_zone_reachable(carob_membership_t *m,
					 const carob_zone_t *zone,
					 bool reachable);

/** @return whether the member is known and it and its zone are reachable */
bool carob_membership_is_reachable(const carob_membership_t *m,
				   carob_instance_id_t id);

/**
 * Removes the departed members (dead or left) that had already departed at the
 * previous call. A departed member is therefore kept for at least one interval
 * between calls, during which outdated reports cannot add it again as alive.
 *
 * @return number of members removed
 */
size_t carob_membership_remove_departed(carob_membership_t *m);

/** Number of parts of a table, which are compared by a digest each. */
#define CAROB_MEMBERSHIP_PARTS 256

/** @return index of the part that a member belongs to, by a hash of its id */
unsigned int carob_membership_part(carob_instance_id_t id);

/** @return digest of all members that are alive or leaving */
uint64_t carob_membership_digest(const carob_membership_t *m);

/** @return one digest per part; borrowed, and updated with each change */
const uint32_t *carob_membership_part_digests(const carob_membership_t *m);

/** @return bytes of memory that the membership holds */
size_t carob_membership_memory_bytes(const carob_membership_t *m);

/** @return the record of this instance, borrowed */
const carob_member_t *carob_membership_self(const carob_membership_t *m);

/** @return the run with this id and incarnation, borrowed, or NULL */
const carob_member_t *carob_membership_find(const carob_membership_t *m,
					    carob_instance_id_t id);

/**
 * Finds the member that is responsible for the flows of `owner`: the owner
 * itself while it is alive or leaving. If it has left, its successors are
 * followed to the first that is alive or leaving.
 *
 * @return the member, borrowed, or NULL if there is none or it is unreachable
 */
const carob_member_t *carob_membership_resolve(const carob_membership_t *m,
					       carob_instance_id_t owner);

/**
 * Lists the members that take new flows: those that are alive and reachable,
 * including this instance if it is alive, in ascending order of ids.
 *
 * @param m the membership
 * @param count receives the number of members
 * @return array of borrowed members; valid until the membership changes
 */
const carob_member_t *const *carob_membership_alive(const carob_membership_t *m,
						    size_t *count);

/**
 * Lists all members in the table, in any state, in ascending order of ids.
 *
 * @param m the membership
 * @param count receives the number of members
 * @return array of borrowed members; valid until the membership changes
 */
const carob_member_t *const *carob_membership_all(const carob_membership_t *m,
						  size_t *count);

/**
 * @return a version that grows whenever a member is added, changed or removed
 *         or its reachability changes; a new manifest generation of a member
 *         does not raise it
 */
uint64_t carob_membership_version(const carob_membership_t *m);

#endif
