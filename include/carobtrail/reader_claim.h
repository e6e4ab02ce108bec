/**
 * @file reader_claim.h
 * Decides whether this instance reads the platform for its zone: claims a free
 * slot under a lease, renews the lease, and gives the slot up when it is lost.
 * A process that finds the entry of its predecessor replaces it at once: nobody
 * can read from it any more, and its lease may go on for seconds. Claims are
 * spread in time at random, so that few instances try at once. Two readers too
 * many, or none for a moment, cost calls and no guarantee.
 */
#ifndef CAROBTRAIL_READER_CLAIM_H
#define CAROBTRAIL_READER_CLAIM_H

#include "carobtrail/kernel.h"
#include "carobtrail/reader_table.h"

typedef struct carob_lease_store carob_lease_store_t;
typedef struct carob_lease_call carob_lease_call_t;

/** Receiver of a call's result; implementations embed it. */
struct carob_lease_call {
	/**
	 * @param result 0; CAROB_ESTALE: the slot is taken, or the lease has
	 *        ended; CAROB_EUNAVAILABLE: it is not known whether the call
	 *        was executed
	 * @param lease the lease of a call that began one
	 */
	void (*done)(carob_lease_call_t *call, int result, uint64_t lease);
};

/** Calls for leases. At most one is in progress at a time. */
typedef struct carob_lease_store_ops {
	/** Begins a lease. */
	void (*begin)(carob_lease_store_t *store, carob_lease_call_t *call,
		      uint32_t ttl_ms);
	/** Writes a reader's entry under a lease, if the entry in its slot has
	 * the revision `expected`, 0: if the slot is free. */
	void (*claim)(carob_lease_store_t *store, carob_lease_call_t *call,
		      const carob_reader_entry_t *entry, uint64_t lease,
		      uint64_t expected);
	/** Renews a lease. */
	void (*renew)(carob_lease_store_t *store, carob_lease_call_t *call,
		      uint64_t lease);
	/** Ends a lease, and with it the entry. */
	void (*end)(carob_lease_store_t *store, carob_lease_call_t *call,
		    uint64_t lease);
} carob_lease_store_ops_t;

/** A store of leases; implementations embed it as their first member. */
struct carob_lease_store {
	const carob_lease_store_ops_t *ops;
};

/** Learns of the role; implementations embed it. */
typedef struct carob_reader_role carob_reader_role_t;
struct carob_reader_role {
	void (*changed)(carob_reader_role_t *role, bool is_reader);
};

/** Options of `carob_reader_claim_new`. */
typedef struct carob_reader_claim_options {
	unsigned int version;
	carob_kernel_t *kernel;
	carob_lease_store_t *store;
	const carob_reader_table_t *readers;
	carob_reader_role_t *role;
	carob_reader_entry_t self; /* without the slot; strings are borrowed */
	/** Rate of the link of this instance, in Mbit/s; 0: not known. A reader
	 * sends each change to all instances of its zone, so instances with a
	 * fast link claim a free slot before the others. */
	double link_mbps;
	uint64_t seed;
} carob_reader_claim_options_t;

#define CAROB_READER_CLAIM_OPTIONS_VERSION 1
#define CAROB_READER_CLAIM_OPTIONS_INIT                                        \
	{                                                                      \
		.version = CAROB_READER_CLAIM_OPTIONS_VERSION                  \
	}

typedef struct carob_reader_claim carob_reader_claim_t;

/**
 * Creates a claim. Nothing happens before `carob_reader_claim_check`.
 *
 * @param out receives the claim; release it with `carob_reader_claim_free`
 * @param options what it uses; must outlive the claim
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_reader_claim_new(carob_reader_claim_t **out,
			   const carob_reader_claim_options_t *options);

/** Releases a claim without ending its lease; NULL is allowed. */
void carob_reader_claim_free(carob_reader_claim_t *claim);

/**
 * Looks at the slots; call it a few times a second.
 *
 * @param claim the claim
 * @param wanted whether this instance may be a reader; if not, it gives its
 * slot up
 */
void carob_reader_claim_check(carob_reader_claim_t *claim, bool wanted);

/** @return whether this instance holds a slot */
bool carob_reader_claim_is_reader(const carob_reader_claim_t *claim);

#endif
