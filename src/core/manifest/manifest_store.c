#include "carobtrail/manifest_store.h"

#include "carobtrail/errors.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

struct carob_manifest_store {
	carob_generation_t current;
	carob_manifest_subscriber_t *first;
	carob_manifest_subscriber_t **last;
	carob_manifest_mutation_t mutation;
};

void carob_publish_id_format(char out[CAROB_PUBLISH_ID_TEXT_BYTES],
			     const carob_publish_id_t *id)
{
	(void)sodium_bin2hex(out, CAROB_PUBLISH_ID_TEXT_BYTES, id->bytes,
			     sizeof(id->bytes));
}

int carob_publish_id_parse(carob_publish_id_t *out, carob_str_t text)
{
	carob_publish_id_t id;
	size_t len = 0;

	if (text.len != CAROB_PUBLISH_ID_TEXT_BYTES - 1 ||
	    sodium_hex2bin(id.bytes, sizeof(id.bytes), text.ptr, text.len, NULL,
			   &len, NULL) != 0 ||
	    len != sizeof(id.bytes))
		return carob_error_set(CAROB_EINVALID,
				       "publish id \"%.*s\": expected %d "
				       "hexadecimal digits",
				       (int)(text.len > 64 ? 64 : text.len),
				       text.ptr,
				       CAROB_PUBLISH_ID_TEXT_BYTES - 1);
	*out = id;
	return 0;
}

bool carob_publish_id_eq(const carob_publish_id_t *a,
			 const carob_publish_id_t *b)
{
	return memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0;
}

int carob_manifest_store_new(carob_manifest_store_t **out)
{
	carob_manifest_store_t *store = calloc(1, sizeof(*store));

	if (!store)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the manifest store");
	store->last = &store->first;
	*out = store;
	return 0;
}

void carob_manifest_store_free(carob_manifest_store_t *store)
{
	if (!store)
		return;
	carob_manifest_free(store->current.manifest);
	free(store);
}

void carob_manifest_store_set_mutation(carob_manifest_store_t *store,
				       carob_manifest_mutation_t mutation)
{
	store->mutation = mutation;
}

int carob_manifest_store_subscribe(carob_manifest_store_t *store,
				   carob_manifest_subscriber_t *subscriber)
{
	subscriber->next = NULL;
	*store->last = subscriber;
	store->last = &subscriber->next;
	if (!store->current.manifest)
		return 0;
	return subscriber->apply(subscriber, &store->current);
}

/*
 * Applies the generation in force again at the subscribers before `failed`,
 * which had already applied the generation that `failed` did not accept.
 */
static void reapply_current(carob_manifest_store_t *store,
			    const carob_manifest_subscriber_t *failed)
{
	carob_manifest_subscriber_t *subscriber = store->first;

	if (!store->current.manifest)
		return;
	for (; subscriber != failed; subscriber = subscriber->next)
		(void)subscriber->apply(subscriber, &store->current);
}

static int apply_to_subscribers(carob_manifest_store_t *store,
				const carob_generation_t *offered)
{
	carob_manifest_subscriber_t *subscriber = store->first;

	for (; subscriber; subscriber = subscriber->next) {
		int result = subscriber->apply(subscriber, offered);

		if (result == 0)
			continue;
		reapply_current(store, subscriber);
		return result;
	}
	return 0;
}

static int check_higher(const carob_generation_t *current,
			const carob_generation_t *offered)
{
	if (offered->number > current->number)
		return 0;
	if (offered->number == current->number &&
	    !carob_publish_id_eq(&offered->publish_id, &current->publish_id))
		return carob_error_set(CAROB_EMISMATCH,
				       "generation %llu is in force with "
				       "another publish id",
				       (unsigned long long)offered->number);
	return carob_error_set(CAROB_ESTALE,
			       "generation %llu is not higher than generation "
			       "%llu, which is in force",
			       (unsigned long long)offered->number,
			       (unsigned long long)current->number);
}

int carob_manifest_store_offer(carob_manifest_store_t *store,
			       const carob_generation_t *offered)
{
	int result = 0;

	if (offered->number == 0 || !offered->manifest)
		return carob_error_set(CAROB_EINVALID,
				       "cannot apply a generation without "
				       "number or manifest");
	if (store->mutation != CAROB_MANIFEST_MUTATION_NO_RECHECK)
		result = check_higher(&store->current, offered);
	if (result == 0)
		result = apply_to_subscribers(store, offered);
	if (result != 0)
		return result;
	(void)carob_manifest_ref(offered->manifest);
	carob_manifest_free(store->current.manifest);
	store->current = *offered;
	return 0;
}

const carob_generation_t *
carob_manifest_store_current(const carob_manifest_store_t *store)
{
	return &store->current;
}
