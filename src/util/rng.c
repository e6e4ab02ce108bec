#include "carobtrail/rng.h"

#define PCG_MULTIPLIER	 6364136223846793005ULL
#define FNV_OFFSET_BASIS 0xcbf29ce484222325ULL
#define FNV_PRIME	 0x100000001b3ULL

uint64_t carob_hash_u64(uint64_t key)
{
	key += 0x9e3779b97f4a7c15ULL;
	key = (key ^ (key >> 30)) * 0xbf58476d1ce4e5b9ULL;
	key = (key ^ (key >> 27)) * 0x94d049bb133111ebULL;
	return key ^ (key >> 31);
}

uint64_t carob_hash_bytes(uint64_t seed, const void *ptr, size_t len)
{
	const uint8_t *bytes = ptr;
	uint64_t hash = FNV_OFFSET_BASIS ^ seed;

	for (size_t i = 0; i < len; i++)
		hash = (hash ^ bytes[i]) * FNV_PRIME;
	return carob_hash_u64(hash);
}

void carob_rng_init(carob_rng_t *rng, uint64_t seed)
{
	rng->inc = (carob_hash_u64(seed ^ FNV_PRIME) << 1) | 1;
	rng->state = carob_hash_u64(seed);
	carob_rng_u32(rng);
}

uint32_t carob_rng_u32(carob_rng_t *rng)
{
	uint64_t old = rng->state;
	uint32_t shifted = (uint32_t)(((old >> 18) ^ old) >> 27);
	uint32_t rot = (uint32_t)(old >> 59);

	rng->state = old * PCG_MULTIPLIER + rng->inc;
	return (shifted >> rot) | (shifted << ((32 - rot) & 31));
}

uint64_t carob_rng_u64(carob_rng_t *rng)
{
	uint64_t high = carob_rng_u32(rng);

	return (high << 32) | carob_rng_u32(rng);
}

uint32_t carob_rng_below(carob_rng_t *rng, uint32_t bound)
{
	uint32_t threshold;

	if (bound == 0)
		return 0;
	threshold = -bound % bound;
	for (;;) {
		uint32_t value = carob_rng_u32(rng);

		if (value >= threshold)
			return value % bound;
	}
}

double carob_rng_unit(carob_rng_t *rng)
{
	return (double)(carob_rng_u64(rng) >> 11) * 0x1.0p-53;
}
