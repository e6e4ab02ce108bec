#include "net/log_output.h"

#include "test_runner.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define READ_BYTES (256 * 1024)
#define SECOND	   CAROB_NS_PER_S
/* About 90 KB: more than the buffer, less than the buffer and the pipe. */
#define BURST_LINES 900

typedef struct fixture {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_log_output_t *output;
	int pipe_fds[2];
	char text[READ_BYTES];
} fixture_t;

static void setup(fixture_t *f)
{
	carob_manual_clock_init(&f->clock, SECOND);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&f->kernel, &f->clock.clock), 0);
	CU_ASSERT_EQUAL_FATAL(pipe(f->pipe_fds), 0);
	CU_ASSERT_EQUAL_FATAL(
		carob_log_output_new(&f->output, f->kernel, f->pipe_fds[1]), 0);
	carob_log_configure("test", &f->clock.clock, CAROB_LOG_INFO,
			    carob_log_output_sink(f->output));
	(void)fcntl(f->pipe_fds[0], F_SETFL, O_NONBLOCK);
}

static void teardown(fixture_t *f)
{
	carob_log_configure(NULL, NULL, CAROB_LOG_INFO, NULL);
	carob_log_output_free(f->output);
	carob_kernel_free(f->kernel);
	close(f->pipe_fds[0]);
	close(f->pipe_fds[1]);
}

static void advance(fixture_t *f, uint64_t ns)
{
	carob_manual_clock_advance(&f->clock, ns);
	carob_kernel_run_due(f->kernel);
}

/* @return the text that can be read from the pipe now */
static const char *read_now(fixture_t *f)
{
	ssize_t len = read(f->pipe_fds[0], f->text, sizeof(f->text) - 1);

	f->text[len > 0 ? len : 0] = '\0';
	return f->text;
}

static void test_lines_are_buffered(void)
{
	static fixture_t f;

	setup(&f);
	carob_log_write(CAROB_EV_STARTED, NULL, 0);
	carob_log_write(CAROB_EV_STOPPED, NULL, 0);
	CU_ASSERT_STRING_EQUAL(read_now(&f), "");
	advance(&f, SECOND);
	CU_ASSERT_PTR_NOT_NULL(strstr(read_now(&f), "\"event\":1001"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.text, "\"event\":1003"));
	teardown(&f);
}

/* While the pipe is not read, writing must not block. Lines that do not fit
 * are counted, and the count is logged once there is space again. */
static void test_stalled_reader(void)
{
	static fixture_t f;

	setup(&f);
	for (int i = 0; i < 5000; i++) {
		carob_log_write(CAROB_EV_STARTED, NULL, 0);
		if (i % 100 == 0)
			advance(&f, SECOND);
	}
	CU_ASSERT_TRUE(carob_log_output_dropped(f.output) > 0);
	for (int i = 0; i < 100; i++) {
		read_now(&f);
		advance(&f, SECOND);
		if (strstr(f.text, "\"event\":1008"))
			break;
	}
	CU_ASSERT_PTR_NOT_NULL(strstr(f.text, "\"event\":1008"));
	teardown(&f);
}

/* A burst of lines that exceeds the buffer, such as the one when a large
 * catalogue is listed, must be written as long as the pipe accepts it. */
static void test_burst_exceeds_buffer(void)
{
	static fixture_t f;

	setup(&f);
	for (int i = 0; i < BURST_LINES; i++)
		carob_log_write(CAROB_EV_STARTED, NULL, 0);
	CU_ASSERT_EQUAL(carob_log_output_dropped(f.output), 0);
	teardown(&f);
}

static void test_release_writes_buffered_lines(void)
{
	static fixture_t f;

	setup(&f);
	carob_log_write(CAROB_EV_STOPPED, NULL, 0);
	carob_log_output_free(f.output);
	f.output = NULL;
	CU_ASSERT_PTR_NOT_NULL(strstr(read_now(&f), "\"event\":1003"));
	teardown(&f);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"lines are buffered and written together",
		 test_lines_are_buffered},
		{"lines dropped for a stalled reader are counted and logged",
		 test_stalled_reader},
		{"a burst larger than the buffer is written to the pipe",
		 test_burst_exceeds_buffer},
		{"buffered lines are written when the output is released",
		 test_release_writes_buffered_lines},
	};

	return run_tests("log output", cases, CAROB_ARRAY_SIZE(cases));
}
