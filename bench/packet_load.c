/* Sends packets to TARGET, a plain relay ("raw") or an instance of carob-flowd
 * ("flows"), which forwards them to the address SINK, where this program
 * receives them. A batch is sent when the batch before it has arrived or is
 * lost. Prints the number of received packets as one JSON object.
 * Usage: bench-packet-load TARGET SINK SECONDS FLOWS raw|flows */
#include "carobtrail/clock.h"
#include "emulator/flows/wire.h"
#include "net/sockaddr.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define BATCH 32
/* Receive timeout; packets that have not arrived by then count as lost. */
#define RECEIVE_TIMEOUT_US 20000
#define DATA_BYTES	   100
#define ROUTE_ENDPOINT	   ((carob_endpoint_t){0xc6120001, 443})

typedef struct load {
	int source;
	int sink;
	bool raw; /* the relay adds no upstream number before the packet */
	uint32_t flows;
	uint32_t *tags;
	uint64_t received;
} load_t;

static int open_socket(const carob_addr_t *addr, bool bound)
{
	struct timeval timeout = {.tv_usec = RECEIVE_TIMEOUT_US};
	int bytes = 4 * 1024 * 1024;
	struct sockaddr_storage sa;
	socklen_t len = carob_sockaddr_from(&sa, addr);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	int error = bound ? bind(fd, (struct sockaddr *)&sa, len)
			  : connect(fd, (struct sockaddr *)&sa, len);

	if (fd < 0 || error != 0) {
		perror("bench-packet-load");
		exit(1);
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	return fd;
}

static size_t encode_packet(uint8_t *out, const load_t *load, uint32_t flow,
			    bool syn)
{
	static const char data[DATA_BYTES];
	wire_packet_t packet = {
		.from = {0x64400000 + flow / 60000,
			 (uint16_t)(1024 + flow % 60000)},
		.to = ROUTE_ENDPOINT,
		.seq = syn ? 1000 : 1001,
		.ack = syn ? 0 : 5000,
		.flags = syn ? WIRE_SYN : WIRE_ACK,
		.echo = syn ? 0 : load->tags[flow],
		.data = {data, syn ? 0 : sizeof(data)},
	};

	return wire_encode(out, &packet);
}

static uint32_t receive_batch(load_t *load, uint32_t *tag)
{
	static uint8_t bytes[BATCH][2048];
	struct mmsghdr headers[BATCH] = {0};
	struct iovec vectors[BATCH];
	wire_packet_t packet;
	int count;

	for (int i = 0; i < BATCH; i++) {
		vectors[i] = (struct iovec){bytes[i], sizeof(bytes[i])};
		headers[i].msg_hdr.msg_iov = &vectors[i];
		headers[i].msg_hdr.msg_iovlen = 1;
	}
	count = recvmmsg(load->sink, headers, BATCH, MSG_WAITFORONE, NULL);
	if (count <= 0)
		return 0;
	load->received += (uint64_t)count;
	if (tag && !load->raw &&
	    wire_decode(
		    &packet,
		    (carob_str_t){(char *)bytes[0] + WIRE_NUMBER_BYTES,
				  headers[0].msg_len - WIRE_NUMBER_BYTES}) == 0)
		*tag = packet.echo;
	return (uint32_t)count;
}

/* Sends a SYN for each flow and reads the flow's tag from the packet that
 * arrives at the sink. */
static void open_flows(load_t *load)
{
	uint8_t bytes[WIRE_BYTES_MAX];

	for (uint32_t i = 0; i < load->flows; i++) {
		size_t len = encode_packet(bytes, load, i, true);

		(void)!send(load->source, bytes, len, 0);
		(void)receive_batch(load, &load->tags[i]);
	}
}

static void send_batch(load_t *load, uint32_t first)
{
	static uint8_t bytes[BATCH][WIRE_BYTES_MAX];
	struct mmsghdr headers[BATCH] = {0};
	struct iovec vectors[BATCH];

	for (uint32_t i = 0; i < BATCH; i++) {
		size_t len = encode_packet(bytes[i], load,
					   (first + i) % load->flows, false);

		vectors[i] = (struct iovec){bytes[i], len};
		headers[i].msg_hdr.msg_iov = &vectors[i];
		headers[i].msg_hdr.msg_iovlen = 1;
	}
	(void)sendmmsg(load->source, headers, BATCH, 0);
}

static void run_load(load_t *load, uint64_t seconds)
{
	const carob_clock_t *clock = carob_clock_system();
	uint64_t end = carob_clock_now_ns(clock) + seconds * CAROB_NS_PER_S;
	uint32_t next = 0;

	load->received = 0;
	while (carob_clock_now_ns(clock) < end) {
		uint32_t arrived = 0;

		send_batch(load, next);
		next += BATCH;
		while (arrived < BATCH) {
			uint32_t count = receive_batch(load, NULL);

			if (count == 0)
				break;
			arrived += count;
		}
	}
}

int main(int argc, char **argv)
{
	load_t load = {0};
	carob_addr_t target;
	carob_addr_t sink;

	if (argc != 6 ||
	    carob_addr_parse(&target, carob_str_from(argv[1])) != 0 ||
	    carob_addr_parse(&sink, carob_str_from(argv[2])) != 0) {
		fprintf(stderr, "usage: bench-packet-load TARGET SINK SECONDS "
				"FLOWS raw|flows\n");
		return 2;
	}
	load.source = open_socket(&target, false);
	load.sink = open_socket(&sink, true);
	load.raw = strcmp(argv[5], "raw") == 0;
	load.flows = (uint32_t)strtoul(argv[4], NULL, 10);
	load.tags = calloc(load.flows, sizeof(*load.tags));
	if (!load.tags)
		return 1;
	if (!load.raw)
		open_flows(&load);
	run_load(&load, strtoull(argv[3], NULL, 10));
	printf("{\"packets\":%llu}\n", (unsigned long long)load.received);
	free(load.tags);
	return 0;
}
