#include "carobtrail/publish.h"

#include "carobtrail/errors.h"
#include "core/manifest/publish_doc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Element of the set of referenced parts. */
typedef struct part_entry {
	carob_part_name_t name;
	UT_hash_handle hh;
} part_entry_t;

struct carob_clean {
	carob_clean_options_t options;
	carob_kv_call_t call;
	carob_head_t head;
	carob_part_name_t next_index; /* index to read next */
	unsigned int indexes_read;    /* number of indexes that were read */
	part_entry_t *referenced;     /* parts that must not be removed */
	carob_part_name_t *removals;
	size_t removal_count;
	size_t next_removal;
};

static void read_index(carob_clean_t *clean);
static void remove_next(carob_clean_t *clean);

static void finish(carob_clean_t *clean, int result)
{
	clean->options.done(clean->options.context, result,
			    clean->next_removal);
}

/* Adds a part to those that must not be removed. */
static int add_referenced(carob_clean_t *clean, const carob_part_name_t *name)
{
	part_entry_t *entry;

	HASH_FIND_STR(clean->referenced, name->text, entry);
	if (entry)
		return 0;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a name of a part to "
				       "keep in a clean-up");
	entry->name = *name;
	HASH_ADD_STR(clean->referenced, name.text, entry);
	return 0;
}

/* Adds everything that an index refers to, except the previous index. */
static int add_references(carob_clean_t *clean, const carob_index_t *index)
{
	int result = add_referenced(clean, &index->history);

	for (size_t i = 0; result == 0 && i < CAROB_PART_COUNT; i++)
		result = add_referenced(clean, &index->parts[i]);
	return result;
}

static bool is_needed(const carob_clean_t *clean, const carob_part_name_t *name)
{
	const part_entry_t *entry;

	if (clean->options.mutation == CAROB_MANIFEST_MUTATION_CLEAN_BY_AGE)
		return carob_part_generation(carob_str_from(name->text)) +
			       clean->options.keep >
		       clean->head.generation;
	/* This part was written for a generation that is not accepted yet. */
	if (carob_part_generation(carob_str_from(name->text)) >
	    clean->head.generation)
		return true;
	HASH_FIND_STR(clean->referenced, name->text, entry);
	return entry != NULL;
}

static int choose_removals(carob_clean_t *clean, const carob_kv_reply_t *reply)
{
	carob_kv_key_t prefix;
	size_t skip;

	carob_parts_prefix(&prefix, clean->options.deployment);
	skip = strlen(prefix.text);
	clean->removals = calloc(reply->count + 1, sizeof(clean->removals[0]));
	if (!clean->removals)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the list of parts to "
				       "remove in a clean-up");
	for (size_t i = 0; i < reply->count; i++) {
		carob_part_name_t *name =
			&clean->removals[clean->removal_count];
		carob_str_t key = reply->entries[i].key;

		if (key.len <= skip || key.len - skip >= sizeof(name->text))
			continue;
		memset(name, 0, sizeof(*name));
		memcpy(name->text, key.ptr + skip, key.len - skip);
		if (!is_needed(clean, name))
			clean->removal_count++;
	}
	return 0;
}

static void on_list(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_clean_t *clean = CAROB_CONTAINER_OF(call, carob_clean_t, call);
	int result = reply->result;

	if (result == 0)
		result = choose_removals(clean, reply);
	if (result != 0)
		finish(clean, result);
	else
		remove_next(clean);
}

static void list_parts(carob_clean_t *clean)
{
	carob_kv_key_t prefix;

	carob_parts_prefix(&prefix, clean->options.deployment);
	clean->call.done = on_list;
	clean->options.kv->ops->list(clean->options.kv, &clean->call,
				     carob_str_from(prefix.text));
}

static void on_removed(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_clean_t *clean = CAROB_CONTAINER_OF(call, carob_clean_t, call);

	if (reply->result != 0 && reply->result != CAROB_ENOTFOUND) {
		finish(clean, reply->result);
		return;
	}
	clean->next_removal++;
	remove_next(clean);
}

static void remove_next(carob_clean_t *clean)
{
	carob_kv_key_t key;

	if (clean->next_removal == clean->removal_count) {
		finish(clean, 0);
		return;
	}
	carob_part_key(&key, clean->options.deployment,
		       &clean->removals[clean->next_removal]);
	clean->call.done = on_removed;
	clean->options.kv->ops->remove(clean->options.kv, &clean->call,
				       carob_str_from(key.text));
}

static void on_index(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_clean_t *clean = CAROB_CONTAINER_OF(call, carob_clean_t, call);
	carob_index_t index = {0};
	int result = reply->result;

	if (result == 0)
		result = carob_index_parse(&index, clean->next_index.text,
					   reply->entries[0].value);
	if (result == 0)
		result = add_references(clean, &index);
	/* An earlier clean-up may have removed indexes before the head's. */
	if (result == CAROB_ENOTFOUND && clean->indexes_read > 0) {
		list_parts(clean);
		return;
	}
	if (result != 0) {
		finish(clean, result);
		return;
	}
	clean->indexes_read++;
	clean->next_index = index.previous;
	if (clean->next_index.text[0] == '\0' ||
	    clean->indexes_read > clean->options.keep)
		list_parts(clean);
	else
		read_index(clean);
}

static void read_index(carob_clean_t *clean)
{
	carob_kv_key_t key;
	int result = add_referenced(clean, &clean->next_index);

	if (result != 0) {
		finish(clean, result);
		return;
	}
	carob_part_key(&key, clean->options.deployment, &clean->next_index);
	clean->call.done = on_index;
	clean->options.kv->ops->get(clean->options.kv, &clean->call,
				    carob_str_from(key.text));
}

static void on_head(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_clean_t *clean = CAROB_CONTAINER_OF(call, carob_clean_t, call);
	int result = reply->result;

	if (result == CAROB_ENOTFOUND) {
		finish(clean, 0);
		return;
	}
	if (result == 0)
		result = carob_head_parse(&clean->head, "head",
					  reply->entries[0].value);
	if (result == 0 && clean->head.delta.text[0] != '\0')
		result = add_referenced(clean, &clean->head.delta);
	if (result != 0) {
		finish(clean, result);
		return;
	}
	clean->next_index = clean->head.index;
	read_index(clean);
}

int carob_clean_new(carob_clean_t **out, const carob_clean_options_t *options)
{
	carob_clean_t *clean;
	carob_kv_key_t key;

	if (options->version != CAROB_CLEAN_OPTIONS_VERSION || !options->kv ||
	    !options->done)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of a clean-up");
	clean = calloc(1, sizeof(*clean));
	if (!clean)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a clean-up");
	clean->options = *options;
	*out = clean;
	carob_head_key(&key, options->deployment);
	clean->call.done = on_head;
	options->kv->ops->get(options->kv, &clean->call,
			      carob_str_from(key.text));
	return 0;
}

void carob_clean_free(carob_clean_t *clean)
{
	part_entry_t *entry;
	part_entry_t *next;

	if (!clean)
		return;
	if (clean->call.pending)
		clean->options.kv->ops->cancel(clean->options.kv, &clean->call);
	HASH_ITER (hh, clean->referenced, entry, next) {
		HASH_DEL(clean->referenced, entry);
		free(entry);
	}
	free(clean->removals);
	free(clean);
}
