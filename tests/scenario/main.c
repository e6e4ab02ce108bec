#include "simulation.h"

#include "carobtrail/log.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

#define SEED_DEFAULT   1
#define EXIT_BAD_USAGE 2

/* Options of the command line. */
typedef struct command {
	long long seed;
	char *mutation;
	char *expected;
	char *seeds;
	char *output;
	int trace;
	const char *path;
} command_t;

static int measure(const command_t *c)
{
	unsigned long long first;
	unsigned long long last;

	if (!c->output || sscanf(c->seeds, "%llu-%llu", &first, &last) != 2 ||
	    first > last) {
		fprintf(stderr, "--measure requires a range of seeds "
				"FIRST-LAST and --output FILE\n");
		return EXIT_BAD_USAGE;
	}
	return script_measure(c->path, first, last, c->output);
}

static int run(const command_t *c)
{
	carob_log_configure("scenario", carob_clock_system(),
			    c->trace ? CAROB_LOG_DEBUG : CAROB_LOG_ERROR, NULL);
	if (c->seeds)
		return measure(c);
	printf("%s: seed %lld\n", c->path, c->seed);
	return script_run(c->path, (uint64_t)c->seed, c->mutation, c->expected,
			  c->trace != 0);
}

int main(int argc, const char **argv)
{
	command_t c = {.seed = SEED_DEFAULT};
	struct poptOption options[] = {
		{"seed", 's', POPT_ARG_LONGLONG, &c.seed, 0,
		 "seed of all random choices", "N"},
		{"wrong", 'w', POPT_ARG_STRING, &c.mutation, 0,
		 "run with this mutation, a deliberately wrong variant",
		 "NAME"},
		{"caught", 'c', POPT_ARG_STRING, &c.expected, 0,
		 "expectation that must fail with the mutation", "NAME"},
		{"measure", 'm', POPT_ARG_STRING, &c.seeds, 0,
		 "run a measurement with each seed of this range",
		 "FIRST-LAST"},
		{"output", 'o', POPT_ARG_STRING, &c.output, 0,
		 "file for the rows of a measurement, in JSON", "FILE"},
		{"trace", 't', POPT_ARG_NONE, &c.trace, 0,
		 "trace simulated events to standard error", NULL},
		POPT_AUTOHELP POPT_TABLEEND,
	};
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	int status = EXIT_BAD_USAGE;

	poptSetOtherOptionHelp(context, "[options] SCENARIO.lua");
	if (poptGetNextOpt(context) < -1 || !(c.path = poptGetArg(context)) ||
	    (c.mutation && !c.expected))
		poptPrintUsage(context, stderr, 0);
	else
		status = run(&c);
	poptFreeContext(context);
	free(c.mutation);
	free(c.expected);
	free(c.seeds);
	free(c.output);
	return status;
}
