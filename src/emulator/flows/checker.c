#include "checker.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

/* Contact time: after a fault, instances may act on outdated state for this
 * long. */
#define CONTACT_NS (4 * CAROB_NS_PER_S)
/* This long after the last fault, requests must be served again. */
#define RECOVERY_NS (12 * CAROB_NS_PER_S)
/* Recovery is only checked with at least this many requests after it; nine
 * tenths of them must be served. */
#define RECOVERED_REQUESTS_MIN 20

static const char *const guarantee_names[CHECKER_GUARANTEE_COUNT] = {
	"wrong_answer",	 "run_twice",  "flow_broken", "packet_changed",
	"wrong_service", "drained",    "old_route",   "new_route",
	"evacuated",	 "not_served",
};

static const char *const outcome_names[CHECKER_OUTCOME_COUNT] = {
	"served", "late", "failed"};

void checker_report_violation(checker_t *checker, checker_guarantee_t guarantee,
			      const char *fmt, ...)
{
	uint64_t now_ms = carob_clock_now_ns(checker->clock) / CAROB_NS_PER_MS;
	va_list args;

	checker->violations[guarantee]++;
	printf("broken %s at %" PRIu64 " ms: ", guarantee_names[guarantee],
	       now_ms);
	va_start(args, fmt);
	vprintf(fmt, args);
	va_end(args);
	printf("\n");
	fflush(stdout);
}

/* Records the end of a fault that lasts `ms` milliseconds from now on. Returns
 * the time until which the fault excuses violations. */
static uint64_t record_fault_end(checker_t *checker, uint64_t ms)
{
	uint64_t end =
		carob_clock_now_ns(checker->clock) + ms * CAROB_NS_PER_MS;

	if (end > checker->last_fault_end_ns)
		checker->last_fault_end_ns = end;
	return end + CONTACT_NS;
}

void checker_record_instance_fault(checker_t *checker, size_t instance,
				   uint64_t ms)
{
	uint64_t end = record_fault_end(checker, ms);

	if (instance < CHECKER_INSTANCES_MAX &&
	    end > checker->instance_disturbed_until_ns[instance])
		checker->instance_disturbed_until_ns[instance] = end;
}

void checker_record_store_fault(checker_t *checker, uint64_t ms)
{
	uint64_t end = record_fault_end(checker, ms);

	if (end > checker->store_disturbed_until_ns)
		checker->store_disturbed_until_ns = end;
}

bool checker_instance_undisturbed(const checker_t *checker, size_t instance)
{
	return instance >= CHECKER_INSTANCES_MAX ||
	       carob_clock_now_ns(checker->clock) >=
		       checker->instance_disturbed_until_ns[instance];
}

bool checker_store_undisturbed(const checker_t *checker)
{
	return carob_clock_now_ns(checker->clock) >=
	       checker->store_disturbed_until_ns;
}

void checker_record_outcome(checker_t *checker, checker_outcome_t outcome)
{
	checker->outcomes[outcome]++;
	if (carob_clock_now_ns(checker->clock) >
	    checker->last_fault_end_ns + RECOVERY_NS)
		checker->recovered_outcomes[outcome]++;
}

void checker_record_run(checker_t *checker, uint64_t id, bool idempotent)
{
	uint8_t *runs = &checker->runs[id % CHECKER_REQUESTS_MAX];

	if (++*runs > 1 && !idempotent)
		checker_report_violation(checker, CHECKER_RUN_TWICE,
					 "request %" PRIu64 " ran again", id);
}

void checker_check_recovery(checker_t *checker)
{
	uint64_t failed = checker->recovered_outcomes[CHECKER_FAILED];
	uint64_t total = failed + checker->recovered_outcomes[CHECKER_SERVED] +
			 checker->recovered_outcomes[CHECKER_LATE];

	if (total >= RECOVERED_REQUESTS_MIN && 10 * failed > total)
		checker_report_violation(
			checker, CHECKER_NOT_SERVED,
			"%" PRIu64 " of %" PRIu64
			" requests failed long after the last fault",
			failed, total);
}

uint64_t checker_print_report(const checker_t *checker)
{
	uint64_t total = 0;

	printf("{");
	for (int i = 0; i < CHECKER_OUTCOME_COUNT; i++)
		printf("\"%s\":%" PRIu64 ",", outcome_names[i],
		       checker->outcomes[i]);
	printf("\"connects\":%" PRIu64 ",\"resets\":%" PRIu64
	       ",\"misdirected\":%" PRIu64 ",\"broken\":{",
	       checker->connects, checker->resets, checker->misdirected);
	for (int i = 0; i < CHECKER_GUARANTEE_COUNT; i++) {
		printf("%s\"%s\":%" PRIu64, i ? "," : "", guarantee_names[i],
		       checker->violations[i]);
		total += checker->violations[i];
	}
	printf("}}\n");
	fflush(stdout);
	return total;
}
