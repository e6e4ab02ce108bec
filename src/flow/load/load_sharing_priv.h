/**
 * @file load_sharing_priv.h
 * Declarations shared by the source files of load sharing: the side that
 * reports (load_sharing.c) and the side of a reader (load_sharing_reader.c).
 */
#ifndef CAROB_FLOW_LOAD_LOAD_SHARING_PRIV_H
#define CAROB_FLOW_LOAD_LOAD_SHARING_PRIV_H

#include "carobtrail/load_sharing.h"
#include "carobtrail/rng.h"

/** Messages whose time of sending is remembered, to know the age of answers. */
#define LOAD_SENT_MAX 16

/** What the reader of another zone has sent last. */
typedef struct load_peer {
	uint64_t from;	 /* 0: nothing yet */
	uint64_t former; /* the reader before, as long as its sum is used */
	uint64_t incarnation;
	uint32_t sequence;
	uint64_t heard_ns;
} load_peer_t;

/** An answer of which datagrams are still expected. */
typedef struct load_answer {
	carob_load_list_t loads;
	uint32_t echo; /* the report that it answers */
	uint8_t parts;
	uint64_t parts_seen; /* one bit each */
	uint32_t parts_count;
} load_answer_t;

struct carob_load_sharing {
	carob_load_sharing_options_t options;
	carob_timer_t timer; /* the next report, or a look for its answer */
	carob_rng_t rng;
	uint64_t self; /* see carob_load_sender */
	uint64_t incarnation;
	uint32_t sequence; /* of the last period */
	uint64_t sent_ns[LOAD_SENT_MAX];
	uint64_t period_ns;   /* start of the period that is measured */
	uint32_t interval_ms; /* as the reader says */
	uint64_t asked;	      /* the reader that got the last report */
	uint32_t unanswered;  /* its reports since the last answer */
	uint32_t applied;     /* sequence of the report last answered */
	uint64_t next_ns;     /* the next report, unless one is repeated */
	bool known;	      /* the view was fresh when last looked at */
	carob_load_list_t own;
	load_answer_t answer;
	bool is_reader;
	uint64_t reader_since_ns;
	uint64_t joined_ns; /* first report of the sender that came last */
	bool warm;	    /* the sums are complete; see is_warm */
	carob_load_sums_t sums;
	carob_load_list_t total; /* the sum that is sent */
	load_peer_t peers[CAROB_READER_ZONES_MAX];
	carob_load_counters_t counters;
};

/** Fields of a message that differ by its kind. */
typedef struct load_message {
	carob_load_header_t header; /* kind, to, and what depends on the kind */
	const carob_load_list_t *loads;
	carob_endpoint_t to;
	const uint8_t *key;
} load_message_t;

/** A datagram that was decoded but not verified. */
typedef struct load_datagram {
	carob_load_header_t header;
	carob_load_entry_t entries[CAROB_LOAD_PART_ENTRIES];
	size_t count;
	carob_endpoint_t from;
	carob_str_t data;
	const uint8_t *auth;
	uint32_t queued_ms;
} load_datagram_t;

static inline uint64_t carob_load_now_ns(const carob_load_sharing_t *sharing)
{
	return carob_kernel_now_ns(sharing->options.kernel);
}

/** Sends all datagrams of a message. */
void carob_load_send(carob_load_sharing_t *sharing, load_message_t *message);

/** @return whether the authenticator is right; counts the datagram if not */
bool carob_load_verify(carob_load_sharing_t *sharing,
		       const load_datagram_t *datagram, const uint8_t *key);

/**
 * @param sent_ns receives when the message with that sequence was sent
 * @return whether it is remembered
 */
bool carob_load_sent_at(uint64_t *sent_ns, const carob_load_sharing_t *sharing,
			uint32_t sequence);

/**
 * Enters the load of the other instances in the upstream table and the view.
 *
 * @param sharing load sharing
 * @param loads the loads, sorted
 * @param summary numbers of instances, without this one, and age
 * @param at_ns time to which the age refers
 */
void carob_load_apply(carob_load_sharing_t *sharing,
		      const carob_load_list_t *loads,
		      const carob_load_summary_t *summary, uint64_t at_ns);

/** @return the time between two sums of a zone, in milliseconds: half of a long
 *          interval, since their age adds to that of answers in other zones */
uint32_t carob_load_zone_ms(uint32_t interval_ms);

/** The work of a reader at the end of a period: takes its own load into the
 * sums and sends the sum of its zone to the other readers. */
void carob_load_reader_end_period(carob_load_sharing_t *sharing);

/** Handles a report of an instance of the zone. */
void carob_load_reader_on_report(carob_load_sharing_t *sharing,
				 const load_datagram_t *datagram);

/** Handles the sum of another zone. */
void carob_load_reader_on_zone(carob_load_sharing_t *sharing,
			       const load_datagram_t *datagram);

#endif
