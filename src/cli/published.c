#include "cli.h"

#include "carobtrail/errors.h"
#include "core/manifest/manifest_fetch.h"

/* State of reading the published generation. */
typedef struct reader {
	carob_kv_call_t call;
	carob_fetch_t fetch;
	cli_t *cli;
	cli_published_t *out;
	carob_str_t deployment;
	bool with_manifest;
	int result;
} reader_t;

static void finish(reader_t *reader, int result)
{
	reader->result = result;
	carob_loop_stop(reader->cli->loop);
}

static void on_manifest(carob_fetch_t *fetch, int result,
			carob_manifest_t *manifest)
{
	reader_t *reader = CAROB_CONTAINER_OF(fetch, reader_t, fetch);

	reader->out->manifest = manifest;
	finish(reader, result);
}

static void on_head(carob_kv_call_t *call, const carob_kv_reply_t *reply)
{
	reader_t *reader = CAROB_CONTAINER_OF(call, reader_t, call);
	int result = reply->result;

	if (result == CAROB_ENOTFOUND) {
		finish(reader, 0);
		return;
	}
	if (result == 0)
		result = carob_head_parse(&reader->out->head, "head",
					  reply->entries[0].value);
	if (result != 0 || !reader->with_manifest) {
		finish(reader, result);
		return;
	}
	reader->fetch.done = on_manifest;
	carob_fetch_start(&reader->fetch, reader->cli->kv, reader->deployment,
			  &reader->out->head.index, NULL);
}

int cli_read_published(cli_published_t *out, cli_t *cli, carob_str_t deployment,
		       bool with_manifest)
{
	reader_t reader = {.cli = cli,
			   .out = out,
			   .deployment = deployment,
			   .with_manifest = with_manifest};
	carob_kv_key_t key;
	int result;

	out->head = (carob_head_t){0};
	out->manifest = NULL;
	carob_head_key(&key, deployment);
	reader.call.done = on_head;
	cli->kv->ops->get(cli->kv, &reader.call, carob_str_from(key.text));
	result = carob_loop_run(cli->loop);
	return result != 0 ? result : reader.result;
}
