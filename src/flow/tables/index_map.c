#include "carobtrail/index_map.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

static uint32_t *chain_of(const carob_index_map_t *map, uint64_t hash)
{
	return &map->heads[hash & (map->cap - 1)];
}

int carob_index_map_resize(carob_index_map_t *map, size_t cap)
{
	/* `heads` and `next` share one allocation. */
	uint32_t *block = malloc(2 * cap * sizeof(*block));

	if (!block)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate index of %zu items",
				       cap);
	/* Sets all heads to CAROB_INDEX_END. */
	memset(block, 0xff, cap * sizeof(*block));
	free(map->heads);
	map->heads = block;
	map->next = block + cap;
	map->cap = cap;
	return 0;
}

void carob_index_map_add(carob_index_map_t *map, uint64_t hash, uint32_t index)
{
	uint32_t *head = chain_of(map, hash);

	map->next[index] = *head;
	*head = index;
}

void carob_index_map_remove(carob_index_map_t *map, uint64_t hash,
			    uint32_t index)
{
	uint32_t *link = chain_of(map, hash);

	while (*link != CAROB_INDEX_END && *link != index)
		link = &map->next[*link];
	if (*link == index)
		*link = map->next[index];
}

uint32_t carob_index_map_first(const carob_index_map_t *map, uint64_t hash)
{
	return map->cap ? *chain_of(map, hash) : CAROB_INDEX_END;
}

uint32_t carob_index_map_next(const carob_index_map_t *map, uint32_t index)
{
	return map->next[index];
}

void carob_index_map_dispose(carob_index_map_t *map)
{
	free(map->heads);
	memset(map, 0, sizeof(*map));
}
