#include "flow.h"

#include "call.h"

#include <math.h>
#include <string.h>

/* Largest random addition to a requested wait, as a fraction of it. */
#define RETRY_JITTER 0.5

static void schedule_request(caller_flow_t *flow, double delay_ms)
{
	carob_kernel_t *kernel = flow->caller->program.kernel;

	carob_timer_arm(kernel, &flow->timer,
			carob_kernel_now_ns(kernel) +
				(uint64_t)(delay_ms * CAROB_NS_PER_MS));
}

static void on_timer(carob_timer_t *timer)
{
	caller_flow_t *flow = CAROB_CONTAINER_OF(timer, caller_flow_t, timer);
	caller_t *caller = flow->caller;
	uint64_t limit = caller->settings.max_requests;

	if (caller->stopping)
		return;
	if (limit && caller->counters.calls >= limit) {
		caller_stop(caller);
		return;
	}
	if (flow->requests++ >= flow->group->requests_per_flow &&
	    flow->next_block == 0) {
		flow->requests = 1;
		flow->echo_len = 0;
	}
	caller_call_start(flow);
}

void caller_flow_init(caller_flow_t *flow, caller_t *caller,
		      const caller_flow_group_t *group, caller_socket_t *socket)
{
	flow->caller = caller;
	flow->group = group;
	flow->socket = socket;
	flow->timer.fire = on_timer;
	schedule_request(flow, carob_rng_unit(&caller->rng) * group->start_ms);
}

void caller_flow_keep_echo(caller_flow_t *flow, const carob_msg_t *msg)
{
	if (!msg->echo_len)
		return;
	flow->echo_len = msg->echo_len;
	memcpy(flow->echo, msg->echo, msg->echo_len);
}

void caller_flow_schedule_next(caller_flow_t *flow, uint32_t retry_after_s,
			       bool finished)
{
	carob_rng_t *rng = &flow->caller->rng;
	double delay_ms = -log(1 - carob_rng_unit(rng)) * flow->group->think_ms;

	if (finished)
		flow->next_block = 0;
	if (flow->caller->stopping)
		return;
	if (retry_after_s)
		delay_ms = retry_after_s * 1000.0 *
			   (1 + RETRY_JITTER * carob_rng_unit(rng));
	schedule_request(flow, delay_ms);
}

void caller_flow_dispose(caller_flow_t *flow)
{
	if (!flow->caller)
		return;
	carob_timer_cancel(flow->caller->program.kernel, &flow->timer);
	if (flow->call)
		caller_call_free(flow->call);
}
