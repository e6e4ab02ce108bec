#include "flow/load/load_sharing_priv.h"

#include "carobtrail/errors.h"
#include "carobtrail/load_meter.h"
#include "carobtrail/log.h"

#include <stdlib.h>
#include <string.h>

/* The numbers of instances are used for this time after a view. */
#define COUNTS_KEPT_NS (60 * CAROB_NS_PER_S)
/* After so many reports without an answer, reports are sent at least this far
 * apart. A reader that can't answer all of a large zone does not answer at
 * all. */
#define UNANSWERED_MAX	   4
#define UNANSWERED_MS	   1000
#define UNANSWERED_LONG	   30
#define UNANSWERED_LONG_MS 10000
/* Bytes per second that an instance spends on reports. */
#define REPORT_BYTES_PER_S 4000
#define MS_PER_S	   1000
/* A report whose answer is missing after this is repeated, if the next one is
 * later: at long intervals a lost datagram would make a view expire. */
#define ANSWER_MS_MAX 500
#define IP_UDP_BYTES  28
/* Periods differ by this part, so that the reports of many instances that
 * started together spread in time. */
#define JITTER_PART 16

void carob_load_send(carob_load_sharing_t *sharing, load_message_t *message)
{
	carob_load_transport_t *transport = sharing->options.transport;
	uint8_t data[CAROB_LOAD_DATAGRAM_MAX];
	size_t parts = carob_load_parts(message->loads->count);

	if (parts > CAROB_LOAD_PARTS_MAX)
		return;
	message->header.from = sharing->self;
	message->header.incarnation = sharing->incarnation;
	message->header.sequence = sharing->sequence;
	for (size_t i = 0; i < parts; i++) {
		size_t len;

		message->header.part = (uint8_t)i;
		len = carob_load_encode(data, &message->header, message->loads);
		transport->send(transport, message->to, message->key, data,
				len);
		sharing->counters.bytes_sent +=
			len + CAROB_LOAD_AUTH_BYTES + IP_UDP_BYTES;
	}
}

bool carob_load_verify(carob_load_sharing_t *sharing,
		       const load_datagram_t *datagram, const uint8_t *key)
{
	carob_load_transport_t *transport = sharing->options.transport;

	if (transport->verify(transport, key, datagram->data, datagram->auth))
		return true;
	sharing->counters.forged++;
	return false;
}

bool carob_load_sent_at(uint64_t *sent_ns, const carob_load_sharing_t *sharing,
			uint32_t sequence)
{
	if (sequence == 0 || sequence > sharing->sequence ||
	    sharing->sequence - sequence >= LOAD_SENT_MAX)
		return false;
	*sent_ns = sharing->sent_ns[sequence % LOAD_SENT_MAX];
	return true;
}

static void log_view(const carob_load_sharing_t *sharing,
		     carob_log_event_t event)
{
	const carob_load_view_t *view = sharing->options.view;
	uint64_t age_ns = carob_load_now_ns(sharing) - view->updated_ns;

	CAROB_LOG(event, CAROB_FIELD_U64("reader", sharing->is_reader),
		  CAROB_FIELD_U64("zone_instances", view->zone_instances),
		  CAROB_FIELD_U64("all_instances", view->all_instances),
		  CAROB_FIELD_U64("age_ms", age_ns / CAROB_NS_PER_MS),
		  CAROB_FIELD_U64("interval_ms", sharing->interval_ms));
}

/* A view lasts for 2 s or more, so there are at most as many lines. */
static void check_view(carob_load_sharing_t *sharing)
{
	bool known = carob_load_view_is_fresh(sharing->options.view,
					      carob_load_now_ns(sharing));

	if (known == sharing->known)
		return;
	sharing->known = known;
	log_view(sharing, known ? CAROB_EV_LOAD_KNOWN : CAROB_EV_LOAD_UNKNOWN);
}

static void set_others(carob_upstream_table_t *upstreams,
		       const carob_load_list_t *loads)
{
	for (size_t i = 0; i < upstreams->count; i++) {
		carob_upstream_t *upstream = &upstreams->items[i];
		const carob_load_entry_t *entry;

		if (!upstream->used)
			continue;
		entry = carob_load_list_find(loads,
					     carob_load_tag(upstream->tag));
		upstream->others_load =
			entry ? (float)entry->load / CAROB_LOAD_STEPS : 0;
		upstream->others_late =
			entry ? (float)carob_load_late_decode(entry->late) : 0;
		upstream->others_answered =
			entry && entry->late != CAROB_LOAD_LATE_UNKNOWN;
	}
}

void carob_load_apply(carob_load_sharing_t *sharing,
		      const carob_load_list_t *loads,
		      const carob_load_summary_t *summary, uint64_t at_ns)
{
	carob_load_view_t *view = sharing->options.view;
	uint64_t age_ns = summary->age_ms * CAROB_NS_PER_MS;
	uint64_t kept_ns =
		carob_load_view_ms(sharing->interval_ms) * CAROB_NS_PER_MS;

	if (age_ns >= at_ns ||
	    carob_load_now_ns(sharing) >= at_ns - age_ns + kept_ns) {
		sharing->counters.stale++;
		return;
	}
	view->zone_instances = summary->zone_instances + 1;
	view->all_instances = summary->all_instances + 1;
	view->updated_ns = at_ns - age_ns;
	view->expires_ns = view->updated_ns + kept_ns;
	view->counts_expire_ns = view->updated_ns + COUNTS_KEPT_NS;
	set_others(sharing->options.upstreams, loads);
	check_view(sharing);
}

/* Measures the load since the last period. */
static void measure(carob_load_sharing_t *sharing, uint64_t now_ns)
{
	carob_upstream_table_t *upstreams = sharing->options.upstreams;
	uint64_t window_ns = now_ns - sharing->period_ns;

	if (window_ns == 0)
		return;
	sharing->period_ns = now_ns;
	sharing->own.count = 0;
	for (size_t i = 0; i < upstreams->count; i++) {
		carob_load_entry_t entry;

		if (!upstreams->items[i].used)
			continue;
		entry = carob_load_meter_take(&upstreams->items[i], window_ns,
					      sharing->self, now_ns);
		if (entry.load > 0 || entry.late != CAROB_LOAD_LATE_UNKNOWN)
			(void)carob_load_list_add(&sharing->own, &entry);
	}
	carob_load_list_sort(&sharing->own);
}

/* @return the reader of the zone if it is another instance, or NULL */
static const carob_reader_slot_t *
find_reader(const carob_load_sharing_t *sharing, uint64_t *id)
{
	const carob_reader_table_t *readers = sharing->options.readers;

	for (size_t i = 0; i < CAROB_READER_SLOTS; i++) {
		const carob_reader_slot_t *slot = &readers->slots[i];

		*id = carob_load_sender(readers->zone,
					carob_str_from(slot->name));
		if (slot->used && *id != sharing->self)
			return slot;
	}
	return NULL;
}

static void send_report(carob_load_sharing_t *sharing)
{
	uint64_t id;
	const carob_reader_slot_t *reader = find_reader(sharing, &id);
	load_message_t message = {
		.header.kind = CAROB_LOAD_REPORT,
		.header.to = id,
		.header.interval_ms = (uint16_t)sharing->interval_ms,
		.loads = &sharing->own,
	};

	if (!reader)
		return;
	if (sharing->asked != id)
		sharing->unanswered = 0;
	sharing->asked = id;
	message.to = reader->endpoint;
	message.key = reader->key;
	carob_load_send(sharing, &message);
	sharing->counters.reports_sent++;
	sharing->unanswered++;
}

static void begin_sums(carob_load_sharing_t *sharing)
{
	carob_load_sums_dispose(&sharing->sums);
	memset(sharing->peers, 0, sizeof(sharing->peers));
	sharing->reader_since_ns = carob_load_now_ns(sharing);
	sharing->joined_ns = sharing->reader_since_ns;
	sharing->warm = false;
}

/* This instance is the reader if its entry is in the slot. The table keeps the
 * entry while the store is down, whether or not the lease goes on, and so all
 * instances go on to report to the same reader. */
static void update_role(carob_load_sharing_t *sharing)
{
	const carob_reader_table_t *readers = sharing->options.readers;
	bool is_reader = false;

	for (size_t i = 0; i < CAROB_READER_SLOTS; i++) {
		const carob_reader_slot_t *slot = &readers->slots[i];

		if (slot->used &&
		    memcmp(slot->key, sharing->options.key,
			   sizeof(slot->key)) == 0 &&
		    carob_load_sender(readers->zone,
				      carob_str_from(slot->name)) ==
			    sharing->self)
			is_reader = true;
	}
	if (sharing->is_reader == is_reader)
		return;
	sharing->is_reader = is_reader;
	sharing->unanswered = 0;
	begin_sums(sharing);
}

static void arm(carob_load_sharing_t *sharing, uint64_t due_ns)
{
	(void)carob_timer_arm(sharing->options.kernel, &sharing->timer, due_ns);
}

/* @return the least time between two reports, in milliseconds */
static uint32_t least_ms(const carob_load_sharing_t *sharing)
{
	uint32_t ms = (uint32_t)(carob_load_wire_bytes(sharing->own.count) *
				 MS_PER_S / REPORT_BYTES_PER_S);

	if (sharing->unanswered > UNANSWERED_LONG && ms < UNANSWERED_LONG_MS)
		return UNANSWERED_LONG_MS;
	if (sharing->unanswered > UNANSWERED_MAX && ms < UNANSWERED_MS)
		return UNANSWERED_MS;
	return ms;
}

/* @return the time until the next report, in milliseconds */
static uint32_t next_ms(carob_load_sharing_t *sharing)
{
	uint32_t least = least_ms(sharing);
	uint32_t ms = sharing->interval_ms;
	uint32_t jitter;

	if (sharing->is_reader)
		ms = carob_load_zone_ms(ms);
	else if (ms < least)
		ms = least;
	jitter = carob_rng_below(&sharing->rng, ms / JITTER_PART);
	return ms + jitter - ms / JITTER_PART / 2;
}

/* @return whether the next report is due, or the answer of the last one is
 * missing although it can't be on the way any more */
static bool is_due(const carob_load_sharing_t *sharing, uint64_t now_ns)
{
	return now_ns >= sharing->next_ns ||
	       (sharing->unanswered > 0 &&
		sharing->unanswered <= UNANSWERED_MAX);
}

static void on_timer(carob_timer_t *timer)
{
	carob_load_sharing_t *sharing =
		CAROB_CONTAINER_OF(timer, carob_load_sharing_t, timer);
	uint64_t now = carob_load_now_ns(sharing);
	uint64_t look_ns = now + ANSWER_MS_MAX * CAROB_NS_PER_MS;

	update_role(sharing);
	if (!is_due(sharing, now)) {
		arm(sharing, sharing->next_ns);
		return;
	}
	measure(sharing, now);
	sharing->sequence++;
	sharing->sent_ns[sharing->sequence % LOAD_SENT_MAX] = now;
	if (sharing->is_reader)
		carob_load_reader_end_period(sharing);
	else
		send_report(sharing);
	check_view(sharing);
	sharing->next_ns = now + next_ms(sharing) * CAROB_NS_PER_MS;
	arm(sharing, look_ns < sharing->next_ns ? look_ns : sharing->next_ns);
}

/* Adds a datagram of an answer.
 * @return whether the answer is whole */
static bool add_part(carob_load_sharing_t *sharing,
		     const load_datagram_t *datagram)
{
	const carob_load_header_t *header = &datagram->header;
	load_answer_t *answer = &sharing->answer;

	if (header->echo != answer->echo || header->parts != answer->parts) {
		answer->loads.count = 0;
		answer->echo = header->echo;
		answer->parts = header->parts;
		answer->parts_seen = 0;
		answer->parts_count = 0;
	}
	if (answer->parts_seen & 1ULL << header->part)
		return false;
	for (size_t i = 0; i < datagram->count; i++)
		if (carob_load_list_add(&answer->loads,
					&datagram->entries[i]) != 0)
			return false;
	answer->parts_seen |= 1ULL << header->part;
	return ++answer->parts_count == answer->parts;
}

static void on_answer(carob_load_sharing_t *sharing,
		      const load_datagram_t *datagram)
{
	const carob_load_header_t *header = &datagram->header;
	carob_load_summary_t summary = {
		.zone_instances = header->zone_instances,
		.all_instances = header->all_instances,
		.age_ms = header->age_ms,
	};
	uint64_t id;
	uint64_t sent_ns;
	const carob_reader_slot_t *reader = find_reader(sharing, &id);

	if (sharing->is_reader || !reader || header->from != id ||
	    header->to != sharing->self ||
	    header->to_incarnation != sharing->incarnation) {
		sharing->counters.foreign++;
		return;
	}
	if (!carob_load_verify(sharing, datagram, reader->key))
		return;
	if (header->echo <= sharing->applied ||
	    !carob_load_sent_at(&sent_ns, sharing, header->echo)) {
		sharing->counters.stale++;
		return;
	}
	if (!add_part(sharing, datagram))
		return;
	sharing->applied = header->echo;
	sharing->unanswered = 0;
	sharing->counters.answers_received++;
	if (header->interval_ms >= CAROB_LOAD_INTERVAL_MS_MIN &&
	    header->interval_ms <= CAROB_LOAD_INTERVAL_MS_MAX)
		sharing->interval_ms = header->interval_ms;
	carob_load_list_sort(&sharing->answer.loads);
	/* The answer was written after the report was sent: counted from there,
	 * its age is never below the real one. */
	carob_load_apply(sharing, &sharing->answer.loads, &summary, sent_ns);
}

void carob_load_sharing_receive(carob_load_sharing_t *sharing,
				carob_endpoint_t from, carob_str_t bytes,
				uint32_t queued_ms)
{
	load_datagram_t datagram = {.from = from, .queued_ms = queued_ms};

	sharing->counters.bytes_received += bytes.len + IP_UDP_BYTES;
	if (bytes.len < CAROB_LOAD_AUTH_BYTES) {
		sharing->counters.malformed++;
		return;
	}
	datagram.data = bytes;
	datagram.data.len -= CAROB_LOAD_AUTH_BYTES;
	datagram.auth = (const uint8_t *)bytes.ptr + datagram.data.len;
	if (carob_load_decode(&datagram.header, datagram.entries,
			      &datagram.count, datagram.data) != 0) {
		sharing->counters.malformed++;
		return;
	}
	update_role(sharing);
	switch (datagram.header.kind) {
	case CAROB_LOAD_REPORT:
		carob_load_reader_on_report(sharing, &datagram);
		break;
	case CAROB_LOAD_ANSWER:
		on_answer(sharing, &datagram);
		break;
	case CAROB_LOAD_ZONE:
		carob_load_reader_on_zone(sharing, &datagram);
		break;
	}
}

void carob_load_sharing_forget(carob_load_sharing_t *sharing)
{
	sharing->options.view->expires_ns = 0;
	sharing->applied = sharing->sequence;
	begin_sums(sharing);
	check_view(sharing);
}

carob_load_status_t
carob_load_sharing_status(const carob_load_sharing_t *sharing)
{
	carob_load_status_t status = {0};
	const carob_load_view_t *view;
	uint64_t now;

	if (!sharing)
		return status;
	view = sharing->options.view;
	now = carob_load_now_ns(sharing);
	status.is_reader = sharing->is_reader;
	status.known = carob_load_view_is_fresh(view, now);
	if (view->updated_ns != 0)
		status.age_ms =
			(uint32_t)((now - view->updated_ns) / CAROB_NS_PER_MS);
	status.interval_ms = sharing->interval_ms;
	status.zone_instances = carob_load_view_zone_instances(view, now);
	status.all_instances = carob_load_view_all_instances(view, now);
	status.counters = sharing->counters;
	return status;
}

int carob_load_sharing_new(carob_load_sharing_t **out,
			   const carob_load_sharing_options_t *options)
{
	carob_load_sharing_t *sharing;

	if (options->version != CAROB_LOAD_SHARING_OPTIONS_VERSION ||
	    !options->kernel || !options->transport || !options->upstreams ||
	    !options->readers || !options->view || !options->key)
		return carob_error_set(CAROB_EINVALID,
				       "load sharing options: unsupported "
				       "version or a required member is NULL");
	sharing = calloc(1, sizeof(*sharing));
	if (!sharing)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate load sharing");
	sharing->options = *options;
	sharing->timer.fire = on_timer;
	carob_rng_init(&sharing->rng, options->seed);
	sharing->self =
		carob_load_sender(options->readers->zone, options->instance);
	sharing->incarnation =
		carob_clock_wall_ms(carob_kernel_clock(options->kernel));
	sharing->interval_ms = CAROB_LOAD_INTERVAL_MS_MIN;
	sharing->period_ns = carob_load_now_ns(sharing);
	(void)carob_timer_arm(
		options->kernel, &sharing->timer,
		sharing->period_ns +
			carob_rng_below(&sharing->rng,
					CAROB_LOAD_INTERVAL_MS_MIN) *
				CAROB_NS_PER_MS);
	*out = sharing;
	return 0;
}

void carob_load_sharing_free(carob_load_sharing_t *sharing)
{
	if (!sharing)
		return;
	carob_timer_cancel(sharing->options.kernel, &sharing->timer);
	carob_load_sums_dispose(&sharing->sums);
	carob_load_list_dispose(&sharing->own);
	carob_load_list_dispose(&sharing->answer.loads);
	carob_load_list_dispose(&sharing->total);
	free(sharing);
}
