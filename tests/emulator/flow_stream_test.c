#include "emulator/flows/stream.h"

#include "carobtrail/rng.h"
#include "test_runner.h"

#include <stdlib.h>
#include <string.h>

#define MS	  CAROB_NS_PER_MS
#define BYTES	  40000
#define LOSS_OF	  4 /* on average, one in this many packets is lost */
#define SENDS_MAX 16

typedef struct end {
	stream_t stream;
	struct bed *bed;
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

typedef struct bed {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_rng_t rng;
	bool lossy;
	bool cut;
	uint64_t sent_ns[SENDS_MAX]; /* when the first packets were sent */
	size_t sends;
	end_t ends[2];
} bed_t;

static void on_arrival(carob_timer_t *timer)
{
	flight_t *flight = CAROB_CONTAINER_OF(timer, flight_t, timer);

	stream_packet(&flight->to->stream, &flight->packet);
	free(flight);
}

static void on_transmit(stream_t *stream, wire_packet_t *packet)
{
	end_t *end = CAROB_CONTAINER_OF(stream, end_t, stream);
	bed_t *bed = end->bed;
	flight_t *flight;

	if (bed->sends < SENDS_MAX)
		bed->sent_ns[bed->sends++] = carob_kernel_now_ns(bed->kernel);
	if (bed->cut ||
	    (bed->lossy && carob_rng_below(&bed->rng, LOSS_OF) == 0))
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
	(void)carob_timer_arm(bed->kernel, &flight->timer,
			      carob_kernel_now_ns(bed->kernel) + MS);
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

static void bed_init(bed_t *bed)
{
	memset(bed, 0, sizeof(*bed));
	carob_manual_clock_init(&bed->clock, CAROB_NS_PER_S);
	carob_rng_init(&bed->rng, 1);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&bed->kernel, &bed->clock.clock),
			      0);
	for (size_t i = 0; i < 2; i++) {
		bed->ends[i].bed = bed;
		bed->ends[i].other = &bed->ends[1 - i];
		stream_init(&bed->ends[i].stream, &ops, bed->kernel,
			    (uint32_t)(1000 * i), (uint32_t)(1000 * (1 - i)));
	}
}

static void bed_dispose(bed_t *bed)
{
	for (size_t i = 0; i < 2; i++) {
		stream_dispose(&bed->ends[i].stream);
		carob_buf_dispose(&bed->ends[i].received);
	}
	carob_kernel_free(bed->kernel);
}

static void run(bed_t *bed, uint32_t ms)
{
	for (uint32_t i = 0; i < ms; i++) {
		carob_manual_clock_advance(&bed->clock, MS);
		carob_kernel_run_due(bed->kernel);
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
		bed_t bed;

		bed_init(&bed);
		bed.lossy = lossy;
		stream_send(&bed.ends[0].stream, (carob_str_t){bytes, BYTES});
		stream_close(&bed.ends[0].stream);
		stream_close(&bed.ends[1].stream);
		run(&bed, 120000);
		CU_ASSERT_EQUAL(bed.ends[1].received.len, BYTES);
		CU_ASSERT_EQUAL(memcmp(bed.ends[1].received.ptr, bytes, BYTES),
				0);
		for (size_t i = 0; i < 2 && !lossy; i++) {
			CU_ASSERT_TRUE(bed.ends[i].ended);
			CU_ASSERT_FALSE(bed.ends[i].gave_up);
		}
		bed_dispose(&bed);
	}
}

/* Without an acknowledgement an end must retransmit after 200 ms, then after
 * intervals that double up to 1.6 s, and give up after eight
 * retransmissions. */
static void test_repetitions(void)
{
	static const uint32_t at_ms[] = {0,    200,  600,  1400, 3000,
					 4600, 6200, 7800, 9400};
	bed_t bed;

	bed_init(&bed);
	bed.cut = true;
	stream_send(&bed.ends[0].stream, CAROB_STR("GET /slots"));
	run(&bed, 12000);
	CU_ASSERT_EQUAL_FATAL(bed.sends, CAROB_ARRAY_SIZE(at_ms));
	for (size_t i = 0; i < bed.sends; i++)
		CU_ASSERT_EQUAL((bed.sent_ns[i] - bed.sent_ns[0]) / MS,
				at_ms[i]);
	CU_ASSERT_TRUE(bed.ends[0].ended);
	CU_ASSERT_TRUE(bed.ends[0].gave_up);
	bed_dispose(&bed);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"bytes arrive in order, also with packet loss",
		 test_bytes_arrive},
		{"retransmission intervals and their end", test_repetitions},
	};

	return run_tests("flow stream", cases, CAROB_ARRAY_SIZE(cases));
}
