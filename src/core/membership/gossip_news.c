#include "core/membership/gossip_news.h"

#include <stdlib.h>

#define QUEUE_INITIAL_CAP 16

void carob_update_queue_dispose(carob_update_queue_t *queue)
{
	free(queue->updates);
	*queue = (carob_update_queue_t){NULL, 0, 0};
}

static carob_update_t *find_update(carob_update_queue_t *queue,
				   carob_instance_id_t member)
{
	for (size_t i = 0; i < queue->count; i++)
		if (carob_instance_id_eq(queue->updates[i].member, member))
			return &queue->updates[i];
	return NULL;
}

static bool reserve(carob_update_queue_t *queue)
{
	size_t cap = queue->cap ? queue->cap * 2 : QUEUE_INITIAL_CAP;
	carob_update_t *updates;

	if (queue->count < queue->cap)
		return true;
	if (queue->count == CAROB_UPDATE_QUEUE_MAX)
		return false;
	updates = realloc(queue->updates, cap * sizeof(updates[0]));
	if (!updates)
		return false;
	queue->updates = updates;
	queue->cap = cap;
	return true;
}

void carob_update_queue_add(carob_update_queue_t *queue,
			    const carob_update_t *update)
{
	carob_update_t *slot = find_update(queue, update->member);

	if (!slot && !reserve(queue))
		return;
	if (!slot)
		slot = &queue->updates[queue->count++];
	*slot = *update;
}

/* Finds the item with the most remaining sends that is not in `selected`. */
static carob_update_t *next_update(carob_update_queue_t *queue,
				   const carob_instance_id_t *selected,
				   size_t selected_count)
{
	carob_update_t *best = NULL;

	for (size_t i = 0; i < queue->count; i++) {
		carob_update_t *update = &queue->updates[i];
		bool is_selected = false;

		for (size_t j = 0; j < selected_count && !is_selected; j++)
			is_selected = carob_instance_id_eq(selected[j],
							   update->member);
		if (!is_selected &&
		    (!best || update->sends_left > best->sends_left))
			best = update;
	}
	return best;
}

static void drop_sent(carob_update_queue_t *queue)
{
	size_t kept = 0;

	for (size_t i = 0; i < queue->count; i++)
		if (queue->updates[i].sends_left > 0 ||
		    queue->updates[i].unflushed)
			queue->updates[kept++] = queue->updates[i];
	queue->count = kept;
}

size_t carob_update_queue_select(carob_instance_id_t *out, size_t cap,
				 carob_update_queue_t *queue)
{
	size_t selected = 0;

	drop_sent(queue);
	while (selected < cap) {
		carob_update_t *update = next_update(queue, out, selected);

		if (!update || update->sends_left == 0)
			break;
		update->sends_left--;
		out[selected++] = update->member;
	}
	return selected;
}
