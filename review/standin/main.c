#include "standin.h"
#include "loop.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#define FDS_MAX 512

static struct pollfd fds[FDS_MAX];
static struct {
	void (*handle)(size_t index);
	size_t index;
} handlers[FDS_MAX];
static size_t fd_count;

void loop_add(int fd, void (*handle)(size_t index), size_t index)
{
	if (fd_count == FDS_MAX)
		return;
	fds[fd_count] = (struct pollfd){.fd = fd, .events = POLLIN};
	handlers[fd_count].handle = handle;
	handlers[fd_count++].index = index;
}

void run_until(uint64_t until_ms, void (*tick)(void))
{
	while (now_ms() < until_ms) {
		fd_count = 0;
		store_watch_fds();
		for (size_t i = 0; i < host_count; i++)
			loop_add(hosts[i].fd, host_handle, i);
		for (size_t i = 0; i < client_count; i++)
			loop_add(client_fds[i], client_handle, i);
		if (poll(fds, fd_count, 2) > 0)
			for (size_t i = 0; i < fd_count; i++)
				if (fds[i].revents)
					handlers[i].handle(handlers[i].index);
		store_tick();
		hosts_tick();
		routers_tick();
		clients_tick();
		if (tick)
			tick();
	}
}

void wait_ready(void)
{
	size_t ready = 0;

	for (uint64_t end = now_ms() + 15000; now_ms() < end;) {
		run_until(now_ms() + 100, NULL);
		ready = 0;
		for (size_t i = 0; i < instance_count; i++)
			ready += in_rotation[i];
		if (ready == instance_count)
			return;
	}
	record("only %zu of %zu instances became ready", ready, instance_count);
	exit(2);
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	bool on = !trouble || strcmp(trouble, "0") != 0;

	if (argc != 4) {
		fprintf(stderr, "usage: standin SCENARIO BASE INSTANCES\n");
		return 2;
	}
	base_ip = ntohl(inet_addr(argv[2]));
	instance_count = (size_t)atoi(argv[3]);
	srand(1);
	record("scenario %s, disruption %s", argv[1], on ? "on" : "off");
	if (strcmp(argv[1], "silent") == 0)
		return scenario_silent(on);
	if (strcmp(argv[1], "syn_ack") == 0)
		return scenario_syn_ack(on);
	return 2;
}
