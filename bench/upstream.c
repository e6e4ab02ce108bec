/* Upstream of bench/run. It answers every request at once, so that it does not
 * limit the measured rate. */
#include "bench_loop.h"
#include "emulator/common/con.h"
#include "net/coap_codec.h"

#define FEED_MAX_AGE_S 600

typedef struct upstream {
	carob_udp_handler_t handler;
	carob_udp_t *udp;
} upstream_t;

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	upstream_t *upstream = (upstream_t *)handler;
	carob_msg_t msg;
	uint8_t refusal;

	if (carob_coap_decode(&msg, &refusal, data.ptr, data.len) != 0)
		return;
	if (!carob_msg_is_request(&msg)) {
		if (msg.type == CAROB_MSG_CON)
			carob_msg_send_empty(upstream->udp, from, CAROB_MSG_RST,
					     msg.mid);
		return;
	}
	msg.code = carob_msg_is_cancel(&msg) ? CAROB_CODE_DELETED
					     : CAROB_CODE_CONTENT;
	msg.type = msg.type == CAROB_MSG_CON ? CAROB_MSG_ACK : CAROB_MSG_NON;
	msg.has_max_age = msg.has_observe;
	msg.max_age_s = FEED_MAX_AGE_S;
	msg.has_deadline = false;
	msg.has_trace = false;
	msg.other_count = 0;
	msg.payload = CAROB_STR("{\"slots\":1000,\"in_use\":0}");
	carob_msg_send(upstream->udp, from, &msg);
}

int main(int argc, char **argv)
{
	upstream_t upstream = {.handler.receive = on_datagram};
	bench_loop_t bench;
	carob_addr_t addr;

	if (argc != 2) {
		fprintf(stderr, "usage: bench-upstream LISTEN\n");
		return 2;
	}
	addr = bench_addr(argv[1]);
	bench_loop_init(&bench);
	bench_check(carob_udp_open(&upstream.udp, bench.hub, &addr,
				   &upstream.handler));
	bench_check(carob_loop_run(bench.loop));
	return 0;
}
