#include "cli.h"
#include "http_get.h"
#include "query.h"

#include "carobtrail/errors.h"
#include "net/control.h"
#include "util/json_doc.h"

#include <stdio.h>
#include <stdlib.h>

#define RESPONSE_TIMEOUT_MS 3000

/* Options of the command; NULL if not given. */
typedef struct explain {
	char *instance;
	char *secret_file;
	char *service;
	char *token;
	char *metrics;
	char *caller;
	char *route;
	long tag;
} explain_t;

/* Queries an instance over the control channel. */
static int query_instance(carob_buf_t *json, const explain_t *explain)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t query = CAROB_BUF_INIT;
	uint8_t secret[CAROB_KEY_BYTES];
	carob_addr_t addr;
	int result = cli_addr(&addr, "--instance", explain->instance);

	if (result == 0)
		result = cli_read_secret(secret, explain->secret_file);
	if (result == 0 && explain->service)
		result = carob_buf_printf(&query, "explain service %s",
					  explain->service);
	else if (result == 0)
		result = carob_buf_printf(&query, "explain token %s",
					  explain->token);
	if (result != 0)
		return result;
	return carob_control_query(json, &addr, secret, carob_buf_view(&query),
				   RESPONSE_TIMEOUT_MS);
}

/* Queries carob-flowd over HTTP, by addresses and steering tag of a flow. */
static int query_flowd(carob_buf_t *json, const explain_t *explain)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t path = CAROB_BUF_INIT;
	carob_addr_t addr;
	carob_addr_t caller;
	carob_addr_t route;
	int status = 0;
	int result = cli_addr(&addr, "--metrics", explain->metrics);

	if (result == 0)
		result = cli_addr(&caller, "--caller", explain->caller);
	if (result == 0)
		result = cli_addr(&route, "--route", explain->route);
	if (result == 0)
		result = carob_buf_printf(&path,
					  "/explain?caller=%s&route=%s&tag=%ld",
					  explain->caller, explain->route,
					  explain->tag);
	if (result == 0)
		result = cli_http_get(json, &status, &addr, path.ptr);
	if (result == 0 && status != 200)
		result = carob_error_set(CAROB_EINVALID,
					 "%s: HTTP status %d: %.*s",
					 explain->metrics, status,
					 (int)json->len, json->ptr);
	return result;
}

static int print_response(const cli_t *cli, const carob_buf_t *json)
{
	json_t *root = json_loadb(json->ptr, json->len, 0, NULL);
	char *text;

	if (!root)
		return carob_error_set(CAROB_EFORMAT,
				       "explain: the response is not valid "
				       "JSON");
	(void)json_object_set_new(root, "result", json_integer(0));
	text = json_dumps(root, cli->json ? JSON_COMPACT : JSON_INDENT(2));
	printf("%s\n", text ? text : "{}");
	free(text);
	json_decref(root);
	return 0;
}

int cli_explain(cli_t *cli, int argc, const char **argv)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t json = CAROB_BUF_INIT;
	explain_t explain = {0};
	struct poptOption options[] = {
		{"instance", 'n', POPT_ARG_STRING, &explain.instance, 0,
		 "control address of the instance to query", "ADDRESS:PORT"},
		{"secret-file", 's', POPT_ARG_STRING, &explain.secret_file, 0,
		 "file with the deployment's secret", "FILE"},
		{"service", 'S', POPT_ARG_STRING, &explain.service, 0,
		 "explain to which upstream new flows of this service go",
		 "NAME"},
		{"token", 't', POPT_ARG_STRING, &explain.token, 0,
		 "explain to which upstream the flow with this token goes",
		 "80 HEX DIGITS"},
		{"metrics", 'm', POPT_ARG_STRING, &explain.metrics, 0,
		 "metrics address of the carob-flowd to query", "ADDRESS:PORT"},
		{"caller", 'c', POPT_ARG_STRING, &explain.caller, 0,
		 "explain to which upstream a flow of this caller goes",
		 "ADDRESS:PORT"},
		{"route", 'r', POPT_ARG_STRING, &explain.route, 0,
		 "address that the caller connects to", "ADDRESS:PORT"},
		{"tag", 'T', POPT_ARG_LONG, &explain.tag, 0,
		 "steering tag in the echo field of the flow's packets; "
		 "without it, a new flow is explained",
		 "NUMBER"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = NULL;
	int result = cli_parse(&context, argc, argv, options, "[OPTION...]");

	if (result != 0)
		return result;
	if (poptPeekArg(context) ||
	    !explain.service + !explain.token + !explain.caller != 2)
		result = carob_error_set(
			CAROB_EUSAGE,
			"explain: expected --service or --token with "
			"--instance and --secret-file, or --caller with "
			"--metrics and --route");
	else if (explain.caller)
		result = query_flowd(&json, &explain);
	else
		result = query_instance(&json, &explain);
	if (result == 0)
		result = print_response(cli, &json);
	poptFreeContext(context);
	free(explain.instance);
	free(explain.secret_file);
	free(explain.service);
	free(explain.token);
	free(explain.metrics);
	free(explain.caller);
	free(explain.route);
	return result;
}
