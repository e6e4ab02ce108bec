/**
 * @file loop.h
 * Runs a kernel's timers in a libevent loop.
 */
#ifndef CAROB_NET_LOOP_H
#define CAROB_NET_LOOP_H

#include "carobtrail/kernel.h"

struct event_base;

typedef struct carob_loop carob_loop_t;

/**
 * Creates a libevent loop for a kernel.
 *
 * @param out receives the loop; release it with `carob_loop_free`
 * @param kernel whose timers to run; must outlive the loop
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int carob_loop_new(carob_loop_t **out, carob_kernel_t *kernel);

/** Releases the loop and its libevent base. */
void carob_loop_free(carob_loop_t *loop);

/** @return the libevent base, borrowed, for adding events */
struct event_base *carob_loop_base(carob_loop_t *loop);

/**
 * Runs the loop until `carob_loop_stop` is called; returns at once if that
 * was called before. May be called again afterwards.
 *
 * @return 0 or CAROB_EIO
 */
int carob_loop_run(carob_loop_t *loop);

/** Makes `carob_loop_run` return after the current iteration. */
void carob_loop_stop(carob_loop_t *loop);

#endif
