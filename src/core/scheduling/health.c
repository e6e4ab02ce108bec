#include "carobtrail/health.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "core/scheduling/health_targets.h"

#include <stdlib.h>

#define TICK_NS (100 * CAROB_NS_PER_MS)
/* Each upstream is probed once per round. */
#define TICKS_PER_ROUND 10
/* Minimum time between rebuilds of the target list for membership changes. */
#define REBUILD_NS (1000 * CAROB_NS_PER_MS)
/* Unanswered probes in a row after which an upstream is silent. */
#define SILENT_AFTER_UNANSWERED 3
/* Unhealthy responses in a row after which an upstream is unhealthy. */
#define UNHEALTHY_RESPONSES_MIN 2
/* Number of the latest probes of an upstream whose responses are accepted. */
#define ANSWERABLE_PROBES 3
/* Time for which the last report of the second prober is valid. */
#define PARTNER_REPORT_LIFETIME_NS (12 * CAROB_NS_PER_S)
/* Interval at which the second prober repeats an unchanged report. */
#define REPEAT_REPORT_NS (5 * CAROB_NS_PER_S)
/* With fewer targets, a majority of silent ones is not significant. */
#define DISTRUST_TARGETS_MIN 3

/*
 * Layout of a probe number, from the most significant bit: number of the
 * target list (16 bits), index in the list (24), sequence number (24).
 */
#define INDEX_BITS    24
#define SEQUENCE_BITS 24
#define FIELD_MASK    0xffffffU

struct carob_health {
	carob_kernel_t *kernel;
	const carob_membership_t *membership;
	carob_health_port_t *port;
	carob_health_mutation_t mutation;
	carob_manifest_t *manifest;
	carob_health_targets_t targets;
	carob_timer_t timer;
	unsigned int tick;
	uint16_t list_number; /* changes when the target list is rebuilt */
	bool stale; /* the manifest has changed since the last rebuild */
	uint64_t membership_version; /* at the last rebuild */
	uint64_t rebuilt_ns;
	bool distrusts_probes; /* most targets are silent */
	carob_health_counters_t counters;
};

static uint64_t now_of(const carob_health_t *h)
{
	return carob_kernel_now_ns(h->kernel);
}

static bool is_scheduled_here(const carob_health_t *h,
			      const carob_health_target_t *target)
{
	return carob_instance_id_eq(target->owner,
				    carob_membership_self(h->membership)->id);
}

static bool is_silent(const carob_health_target_t *target)
{
	return target->unanswered >= SILENT_AFTER_UNANSWERED;
}

/*
 * Sends a result to the instance that schedules the target. An unchanged
 * result is repeated only every REPEAT_REPORT_NS.
 */
static void send_to_owner(carob_health_t *h, carob_health_target_t *target,
			  const carob_load_report_t *report)
{
	uint64_t now = now_of(h);

	if (target->report_sent && target->sent_healthy == report->healthy &&
	    now - target->sent_ns < REPEAT_REPORT_NS)
		return;
	target->report_sent = true;
	target->sent_healthy = report->healthy;
	target->sent_ns = now;
	h->port->ops->send_report(h->port, target->owner, report);
}

static void report_result(carob_health_t *h, carob_health_target_t *target,
			  carob_load_report_t result)
{
	result.upstream = target->upstream->id;
	result.service_id = target->service_id;
	if (is_scheduled_here(h, target))
		h->port->ops->report(h->port, &result);
	else if (target->owner.id != 0)
		send_to_owner(h, target, &result);
}

static bool partner_reaches(const carob_health_t *h,
			    const carob_health_target_t *target)
{
	return target->partner_healthy &&
	       now_of(h) - target->partner_report_ns <
		       PARTNER_REPORT_LIFETIME_NS &&
	       h->mutation != CAROB_HEALTH_MUTATION_IGNORE_PARTNER;
}

static void report_silence(carob_health_t *h, carob_health_target_t *target)
{
	if (!is_silent(target) || h->distrusts_probes ||
	    partner_reaches(h, target))
		return;
	report_result(h, target, (carob_load_report_t){.healthy = false});
}

static void send_probe(carob_health_t *h, size_t index)
{
	carob_health_target_t *target = &h->targets.items[index];
	uint64_t number;

	report_silence(h, target);
	target->sequence = (target->sequence + 1) & FIELD_MASK;
	target->unanswered++;
	number = (uint64_t)h->list_number << (INDEX_BITS + SEQUENCE_BITS) |
		 (uint64_t)index << SEQUENCE_BITS | target->sequence;
	h->counters.probes++;
	h->port->ops->probe(h->port, target->upstream, target->reports_load,
			    number);
}

static size_t count_silent(const carob_health_t *h)
{
	size_t silent = 0;

	for (size_t i = 0; i < h->targets.count; i++)
		if (is_silent(&h->targets.items[i]))
			silent++;
	return silent;
}

/*
 * Decides whether silence counts in the next round. When most targets are
 * silent, a fault on the side of this instance is likelier than a failure of
 * most upstreams at the same time.
 */
static void update_distrust(carob_health_t *h)
{
	size_t silent = count_silent(h);
	bool previous = h->distrusts_probes;

	h->distrusts_probes = h->mutation !=
				      CAROB_HEALTH_MUTATION_TRUST_PROBES &&
			      h->targets.count >= DISTRUST_TARGETS_MIN &&
			      silent * 2 > h->targets.count;
	if (h->distrusts_probes)
		h->counters.distrusted++;
	if (h->distrusts_probes && !previous)
		CAROB_LOG(CAROB_EV_PROBES_DISTRUSTED,
			  CAROB_FIELD_U64("silent", silent),
			  CAROB_FIELD_U64("probed", h->targets.count));
}

static void refresh_targets(carob_health_t *h)
{
	uint64_t version = carob_membership_version(h->membership);

	if (!h->manifest ||
	    (!h->stale && (version == h->membership_version ||
			   now_of(h) - h->rebuilt_ns < REBUILD_NS)))
		return;
	if (carob_health_targets_rebuild(&h->targets, h->manifest,
					 h->membership) != 0)
		return;
	h->list_number++;
	h->stale = false;
	h->membership_version = version;
	h->rebuilt_ns = now_of(h);
}

static void on_timer(carob_timer_t *timer)
{
	carob_health_t *h = CAROB_CONTAINER_OF(timer, carob_health_t, timer);

	refresh_targets(h);
	h->tick = (h->tick + 1) % TICKS_PER_ROUND;
	if (h->tick == 0)
		update_distrust(h);
	for (size_t i = h->tick; i < h->targets.count; i += TICKS_PER_ROUND)
		send_probe(h, i);
	carob_timer_arm(h->kernel, timer, now_of(h) + TICK_NS);
}

int carob_health_new(carob_health_t **out,
		     const carob_health_options_t *options)
{
	carob_health_t *h;

	if (options->version != CAROB_HEALTH_OPTIONS_VERSION ||
	    !options->kernel || !options->membership || !options->port)
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of the health prober");
	h = calloc(1, sizeof(*h));
	if (!h)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the health prober");
	h->kernel = options->kernel;
	h->membership = options->membership;
	h->port = options->port;
	h->mutation = options->mutation;
	h->timer.fire = on_timer;
	*out = h;
	return 0;
}

void carob_health_free(carob_health_t *h)
{
	if (!h)
		return;
	carob_timer_cancel(h->kernel, &h->timer);
	carob_health_targets_dispose(&h->targets);
	carob_manifest_free(h->manifest);
	free(h);
}

int carob_health_start(carob_health_t *h)
{
	return carob_timer_arm(h->kernel, &h->timer, now_of(h) + TICK_NS);
}

/*
 * The target list points into the manifest. If it can't be rebuilt, it is
 * emptied before the previous manifest is released.
 */
void carob_health_set_manifest(carob_health_t *h, carob_manifest_t *manifest)
{
	carob_manifest_t *previous = h->manifest;

	h->manifest = carob_manifest_ref(manifest);
	h->stale = true;
	refresh_targets(h);
	if (h->stale)
		carob_health_targets_dispose(&h->targets);
	carob_manifest_free(previous);
}

static carob_health_target_t *find_probe_target(carob_health_t *h,
						uint64_t probe)
{
	size_t index = probe >> SEQUENCE_BITS & FIELD_MASK;
	uint32_t sequence = probe & FIELD_MASK;
	carob_health_target_t *target;

	if (probe >> (INDEX_BITS + SEQUENCE_BITS) != h->list_number ||
	    index >= h->targets.count)
		return NULL;
	target = &h->targets.items[index];
	return ((target->sequence - sequence) & FIELD_MASK) < ANSWERABLE_PROBES
		       ? target
		       : NULL;
}

void carob_health_on_answer(carob_health_t *h, uint64_t probe,
			    const carob_addr_t *from,
			    const carob_load_report_t *result)
{
	carob_health_target_t *target = find_probe_target(h, probe);

	if (!target || !carob_addr_eq(from, &target->upstream->addr)) {
		h->counters.late++;
		return;
	}
	h->counters.answers++;
	target->unanswered = 0;
	target->unhealthy_responses =
		result->healthy ? 0 : target->unhealthy_responses + 1;
	if (result->healthy ||
	    target->unhealthy_responses >= UNHEALTHY_RESPONSES_MIN)
		report_result(h, target, *result);
}

void carob_health_on_partner_report(carob_health_t *h,
				    const carob_load_report_t *received)
{
	carob_health_target_t *target = carob_health_targets_find(
		&h->targets, received->service_id, received->upstream);

	if (!target || !is_scheduled_here(h, target))
		return;
	target->partner_healthy = received->healthy;
	target->partner_report_ns = now_of(h);
	if (received->healthy && is_silent(target) &&
	    h->mutation != CAROB_HEALTH_MUTATION_IGNORE_PARTNER)
		report_result(h, target, *received);
}

void carob_health_counters(carob_health_counters_t *out,
			   const carob_health_t *h)
{
	*out = h->counters;
	out->targets = h->targets.count;
	out->silent = count_silent(h);
	for (size_t i = 0; i < h->targets.count; i++)
		if (is_scheduled_here(h, &h->targets.items[i]))
			out->scheduled++;
}
