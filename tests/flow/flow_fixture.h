/**
 * @file flow_fixture.h
 * Upstreams and packets for the tests of upstream table, placement and
 * steering.
 */
#ifndef CAROB_TESTS_FLOW_FIXTURE_H
#define CAROB_TESTS_FLOW_FIXTURE_H

#include "carobtrail/failure_detector.h"
#include "carobtrail/steering.h"
#include "test_runner.h"

#include <string.h>

#define FIXTURE_ROUTE ((carob_endpoint_t){0xc6120001, 443})
#define FIXTURE_START (1000 * CAROB_NS_PER_S)

/** One upstream of a test's upstream table, with its load. */
typedef struct fixture_upstream {
	const char *id;
	uint64_t number;
	const char *service;
	const char *zone;
	uint32_t slots;
	uint32_t open_flows;
	uint32_t pending;
	uint32_t cold_ms;
	bool draining;
	float others_load;
	float others_late;
	uint32_t unanswered_syns;
} fixture_upstream_t;

/**
 * Initialises a `fixture_upstream_t` from its id, number, service, zone and
 * slots; further arguments are designated initialisers of other members.
 */
#define UPSTREAM(i, n, s, z, k, ...)                                           \
	{                                                                      \
		.id = (i), .number = (n), .service = (s), .zone = (z),         \
		.slots = (k), ##__VA_ARGS__                                    \
	}

/** Adds an upstream to a table or updates it, and sets its load. */
static inline void fixture_put(carob_upstream_table_t *table,
			       const fixture_upstream_t *row, uint64_t revision)
{
	carob_upstream_entry_t entry = {
		.id = carob_str_from(row->id),
		.number = row->number,
		.service = carob_str_from(row->service),
		.zone = carob_str_from(row->zone),
		.endpoint = {0x0a800000 + (uint32_t)row->number, 8080},
		.slots = row->slots,
		.cold_ms = row->cold_ms,
		.draining = row->draining,
	};
	carob_upstream_index_t index;

	CU_ASSERT_EQUAL_FATAL(carob_upstream_table_put(table, &entry, revision,
						       FIXTURE_START),
			      0);
	index = carob_upstream_table_by_id(table, entry.id);
	table->items[index].open_flows = row->open_flows;
	table->items[index].pending = row->pending;
	table->items[index].others_load = row->others_load;
	table->items[index].others_late = row->others_late;
	for (uint32_t i = 0; i < row->unanswered_syns; i++)
		carob_failure_detector_record_syn(table, index, FIXTURE_START);
}

/** @return the id of an upstream, "" for CAROB_UPSTREAM_NONE */
static inline const char *fixture_id(const carob_upstream_table_t *table,
				     carob_upstream_index_t index)
{
	return index == CAROB_UPSTREAM_NONE ? "" : table->items[index].id;
}

/** @return a SYN from a caller's port; `copy` counts retransmissions */
static inline carob_flow_packet_t fixture_syn(uint16_t port, uint8_t copy)
{
	return (carob_flow_packet_t){
		.caller = {0x64400007, port},
		.route = FIXTURE_ROUTE,
		.seq = 1000u + port,
		.syn = true,
		.syn_copy = copy,
	};
}

/**
 * @return a packet that follows the SYN, `offset` bytes into the stream that
 *         the caller sends
 */
static inline carob_flow_packet_t fixture_data(uint16_t port, uint32_t tag,
					       uint32_t offset,
					       uint16_t data_bytes,
					       uint32_t ack)
{
	return (carob_flow_packet_t){
		.caller = {0x64400007, port},
		.route = FIXTURE_ROUTE,
		.seq = 1001u + port + offset,
		.ack = ack,
		.steering_tag = tag,
		.data_bytes = data_bytes,
		.has_ack = true,
	};
}

#endif
