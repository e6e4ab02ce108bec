#include "net/loop.h"

#include "carobtrail/errors.h"

#include <event2/event.h>
#include <stdlib.h>

struct carob_loop {
	carob_kernel_t *kernel;
	struct event_base *base;
	struct event *timer_event; /* ends the wait when a timer is due */
	uint64_t timer_due_ns;	   /* due time for which `timer_event` is set */
	bool stopped;
};

/* Timers have priority over sockets: after the process was paused, the timers
 * that became due in the pause fire before the packets that arrived in it are
 * handled. */
enum {
	PRIORITY_TIMERS,
	PRIORITY_SOCKETS,
	PRIORITIES
};

static void on_timer_due(evutil_socket_t fd, short what, void *arg)
{
	carob_loop_t *loop = arg;

	(void)fd;
	(void)what;
	carob_kernel_run_due(loop->kernel);
}

static bool open_base(carob_loop_t *loop)
{
	loop->base = event_base_new();
	if (!loop->base || event_base_priority_init(loop->base, PRIORITIES))
		return false;
	loop->timer_event = evtimer_new(loop->base, on_timer_due, loop);
	return loop->timer_event &&
	       event_priority_set(loop->timer_event, PRIORITY_TIMERS) == 0;
}

int carob_loop_new(carob_loop_t **out, carob_kernel_t *kernel)
{
	carob_loop_t *loop = calloc(1, sizeof(*loop));

	if (!loop)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate event loop");
	loop->kernel = kernel;
	if (!open_base(loop)) {
		carob_loop_free(loop);
		return carob_error_set(CAROB_EIO, "cannot open event loop");
	}
	*out = loop;
	return 0;
}

void carob_loop_free(carob_loop_t *loop)
{
	if (!loop)
		return;
	if (loop->timer_event)
		event_free(loop->timer_event);
	if (loop->base)
		event_base_free(loop->base);
	free(loop);
}

struct event_base *carob_loop_base(carob_loop_t *loop)
{
	return loop->base;
}

/* Limits the wait for sockets to the due time of the next timer. */
static int limit_wait(carob_loop_t *loop)
{
	uint64_t now = carob_kernel_now_ns(loop->kernel);
	struct timeval wait;
	uint64_t due;
	uint64_t left;

	if (!carob_kernel_next_due(loop->kernel, &due))
		return event_del(loop->timer_event);
	if (due == loop->timer_due_ns &&
	    event_pending(loop->timer_event, EV_TIMEOUT, NULL))
		return 0;
	left = due > now ? due - now : 0;
	wait.tv_sec = (time_t)(left / CAROB_NS_PER_S);
	wait.tv_usec = (suseconds_t)((left % CAROB_NS_PER_S + 999) / 1000);
	loop->timer_due_ns = due;
	return event_add(loop->timer_event, &wait);
}

int carob_loop_run(carob_loop_t *loop)
{
	while (!loop->stopped) {
		if (limit_wait(loop) != 0 ||
		    event_base_loop(loop->base, EVLOOP_ONCE) < 0)
			return carob_error_set(CAROB_EIO, "event loop failed");
		carob_kernel_run_due(loop->kernel);
	}
	loop->stopped = false;
	return 0;
}

void carob_loop_stop(carob_loop_t *loop)
{
	loop->stopped = true;
	event_base_loopbreak(loop->base);
}
