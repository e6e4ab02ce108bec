#include "emulator/flows/stream.h"

#include "carobtrail/rng.h"
#include "test_runner.h"

#include <stdlib.h>
#include <string.h>

#define MS	    CAROB_NS_PER_MS
#define BYTES	    40000
#define LOSS_ONE_IN 4 /* on average, one in this many packets is lost */
#define SENDS_MAX   16

typedef struct end {
	stream_t stream;
	struct fixture *fixture;
	struct end *other;
	carob_buf_t received;
	bool ended;
	bool gave_up;
} end_t;

/* A packet in transit. */
typedef struct flight {
	carob_timer_t timer;
	end_t *to;
	wire_packet_t packet;
	char data[WIRE_DATA_MAX];
} flight_t;

typedef struct fixture {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	bool lossy;
	bool cut;
	uint64_t sent_ns[SENDS_MAX]; /* when the first packets were sent */
	size_t sends;
	end_t ends[2];
} fixture_t;

static void on_arrival(carob_timer_t *timer)
{
	flight_t *flight = CAROB_CONTAINER_OF(timer, flight_t, timer);

	stream_process_packet(&flight->to->stream, &flight->packet);
	free(flight);
}

static void on_transmit(stream_t *stream, wire_packet_t *packet)
{
	end_t *end = CAROB_CONTAINER_OF(stream, end_t, stream);
	fixture_t *fixture = end->fixture;
	flight_t *flight;

	if (fixture->sends < SENDS_MAX)
		fixture->sent_ns[fixture->sends++] =
			carob_kernel_now_ns(fixture->kernel);
	if (fixture->cut || (fixture->lossy &&
			     carob_rng_below(&fixture->rng, LOSS_ONE_IN) == 0))
		return;
	flight = calloc(1, sizeof(*flight));
	CU_ASSERT_PTR_NOT_NULL_FATAL(flight);
	if (!flight)
		return;
	flight->timer.fire = on_arrival;
	flight->to = end->other;
	flight->packet = *packet;
	if (packet->data.len)
		memcpy(flight->data, packet->data.ptr, packet->data.len);
	flight->packet.data.ptr = flight->data;
	(void)carob_timer_arm(fixture->kernel, &flight->timer,
			      carob_kernel_now_ns(fixture->kernel) + MS);
}

static void on_receive(stream_t *stream, carob_str_t data)
{
	end_t *end = CAROB_CONTAINER_OF(stream, end_t, stream);

	CU_ASSERT_EQUAL(carob_buf_append(&end->received, data.ptr, data.len),
			0);
}

static void on_ended(stream_t *stream, bool gave_up)
{
	end_t *end = CAROB_CONTAINER_OF(stream, end_t, stream);

	end->ended = true;
	end->gave_up = gave_up;
}

static const stream_ops_t ops = {
	.transmit = on_transmit,
	.receive = on_receive,
	.ended = on_ended,
};

static void fixture_init(fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	carob_manual_clock_init(&fixture->clock, CAROB_NS_PER_S);
	carob_rng_init(&fixture->rng, 1);
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&fixture->kernel, &fixture->clock.clock), 0);
	for (size_t i = 0; i < 2; i++) {
		fixture->ends[i].fixture = fixture;
		fixture->ends[i].other = &fixture->ends[1 - i];
		stream_init(&fixture->ends[i].stream, &ops, fixture->kernel,
			    (uint32_t)(1000 * i), (uint32_t)(1000 * (1 - i)));
	}
}

static void fixture_dispose(fixture_t *fixture)
{
	for (size_t i = 0; i < 2; i++) {
		stream_dispose(&fixture->ends[i].stream);
		carob_buf_dispose(&fixture->ends[i].received);
	}
	carob_kernel_free(fixture->kernel);
}

static void run(fixture_t *fixture, uint32_t ms)
{
	for (uint32_t i = 0; i < ms; i++) {
		carob_manual_clock_advance(&fixture->clock, MS);
		carob_kernel_run_due(fixture->kernel);
	}
}

/* All bytes must arrive once and in order, also when a quarter of the packets
 * is lost. Without loss both ends must close, too. */
static void test_bytes_arrive(void)
{
	static char bytes[BYTES];

	for (size_t i = 0; i < BYTES; i++)
		bytes[i] = (char)(i % 251);
	for (int lossy = 0; lossy < 2; lossy++) {
		fixture_t fixture;

		fixture_init(&fixture);
		fixture.lossy = lossy;
		stream_send(&fixture.ends[0].stream,
			    (carob_str_t){bytes, BYTES});
		stream_close(&fixture.ends[0].stream);
		stream_close(&fixture.ends[1].stream);
		run(&fixture, 120000);
		CU_ASSERT_EQUAL(fixture.ends[1].received.len, BYTES);
		CU_ASSERT_EQUAL(
			memcmp(fixture.ends[1].received.ptr, bytes, BYTES), 0);
		for (size_t i = 0; i < 2 && !lossy; i++) {
			CU_ASSERT_TRUE(fixture.ends[i].ended);
			CU_ASSERT_FALSE(fixture.ends[i].gave_up);
		}
		fixture_dispose(&fixture);
	}
}

/* Without an acknowledgement an end must retransmit after 200 ms, then after
 * intervals that double up to 1.6 s, and give up after eight
 * retransmissions. */
static void test_retransmissions(void)
{
	static const uint32_t expected_ms[] = {0,    200,  600,	 1400, 3000,
					       4600, 6200, 7800, 9400};
	fixture_t fixture;

	fixture_init(&fixture);
	fixture.cut = true;
	stream_send(&fixture.ends[0].stream, CAROB_STR("GET /slots"));
	run(&fixture, 12000);
	CU_ASSERT_EQUAL_FATAL(fixture.sends, CAROB_ARRAY_SIZE(expected_ms));
	for (size_t i = 0; i < fixture.sends; i++)
		CU_ASSERT_EQUAL((fixture.sent_ns[i] - fixture.sent_ns[0]) / MS,
				expected_ms[i]);
	CU_ASSERT_TRUE(fixture.ends[0].ended);
	CU_ASSERT_TRUE(fixture.ends[0].gave_up);
	fixture_dispose(&fixture);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"bytes arrive in order, also with packet loss",
		 test_bytes_arrive},
		{"retransmission intervals and their end",
		 test_retransmissions},
	};

	return run_tests("flow stream", cases, CAROB_ARRAY_SIZE(cases));
}
