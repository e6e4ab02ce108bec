#include "carobtrail/histogram.h"

#define SUB_BITS    CAROB_HISTOGRAM_SUB_BITS
#define SUB_BUCKETS (1U << SUB_BITS)

/* Values below SUB_BUCKETS have a bucket each; above, every power of two is
 * split into SUB_BUCKETS equal parts. */
static size_t bucket_index(uint64_t value)
{
	unsigned int shift;

	if (value < SUB_BUCKETS)
		return value;
	shift = 63 - (unsigned int)__builtin_clzll(value) - SUB_BITS;
	return ((size_t)(shift + 1) << SUB_BITS) +
	       ((value >> shift) & (SUB_BUCKETS - 1));
}

static uint64_t bucket_upper_bound(size_t bucket)
{
	uint64_t low;
	unsigned int shift;

	if (bucket < SUB_BUCKETS)
		return bucket;
	shift = (unsigned int)(bucket >> SUB_BITS) - 1;
	low = (uint64_t)(SUB_BUCKETS + (bucket & (SUB_BUCKETS - 1))) << shift;
	return low + ((1ULL << shift) - 1);
}

void carob_histogram_record(carob_histogram_t *histogram, uint64_t value)
{
	histogram->buckets[bucket_index(value)]++;
	histogram->count++;
	if (value > histogram->max)
		histogram->max = value;
}

uint64_t carob_histogram_quantile(const carob_histogram_t *histogram, double q)
{
	uint64_t rank = (uint64_t)(q * (double)histogram->count);
	uint64_t seen = 0;

	if (histogram->count == 0)
		return 0;
	for (size_t i = 0; i < CAROB_HISTOGRAM_BUCKETS; i++) {
		uint64_t bound = bucket_upper_bound(i);

		seen += histogram->buckets[i];
		if (seen > rank)
			return bound < histogram->max ? bound : histogram->max;
	}
	return histogram->max;
}

void carob_histogram_merge(carob_histogram_t *into,
			   const carob_histogram_t *from)
{
	for (size_t i = 0; i < CAROB_HISTOGRAM_BUCKETS; i++)
		into->buckets[i] += from->buckets[i];
	into->count += from->count;
	if (from->max > into->max)
		into->max = from->max;
}
