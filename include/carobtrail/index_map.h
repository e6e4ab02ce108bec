/**
 * @file index_map.h
 * Finds items of an array by a hash: chains of indexes, no pointers, so that
 * the array may move in memory.
 */
#ifndef CAROBTRAIL_INDEX_MAP_H
#define CAROBTRAIL_INDEX_MAP_H

#include <stddef.h>
#include <stdint.h>

/** Behind the last index of a chain. */
#define CAROB_INDEX_END UINT32_MAX

/** Chains by hash; zero-initialise it. An item is in one chain at most. */
typedef struct carob_index_map {
	uint32_t *heads; /* first index of each chain */
	uint32_t *next;	 /* by index: the one behind it */
	size_t cap;	 /* chains, and items; a power of two */
} carob_index_map_t;

/**
 * Makes room for more items. All chains are empty then: add the items again.
 *
 * @param map the map, unchanged on failure
 * @param cap items, a power of two
 * @return 0 or CAROB_ENOMEM
 */
int carob_index_map_resize(carob_index_map_t *map, size_t cap);

/** Adds an item, with `index` below the map's `cap`, that no chain has. */
void carob_index_map_add(carob_index_map_t *map, uint64_t hash, uint32_t index);

/** Removes an item that was added with this hash. */
void carob_index_map_remove(carob_index_map_t *map, uint64_t hash,
			    uint32_t index);

/**
 * @return the first item whose hash may be this one, or CAROB_INDEX_END;
 *         compare, since other hashes share the chain
 */
uint32_t carob_index_map_first(const carob_index_map_t *map, uint64_t hash);

/** @return the item behind `index` in its chain, or CAROB_INDEX_END */
uint32_t carob_index_map_next(const carob_index_map_t *map, uint32_t index);

/** Releases what the map holds. */
void carob_index_map_dispose(carob_index_map_t *map);

#endif
