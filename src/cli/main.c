/* carobctl: the command-line tool for operators. */
#include "cli.h"

#include "carobtrail/errors.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

static const cli_command_t commands[] = {
	{"validate", "validate manifest files", cli_validate},
	{"publish", "publish a manifest", cli_publish},
	{"diff", "compare two manifests, or one with the published manifest",
	 cli_diff},
	{"show",
	 "show the generation in force and the status of every instance",
	 cli_show},
	{"check", "check a configuration of carob-flowd before it is sent",
	 cli_check},
	{"explain", "explain to which upstream flows go, and why", cli_explain},
};

static void print_help(FILE *file)
{
	fprintf(file, "Usage: carobctl [--json] COMMAND [OPTION...]\n\n");
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(commands); i++)
		fprintf(file, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(file,
		"\n\"carobctl COMMAND --help\" describes a command. With "
		"--json, the output is one\nJSON object. The exit status is "
		"0, or a result code without its sign; see\n"
		"docs/result-codes.md. That of \"check\" is described by "
		"its help.\n");
}

static const cli_command_t *find_command(const char *name)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(commands); i++)
		if (strcmp(commands[i].name, name) == 0)
			return &commands[i];
	return NULL;
}

static void print_error(const cli_t *cli, int code)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	const carob_result_info_t *info = carob_result_find(code);
	const char *name = info ? info->name : "?";

	if (!cli->json) {
		fprintf(stderr, "carobctl: %s (%s)\n", carob_error_last(),
			name);
		return;
	}
	(void)cli_append_json_string(&text, carob_str_from(carob_error_last()));
	printf("{\"result\":%d,\"name\":\"%s\",\"error\":%s}\n", code, name,
	       text.ptr);
}

static int run_command(cli_t *cli, int argc, const char **argv)
{
	static char name[32];
	const cli_command_t *command;
	int first = 1;

	if (argc > first && strcmp(argv[first], "--json") == 0) {
		cli->json = true;
		first++;
	}
	if (argc <= first) {
		print_help(stderr);
		return carob_error_set(CAROB_EUSAGE, "expected a command");
	}
	if (strcmp(argv[first], "--help") == 0 ||
	    strcmp(argv[first], "-?") == 0 ||
	    strcmp(argv[first], "help") == 0) {
		print_help(stdout);
		return 0;
	}
	command = find_command(argv[first]);
	if (!command)
		return carob_error_set(CAROB_EUSAGE,
				       "%s: expected a command listed by "
				       "\"carobctl --help\"",
				       argv[first]);
	(void)snprintf(name, sizeof(name), "carobctl %s", command->name);
	argv[first] = name; /* popt prints it in the help text */
	return command->run(cli, argc - first, argv + first);
}

int main(int argc, const char **argv)
{
	cli_t cli = {0};
	int result;

	signal(SIGPIPE, SIG_IGN);
	result = run_command(&cli, argc, argv);
	if (result != 0)
		print_error(&cli, result);
	cli_disconnect(&cli);
	if (cli.status)
		return cli.status;
	return result == 0 ? 0 : -result;
}
