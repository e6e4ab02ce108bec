#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/kernel.h"
#include "carobtrail/rng.h"

#define TIMER_COUNT 200

typedef struct counting_timer {
	carob_timer_t timer;
	int fired;
} counting_timer_t;

static uint64_t last_due_ns;

static void count_fire(carob_timer_t *timer)
{
	counting_timer_t *counting = (counting_timer_t *)timer;

	CU_ASSERT_TRUE(timer->due_ns >= last_due_ns);
	last_due_ns = timer->due_ns;
	counting->fired++;
}

static void test_timers_fire_in_order(void)
{
	static counting_timer_t timers[TIMER_COUNT];
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	int fired = 0;

	carob_rng_init(&rng, 7);
	carob_manual_clock_init(&clock, 0);
	last_due_ns = 0;
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&kernel, &clock.clock), 0);
	for (size_t i = 0; i < TIMER_COUNT; i++) {
		timers[i].timer.fire = count_fire;
		carob_timer_arm(kernel, &timers[i].timer,
				carob_rng_below(&rng, 1000));
	}
	for (size_t i = 0; i < TIMER_COUNT; i += 2)
		carob_timer_cancel(kernel, &timers[i].timer);
	carob_manual_clock_advance(&clock, 499);
	carob_kernel_run_due(kernel);
	carob_manual_clock_advance(&clock, 1000);
	carob_kernel_run_due(kernel);
	for (size_t i = 0; i < TIMER_COUNT; i++) {
		CU_ASSERT_EQUAL(timers[i].fired, i % 2 ? 1 : 0);
		fired += timers[i].fired;
	}
	CU_ASSERT_EQUAL(fired, TIMER_COUNT / 2);
	CU_ASSERT_FALSE(carob_kernel_next_due(kernel, &last_due_ns));
	carob_kernel_free(kernel);
}

static int freed;

static void count_free(carob_service_t *service)
{
	(void)service;
	freed++;
}

static void test_services_by_name(void)
{
	static const carob_service_ops_t ops_a = {.name = "a",
						  .free = count_free};
	static const carob_service_ops_t ops_b = {.name = "b"};
	carob_service_t a = {.ops = &ops_a};
	carob_service_t duplicate_a = {.ops = &ops_a};
	carob_service_t b = {.ops = &ops_b};
	carob_service_t *found = NULL;
	carob_kernel_t *kernel;

	freed = 0;
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&kernel, carob_clock_system()),
			      0);
	CU_ASSERT_EQUAL(carob_kernel_register(kernel, &a), 0);
	CU_ASSERT_EQUAL(carob_kernel_register(kernel, &b), 0);
	CU_ASSERT_EQUAL(carob_kernel_register(kernel, &duplicate_a),
			CAROB_EEXISTS);
	CU_ASSERT_EQUAL(carob_kernel_find(&found, kernel, "b"), 0);
	CU_ASSERT_PTR_EQUAL(found, &b);
	CU_ASSERT_EQUAL(carob_kernel_find(&found, kernel, "c"),
			CAROB_ENOTFOUND);
	CU_ASSERT_STRING_EQUAL(carob_error_last(),
			       "service c is not registered");
	carob_kernel_free(kernel);
	CU_ASSERT_EQUAL(freed, 1);
}

static void test_unregistered_service_is_not_freed(void)
{
	static const carob_service_ops_t ops_a = {.name = "a",
						  .free = count_free};
	static const carob_service_ops_t ops_b = {.name = "b",
						  .free = count_free};
	carob_service_t a = {.ops = &ops_a};
	carob_service_t b = {.ops = &ops_b};
	carob_service_t *found;
	carob_kernel_t *kernel;

	freed = 0;
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&kernel, carob_clock_system()),
			      0);
	CU_ASSERT_EQUAL(carob_kernel_register(kernel, &a), 0);
	CU_ASSERT_EQUAL(carob_kernel_register(kernel, &b), 0);
	carob_kernel_unregister(kernel, &a);
	carob_kernel_unregister(kernel, &a);
	CU_ASSERT_EQUAL(carob_kernel_find(&found, kernel, "a"),
			CAROB_ENOTFOUND);
	CU_ASSERT_EQUAL(carob_kernel_find(&found, kernel, "b"), 0);
	carob_kernel_free(kernel);
	CU_ASSERT_EQUAL(freed, 1);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"timers fire in the order of their due times",
		 test_timers_fire_in_order},
		{"services are registered and found by name",
		 test_services_by_name},
		{"an unregistered service is not freed",
		 test_unregistered_service_is_not_freed},
	};

	return run_tests("kernel", cases, CAROB_ARRAY_SIZE(cases));
}
