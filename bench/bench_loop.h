/**
 * @file bench_loop.h
 * Kernel, event loop and UDP buffers of a benchmark program.
 */
#ifndef CAROB_BENCH_BENCH_LOOP_H
#define CAROB_BENCH_BENCH_LOOP_H

#include "carobtrail/errors.h"
#include "net/loop.h"
#include "net/udp.h"

#include <stdio.h>
#include <stdlib.h>

/** Objects that every program with sockets needs. */
typedef struct bench_loop {
	carob_kernel_t *kernel;
	carob_loop_t *loop;
	carob_udp_hub_t *hub;
} bench_loop_t;

/** Prints the last error and exits with status 2 if `error` is not 0. */
static inline void bench_check(int error)
{
	if (!error)
		return;
	fprintf(stderr, "%s\n", carob_error_last());
	exit(2);
}

/** Creates the objects; exits on failure. */
static inline void bench_loop_init(bench_loop_t *bench)
{
	bench_check(carob_kernel_new(&bench->kernel, carob_clock_system()));
	bench_check(carob_loop_new(&bench->loop, bench->kernel));
	bench_check(
		carob_udp_hub_new(&bench->hub, carob_loop_base(bench->loop)));
}

/** Releases the objects. */
static inline void bench_loop_dispose(bench_loop_t *bench)
{
	carob_udp_hub_free(bench->hub);
	carob_loop_free(bench->loop);
	carob_kernel_free(bench->kernel);
}

/** Parses an address with a port; exits if it is invalid. */
static inline carob_addr_t bench_addr(const char *text)
{
	carob_addr_t addr = {0};

	bench_check(carob_addr_parse(&addr, carob_str_from(text)));
	return addr;
}

#endif
