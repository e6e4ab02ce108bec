#include "cli.h"

#include "carobtrail/errors.h"

#include <stdio.h>

static size_t count_upstreams(const carob_manifest_t *manifest)
{
	size_t count;
	const carob_manifest_service_t *services =
		carob_manifest_services(manifest, &count);
	size_t total = 0;

	for (size_t i = 0; i < count; i++)
		total += services[i].upstream_count;
	return total;
}

static int append_result(carob_buf_t *out, const cli_t *cli, const char *path,
			 const carob_manifest_t *manifest)
{
	char hash[CAROB_HASH_TEXT_BYTES];
	size_t upstreams = count_upstreams(manifest);
	size_t services;
	int result = carob_manifest_hash(hash, manifest);

	(void)carob_manifest_services(manifest, &services);
	if (result != 0)
		return result;
	if (!cli->json)
		return carob_buf_printf(out,
					"%s: valid: %zu services, %zu "
					"upstreams, hash %s\n",
					path, services, upstreams, hash);
	result = carob_buf_printf(out, "%s{\"file\":", out->len ? "," : "");
	if (result == 0)
		result = cli_append_json_string(out, carob_str_from(path));
	if (result == 0)
		result = carob_buf_printf(out,
					  ",\"services\":%zu,\"upstreams\":%zu,"
					  "\"hash\":\"%s\"}",
					  services, upstreams, hash);
	return result;
}

static int validate_file(carob_buf_t *out, const cli_t *cli, const char *path)
{
	carob_manifest_t *manifest = NULL;
	int result = cli_load_manifest(&manifest, path);

	if (result == 0)
		result = append_result(out, cli, path, manifest);
	carob_manifest_free(manifest);
	return result;
}

int cli_validate(cli_t *cli, int argc, const char **argv)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t out = CAROB_BUF_INIT;
	struct poptOption options[] = {POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = NULL;
	const char *path;
	int result = cli_parse(&context, argc, argv, options, "FILE...");

	if (result != 0)
		return result;
	if (!poptPeekArg(context))
		result = carob_error_set(CAROB_EUSAGE,
					 "validate: expected at least one "
					 "manifest file");
	while (result == 0 && (path = poptGetArg(context)) != NULL)
		result = validate_file(&out, cli, path);
	if (result == 0 && cli->json)
		printf("{\"result\":0,\"valid\":[%s]}\n", out.ptr);
	else if (result == 0)
		printf("%s", out.ptr);
	poptFreeContext(context);
	return result;
}
