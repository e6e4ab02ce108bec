/**
 * @file gossip.h
 * Keeps the member table up to date by gossip. An instance exchanges
 * heartbeats with a few neighbours in its availability zone, disseminates
 * membership updates over a sparse graph, and has a few links into every other
 * zone. The module does no I/O: received messages are passed in, messages are
 * sent through a port, and time and timers come from the kernel.
 *
 * A neighbour that leaves two heartbeats unanswered is suspected and probed
 * indirectly, through other members (SWIM, Das et al. 2002). It is declared
 * dead only when at least one of them confirms that it does not respond
 * either. If no other member responds, the fault is more likely in this
 * instance's own link (Lifeguard, Dadgar et al. 2018).
 */
#ifndef CAROBTRAIL_GOSSIP_H
#define CAROBTRAIL_GOSSIP_H

#include "carobtrail/control_msg.h"
#include "carobtrail/kernel.h"
#include "carobtrail/membership.h"

typedef struct carob_gossip carob_gossip_t;
typedef struct carob_gossip_listener carob_gossip_listener_t;

/** Callbacks of the gossip to the rest of the instance; each may be NULL. */
typedef struct carob_gossip_listener_ops {
	/**
	 * Called for each heartbeat or acknowledgement, with the sender's
	 * manifest generation and newest sealing key.
	 */
	void (*peer_versions)(carob_gossip_listener_t *listener,
			      const carob_control_peer_t *peer,
			      uint64_t generation, uint32_t key_serial);
	/** Called once, when the member table is complete after a start. */
	void (*joined)(carob_gossip_listener_t *listener);
} carob_gossip_listener_ops_t;

/** A listener; implementations embed it as their first field. */
struct carob_gossip_listener {
	const carob_gossip_listener_ops_t *ops;
};

/** Mutations: deliberately wrong variants that only tests enable. */
typedef enum carob_gossip_mutation {
	CAROB_GOSSIP_MUTATION_NONE,
	CAROB_GOSSIP_MUTATION_NO_REFUTATION,
	CAROB_GOSSIP_MUTATION_NO_INDIRECT_PROBE,
	/*
	 * Does not detect pauses of the process, so that other members seem
	 * not to have responded during one.
	 */
	CAROB_GOSSIP_MUTATION_TRUST_OWN_CLOCK,
	/* Does not pull from a neighbour whose member table differs. */
	CAROB_GOSSIP_MUTATION_NO_REPAIR,
} carob_gossip_mutation_t;

/** Maximum number of neighbours that an instance exchanges heartbeats with. */
#define CAROB_GOSSIP_LINKS_MAX 32

/** Maximum number of seed addresses. */
#define CAROB_GOSSIP_SEEDS_MAX 64

/** Options of `carob_gossip_new`. */
typedef struct carob_gossip_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_control_port_t *port;
	carob_gossip_listener_t *listener; /* NULL: none */
	/* Addresses through which to join; copied. This instance is skipped. */
	const carob_addr_t *seeds;
	size_t seed_count;
	uint64_t seed; /* seed of the random number generator */
	carob_gossip_mutation_t mutation;
} carob_gossip_options_t;

#define CAROB_GOSSIP_OPTIONS_VERSION 1
#define CAROB_GOSSIP_OPTIONS_INIT                                              \
	{                                                                      \
		.version = CAROB_GOSSIP_OPTIONS_VERSION                        \
	}

/** Counters since the creation; they never decrease. */
typedef struct carob_gossip_counters {
	uint64_t heartbeats_sent;
	uint64_t news_sent;   /* queued updates sent, counted per receiver */
	uint64_t news_learnt; /* received updates that changed the table */
	uint64_t checks;      /* suspicions: series of indirect probes */
	uint64_t deaths;      /* members declared dead by this instance */
	uint64_t refutations; /* false reports about this instance refuted */
	uint64_t pauses;      /* pauses of this process that were detected */
	uint64_t pulls;	      /* pulls from members whose table differs */
	uint64_t unexpected;  /* messages ignored as invalid or unexpected */
} carob_gossip_counters_t;

/**
 * Creates the gossip of one instance; it sends nothing until it is started.
 *
 * @param out receives the gossip; release it with `carob_gossip_free`
 * @param options the options; kernel, membership, port and listener must
 *        outlive the gossip
 * @return 0, CAROB_EINVALID, CAROB_ELIMIT or CAROB_ENOMEM
 */
int carob_gossip_new(carob_gossip_t **out,
		     const carob_gossip_options_t *options);

/** Cancels the timers of the gossip and releases it; NULL is allowed. */
void carob_gossip_free(carob_gossip_t *gossip);

/** Starts joining and sending heartbeats. @return 0 or CAROB_ENOMEM */
int carob_gossip_start(carob_gossip_t *gossip);

/**
 * Handles a message from another instance.
 *
 * @return whether the type of the message belongs to the gossip; messages of
 *         other types are not touched
 */
bool carob_gossip_on_message(carob_gossip_t *gossip,
			     const carob_control_msg_t *msg);

/**
 * Adds an address at which an instance may listen, such as one from the
 * platform's list. It is used like a seed, to find members, and does not make
 * the address a member. If the maximum number of hints is reached, the oldest
 * hint is replaced.
 */
void carob_gossip_add_hint(carob_gossip_t *gossip, const carob_addr_t *addr);

/** Sets the serial of the newest sealing key, which heartbeats carry. */
void carob_gossip_set_key_serial(carob_gossip_t *gossip, uint32_t serial);

/** Sends this instance's own state to all neighbours at once. */
void carob_gossip_announce(carob_gossip_t *gossip);

/**
 * Counts the neighbours that have acknowledged the current state of this
 * instance.
 *
 * @param gossip the gossip
 * @param links receives the number of neighbours; may be NULL
 * @return number of neighbours that have acknowledged it
 */
size_t carob_gossip_acknowledged(const carob_gossip_t *gossip, size_t *links);

/**
 * Returns whether joining has ended: the member table was found equal to that
 * of another member, or the time allowed for that has passed, or there are no
 * other members.
 *
 * @return whether this instance has joined; never changes back to false
 */
bool carob_gossip_joined(const carob_gossip_t *gossip);

/**
 * Lists the neighbours. What each instance forwards to its neighbours reaches
 * all members.
 *
 * @param out receives up to `cap` neighbours
 * @param cap capacity of `out`
 * @param gossip the gossip
 * @return number of neighbours written
 */
size_t carob_gossip_links(carob_control_peer_t *out, size_t cap,
			  const carob_gossip_t *gossip);

/** Copies the counters. */
void carob_gossip_counters(carob_gossip_counters_t *out,
			   const carob_gossip_t *gossip);

/** @return bytes of memory held, without those of the membership */
size_t carob_gossip_memory_bytes(const carob_gossip_t *gossip);

#endif
