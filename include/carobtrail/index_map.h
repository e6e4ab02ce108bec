/**
 * @file index_map.h
 * Hash index of the items of an array. Its chains link array indexes rather
 * than pointers, so that the array may move in memory.
 */
#ifndef CAROBTRAIL_INDEX_MAP_H
#define CAROBTRAIL_INDEX_MAP_H

#include <stddef.h>
#include <stdint.h>

/** End of a chain. */
#define CAROB_INDEX_END UINT32_MAX

/** A hash index; zero-initialise it. An item is in at most one chain. */
typedef struct carob_index_map {
	uint32_t *heads; /* first index of each chain */
	uint32_t *next;	 /* for each index, the next one in its chain */
	size_t cap;	 /* number of chains and of items; a power of two */
} carob_index_map_t;

/**
 * Changes the capacity and empties all chains: the items must be added again.
 *
 * @param map the map, unchanged on failure
 * @param cap the new capacity in items, a power of two
 * @return 0 or CAROB_ENOMEM
 */
int carob_index_map_resize(carob_index_map_t *map, size_t cap);

/** Adds an item that is in no chain; `index` must be below `cap`. */
void carob_index_map_add(carob_index_map_t *map, uint64_t hash, uint32_t index);

/** Removes an item that was added with this hash. */
void carob_index_map_remove(carob_index_map_t *map, uint64_t hash,
			    uint32_t index);

/**
 * @return the first item of the hash's chain, or CAROB_INDEX_END. Other hashes
 *         share the chain, so the caller has to compare the items' keys.
 */
uint32_t carob_index_map_first(const carob_index_map_t *map, uint64_t hash);

/** @return the item after `index` in its chain, or CAROB_INDEX_END */
uint32_t carob_index_map_next(const carob_index_map_t *map, uint32_t index);

/** Releases the chains and zeroes the map. */
void carob_index_map_dispose(carob_index_map_t *map);

#endif
