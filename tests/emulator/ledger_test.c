#include "test_runner.h"

#include "carobtrail/errors.h"
#include "emulator/ledger/ledger.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RUNS_MAX 2

static const carob_ledger_bounds_t bounds = {
	.answer_us = 1000,
	.gap_us = 5000,
};

/* A request, its runs and the fault that the check must report. */
typedef struct ledger_case {
	const char *name;
	int fault; /* -1: none */
	carob_call_record_t call;
	carob_run_record_t runs[RUNS_MAX];
} ledger_case_t;

#define CHECK(...)                                                             \
	{                                                                      \
		.rid = 7, .service = "fieldline", .sent_us = 100,              \
		.deadline_us = 10000, __VA_ARGS__                              \
	}
#define ANSWERED_BY(rid_, service_, final_us_)                                 \
	.result = CAROB_CALL_ANSWERED, .final_us = (final_us_),                \
	.answer_rid = (rid_), .answer_service = (service_)
#define ANSWERED ANSWERED_BY(7, "fieldline", 500)
#define RUN_BY(service_, end_)                                                 \
	{                                                                      \
		.rid = 7, .upstream = "host-1", .service = (service_),         \
		.end = (end_), .start_us = 200, .end_us = 400                  \
	}
#define RUN(end_) RUN_BY("fieldline", end_)
#define FEED(...)                                                              \
	CHECK(.is_feed = true, .idempotent = true, .cancelled = true,          \
	      .result = CAROB_CALL_CANCELLED,                                  \
	      .feed = {.notifications = 3, __VA_ARGS__})

static const ledger_case_t ledger_cases[] = {
	{"an answered check", -1, CHECK(ANSWERED), {RUN(CAROB_RUN_DONE)}},
	{"a check that was shed once and run once",
	 -1,
	 CHECK(ANSWERED),
	 {RUN(CAROB_RUN_SHED), RUN(CAROB_RUN_DONE)}},
	{"a download that ran twice",
	 -1,
	 CHECK(ANSWERED, .idempotent = true),
	 {RUN(CAROB_RUN_DONE), RUN(CAROB_RUN_DONE)}},
	{"a check that was refused and did not run",
	 -1,
	 CHECK(.result = CAROB_CALL_NOT_RUN, .final_us = 500),
	 {RUN(CAROB_RUN_SHED)}},
	{"a check that ran and whose outcome is unknown to the caller",
	 -1,
	 CHECK(.result = CAROB_CALL_UNKNOWN, .final_us = 500),
	 {RUN(CAROB_RUN_DONE)}},
	{"a cancelled check without response",
	 -1,
	 CHECK(.cancelled = true),
	 {{0}}},
	{"a feed with the longest gap allowed",
	 -1,
	 FEED(.longest_gap_us = 5000),
	 {{0}}},
	{"a feed that ran and whose later registration was refused",
	 -1,
	 CHECK(.is_feed = true, .idempotent = true,
	       .result = CAROB_CALL_NOT_RUN, .final_us = 900),
	 {RUN(CAROB_RUN_CANCELLED)}},
	{"a request without response",
	 CAROB_FAULT_LOST,
	 CHECK(.idempotent = true),
	 {{0}}},
	{"a response after deadline and bound",
	 CAROB_FAULT_LOST,
	 CHECK(ANSWERED_BY(7, "fieldline", 11001)),
	 {RUN(CAROB_RUN_DONE)}},
	{"a response after the deadline",
	 CAROB_FAULT_LATE,
	 CHECK(ANSWERED_BY(7, "fieldline", 10001)),
	 {RUN(CAROB_RUN_DONE)}},
	{"a check that ran twice",
	 CAROB_FAULT_DOUBLED,
	 CHECK(ANSWERED),
	 {RUN(CAROB_RUN_DONE), RUN(CAROB_RUN_DONE)}},
	{"a check that ran twice, once until its cancel",
	 CAROB_FAULT_DOUBLED,
	 CHECK(.cancelled = true),
	 {RUN(CAROB_RUN_CANCELLED), RUN(CAROB_RUN_DONE)}},
	{"a check that ran twice, once unfinished",
	 CAROB_FAULT_DOUBLED,
	 CHECK(ANSWERED),
	 {RUN(CAROB_RUN_OPEN), RUN(CAROB_RUN_DONE)}},
	{"a check that was refused as not run, but ran",
	 CAROB_FAULT_FALSE_NOT_RUN,
	 CHECK(.result = CAROB_CALL_NOT_RUN, .final_us = 500),
	 {RUN(CAROB_RUN_DONE)}},
	{"a cancelled check that was refused as not run, but ran",
	 CAROB_FAULT_FALSE_NOT_RUN,
	 CHECK(.result = CAROB_CALL_NOT_RUN, .final_us = 500,
	       .cancelled = true),
	 {RUN(CAROB_RUN_CANCELLED)}},
	{"a check that ran on another service's upstream",
	 CAROB_FAULT_MISROUTED,
	 CHECK(ANSWERED),
	 {RUN_BY("certvault", CAROB_RUN_DONE)}},
	{"a check that was shed by another service's upstream",
	 CAROB_FAULT_MISROUTED,
	 CHECK(ANSWERED),
	 {RUN_BY("certvault", CAROB_RUN_SHED)}},
	{"a check with the response to another request",
	 CAROB_FAULT_MISROUTED,
	 CHECK(ANSWERED_BY(8, "fieldline", 500)),
	 {RUN(CAROB_RUN_DONE)}},
	{"a check with the response of another service",
	 CAROB_FAULT_MISROUTED,
	 CHECK(ANSWERED_BY(7, "certvault", 500)),
	 {RUN(CAROB_RUN_DONE)}},
	{"a feed with too long a gap",
	 CAROB_FAULT_BROKEN_FLOW,
	 FEED(.longest_gap_us = 5001),
	 {{0}}},
	{"a feed with a lower sequence number than before",
	 CAROB_FAULT_BROKEN_FLOW,
	 FEED(.regressions = 1),
	 {{0}}},
	{"a feed with the content of another feed",
	 CAROB_FAULT_BROKEN_FLOW,
	 FEED(.wrong_content = 1),
	 {{0}}},
	{"a feed that ended without reason",
	 CAROB_FAULT_BROKEN_FLOW,
	 FEED(.ended_without_reason = true),
	 {{0}}},
};

static void add_records(carob_ledger_t *ledger, const ledger_case_t *c)
{
	CU_ASSERT_EQUAL(carob_ledger_add_call(ledger, &c->call), 0);
	for (size_t i = 0; i < RUNS_MAX; i++)
		if (c->runs[i].rid)
			CU_ASSERT_EQUAL(
				carob_ledger_add_run(ledger, &c->runs[i]), 0);
}

static void assert_fault(const carob_ledger_t *ledger, const ledger_case_t *c)
{
	carob_ledger_report_t report;

	carob_ledger_check(&report, ledger, &bounds);
	for (int i = 0; i < CAROB_FAULT_COUNT; i++) {
		if (report.faults[i] != (i == c->fault))
			printf("\n%s: %s %llu", c->name,
			       carob_ledger_fault_key(i),
			       (unsigned long long)report.faults[i]);
		CU_ASSERT_EQUAL(report.faults[i], i == c->fault);
	}
	CU_ASSERT_EQUAL(carob_ledger_report_clean(&report),
			c->fault == -1 || c->fault == CAROB_FAULT_LATE);
}

static void test_each_fault_is_found(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(ledger_cases); i++) {
		carob_ledger_t *ledger;

		CU_ASSERT_EQUAL_FATAL(carob_ledger_new(&ledger), 0);
		add_records(ledger, &ledger_cases[i]);
		assert_fault(ledger, &ledger_cases[i]);
		carob_ledger_free(ledger);
	}
}

static void write_file(const char *path, const ledger_case_t *c,
		       const char *tail)
{
	FILE *file = fopen(path, "w");

	CU_ASSERT_PTR_NOT_NULL_FATAL(file);
	CU_ASSERT_EQUAL(carob_call_record_write(file, &c->call), 0);
	for (size_t i = 0; i < RUNS_MAX; i++)
		if (c->runs[i].rid)
			CU_ASSERT_EQUAL(
				carob_run_record_write(file, &c->runs[i]), 0);
	fputs(tail, file);
	fclose(file);
}

/* A check of records read from a file finds the same faults, although the
 * file's last line is incomplete. */
static void test_check_of_files(void)
{
	char path[] = "ledger-test-XXXXXX";
	int fd = mkstemp(path);

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	close(fd);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(ledger_cases); i++) {
		carob_ledger_t *ledger;

		write_file(path, &ledger_cases[i], "{\"kind\":\"ca");
		CU_ASSERT_EQUAL_FATAL(carob_ledger_new(&ledger), 0);
		CU_ASSERT_EQUAL(carob_ledger_load(ledger, path), 0);
		assert_fault(ledger, &ledger_cases[i]);
		carob_ledger_free(ledger);
	}
	unlink(path);
}

static void test_invalid_files_are_refused(void)
{
	static const char *const lines[] = {
		"{}\n",
		"not JSON\n",
		"{\"kind\":\"call\",\"rid\":\"zz\"}\n",
		"{\"kind\":\"run\",\"rid\":\"07\"}\n",
	};
	char path[] = "ledger-test-XXXXXX";
	int fd = mkstemp(path);
	carob_ledger_t *ledger;

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	close(fd);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(lines); i++) {
		CU_ASSERT_EQUAL_FATAL(carob_ledger_new(&ledger), 0);
		write_file(path, &ledger_cases[i], lines[i]);
		CU_ASSERT_EQUAL(carob_ledger_load(ledger, path), CAROB_EFORMAT);
		carob_ledger_free(ledger);
	}
	unlink(path);
	CU_ASSERT_EQUAL(carob_ledger_load(NULL, path), CAROB_ENOTFOUND);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"the check reports each kind of fault and no other",
		 test_each_fault_is_found},
		{"records read from a file give the same faults",
		 test_check_of_files},
		{"invalid files are refused", test_invalid_files_are_refused},
	};

	return run_tests("ledger", cases, CAROB_ARRAY_SIZE(cases));
}
