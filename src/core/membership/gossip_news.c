#include "core/membership/gossip_news.h"

#include <stdlib.h>

#define NEWS_INITIAL_CAP 16

void carob_news_dispose(carob_news_t *news)
{
	free(news->items);
	*news = (carob_news_t){NULL, 0, 0};
}

static carob_news_item_t *find_item(carob_news_t *news,
				    carob_instance_id_t member)
{
	for (size_t i = 0; i < news->count; i++)
		if (carob_instance_id_eq(news->items[i].member, member))
			return &news->items[i];
	return NULL;
}

static bool reserve(carob_news_t *news)
{
	size_t cap = news->cap ? news->cap * 2 : NEWS_INITIAL_CAP;
	carob_news_item_t *items;

	if (news->count < news->cap)
		return true;
	if (news->count == CAROB_NEWS_MAX)
		return false;
	items = realloc(news->items, cap * sizeof(items[0]));
	if (!items)
		return false;
	news->items = items;
	news->cap = cap;
	return true;
}

void carob_news_add(carob_news_t *news, const carob_news_item_t *item)
{
	carob_news_item_t *slot = find_item(news, item->member);

	if (!slot && !reserve(news))
		return;
	if (!slot)
		slot = &news->items[news->count++];
	*slot = *item;
}

/* Finds the item with the most remaining sends that is not in `taken`. */
static carob_news_item_t *next_item(carob_news_t *news,
				    const carob_instance_id_t *taken,
				    size_t taken_count)
{
	carob_news_item_t *best = NULL;

	for (size_t i = 0; i < news->count; i++) {
		carob_news_item_t *item = &news->items[i];
		bool is_taken = false;

		for (size_t j = 0; j < taken_count && !is_taken; j++)
			is_taken = carob_instance_id_eq(taken[j], item->member);
		if (!is_taken && (!best || item->left > best->left))
			best = item;
	}
	return best;
}

static void drop_told(carob_news_t *news)
{
	size_t kept = 0;

	for (size_t i = 0; i < news->count; i++)
		if (news->items[i].left > 0 || news->items[i].fresh)
			news->items[kept++] = news->items[i];
	news->count = kept;
}

size_t carob_news_take(carob_instance_id_t *out, size_t cap, carob_news_t *news)
{
	size_t taken = 0;

	drop_told(news);
	while (taken < cap) {
		carob_news_item_t *item = next_item(news, out, taken);

		if (!item || item->left == 0)
			break;
		item->left--;
		out[taken++] = item->member;
	}
	return taken;
}
