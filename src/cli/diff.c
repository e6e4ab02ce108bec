#include "cli.h"

#include "carobtrail/errors.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Differences between two manifests. */
typedef struct diff {
	const cli_t *cli;
	carob_buf_t out; /* one line or JSON object for each difference */
	size_t count;
} diff_t;

static int add_change(diff_t *diff, const char *kind, const char *change,
		      carob_str_t name, uint32_t id)
{
	diff->count++;
	if (!diff->cli->json)
		return carob_buf_printf(&diff->out, "%s %s %.*s (id %u)\n",
					change, kind, (int)name.len, name.ptr,
					id);
	return carob_buf_printf(&diff->out,
				"%s{\"change\":\"%s\",\"kind\":\"%s\",\"name\":"
				"\"%.*s\",\"id\":%u}",
				diff->out.len ? "," : "", change, kind,
				(int)name.len, name.ptr, id);
}

static const carob_manifest_upstream_t *
find_upstream(const carob_manifest_service_t *service, uint32_t id)
{
	for (size_t i = 0; service && i < service->upstream_count; i++)
		if (service->upstreams[i].id.id == id)
			return &service->upstreams[i];
	return NULL;
}

static bool same_upstream(const carob_manifest_upstream_t *a,
			  const carob_manifest_upstream_t *b)
{
	return carob_upstream_id_eq(a->id, b->id) &&
	       carob_str_eq(a->name, b->name) &&
	       strcmp(a->zone.name, b->zone.name) == 0 &&
	       carob_addr_eq(&a->addr, &b->addr) && a->state == b->state;
}

static bool same_service(const carob_manifest_service_t *a,
			 const carob_manifest_service_t *b)
{
	return carob_str_eq(a->name, b->name) &&
	       carob_addr_eq(&a->addr, &b->addr) && a->slots == b->slots &&
	       a->connections == b->connections &&
	       a->reports_load == b->reports_load &&
	       a->max_runtime_ms == b->max_runtime_ms;
}

static int diff_upstreams(diff_t *diff, const carob_manifest_service_t *from,
			  const carob_manifest_service_t *to)
{
	int result = 0;

	for (size_t i = 0; result == 0 && to && i < to->upstream_count; i++) {
		const carob_manifest_upstream_t *upstream = &to->upstreams[i];
		const carob_manifest_upstream_t *previous =
			find_upstream(from, upstream->id.id);

		if (!previous)
			result = add_change(diff, "upstream", "added",
					    upstream->name, upstream->id.id);
		else if (!same_upstream(previous, upstream))
			result = add_change(diff, "upstream", "changed",
					    upstream->name, upstream->id.id);
	}
	for (size_t i = 0; result == 0 && from && i < from->upstream_count; i++)
		if (!find_upstream(to, from->upstreams[i].id.id))
			result = add_change(diff, "upstream", "removed",
					    from->upstreams[i].name,
					    from->upstreams[i].id.id);
	return result;
}

static int diff_manifests(diff_t *diff, const carob_manifest_t *from,
			  const carob_manifest_t *to)
{
	const carob_manifest_service_t *services;
	const carob_manifest_service_t *other;
	size_t count;
	int result = 0;

	services = carob_manifest_services(to, &count);
	for (size_t i = 0; result == 0 && i < count; i++) {
		other = carob_manifest_find_service(from, services[i].id);
		if (!other)
			result = add_change(diff, "service", "added",
					    services[i].name, services[i].id);
		else if (!same_service(other, &services[i]))
			result = add_change(diff, "service", "changed",
					    services[i].name, services[i].id);
		if (result == 0)
			result = diff_upstreams(diff, other, &services[i]);
	}
	services = carob_manifest_services(from, &count);
	for (size_t i = 0; result == 0 && i < count; i++) {
		if (carob_manifest_find_service(to, services[i].id))
			continue;
		result = add_change(diff, "service", "removed",
				    services[i].name, services[i].id);
		if (result == 0)
			result = diff_upstreams(diff, &services[i], NULL);
	}
	return result;
}

static void print_diff(const diff_t *diff, const char *from, const char *to)
{
	const char *text = diff->out.ptr ? diff->out.ptr : "";

	if (diff->cli->json)
		printf("{\"result\":0,\"changes\":[%s]}\n", text);
	else if (diff->count == 0)
		printf("%s and %s are the same manifest\n", from, to);
	else
		printf("%s%zu changes from %s to %s\n", text, diff->count, from,
		       to);
}

/* Reads the manifest to compare with from the platform. */
static int load_published(carob_manifest_t **out, cli_t *cli,
			  const carob_manifest_t *to)
{
	cli_published_t published;
	int result = cli_connect(cli);

	if (result == 0)
		result = cli_read_published(
			&published, cli, carob_manifest_deployment(to), true);
	if (result != 0)
		return result;
	if (published.head.generation == 0)
		return carob_error_set(CAROB_ENOTFOUND,
				       "diff: no manifest of this deployment "
				       "is published on the platform");
	*out = published.manifest;
	return 0;
}

static int run_diff(cli_t *cli, const char *first, const char *second)
{
	diff_t diff = {.cli = cli, .out = CAROB_BUF_INIT};
	const char *to_path = second ? second : first;
	carob_manifest_t *from = NULL;
	carob_manifest_t *to = NULL;
	int result = cli_load_manifest(&to, to_path);

	if (result == 0 && second)
		result = cli_load_manifest(&from, first);
	else if (result == 0)
		result = load_published(&from, cli, to);
	if (result == 0)
		result = diff_manifests(&diff, from, to);
	if (result == 0)
		print_diff(&diff, second ? first : "the published manifest",
			   to_path);
	carob_buf_dispose(&diff.out);
	carob_manifest_free(from);
	carob_manifest_free(to);
	return result;
}

int cli_diff(cli_t *cli, int argc, const char **argv)
{
	char *platform = NULL;
	struct poptOption options[] = {
		{"platform", 'p', POPT_ARG_STRING, &platform, 0,
		 "compare the file with the manifest published on this "
		 "platform",
		 "ADDRESS:PORT"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = NULL;
	const char *first;
	const char *second;
	int result = cli_parse(&context, argc, argv, options,
			       "--platform ADDRESS:PORT FILE | FILE FILE");

	if (result != 0)
		return result;
	cli->platform = platform;
	first = poptGetArg(context);
	second = first ? poptGetArg(context) : NULL;
	if (!first || (!second && !platform) || (second && platform) ||
	    poptPeekArg(context))
		result = carob_error_set(CAROB_EUSAGE,
					 "diff: expected two files, or "
					 "--platform and one file");
	else
		result = run_diff(cli, first, second);
	poptFreeContext(context);
	cli->platform = NULL;
	free(platform);
	return result;
}
