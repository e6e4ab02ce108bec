/*
 * Load generator of bench/run. In mode "rate" each flow has one request in
 * progress at all times. In mode "latency" requests start at a fixed rate. In
 * mode "feeds" each flow registers one feed and keeps it. Prints one JSON
 * object with the counts, and the processor time and resident memory of the
 * process that --pid names.
 */
#include "bench_loop.h"
#include "carobtrail/histogram.h"
#include "carobtrail/rng.h"
#include "emulator/common/request.h"
#include "net/coap_codec.h"

#include <inttypes.h>
#include <popt.h>
#include <string.h>
#include <unistd.h>

#define RESEND_NS	      (2 * CAROB_NS_PER_S)
#define TICK_NS		      (1 * CAROB_NS_PER_MS)
#define FLOWS_OPENED_PER_TICK 20
#define SOCKETS		      50
#define PROC_TEXT_MAX	      4096
#define PROC_STAT_UTIME	      14 /* field of /proc/PID/stat; stime follows it */

typedef enum mode {
	MODE_RATE,
	MODE_LATENCY,
	MODE_FEEDS
} load_mode_t;

typedef struct load load_t;

typedef struct socket_entry {
	carob_udp_handler_t handler;
	load_t *load;
	carob_udp_t *udp;
	uint16_t next_mid;
} socket_t;

typedef struct flow {
	socket_t *socket;
	/* The low 32 bits are the index of the flow, the high 32 bits the
	 * number of its requests so far. */
	uint64_t token;
	uint64_t sent_ns;
	bool waiting;
	bool established;
	uint8_t echo_len;
	uint8_t echo[CAROB_MSG_ECHO_MAX];
} flow_t;

/* Responses received and resources used by the measured process until now. */
typedef struct usage {
	uint64_t answers;
	double cpu_s;
	uint64_t rss_kb;
	uint64_t time_ns;
} usage_t;

struct load {
	bench_loop_t bench;
	carob_timer_t tick;
	load_mode_t mode;
	carob_addr_t target;
	int flow_count;
	int seconds;
	int rate;
	int pid;
	int post;
	flow_t *flows;
	socket_t sockets[SOCKETS];
	uint32_t next_flow;
	double requests_due; /* requests to start now, in mode "latency" */
	uint64_t answers;
	uint64_t resent;
	uint64_t refused;
	uint64_t established;
	carob_histogram_t latency_us;
	usage_t begin;
	bool measuring;
	uint64_t end_ns;
};

static uint64_t now_ns(const load_t *load)
{
	return carob_kernel_now_ns(load->bench.kernel);
}

static void send_request(load_t *load, flow_t *flow)
{
	carob_request_t request = {.path = CAROB_STR("r")};
	char text[CAROB_REQUEST_TEXT_MAX];
	uint8_t data[CAROB_MSG_BYTES_MAX];
	carob_msg_t msg = {
		.type = CAROB_MSG_CON,
		.code = load->post ? CAROB_CODE_POST : CAROB_CODE_GET,
		.mid = flow->socket->next_mid++,
		.token_len = sizeof(flow->token),
		.echo_len = flow->echo_len,
		.has_observe = load->mode == MODE_FEEDS,
	};
	size_t len;

	memcpy(msg.token, &flow->token, sizeof(flow->token));
	memcpy(msg.echo, flow->echo, flow->echo_len);
	request.rid = flow->token;
	carob_request_write(&msg, text, &request);
	bench_check(carob_coap_encode(data, &len, sizeof(data), &msg));
	carob_udp_send(flow->socket->udp, &load->target, data, len);
	flow->waiting = true;
}

static void start_request(load_t *load, flow_t *flow)
{
	flow->token += (uint64_t)1 << 32;
	flow->sent_ns = now_ns(load);
	send_request(load, flow);
}

static void on_response(load_t *load, flow_t *flow, const carob_msg_t *msg)
{
	uint64_t now = now_ns(load);

	flow->waiting = false;
	if (msg->code != CAROB_CODE_CONTENT) {
		load->refused++;
	} else {
		load->answers++;
		if (load->measuring)
			carob_histogram_record(&load->latency_us,
					       (now - flow->sent_ns) / 1000);
	}
	if (!flow->established) {
		flow->established = true;
		load->established++;
	}
	if (load->mode == MODE_RATE)
		start_request(load, flow);
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	socket_t *socket = (socket_t *)handler;
	load_t *load = socket->load;
	carob_msg_t msg;
	uint8_t refusal;
	uint64_t token;
	flow_t *flow;

	(void)from;
	if (carob_coap_decode(&msg, &refusal, data.ptr, data.len) != 0 ||
	    msg.token_len != sizeof(token))
		return;
	memcpy(&token, msg.token, sizeof(token));
	if ((uint32_t)token >= (uint32_t)load->flow_count)
		return;
	flow = &load->flows[(uint32_t)token];
	if (flow->token != token || !flow->waiting)
		return;
	if (msg.echo_len) {
		flow->echo_len = msg.echo_len;
		memcpy(flow->echo, msg.echo, msg.echo_len);
	}
	if (msg.code == CAROB_CODE_UNAUTHORIZED)
		send_request(load, flow);
	else
		on_response(load, flow, &msg);
}

static double cpu_seconds(int pid)
{
	char path[64];
	char text[PROC_TEXT_MAX] = "";
	unsigned long utime = 0;
	unsigned long stime = 0;
	const char *fields;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	fread(text, 1, sizeof(text) - 1, file);
	fclose(file);
	fields = strrchr(text, ')');
	for (int i = 2; fields && i < PROC_STAT_UTIME; i++)
		fields = strchr(fields + 1, ' ');
	if (fields)
		sscanf(fields, " %lu %lu", &utime, &stime);
	return (double)(utime + stime) / (double)sysconf(_SC_CLK_TCK);
}

static uint64_t rss_kb(int pid)
{
	unsigned long pages = 0;
	char path[64];
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%*u %lu", &pages) != 1)
		pages = 0;
	fclose(file);
	return pages * (uint64_t)sysconf(_SC_PAGESIZE) / 1024;
}

static usage_t read_usage(const load_t *load)
{
	return (usage_t){
		.answers = load->answers,
		.cpu_s = load->pid ? cpu_seconds(load->pid) : 0,
		.rss_kb = load->pid ? rss_kb(load->pid) : 0,
		.time_ns = now_ns(load),
	};
}

static void print_result(const load_t *load)
{
	usage_t end = read_usage(load);
	double wall_s = (double)(end.time_ns - load->begin.time_ns) / 1e9;

	printf("{\"answers\":%" PRIu64 ",\"wall_s\":%.3f,\"cpu_s\":%.3f,"
	       "\"resent\":%" PRIu64 ",\"refused\":%" PRIu64
	       ",\"established\":%" PRIu64 ",\"rss_begin_kb\":%" PRIu64
	       ",\"rss_end_kb\":%" PRIu64 ",\"p50_us\":%" PRIu64
	       ",\"p99_us\":%" PRIu64 "}\n",
	       end.answers - load->begin.answers, wall_s,
	       end.cpu_s - load->begin.cpu_s, load->resent, load->refused,
	       load->established, load->begin.rss_kb, end.rss_kb,
	       carob_histogram_quantile(&load->latency_us, 0.5),
	       carob_histogram_quantile(&load->latency_us, 0.99));
}

static void resend_unanswered(load_t *load, uint64_t now)
{
	for (int i = 0; i < load->flow_count; i++) {
		flow_t *flow = &load->flows[i];

		if (!flow->waiting || flow->sent_ns + RESEND_NS > now)
			continue;
		load->resent++;
		flow->sent_ns = now;
		send_request(load, flow);
	}
}

/* Opens a few flows in each tick, so that no queue overflows. Returns whether
 * all flows are established. */
static bool open_flows(load_t *load)
{
	for (int i = 0; i < FLOWS_OPENED_PER_TICK &&
			load->next_flow < (uint32_t)load->flow_count;
	     i++)
		start_request(load, &load->flows[load->next_flow++]);
	return load->established == (uint64_t)load->flow_count;
}

static void start_due_requests(load_t *load)
{
	load->requests_due += load->rate * (double)TICK_NS / CAROB_NS_PER_S;
	for (; load->requests_due >= 1; load->requests_due -= 1) {
		flow_t *flow = &load->flows[load->next_flow++ %
					    (uint32_t)load->flow_count];

		if (!flow->waiting)
			start_request(load, flow);
	}
}

static void on_tick(carob_timer_t *timer)
{
	load_t *load = CAROB_CONTAINER_OF(timer, load_t, tick);
	uint64_t now = now_ns(load);

	carob_timer_arm(load->bench.kernel, timer, now + TICK_NS);
	resend_unanswered(load, now);
	if (!load->measuring) {
		if (!open_flows(load))
			return;
		load->measuring = true;
		if (load->mode != MODE_FEEDS)
			load->begin = read_usage(load);
		load->end_ns = now + (uint64_t)load->seconds * CAROB_NS_PER_S;
		return;
	}
	if (load->mode == MODE_LATENCY)
		start_due_requests(load);
	if (now >= load->end_ns) {
		carob_timer_cancel(load->bench.kernel, timer);
		print_result(load);
		carob_loop_stop(load->bench.loop);
	}
}

static void open_sockets(load_t *load, carob_addr_t local)
{
	for (int i = 0; i < SOCKETS; i++) {
		socket_t *socket = &load->sockets[i];

		socket->handler.receive = on_datagram;
		socket->load = load;
		bench_check(carob_udp_open(&socket->udp, load->bench.hub,
					   &local, &socket->handler));
		local.port++;
	}
	load->flows = calloc((size_t)load->flow_count, sizeof(flow_t));
	if (!load->flows)
		abort();
	for (int i = 0; i < load->flow_count; i++) {
		load->flows[i].socket = &load->sockets[i % SOCKETS];
		load->flows[i].token = (uint64_t)i;
	}
}

static load_mode_t parse_mode(const char *name)
{
	if (name && strcmp(name, "latency") == 0)
		return MODE_LATENCY;
	if (name && strcmp(name, "feeds") == 0)
		return MODE_FEEDS;
	return MODE_RATE;
}

int main(int argc, const char **argv)
{
	static load_t load = {.flow_count = 200, .seconds = 5, .rate = 1000};
	char *mode = NULL;
	char *target = NULL;
	char *local = NULL;
	struct poptOption table[] = {
		{"mode", 0, POPT_ARG_STRING, &mode, 0, "what to measure",
		 "rate|latency|feeds"},
		{"target", 0, POPT_ARG_STRING, &target, 0,
		 "address that requests are sent to", NULL},
		{"local", 0, POPT_ARG_STRING, &local, 0,
		 "address of the first socket; the others have the next ports",
		 NULL},
		{"flows", 0, POPT_ARG_INT, &load.flow_count, 0,
		 "number of flows", NULL},
		{"seconds", 0, POPT_ARG_INT, &load.seconds, 0,
		 "duration of the measurement", NULL},
		{"rate", 0, POPT_ARG_INT, &load.rate, 0,
		 "requests/s in mode \"latency\"", NULL},
		{"pid", 0, POPT_ARG_INT, &load.pid, 0, "process to measure",
		 NULL},
		{"post", 0, POPT_ARG_NONE, &load.post, 0,
		 "send requests that are not idempotent", NULL},
		POPT_AUTOHELP POPT_TABLEEND,
	};
	poptContext context =
		poptGetContext("bench-load", argc, argv, table, 0);

	if (poptGetNextOpt(context) < -1 || !target || !local) {
		poptPrintUsage(context, stderr, 0);
		return 2;
	}
	load.mode = parse_mode(mode);
	load.target = bench_addr(target);
	bench_loop_init(&load.bench);
	open_sockets(&load, bench_addr(local));
	load.begin = read_usage(&load);
	load.tick.fire = on_tick;
	on_tick(&load.tick);
	bench_check(carob_loop_run(load.bench.loop));
	free(load.flows);
	for (int i = 0; i < SOCKETS; i++)
		carob_udp_close(load.sockets[i].udp);
	bench_loop_dispose(&load.bench);
	poptFreeContext(context);
	free(mode);
	free(target);
	free(local);
	return 0;
}
