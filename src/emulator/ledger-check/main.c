/* carob-ledger-check: checks the ledgers of callers and upstreams. */
#include "carobtrail/errors.h"
#include "emulator/ledger/ledger.h"

#include <inttypes.h>
#include <popt.h>
#include <stdlib.h>

#define EXIT_FAULTS	   1
#define EXIT_USAGE	   2
#define DEFAULT_ANSWER_MS  2000
#define DEFAULT_GAP_MS	   10000
#define US_PER_MS	   1000
#define PRINTED_FAULTS_MAX 50

/* Prints the first faults on standard error. */
typedef struct fault_printer {
	carob_ledger_listener_t listener;
	unsigned int printed;
} fault_printer_t;

static void print_fault(carob_ledger_listener_t *listener,
			carob_ledger_fault_t fault, uint64_t rid)
{
	fault_printer_t *printer = (fault_printer_t *)listener;

	if (printer->printed++ < PRINTED_FAULTS_MAX)
		fprintf(stderr, "%s %016" PRIx64 "\n",
			carob_ledger_fault_key(fault), rid);
}

static void print_json(const carob_ledger_report_t *report)
{
	printf("{\"calls\":%" PRIu64 ",\"feeds\":%" PRIu64
	       ",\"answered\":%" PRIu64 ",\"cancelled\":%" PRIu64
	       ",\"refused\":%" PRIu64 ",\"unknown\":%" PRIu64
	       ",\"runs\":%" PRIu64 ",\"runs_without_call\":%" PRIu64
	       ",\"busy_us\":%" PRIu64 ",\"wasted_us\":%" PRIu64,
	       report->calls, report->feeds, report->answered,
	       report->cancelled, report->refused, report->unknown,
	       report->runs, report->runs_without_call, report->busy_us,
	       report->wasted_us);
	for (int i = 0; i < CAROB_FAULT_COUNT; i++)
		printf(",\"%s\":%" PRIu64, carob_ledger_fault_key(i),
		       report->faults[i]);
	printf("}\n");
}

static void print_summary_line(const char *label,
			       const carob_ledger_report_t *report)
{
	printf("%s: %" PRIu64 " requests answered, %" PRIu64
	       " cancelled, %" PRIu64 " refused, %" PRIu64 " lost, %" PRIu64
	       " doubled, %" PRIu64 " broken flows\n",
	       label, report->answered, report->cancelled, report->refused,
	       report->faults[CAROB_FAULT_LOST],
	       report->faults[CAROB_FAULT_DOUBLED],
	       report->faults[CAROB_FAULT_BROKEN_FLOW]);
}

static int load_all(carob_ledger_t *ledger, poptContext context)
{
	const char *path;
	int error;

	while ((path = poptGetArg(context)) != NULL) {
		error = carob_ledger_load(ledger, path);
		if (error)
			return error;
	}
	return 0;
}

static int check_ledgers(poptContext context, const char *label,
			 carob_ledger_bounds_t bounds)
{
	fault_printer_t printer = {.listener.fault = print_fault};
	carob_ledger_report_t report;
	carob_ledger_t *ledger;

	if (carob_ledger_new(&ledger) != 0 || load_all(ledger, context) != 0) {
		fprintf(stderr, "carob-ledger-check: %s\n", carob_error_last());
		carob_ledger_free(ledger);
		return EXIT_USAGE;
	}
	bounds.listener = &printer.listener;
	carob_ledger_check(&report, ledger, &bounds);
	carob_ledger_free(ledger);
	print_json(&report);
	if (label)
		print_summary_line(label, &report);
	return carob_ledger_report_clean(&report) ? 0 : EXIT_FAULTS;
}

int main(int argc, const char **argv)
{
	int answer_ms = DEFAULT_ANSWER_MS;
	int gap_ms = DEFAULT_GAP_MS;
	char *label = NULL;
	struct poptOption table[] = {
		{"answer-ms", 0, POPT_ARG_INT, &answer_ms, 0,
		 "time after the deadline until a request without a response "
		 "counts as lost",
		 "MS"},
		{"gap-ms", 0, POPT_ARG_INT, &gap_ms, 0,
		 "longest time without a notification before a feed counts "
		 "as broken",
		 "MS"},
		{"label", 0, POPT_ARG_STRING, &label, 0,
		 "also print a line of text that begins with this label",
		 "TEXT"},
		POPT_AUTOHELP POPT_TABLEEND,
	};
	carob_ledger_bounds_t bounds = {0};
	poptContext context;
	int status = EXIT_USAGE;
	int rc;

	context = poptGetContext("carob-ledger-check", argc, argv, table, 0);
	poptSetOtherOptionHelp(context, "LEDGER...");
	rc = poptGetNextOpt(context);
	if (rc < -1 || !poptPeekArg(context)) {
		poptPrintUsage(context, stderr, 0);
	} else {
		bounds.answer_us = (uint64_t)answer_ms * US_PER_MS;
		bounds.gap_us = (uint64_t)gap_ms * US_PER_MS;
		status = check_ledgers(context, label, bounds);
	}
	poptFreeContext(context);
	free(label);
	return status;
}
