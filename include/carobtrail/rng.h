/**
 * @file rng.h
 * A seeded pseudo-random generator (PCG-XSH-RR, O'Neill 2014). It must not be
 * used for cryptographic keys.
 */
#ifndef CAROBTRAIL_RNG_H
#define CAROBTRAIL_RNG_H

#include "carobtrail/common.h"

/** State of a generator; the same seed gives the same sequence. */
typedef struct carob_rng {
	uint64_t state;
	uint64_t inc;
} carob_rng_t;

/** Initialises the generator from a seed. */
void carob_rng_init(carob_rng_t *rng, uint64_t seed);

/** @return the next 32 random bits */
uint32_t carob_rng_u32(carob_rng_t *rng);

/** @return the next 64 random bits */
uint64_t carob_rng_u64(carob_rng_t *rng);

/** @return a number in [0, bound), without modulo bias; 0 if bound is 0 */
uint32_t carob_rng_below(carob_rng_t *rng, uint32_t bound);

/** @return a number in [0, 1) */
double carob_rng_unit(carob_rng_t *rng);

/**
 * Hashes a 64-bit key with the finaliser of SplitMix64, in which each bit of
 * the key affects all bits of the hash.
 *
 * @return the hash
 */
uint64_t carob_hash_u64(uint64_t key);

/**
 * Hashes bytes with FNV-1a and the result with `carob_hash_u64`.
 *
 * @param seed distinguishes independent hashes of the same bytes
 * @param ptr the bytes
 * @param len how many bytes
 * @return the hash
 */
uint64_t carob_hash_bytes(uint64_t seed, const void *ptr, size_t len);

#endif
