/*
 * Guards against errors that are taken for responses, and responses that are
 * taken for errors, where only their lengths are known.
 */
#include "carobtrail/response_norms.h"

#include "carobtrail/rng.h"
#include "test_runner.h"

#include <math.h>

#define SAMPLES	    20000
#define WARM_UP	    200
#define ERROR_BYTES 180

static const carob_endpoint_t route = {0xc6120001, 443};

/* A standard normal number (Box and Muller, 1958). */
static double normal(carob_rng_t *rng)
{
	double radius = sqrt(-2 * log(1 - carob_rng_unit(rng)));

	return radius * cos(2 * M_PI * carob_rng_unit(rng));
}

/* Of the errors, 9 in 10 have to be found: half of the upstreams of a failing
 * half then differ from the others by more than chance within 2 s. */
typedef struct lengths_case {
	double head_bytes;   /* of each response */
	double median_bytes; /* of the rest */
	double sigma;	     /* of its logarithm */
	double errors;	     /* share of the responses */
	double found_min;    /* share of the errors that are found */
	double false_max;    /* share of the others that are taken for errors */
} lengths_case_t;

static void check_lengths(const lengths_case_t *c)
{
	carob_response_norms_t norms = {0};
	carob_rng_t rng;
	uint32_t errors = 0;
	uint32_t found = 0;
	uint32_t wrong = 0;

	carob_rng_init(&rng, 1);
	for (int i = 0; i < SAMPLES; i++) {
		bool is_error = carob_rng_unit(&rng) < c->errors;
		double bytes = ERROR_BYTES;
		bool is_short;

		if (!is_error)
			bytes = c->head_bytes +
				c->median_bytes * exp(c->sigma * normal(&rng));
		is_short = carob_response_norms_add(&norms, route, 1,
						    (uint32_t)bytes);
		if (i < WARM_UP)
			continue;
		errors += is_error;
		found += is_error && is_short;
		wrong += !is_error && is_short;
	}
	CU_ASSERT_TRUE(found >= c->found_min * errors);
	CU_ASSERT_TRUE(wrong <= c->false_max * (SAMPLES - WARM_UP - errors));
}

static void test_lengths(void)
{
	static const lengths_case_t cases[] = {
		/* One length, all lengths of a feed, and those of downloads. */
		{0, 800, 0, 0, 1, 0.01},
		{180, 1670, 0.6, 0, 1, 0.01},
		{180, 31300, 0.7, 0, 1, 0.01},
		{0, 31300, 1.5, 0, 1, 0.01},
		/* Up to 0.4 of the responses are errors from the start on. */
		{0, 800, 0, 0.15, 0.9, 0.01},
		{0, 800, 0, 0.4, 0.9, 0.01},
		{180, 1670, 0.6, 0.15, 0.9, 0.01},
		{180, 31300, 0.7, 0.15, 0.9, 0.01},
		{180, 31300, 0.7, 0.4, 0.9, 0.01},
		/* Responses as short as errors say nothing. */
		{0, 180, 0, 0.3, 0, 0.01},
		{0, 200, 0.3, 0.3, 0, 0.01},
	};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(cases); i++)
		check_lengths(&cases[i]);
}

/* A route that changes its length is judged by the new one soon. */
static void test_changed_length(void)
{
	carob_response_norms_t norms = {0};
	bool is_short = false;

	for (int i = 0; i < 200; i++)
		(void)carob_response_norms_add(&norms, route, 1, 4000);
	for (int i = 0; i < 400; i++)
		is_short = carob_response_norms_add(&norms, route, 1, 400);
	CU_ASSERT_FALSE(is_short);
}

/* Lengths of other routes and services are not compared. */
static void test_keys(void)
{
	carob_response_norms_t norms = {0};
	carob_endpoint_t other = {route.ip, 80};

	for (int i = 0; i < 200; i++)
		(void)carob_response_norms_add(&norms, route, 1, 4000);
	CU_ASSERT_TRUE(carob_response_norms_add(&norms, route, 1, 180));
	CU_ASSERT_FALSE(carob_response_norms_add(&norms, other, 1, 180));
	CU_ASSERT_FALSE(carob_response_norms_add(&norms, route, 2, 180));
}

int main(void)
{
	static const test_case_t cases[] = {
		{"lengths", test_lengths},
		{"changed length", test_changed_length},
		{"routes and services", test_keys},
	};

	return run_tests("response-norms", cases, CAROB_ARRAY_SIZE(cases));
}
