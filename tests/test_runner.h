/**
 * @file test_runner.h
 * Runs a table of test cases as one CUnit suite.
 */
#ifndef CAROBTRAIL_TEST_RUNNER_H
#define CAROBTRAIL_TEST_RUNNER_H

#include "carobtrail/common.h"

#include <CUnit/Basic.h>

/** One test of a suite. */
typedef struct test_case {
	const char *name;
	void (*run)(void);
} test_case_t;

/** Runs the tests as one suite; @return the exit status of the program. */
static inline int run_tests(const char *suite_name, const test_case_t *cases,
			    size_t count)
{
	CU_pSuite suite;
	unsigned int failures;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 2;
	suite = CU_add_suite(suite_name, NULL, NULL);
	for (size_t i = 0; i < count; i++)
		CU_add_test(suite, cases[i].name, cases[i].run);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}

#endif
