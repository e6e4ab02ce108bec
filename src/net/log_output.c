#include "net/log_output.h"

#include "carobtrail/errors.h"

#include <limits.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Holds the lines of about one second at the highest packet rate. */
#define BUFFER_BYTES (64 * 1024)
/* Longest time that a line is buffered. Lines are buffered so that many of
 * them share one system call. */
#define WRITE_AFTER_NS (100 * CAROB_NS_PER_MS)

struct carob_log_output {
	carob_log_sink_t sink;
	carob_kernel_t *kernel;
	carob_timer_t timer;
	int fd;
	size_t len;
	uint64_t dropped;
	uint64_t reported; /* dropped lines already logged */
	char buffer[BUFFER_BYTES];
};

/* Writes at most PIPE_BUF bytes: a pipe that polls as writable accepts that
 * many without blocking. */
static bool write_some(carob_log_output_t *output)
{
	struct pollfd poller = {.fd = output->fd, .events = POLLOUT};
	size_t chunk = output->len < PIPE_BUF ? output->len : PIPE_BUF;
	ssize_t written;

	if (poll(&poller, 1, 0) != 1 || !(poller.revents & POLLOUT))
		return false;
	written = write(output->fd, output->buffer, chunk);
	if (written <= 0)
		return false;
	output->len -= (size_t)written;
	memmove(output->buffer, output->buffer + written, output->len);
	return true;
}

static void write_all(carob_log_output_t *output)
{
	while (output->len > 0 && write_some(output))
		;
}

static void arm_timer(carob_log_output_t *output)
{
	if (carob_timer_armed(&output->timer))
		return;
	(void)carob_timer_arm(output->kernel, &output->timer,
			      carob_kernel_now_ns(output->kernel) +
				      WRITE_AFTER_NS);
}

static void on_timer(carob_timer_t *timer)
{
	carob_log_output_t *output =
		CAROB_CONTAINER_OF(timer, carob_log_output_t, timer);
	uint64_t unreported = output->dropped - output->reported;

	write_all(output);
	if (unreported > 0 && output->len == 0) {
		output->reported = output->dropped;
		CAROB_LOG(CAROB_EV_LOG_DROPPED,
			  CAROB_FIELD_U64("lines", unreported));
		write_all(output);
	}
	if (output->len > 0)
		arm_timer(output);
}

static bool has_room(const carob_log_output_t *output, size_t bytes)
{
	return bytes <= sizeof(output->buffer) - output->len;
}

static void sink_write(carob_log_sink_t *sink, carob_str_t line)
{
	carob_log_output_t *output =
		CAROB_CONTAINER_OF(sink, carob_log_output_t, sink);

	if (!has_room(output, line.len))
		write_all(output);
	if (!has_room(output, line.len)) {
		output->dropped++;
		arm_timer(output);
		return;
	}
	memcpy(output->buffer + output->len, line.ptr, line.len);
	output->len += line.len;
	arm_timer(output);
}

int carob_log_output_new(carob_log_output_t **out, carob_kernel_t *kernel,
			 int fd)
{
	carob_log_output_t *output = calloc(1, sizeof(*output));

	if (!output)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate log output");
	output->sink.write = sink_write;
	output->kernel = kernel;
	output->timer.fire = on_timer;
	output->fd = fd;
	*out = output;
	return 0;
}

void carob_log_output_free(carob_log_output_t *output)
{
	if (!output)
		return;
	carob_timer_cancel(output->kernel, &output->timer);
	write_all(output);
	free(output);
}

carob_log_sink_t *carob_log_output_sink(carob_log_output_t *output)
{
	return &output->sink;
}

uint64_t carob_log_output_dropped(const carob_log_output_t *output)
{
	return output->dropped;
}
