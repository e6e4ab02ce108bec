/* Operations on many flows: resets and expiry. */
#include "flow/steering/steering_priv.h"

#include "carobtrail/log.h"

/* Maximum idle time of an opening flow. A caller gives up after 1.4 s if its
 * SYN is not answered. */
#define OPENING_MS_MAX 2000
/* Maximum idle time of a closing flow, which still exchanges acknowledgements
 * after the FIN; they are retransmitted at most 1.6 s apart. */
#define CLOSING_MS_MAX 4000
/* Maximum time without a packet while a request is in progress. A waiting
 * caller retransmits its request at least every 1.6 s. If it has sent nothing
 * for longer, it has given up or received its response, and the request no
 * longer counts as load. */
#define PENDING_MS_MAX 2000
/* A caller that waits sends its SYN or request again: first after 200 ms, then
 * at doubled intervals of at most 1.6 s. Each interval is as long as the wait
 * before it and 200 ms. */
#define RETRANSMIT_MS	  200
#define RETRANSMIT_MS_MAX 1600
/* How much later than that a copy is read at most, as long as packets are not
 * delayed in a queue. */
#define RETRANSMIT_SLACK_MS 100
/* Longest time between two acknowledgements of one response. Callers delay
 * them by up to 40 ms. */
#define RESPONSE_GAP_MS_MAX 100
/* Interval of the checks for overdue requests, and how many buckets of the
 * table each of them covers at most. */
#define OVERDUE_CHECK_NS	  (50 * CAROB_NS_PER_MS)
#define OVERDUE_CHECK_BUCKETS_MAX 16384
/* Maximum idle time of an open flow if the configuration has none. */
#define IDLE_MS_DEFAULT 60000
/* Number of calls of the sweep that cover the whole table. */
#define SWEEP_PARTS 4
/* Intervals of the checks for gone and for failing upstreams. */
#define GONE_CHECK_NS	 (100 * CAROB_NS_PER_MS)
#define FAILING_CHECK_NS (50 * CAROB_NS_PER_MS)
/* Outlier detection is renewed by SYNs. Without any for this long, what it has
 * found is no reason to reset requests. */
#define VERDICT_NS_MAX (500 * CAROB_NS_PER_MS)

typedef struct reset_visitor {
	carob_flow_visitor_t visitor;
	carob_steering_t *steering;
	carob_reset_sender_t *sender;
	/** Whether the flows of an upstream are reset. */
	bool (*applies)(const carob_steering_t *steering,
			carob_upstream_index_t upstream);
	bool idle;    /* also flows without a request in progress */
	bool overdue; /* only requests that are overdue */
	uint64_t count;
} reset_visitor_t;

static bool may_repeat(const carob_steering_t *steering,
		       const carob_flow_packet_t *packet)
{
	const carob_route_t *route = NULL;

	(void)carob_route_table_find(&route, steering->routes, packet->route);
	return route && route->idempotent;
}

/* Returns whether a request is overdue because of its upstream. The caller of
 * one that began before the upstream was found to fail may have been moved to
 * another instance. So may that of a flow which was opened through another
 * one: routers move it back when that has returned, and a request whose
 * response it acknowledges there looks overdue here. */
static bool is_failed_request(const carob_steering_t *steering,
			      const carob_flow_t *flow)
{
	uint64_t since_ns = steering->upstreams->items[flow->upstream]
				    .outlier.failing_since_ns;
	uint32_t since_ms = (uint32_t)(since_ns / CAROB_NS_PER_MS);

	return flow->overdue && !flow->taken_over &&
	       (int32_t)(flow->request_ms - since_ms) > 0;
}

static bool reset_flow(carob_flow_visitor_t *visitor, carob_flow_t *flow)
{
	reset_visitor_t *reset = (reset_visitor_t *)visitor;
	carob_steering_t *steering = reset->steering;
	carob_flow_packet_t packet = {
		.caller = {flow->caller_ip, flow->caller_port},
		.route = {flow->route_ip, flow->route_port},
	};

	if (flow->phase != CAROB_FLOW_OPEN ||
	    !reset->applies(steering, flow->upstream))
		return false;
	if (flow->pending ? !may_repeat(steering, &packet) : !reset->idle)
		return false;
	if (reset->overdue && !is_failed_request(steering, flow))
		return false;
	reset->sender->send(reset->sender, &packet, flow->last_ack);
	reset->count++;
	carob_steering_unbind_flow(steering, flow);
	return true;
}

static bool is_silent_upstream(const carob_steering_t *steering,
			       carob_upstream_index_t upstream)
{
	return upstream == steering->silent_upstream;
}

/* Returns whether there are flows on an upstream that is gone. */
static bool has_gone_upstream(const carob_steering_t *steering)
{
	const carob_upstream_table_t *table = steering->upstreams;

	for (size_t i = 0; i < table->count; i++)
		if (table->items[i].used && table->items[i].removed_ns != 0 &&
		    table->items[i].open_flows > 0 &&
		    carob_steering_is_gone(steering, (uint32_t)i))
			return true;
	return false;
}

/* Resets the flows of all upstreams that are gone. Callers that wait may
 * retransmit only after their deadline. A caller without a request opens a new
 * flow for its next one, which runs elsewhere; sent on the old flow, one that
 * may not be repeated would be lost. Those in progress wait: they may have run,
 * and an answer may come late. Not so while packets are read late: an answer
 * may be waiting among them. */
static void reset_gone(carob_steering_t *steering, carob_reset_sender_t *sender)
{
	uint64_t now = carob_steering_now_ns(steering);
	reset_visitor_t reset = {.visitor.visit = reset_flow,
				 .steering = steering,
				 .sender = sender,
				 .applies = carob_steering_is_gone,
				 .idle = true};

	if (!steering->reset_gone || steering->reads_late ||
	    now - steering->gone_checked_ns < GONE_CHECK_NS)
		return;
	steering->gone_checked_ns = now;
	if (!has_gone_upstream(steering))
		return;
	carob_flow_table_sweep(&steering->flows, steering->flows.cap,
			       &reset.visitor);
	steering->counters.reasons[CAROB_STEER_UPSTREAM_GONE] += reset.count;
	if (reset.count > 0)
		CAROB_LOG(CAROB_EV_UPSTREAM_GONE,
			  CAROB_FIELD_U64("flows_reset", reset.count));
}

static bool is_failing_upstream(const carob_steering_t *steering,
				carob_upstream_index_t upstream)
{
	return steering->upstreams->items[upstream].outlier.failing;
}

/* Resets requests that are overdue at upstreams that fail most requests, unlike
 * the others of their group. An upstream that is well and has a queue has one
 * while others are late too. The caller sends the request elsewhere, in time;
 * at this upstream it would be late, or never served. */
static void reset_failing(carob_steering_t *steering,
			  carob_reset_sender_t *sender)
{
	uint64_t now = carob_steering_now_ns(steering);
	reset_visitor_t reset = {.visitor.visit = reset_flow,
				 .steering = steering,
				 .sender = sender,
				 .applies = is_failing_upstream,
				 .overdue = true};

	if (steering->outliers.failing == 0 || steering->reads_late ||
	    now >= steering->outliers.next_update_ns + VERDICT_NS_MAX ||
	    now - steering->failing_checked_ns < FAILING_CHECK_NS)
		return;
	steering->failing_checked_ns = now;
	carob_flow_table_sweep(&steering->flows, steering->flows.cap,
			       &reset.visitor);
	steering->counters.reasons[CAROB_STEER_UPSTREAM_FAILING] += reset.count;
	if (reset.count > 0)
		CAROB_LOG(CAROB_EV_UPSTREAM_FAILING,
			  CAROB_FIELD_U64("flows_reset", reset.count),
			  CAROB_FIELD_U64("upstreams",
					  steering->outliers.failing));
}

void carob_steering_reset_silent(carob_steering_t *steering,
				 carob_reset_sender_t *sender)
{
	reset_visitor_t reset = {.visitor.visit = reset_flow,
				 .steering = steering,
				 .sender = sender,
				 .applies = is_silent_upstream};

	reset_gone(steering, sender);
	reset_failing(steering, sender);
	if (steering->silent_upstream == CAROB_UPSTREAM_NONE)
		return;
	carob_flow_table_sweep(&steering->flows, steering->flows.cap,
			       &reset.visitor);
	steering->counters.reasons[carob_steering_is_gone(
					   steering, steering->silent_upstream)
					   ? CAROB_STEER_UPSTREAM_GONE
					   : CAROB_STEER_UPSTREAM_SILENT] +=
		reset.count;
	if (reset.count > 0)
		CAROB_LOG(CAROB_EV_UPSTREAM_SILENCE,
			  CAROB_FIELD_CSTR(
				  "upstream",
				  steering->upstreams
					  ->items[steering->silent_upstream]
					  .id),
			  CAROB_FIELD_U64("flows_reset", reset.count));
	steering->silent_upstream = CAROB_UPSTREAM_NONE;
}

static uint32_t idle_limit_ms(const carob_steering_t *steering,
			      const carob_flow_t *flow)
{
	uint32_t configured = steering->routes->config.idle_timeout_ms;

	if (flow->phase == CAROB_FLOW_OPENING)
		return OPENING_MS_MAX;
	if (flow->phase == CAROB_FLOW_CLOSING)
		return CLOSING_MS_MAX;
	return configured ? configured : IDLE_MS_DEFAULT;
}

/* Returns whether the caller of a request in progress would have sent it again
 * by now. */
static bool is_copy_overdue(const carob_flow_t *flow, uint32_t now_ms)
{
	uint32_t due = flow->last_packet_ms - flow->request_ms + RETRANSMIT_MS;

	if (due > RETRANSMIT_MS_MAX)
		due = RETRANSMIT_MS_MAX;
	return now_ms - flow->last_packet_ms > due + RETRANSMIT_SLACK_MS;
}

bool carob_steering_expire_flow(carob_flow_visitor_t *visitor,
				carob_flow_t *flow)
{
	carob_steering_t *steering = (carob_steering_t *)visitor;
	uint32_t now = carob_steering_now_ms(steering);

	if (flow->pending && now - flow->last_packet_ms > PENDING_MS_MAX)
		carob_steering_set_pending(steering, flow, false);
	if (now - flow->last_packet_ms <= idle_limit_ms(steering, flow))
		return false;
	carob_steering_unbind_flow(steering, flow);
	return true;
}

/* Returns whether the request in progress, which is overdue, counts as one
 * without a response. In an overload it may wait in a queue until its target. */
static bool is_missing(const carob_steering_t *steering,
		       const carob_flow_t *flow)
{
	carob_endpoint_t endpoint = {flow->route_ip, flow->route_port};
	uint32_t waited_ms = carob_steering_now_ms(steering) - flow->request_ms;
	const carob_route_t *route = NULL;

	if (flow->phase != CAROB_FLOW_OPEN || steering->reads_late)
		return false;
	if (!carob_outlier_detector_is_overloaded(
		    steering->upstreams,
		    &steering->upstreams->items[flow->upstream],
		    carob_steering_now_ns(steering)))
		return true;
	(void)carob_route_table_find(&route, steering->routes, endpoint);
	return route && waited_ms > route->target_ms;
}

typedef struct overdue_visitor {
	carob_flow_visitor_t visitor;
	carob_steering_t *steering;
} overdue_visitor_t;

/* Marks overdue requests, and judges responses that have ended. */
static bool check_flow(carob_flow_visitor_t *visitor, carob_flow_t *flow)
{
	carob_steering_t *steering = ((overdue_visitor_t *)visitor)->steering;
	uint32_t now = carob_steering_now_ms(steering);

	if (flow->pending && is_copy_overdue(flow, now))
		carob_steering_set_overdue(steering, flow, true);
	/* A caller that neither repeats a request nor ends the flow waits for
	 * an upstream that has the request, or was reset by it. */
	if (flow->overdue && !flow->missing && is_missing(steering, flow))
		carob_steering_meter_missing(steering, flow);
	if (!flow->pending && now - flow->last_packet_ms > RESPONSE_GAP_MS_MAX)
		carob_steering_judge_response(steering, flow);
	return false;
}

void carob_steering_check_overdue(carob_steering_t *steering)
{
	overdue_visitor_t visitor = {.visitor.visit = check_flow,
				     .steering = steering};
	uint64_t now = carob_steering_now_ns(steering);
	size_t buckets = steering->flows.cap;

	if (now - steering->overdue_checked_ns < OVERDUE_CHECK_NS)
		return;
	steering->overdue_checked_ns = now;
	if (buckets > OVERDUE_CHECK_BUCKETS_MAX)
		buckets = OVERDUE_CHECK_BUCKETS_MAX;
	carob_flow_table_sweep_at(&steering->flows, &steering->overdue_at,
				  buckets, &visitor.visitor);
}

void carob_steering_sweep(carob_steering_t *steering)
{
	size_t buckets = steering->flows.cap / SWEEP_PARTS;

	carob_flow_table_sweep(&steering->flows, buckets,
			       &steering->expiry_visitor);
	if (steering->shared_admission)
		carob_shared_admission_check(steering->shared_admission,
					     steering->upstreams,
					     carob_steering_now_ns(steering));
}
