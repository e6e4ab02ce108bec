#include "net/log_output.h"

#include "test_runner.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define READ_BYTES (256 * 1024)
#define SECOND	   CAROB_NS_PER_S
/* About 90 KB: more than the buffer, less than the buffer and the pipe. */
#define BURST_LINES 900

typedef struct bed {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_log_output_t *output;
	int ends[2];
	char text[READ_BYTES];
} bed_t;

static void bed_init(bed_t *bed)
{
	carob_manual_clock_init(&bed->clock, SECOND);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&bed->kernel, &bed->clock.clock),
			      0);
	CU_ASSERT_EQUAL_FATAL(pipe(bed->ends), 0);
	CU_ASSERT_EQUAL_FATAL(carob_log_output_new(&bed->output, bed->kernel,
						   bed->ends[1]),
			      0);
	carob_log_configure("test", &bed->clock.clock, CAROB_LOG_INFO,
			    carob_log_output_sink(bed->output));
	(void)fcntl(bed->ends[0], F_SETFL, O_NONBLOCK);
}

static void bed_dispose(bed_t *bed)
{
	carob_log_configure(NULL, NULL, CAROB_LOG_INFO, NULL);
	carob_log_output_free(bed->output);
	carob_kernel_free(bed->kernel);
	close(bed->ends[0]);
	close(bed->ends[1]);
}

static void pass(bed_t *bed, uint64_t ns)
{
	carob_manual_clock_advance(&bed->clock, ns);
	carob_kernel_run_due(bed->kernel);
}

/* @return the text that can be read from the pipe now */
static const char *read_now(bed_t *bed)
{
	ssize_t len = read(bed->ends[0], bed->text, sizeof(bed->text) - 1);

	bed->text[len > 0 ? len : 0] = '\0';
	return bed->text;
}

static void test_lines_share_a_write(void)
{
	static bed_t bed;

	bed_init(&bed);
	carob_log_write(CAROB_EV_STARTED, NULL, 0);
	carob_log_write(CAROB_EV_STOPPED, NULL, 0);
	CU_ASSERT_STRING_EQUAL(read_now(&bed), "");
	pass(&bed, SECOND);
	CU_ASSERT_PTR_NOT_NULL(strstr(read_now(&bed), "\"event\":1001"));
	CU_ASSERT_PTR_NOT_NULL(strstr(bed.text, "\"event\":1003"));
	bed_dispose(&bed);
}

/* While the pipe is not read, writing must not block. Lines that do not fit
 * are counted, and the count is logged once there is space again. */
static void test_a_reader_that_stands_still(void)
{
	static bed_t bed;

	bed_init(&bed);
	for (int i = 0; i < 5000; i++) {
		carob_log_write(CAROB_EV_STARTED, NULL, 0);
		if (i % 100 == 0)
			pass(&bed, SECOND);
	}
	CU_ASSERT_TRUE(carob_log_output_dropped(bed.output) > 0);
	for (int i = 0; i < 100; i++) {
		read_now(&bed);
		pass(&bed, SECOND);
		if (strstr(bed.text, "\"event\":1008"))
			break;
	}
	CU_ASSERT_PTR_NOT_NULL(strstr(bed.text, "\"event\":1008"));
	bed_dispose(&bed);
}

/* A burst of lines that exceeds the buffer, such as the one when a large
 * catalogue is listed, must be written as long as the pipe accepts it. */
static void test_a_burst_beyond_the_buffer(void)
{
	static bed_t bed;

	bed_init(&bed);
	for (int i = 0; i < BURST_LINES; i++)
		carob_log_write(CAROB_EV_STARTED, NULL, 0);
	CU_ASSERT_EQUAL(carob_log_output_dropped(bed.output), 0);
	bed_dispose(&bed);
}

static void test_the_last_lines_are_written_at_the_end(void)
{
	static bed_t bed;

	bed_init(&bed);
	carob_log_write(CAROB_EV_STOPPED, NULL, 0);
	carob_log_output_free(bed.output);
	bed.output = NULL;
	CU_ASSERT_PTR_NOT_NULL(strstr(read_now(&bed), "\"event\":1003"));
	bed_dispose(&bed);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"lines are buffered and written together",
		 test_lines_share_a_write},
		{"lines dropped for a stalled reader are counted and logged",
		 test_a_reader_that_stands_still},
		{"a burst larger than the buffer is written to the pipe",
		 test_a_burst_beyond_the_buffer},
		{"buffered lines are written when the output is released",
		 test_the_last_lines_are_written_at_the_end},
	};

	return run_tests("log output", cases, CAROB_ARRAY_SIZE(cases));
}
