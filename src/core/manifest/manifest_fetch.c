#include "core/manifest/manifest_fetch.h"

#include "carobtrail/errors.h"

static void release_parts(carob_fetch_t *fetch)
{
	for (size_t i = 0; i < CAROB_PART_COUNT; i++)
		carob_buf_dispose(&fetch->parts[i]);
}

static void finish(carob_fetch_t *fetch, int result, carob_manifest_t *manifest)
{
	release_parts(fetch);
	fetch->done(fetch, result, manifest);
}

/* Returns the value of a reply, which must match the hash in its name. */
static int verify_value(carob_str_t *out, const carob_part_name_t *name,
			const carob_kv_reply_t *reply)
{
	if (reply->result != 0)
		return reply->result;
	*out = reply->entries[0].value;
	if (!carob_part_matches(name, *out))
		return carob_error_set(CAROB_EMISMATCH,
				       "part %s: the content does not match "
				       "the hash in the name",
				       name->text);
	return 0;
}

/* Reads the next part whose content is not known yet, or ends the fetch. */
static void read_next_part(carob_fetch_t *fetch)
{
	carob_manifest_t *manifest = NULL;
	carob_kv_key_t key;
	int result;

	while (fetch->next_part < CAROB_PART_COUNT &&
	       carob_part_matches(
		       &fetch->index.parts[fetch->next_part],
		       carob_buf_view(&fetch->parts[fetch->next_part])))
		fetch->next_part++;
	if (fetch->next_part < CAROB_PART_COUNT) {
		carob_part_key(&key, fetch->deployment,
			       &fetch->index.parts[fetch->next_part]);
		fetch->kv->ops->get(fetch->kv, &fetch->call,
				    carob_str_from(key.text));
		return;
	}
	result = carob_parts_join(&manifest, &fetch->index, fetch->parts);
	finish(fetch, result, manifest);
}

static void on_part(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_fetch_t *fetch = CAROB_CONTAINER_OF(call, carob_fetch_t, call);
	carob_buf_t *part = &fetch->parts[fetch->next_part];
	carob_str_t value;
	int result = verify_value(&value, &fetch->index.parts[fetch->next_part],
				  reply);

	carob_buf_clear(part);
	if (result == 0)
		result = carob_buf_append(part, value.ptr, value.len);
	if (result != 0) {
		finish(fetch, result, NULL);
		return;
	}
	read_next_part(fetch);
}

static void on_index(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_fetch_t *fetch = CAROB_CONTAINER_OF(call, carob_fetch_t, call);
	carob_str_t value;
	int result = verify_value(&value, &fetch->index_name, reply);

	if (result == 0)
		result = carob_index_parse(&fetch->index,
					   fetch->index_name.text, value);
	if (result != 0) {
		finish(fetch, result, NULL);
		return;
	}
	fetch->call.done = on_part;
	read_next_part(fetch);
}

void carob_fetch_start(carob_fetch_t *fetch, carob_kv_t *kv,
		       carob_str_t deployment, const carob_part_name_t *index,
		       const carob_manifest_t *base)
{
	carob_kv_key_t key;

	fetch->kv = kv;
	fetch->deployment = deployment;
	fetch->index_name = *index;
	fetch->next_part = 0;
	fetch->call.done = on_index;
	for (size_t i = 0; base && i < CAROB_PART_COUNT; i++)
		(void)carob_part_format(&fetch->parts[i], base, i);
	carob_part_key(&key, deployment, index);
	kv->ops->get(kv, &fetch->call, carob_str_from(key.text));
}

void carob_fetch_cancel(carob_fetch_t *fetch)
{
	if (fetch->kv && fetch->call.pending)
		fetch->kv->ops->cancel(fetch->kv, &fetch->call);
	release_parts(fetch);
}
