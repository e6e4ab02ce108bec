#include "cli.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "util/json_doc.h"

#include <stdio.h>
#include <stdlib.h>

int cli_parse(poptContext *out, int argc, const char **argv,
	      const struct poptOption *options, const char *usage)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	int rc;

	poptSetOtherOptionHelp(context, usage);
	rc = poptGetNextOpt(context);
	if (rc >= -1) {
		*out = context;
		return 0;
	}
	(void)carob_error_set(CAROB_EUSAGE, "%s: %s", poptBadOption(context, 0),
			      poptStrerror(rc));
	poptFreeContext(context);
	return CAROB_EUSAGE;
}

int cli_load_manifest(carob_manifest_t **out, const char *path)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	int result = carob_file_read(&text, path, CAROB_MANIFEST_BYTES_MAX);

	if (result != 0)
		return result;
	return carob_manifest_parse(out, path, carob_buf_view(&text));
}

int cli_addr(carob_addr_t *out, const char *option, const char *text)
{
	if (!text || carob_addr_parse(out, carob_str_from(text)) != 0)
		return carob_error_set(CAROB_EUSAGE,
				       "%s: %s: expected an IP address with "
				       "port, as in 127.0.0.1:8500",
				       option,
				       text ? text : "option not given");
	return 0;
}

int cli_connect(cli_t *cli)
{
	carob_platform_client_options_t options =
		CAROB_PLATFORM_CLIENT_OPTIONS_INIT;
	int result = 0;

	if (cli->platform)
		result = cli_addr(&options.addr, "--platform", cli->platform);
	if (result == 0)
		result = carob_kernel_new(&cli->kernel, carob_clock_system());
	if (result == 0)
		result = carob_loop_new(&cli->loop, cli->kernel);
	if (result != 0 || !cli->platform)
		return result;
	options.kernel = cli->kernel;
	options.base = carob_loop_base(cli->loop);
	result = carob_platform_client_new(&cli->client, &options);
	if (result == 0)
		cli->kv = carob_platform_client_kv(cli->client);
	return result;
}

void cli_disconnect(cli_t *cli)
{
	carob_platform_client_free(cli->client);
	carob_loop_free(cli->loop);
	if (cli->kernel)
		carob_kernel_free(cli->kernel);
}

int cli_append_json_string(carob_buf_t *out, carob_str_t text)
{
	json_t *string = json_stringn(text.ptr, text.len);
	char *quoted = string ? json_dumps(string, JSON_ENCODE_ANY) : NULL;
	int result;

	result = carob_buf_printf(out, "%s", quoted ? quoted : "\"\"");
	free(quoted);
	json_decref(string);
	return result;
}
