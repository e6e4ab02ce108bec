/* The reader's side of load sharing: sums, answers, and other zones. */
#include "flow/load/load_sharing_priv.h"

#include "carobtrail/errors.h"

/* A new reader waits with its sums until no further instance has begun to
 * report for this time: the instances of its zone learn of it one by one, and a
 * sum of few would make all upstreams look idle. */
#define QUIET_MS(interval_ms) ((interval_ms) / 2)
#define QUIET_MS_MIN	      500
/* Longest wait; where instances start all the time there is no quiet. */
#define WARM_UP_MS_MAX 10000
/* A shorter interval is not divided: sums of zones would use up more of the
 * budget than they gain. */
#define DIVIDED_MS_MIN (2 * CAROB_LOAD_INTERVAL_MS_MIN)

static bool has_passed(const carob_load_sharing_t *sharing, uint64_t since_ns,
		       uint64_t ms)
{
	return carob_load_now_ns(sharing) - since_ns >= ms * CAROB_NS_PER_MS;
}

static bool is_warm(carob_load_sharing_t *sharing)
{
	uint64_t quiet_ms = QUIET_MS(sharing->interval_ms);

	if (sharing->warm)
		return true;
	if (quiet_ms < QUIET_MS_MIN)
		quiet_ms = QUIET_MS_MIN;
	if (!has_passed(sharing, sharing->joined_ns, quiet_ms) &&
	    !has_passed(sharing, sharing->reader_since_ns, WARM_UP_MS_MAX))
		return false;
	sharing->warm = true;
	/* The other zones wait for the sum. */
	sharing->next_ns = 0;
	(void)carob_timer_arm(sharing->options.kernel, &sharing->timer,
			      carob_load_now_ns(sharing));
	return true;
}

uint32_t carob_load_zone_ms(uint32_t interval_ms)
{
	return interval_ms < DIVIDED_MS_MIN ? interval_ms : interval_ms / 2;
}

/* @return the number of messages with a sum that are sent per interval */
static size_t count_messages(const carob_load_sharing_t *sharing)
{
	size_t sums = sharing->interval_ms < DIVIDED_MS_MIN ? 1 : 2;
	size_t count = 0;

	for (size_t i = 0; i < sharing->sums.count; i++) {
		const carob_load_record_t *record = &sharing->sums.records[i];

		count += record->alive && !record->is_zone &&
			 record->id != sharing->self;
	}
	for (size_t i = 0; i < CAROB_READER_ZONES_MAX; i++)
		if (sharing->options.readers->others[i].slot.used)
			count += sums;
	return count;
}

/* @return whether sums can be sent often enough within the budget */
static bool set_interval(carob_load_sharing_t *sharing)
{
	uint32_t ms = carob_load_sums_interval_ms(&sharing->sums,
						  count_messages(sharing));

	sharing->interval_ms = ms < CAROB_LOAD_INTERVAL_MS_MAX
				       ? ms
				       : CAROB_LOAD_INTERVAL_MS_MAX;
	return ms <= CAROB_LOAD_INTERVAL_MS_MAX;
}

/* Writes the sum that a query asks for into `total`.
 * @return whether there is one to send */
static bool write_total(carob_load_summary_t *summary,
			carob_load_sharing_t *sharing,
			const carob_load_query_t *query)
{
	uint64_t now = carob_load_now_ns(sharing);

	carob_load_sums_expire(&sharing->sums, now);
	return is_warm(sharing) && set_interval(sharing) &&
	       carob_load_sums_write(&sharing->total, summary, &sharing->sums,
				     query, now) == 0;
}

static void send_zone_sum(carob_load_sharing_t *sharing, size_t index,
			  const carob_load_summary_t *summary)
{
	const carob_reader_zone_t *other =
		&sharing->options.readers->others[index];
	const load_peer_t *peer = &sharing->peers[index];
	uint64_t id = carob_load_sender(carob_str_from(other->zone),
					carob_str_from(other->slot.name));
	load_message_t message = {
		.header = {.kind = CAROB_LOAD_ZONE,
			   .to = id,
			   .age_ms = summary->age_ms,
			   .interval_ms = (uint16_t)sharing->interval_ms,
			   .zone_instances = (uint16_t)summary->zone_instances},
		.loads = &sharing->total,
		.to = other->slot.endpoint,
		.key = other->slot.key,
	};

	if (peer->from == id) {
		message.header.echo = peer->sequence;
		message.header.hold_ms =
			(uint32_t)((carob_load_now_ns(sharing) -
				    peer->heard_ns) /
				   CAROB_NS_PER_MS);
	}
	carob_load_send(sharing, &message);
	sharing->counters.zone_sums_sent++;
}

static void put_own(carob_load_sharing_t *sharing)
{
	uint64_t now = carob_load_now_ns(sharing);
	carob_load_header_t header = {
		.kind = CAROB_LOAD_REPORT,
		.parts = 1,
		.incarnation = sharing->incarnation,
		.sequence = sharing->sequence,
		.interval_ms = (uint16_t)sharing->interval_ms,
	};
	carob_load_part_t part = {
		.header = &header,
		.entries = sharing->own.items,
		.count = sharing->own.count,
		.id = sharing->self,
		.measured_ns = now,
	};

	(void)carob_load_sums_put(&sharing->sums, &part, now);
}

void carob_load_reader_end_period(carob_load_sharing_t *sharing)
{
	const carob_load_query_t zone = {.zone_only = true};
	const carob_load_query_t others = {.except = sharing->self};
	carob_load_summary_t summary;

	put_own(sharing);
	if (!write_total(&summary, sharing, &zone)) {
		/* A message without instances: the others only refer to it, so
		 * that the round trip is known when there is a sum. */
		summary = (carob_load_summary_t){0};
		sharing->total.count = 0;
	}
	for (size_t i = 0; i < CAROB_READER_ZONES_MAX; i++)
		if (sharing->options.readers->others[i].slot.used)
			send_zone_sum(sharing, i, &summary);
	if (write_total(&summary, sharing, &others))
		carob_load_apply(sharing, &sharing->total, &summary,
				 carob_load_now_ns(sharing));
}

static void answer(carob_load_sharing_t *sharing,
		   const load_datagram_t *datagram)
{
	const carob_load_query_t query = {.except = datagram->header.from};
	carob_load_summary_t summary;
	load_message_t message;

	if (!write_total(&summary, sharing, &query))
		return;
	message = (load_message_t){
		.header = {.kind = CAROB_LOAD_ANSWER,
			   .to = datagram->header.from,
			   .to_incarnation = datagram->header.incarnation,
			   .echo = datagram->header.sequence,
			   .age_ms = summary.age_ms,
			   .interval_ms = (uint16_t)sharing->interval_ms,
			   .zone_instances = (uint16_t)summary.zone_instances,
			   .all_instances = summary.all_instances},
		.loads = &sharing->total,
		.to = datagram->from,
		.key = sharing->options.key,
	};
	carob_load_send(sharing, &message);
	sharing->counters.answers_sent++;
}

/* Enters a datagram into the sums.
 * @return whether its message is whole */
static bool put_datagram(carob_load_sharing_t *sharing,
			 const load_datagram_t *datagram, bool is_zone,
			 uint64_t measured_ns)
{
	carob_load_part_t part = {
		.header = &datagram->header,
		.entries = datagram->entries,
		.count = datagram->count,
		.id = datagram->header.from,
		.is_zone = is_zone,
		.measured_ns = measured_ns,
	};
	int error = carob_load_sums_put(&sharing->sums, &part,
					carob_load_now_ns(sharing));

	if (error && error != CAROB_EEXISTS)
		sharing->counters.stale++;
	return error == 0;
}

void carob_load_reader_on_report(carob_load_sharing_t *sharing,
				 const load_datagram_t *datagram)
{
	uint64_t age_ns = datagram->queued_ms * CAROB_NS_PER_MS;
	uint64_t now = carob_load_now_ns(sharing);
	size_t senders = sharing->sums.count;

	if (!sharing->is_reader || datagram->header.to != sharing->self ||
	    datagram->header.from == sharing->self) {
		sharing->counters.foreign++;
		return;
	}
	if (!carob_load_verify(sharing, datagram, sharing->options.key))
		return;
	if (!put_datagram(sharing, datagram, false,
			  age_ns < now ? now - age_ns : 0))
		return;
	if (sharing->sums.count != senders)
		sharing->joined_ns = now;
	sharing->counters.reports_received++;
	answer(sharing, datagram);
}

/* @return the index of the zone whose reader has this number, or
 *         CAROB_READER_ZONES_MAX */
static size_t find_zone(const carob_load_sharing_t *sharing, uint64_t from)
{
	const carob_reader_zone_t *others = sharing->options.readers->others;
	size_t i = 0;

	while (i < CAROB_READER_ZONES_MAX &&
	       !(others[i].slot.used &&
		 carob_load_sender(carob_str_from(others[i].zone),
				   carob_str_from(others[i].slot.name)) ==
			 from))
		i++;
	return i;
}

/* Remembers the newest message of the reader of a zone, to which the next sum
 * refers.
 * @return whether the datagram is not older than what is known */
static bool note_peer(const carob_load_sharing_t *sharing, load_peer_t *peer,
		      const carob_load_header_t *header)
{
	if (peer->from != header->from)
		*peer = (load_peer_t){.from = header->from,
				      .former = peer->from};
	if (header->incarnation < peer->incarnation ||
	    (header->incarnation == peer->incarnation &&
	     header->sequence < peer->sequence))
		return false;
	if (header->incarnation != peer->incarnation ||
	    header->sequence != peer->sequence)
		peer->heard_ns = carob_load_now_ns(sharing);
	peer->incarnation = header->incarnation;
	peer->sequence = header->sequence;
	return true;
}

void carob_load_reader_on_zone(carob_load_sharing_t *sharing,
			       const load_datagram_t *datagram)
{
	const carob_load_header_t *header = &datagram->header;
	size_t index = find_zone(sharing, header->from);
	uint64_t now = carob_load_now_ns(sharing);
	uint64_t age_ns = header->age_ms * CAROB_NS_PER_MS;
	uint64_t hold_ns = header->hold_ms * CAROB_NS_PER_MS;
	uint64_t sent_ns;

	if (!sharing->is_reader || header->to != sharing->self ||
	    index == CAROB_READER_ZONES_MAX) {
		sharing->counters.foreign++;
		return;
	}
	if (!carob_load_verify(sharing, datagram, sharing->options.key))
		return;
	if (!note_peer(sharing, &sharing->peers[index], header)) {
		sharing->counters.stale++;
		return;
	}
	/* Without the round trip, the time on the way is not known. */
	if (header->zone_instances == 0 ||
	    !carob_load_sent_at(&sent_ns, sharing, header->echo))
		return;
	/* The sum left at the earliest `hold` after the message that it refers
	 * to was sent. */
	sent_ns += hold_ns;
	if (sent_ns > now)
		sent_ns = now;
	if (age_ns >= sent_ns)
		return;
	if (!put_datagram(sharing, datagram, true, sent_ns - age_ns))
		return;
	sharing->counters.zone_sums_received++;
	/* The sum of the former reader would count the zone twice. */
	carob_load_sums_drop(&sharing->sums, sharing->peers[index].former,
			     true);
	sharing->peers[index].former = 0;
}
