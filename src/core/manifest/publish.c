#include "carobtrail/publish.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"
#include "core/manifest/manifest_fetch.h"
#include "core/manifest/manifest_history.h"
#include "core/manifest/publish_doc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ATTEMPTS_MAX   6
#define RETRY_FIRST_NS (100 * CAROB_NS_PER_MS)
/* A larger delta is not written: reading the changed parts is cheaper. */
#define DELTA_BYTES_MAX (64 * 1024)
/* Parts, delta, history and index. */
#define WRITES_MAX (CAROB_PART_COUNT + 3)

/* Part, delta, history or index that is written before the head. */
typedef struct write {
	carob_part_name_t name;
	carob_buf_t value;
} write_t;

struct carob_publish {
	carob_publish_options_t options;
	carob_str_t deployment;
	carob_rng_t rng;
	carob_kv_call_t call;
	carob_fetch_t fetch;
	carob_timer_t retry;
	void (*step)(carob_publish_t *publish); /* called by `retry` */
	unsigned int attempts;	/* consecutive failed attempts */
	carob_head_t prev_head; /* head to replace; generation 0: none */
	uint64_t prev_kv_index; /* index of its key, for compare-and-swap */
	carob_index_t prev_index;
	carob_manifest_t *prev_manifest;
	carob_history_t *history;
	carob_head_t head; /* head to write */
	carob_index_t index;
	write_t writes[WRITES_MAX];
	size_t write_count;
	size_t next_write;
	bool head_conflict;    /* the swap of the head had a conflict */
	bool head_unconfirmed; /* a swap of the head had no response */
	/*
	 * Name of the next index to read in order to find out whether `head`
	 * was written; see `evaluate_head`.
	 */
	carob_part_name_t search_index;
	bool finished;
};

static void read_head(carob_publish_t *publish);
static void write_next(carob_publish_t *publish);
static void write_head(carob_publish_t *publish);
static void verify_head(carob_publish_t *publish);
static void read_search_index(carob_publish_t *publish);

static void finish(carob_publish_t *publish, int result, uint64_t generation,
		   bool unchanged)
{
	carob_publish_outcome_t outcome = {result, generation, unchanged};

	publish->finished = true;
	publish->options.done(publish->options.context, &outcome);
}

/* Ends with an error, whose code depends on what is known of the head. */
static void fail(carob_publish_t *publish, int result)
{
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];

	if (publish->head_unconfirmed) {
		carob_publish_id_format(id, &publish->options.publish_id);
		result = carob_error_set(CAROB_EUNKNOWN,
					 "publish %s: the platform did not "
					 "confirm generation %" PRIu64
					 ", which may be in force; \"carobctl "
					 "show\" prints the publish in force",
					 id, publish->head.generation);
	} else if (publish->head_conflict) {
		result = carob_error_set(CAROB_ECONFLICT,
					 "generation %" PRIu64 " was to follow "
					 "%" PRIu64
					 ", but another publish was accepted "
					 "first; nothing was changed",
					 publish->head.generation,
					 publish->prev_head.generation);
	} else if (result == CAROB_EUNKNOWN) {
		result = CAROB_EUNAVAILABLE;
	}
	finish(publish, result, publish->prev_head.generation, false);
}

static void on_retry(carob_timer_t *timer)
{
	carob_publish_t *publish =
		CAROB_CONTAINER_OF(timer, carob_publish_t, retry);

	publish->step(publish);
}

/*
 * Schedules another attempt of a step with exponential backoff and jitter.
 * Ends the publish instead if the failure is not temporary or no attempt is
 * left.
 */
static void schedule_retry(carob_publish_t *publish,
			   void (*step)(carob_publish_t *publish), int result)
{
	uint64_t delay = RETRY_FIRST_NS << publish->attempts;
	uint64_t now = carob_kernel_now_ns(publish->options.kernel);

	if (result != CAROB_EUNAVAILABLE && result != CAROB_EUNKNOWN) {
		fail(publish, result);
		return;
	}
	if (++publish->attempts >= ATTEMPTS_MAX) {
		fail(publish, result);
		return;
	}
	publish->step = step;
	delay = delay / 2 +
		(uint64_t)((double)delay / 2 * carob_rng_unit(&publish->rng));
	if (carob_timer_arm(publish->options.kernel, &publish->retry,
			    now + delay) != 0)
		fail(publish, CAROB_ENOMEM);
}

/*
 * Sets the name of a value and adds the value to the writes, taking over its
 * buffer. A value with the same name is only added once.
 */
static int add_write(carob_part_name_t *name, carob_publish_t *publish,
		     carob_buf_t *value)
{
	write_t *write = &publish->writes[publish->write_count];

	carob_part_name(name, publish->head.generation, carob_buf_view(value));
	for (size_t i = 0; i < publish->write_count; i++)
		if (carob_part_name_eq(&publish->writes[i].name, name))
			return 0; /* all parts without services are equal */
	publish->write_count++;
	write->name = *name;
	write->value = *value;
	*value = (carob_buf_t)CAROB_BUF_INIT;
	return 0;
}

/* Refers to the part of the previous generation if its content is the same. */
static int prepare_part(carob_publish_t *publish, size_t part)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_part_name_t *name = &publish->index.parts[part];
	int result = carob_part_format(&text, publish->options.manifest, part);

	if (result != 0)
		return result;
	if (publish->prev_head.generation > 0) {
		*name = publish->prev_index.parts[part];
		if (carob_part_matches(name, carob_buf_view(&text)))
			return 0;
	}
	return add_write(name, publish, &text);
}

static int prepare_delta(carob_publish_t *publish)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	int result;

	if (!publish->prev_manifest)
		return 0;
	result = carob_manifest_delta(&text, publish->prev_manifest,
				      publish->options.manifest);
	if (result != 0 || text.len > DELTA_BYTES_MAX)
		return result;
	return add_write(&publish->head.delta, publish, &text);
}

static int prepare_history(carob_publish_t *publish)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	int result;

	if (publish->prev_manifest) {
		result = carob_history_check(publish->history,
					     publish->prev_manifest,
					     publish->options.manifest,
					     publish->options.confirmed);
		if (result == 0)
			result = carob_history_advance(
				publish->history, publish->prev_manifest,
				publish->options.manifest,
				publish->head.generation,
				publish->options.confirmed);
		if (result != 0)
			return result;
	}
	result = carob_history_format(&text, publish->history);
	if (result != 0)
		return result;
	return add_write(&publish->index.history, publish, &text);
}

static int prepare_index(carob_publish_t *publish)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_index_t *index = &publish->index;
	int result;

	index->generation = publish->head.generation;
	index->publish_id = publish->options.publish_id;
	index->previous = publish->prev_head.index;
	result = carob_manifest_hash(index->hash, publish->options.manifest);
	for (size_t i = 0; result == 0 && i < CAROB_PART_COUNT; i++)
		result = prepare_part(publish, i);
	if (result == 0)
		result = carob_index_format(&text, index);
	return result != 0 ? result
			   : add_write(&publish->head.index, publish, &text);
}

static uint64_t next_generation(const carob_publish_t *publish)
{
	uint64_t generation = publish->prev_head.generation;

	if (generation < publish->options.above)
		generation = publish->options.above;
	return generation + 1;
}

static int prepare_writes(carob_publish_t *publish)
{
	int result;

	publish->head.generation = next_generation(publish);
	publish->head.publish_id = publish->options.publish_id;
	result = prepare_history(publish);
	if (result == 0)
		result = prepare_delta(publish);
	return result == 0 ? prepare_index(publish) : result;
}

static void start_writing(carob_publish_t *publish)
{
	char hash[CAROB_HASH_TEXT_BYTES];
	int result = carob_manifest_hash(hash, publish->options.manifest);

	if (result == 0 && publish->prev_head.generation > 0 &&
	    publish->prev_head.generation > publish->options.above &&
	    strcmp(hash, publish->prev_index.hash) == 0) {
		finish(publish, 0, publish->prev_head.generation, true);
		return;
	}
	if (result == 0)
		result = prepare_writes(publish);
	if (result != 0) {
		fail(publish, result);
		return;
	}
	publish->attempts = 0;
	write_next(publish);
}

/*
 * A part is only removed after the head has moved to a later generation, so a
 * missing part is treated as a temporary failure: the head is read again.
 */
static int map_missing_part(int result)
{
	return result == CAROB_ENOTFOUND ? CAROB_EUNAVAILABLE : result;
}

static void on_history(carob_kv_call_t *call, const carob_kv_reply_t *reply);

static void read_history(carob_publish_t *publish)
{
	carob_kv_key_t key;

	carob_part_key(&key, publish->deployment, &publish->prev_index.history);
	publish->call.done = on_history;
	publish->options.kv->ops->get(publish->options.kv, &publish->call,
				      carob_str_from(key.text));
}

static void on_history(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_publish_t *publish =
		CAROB_CONTAINER_OF(call, carob_publish_t, call);
	int result = reply->result;

	if (result == 0)
		result = carob_history_parse(&publish->history,
					     publish->prev_index.history.text,
					     reply->entries[0].value);
	if (result != 0) {
		schedule_retry(publish, read_head, map_missing_part(result));
		return;
	}
	start_writing(publish);
}

static void on_prev_manifest(carob_fetch_t *fetch, int result,
			     carob_manifest_t *manifest)
{
	carob_publish_t *publish =
		CAROB_CONTAINER_OF(fetch, carob_publish_t, fetch);

	if (result != 0) {
		schedule_retry(publish, read_head, map_missing_part(result));
		return;
	}
	publish->prev_manifest = manifest;
	publish->prev_index = fetch->index;
	read_history(publish);
}

static int check_base(const carob_publish_t *publish)
{
	const carob_publish_options_t *options = &publish->options;
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];

	if (!options->has_base ||
	    options->base == publish->prev_head.generation)
		return 0;
	carob_publish_id_format(id, &publish->prev_head.publish_id);
	return carob_error_set(CAROB_ECONFLICT,
			       "generation %" PRIu64 " was to follow %" PRIu64
			       ", but generation %" PRIu64
			       " is in force (publish %s); nothing was changed",
			       options->base + 1, options->base,
			       publish->prev_head.generation, id);
}

static int parse_head_reply(carob_head_t *out, uint64_t *index,
			    const carob_kv_reply_t *reply)
{
	memset(out, 0, sizeof(*out));
	*index = 0;
	if (reply->result == CAROB_ENOTFOUND)
		return 0;
	if (reply->result != 0)
		return reply->result;
	*index = reply->entries[0].index;
	return carob_head_parse(out, "head", reply->entries[0].value);
}

static void on_head(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_publish_t *publish =
		CAROB_CONTAINER_OF(call, carob_publish_t, call);
	int result = parse_head_reply(&publish->prev_head,
				      &publish->prev_kv_index, reply);

	if (result != 0) {
		schedule_retry(publish, read_head, result);
		return;
	}
	result = check_base(publish);
	if (result != 0) {
		fail(publish, result);
		return;
	}
	if (publish->prev_head.generation > 0) {
		publish->fetch.done = on_prev_manifest;
		carob_fetch_start(&publish->fetch, publish->options.kv,
				  publish->deployment,
				  &publish->prev_head.index,
				  publish->options.manifest);
		return;
	}
	result = carob_history_new(&publish->history);
	if (result != 0)
		fail(publish, result);
	else
		start_writing(publish);
}

static void read_head(carob_publish_t *publish)
{
	carob_kv_key_t key;

	carob_manifest_free(publish->prev_manifest);
	publish->prev_manifest = NULL;
	carob_head_key(&key, publish->deployment);
	publish->call.done = on_head;
	publish->options.kv->ops->get(publish->options.kv, &publish->call,
				      carob_str_from(key.text));
}

static void on_written(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	carob_publish_t *publish =
		CAROB_CONTAINER_OF(call, carob_publish_t, call);

	/*
	 * The name contains a hash of the content, so a value that exists
	 * already is the same.
	 */
	if (reply->result != 0 && reply->result != CAROB_ECONFLICT) {
		schedule_retry(publish, write_next, reply->result);
		return;
	}
	publish->attempts = 0;
	publish->next_write++;
	write_next(publish);
}

static void write_next(carob_publish_t *publish)
{
	const write_t *write = &publish->writes[publish->next_write];
	carob_kv_key_t key;

	if (publish->next_write == publish->write_count) {
		write_head(publish);
		return;
	}
	carob_part_key(&key, publish->deployment, &write->name);
	publish->call.done = on_written;
	publish->options.kv->ops->put_cas(publish->options.kv, &publish->call,
					  carob_str_from(key.text),
					  carob_buf_view(&write->value), 0);
}

static void on_head_written(carob_kv_call_t *call,
			    const carob_kv_reply_t *reply)
{
	carob_publish_t *publish =
		CAROB_CONTAINER_OF(call, carob_publish_t, call);

	publish->head_unconfirmed |= reply->result == CAROB_EUNKNOWN;
	publish->head_conflict |= reply->result == CAROB_ECONFLICT;
	if (reply->result == 0)
		finish(publish, 0, publish->head.generation, false);
	else if (reply->result == CAROB_ECONFLICT ||
		 reply->result == CAROB_EUNKNOWN)
		verify_head(publish);
	else
		schedule_retry(publish, write_head, reply->result);
}

static void write_head(carob_publish_t *publish)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_kv_key_t key;
	int result = carob_head_format(&text, &publish->head);

	if (result != 0) {
		fail(publish, result);
		return;
	}
	carob_head_key(&key, publish->deployment);
	publish->call.done = on_head_written;
	publish->options.kv->ops->put_cas(publish->options.kv, &publish->call,
					  carob_str_from(key.text),
					  carob_buf_view(&text),
					  publish->prev_kv_index);
}

static void finish_conflict(carob_publish_t *publish, uint64_t in_force,
			    const carob_publish_id_t *by)
{
	char id[CAROB_PUBLISH_ID_TEXT_BYTES];
	int result;

	carob_publish_id_format(id, by);
	result = carob_error_set(
		CAROB_ECONFLICT,
		"generation %" PRIu64 " was to follow %" PRIu64
		", but publish %s was accepted first and generation %" PRIu64
		" is in force; nothing was changed",
		publish->head.generation, publish->prev_head.generation, id,
		in_force);
	finish(publish, result, in_force, false);
}

/*
 * Finds out from the current head whether ours was written, after a swap of
 * the head had a conflict or no response.
 */
static void evaluate_head(carob_publish_t *publish, const carob_head_t *head,
			  uint64_t index)
{
	if (head->generation == publish->head.generation) {
		if (carob_publish_id_eq(&head->publish_id,
					&publish->head.publish_id))
			finish(publish, 0, head->generation, false);
		else
			finish_conflict(publish, head->generation,
					&head->publish_id);
	} else if (index == publish->prev_kv_index) {
		/*
		 * Our swap has not been executed, but may still be. Repeating
		 * it is safe: at most one of the two can succeed.
		 */
		schedule_retry(publish, write_head, CAROB_EUNKNOWN);
	} else if (head->generation > publish->head.generation) {
		publish->search_index = head->index;
		read_search_index(publish);
	} else {
		/*
		 * This reply is outdated, because the generation of the head
		 * never decreases.
		 */
		schedule_retry(publish, verify_head, CAROB_EUNAVAILABLE);
	}
}

static void on_verified_head(carob_kv_call_t *call,
			     const carob_kv_reply_t *reply)
{
	carob_publish_t *publish =
		CAROB_CONTAINER_OF(call, carob_publish_t, call);
	carob_head_t head;
	uint64_t index;
	int result = parse_head_reply(&head, &index, reply);

	if (result != 0)
		schedule_retry(publish, verify_head, result);
	else
		evaluate_head(publish, &head, index);
}

/* Reads the head again to find out by its publish id whether it is ours. */
static void verify_head(carob_publish_t *publish)
{
	carob_kv_key_t key;

	carob_head_key(&key, publish->deployment);
	publish->call.done = on_verified_head;
	publish->options.kv->ops->get(publish->options.kv, &publish->call,
				      carob_str_from(key.text));
}

/*
 * Looks for our publish in an index of a later generation, and then in the
 * index before it.
 */
static void on_search_index(carob_kv_call_t *call,
			    const carob_kv_reply_t *reply)
{
	carob_publish_t *publish =
		CAROB_CONTAINER_OF(call, carob_publish_t, call);
	carob_index_t index = {0};
	int result = reply->result;

	if (result == 0)
		result = carob_index_parse(&index, publish->search_index.text,
					   reply->entries[0].value);
	if (result == CAROB_ENOTFOUND) {
		fail(publish, result);
		return;
	}
	if (result != 0) {
		schedule_retry(publish, read_search_index, result);
		return;
	}
	if (index.generation > publish->head.generation) {
		publish->search_index = index.previous;
		read_search_index(publish);
	} else if (index.generation == publish->head.generation &&
		   carob_publish_id_eq(&index.publish_id,
				       &publish->head.publish_id)) {
		finish(publish, 0, index.generation, false);
	} else {
		finish_conflict(publish, index.generation, &index.publish_id);
	}
}

static void read_search_index(carob_publish_t *publish)
{
	carob_kv_key_t key;

	carob_part_key(&key, publish->deployment, &publish->search_index);
	publish->call.done = on_search_index;
	publish->options.kv->ops->get(publish->options.kv, &publish->call,
				      carob_str_from(key.text));
}

int carob_publish_new(carob_publish_t **out,
		      const carob_publish_options_t *options)
{
	carob_publish_t *publish;

	if (options->version != CAROB_PUBLISH_OPTIONS_VERSION ||
	    !options->kernel || !options->kv || !options->manifest ||
	    !options->done)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of a publish");
	publish = calloc(1, sizeof(*publish));
	if (!publish)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a publish");
	publish->options = *options;
	publish->retry.fire = on_retry;
	carob_rng_init(&publish->rng, options->seed);
	(void)carob_manifest_ref(options->manifest);
	publish->deployment = carob_manifest_deployment(options->manifest);
	*out = publish;
	read_head(publish);
	return 0;
}

void carob_publish_free(carob_publish_t *publish)
{
	if (!publish)
		return;
	if (publish->call.pending)
		publish->options.kv->ops->cancel(publish->options.kv,
						 &publish->call);
	carob_fetch_cancel(&publish->fetch);
	carob_timer_cancel(publish->options.kernel, &publish->retry);
	for (size_t i = 0; i < publish->write_count; i++)
		carob_buf_dispose(&publish->writes[i].value);
	carob_history_free(publish->history);
	carob_manifest_free(publish->prev_manifest);
	carob_manifest_free(publish->options.manifest);
	free(publish);
}
