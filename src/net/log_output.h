/**
 * @file log_output.h
 * Log lines on a pipe or file without ever waiting for its reader: lines wait
 * in a bounded buffer, and what does not fit is dropped and counted.
 */
#ifndef CAROB_NET_LOG_OUTPUT_H
#define CAROB_NET_LOG_OUTPUT_H

#include "carobtrail/kernel.h"
#include "carobtrail/log.h"

typedef struct carob_log_output carob_log_output_t;

/**
 * Creates an output.
 *
 * @param out receives it; release it with `carob_log_output_free`
 * @param kernel for the timer that writes; must outlive the output
 * @param fd where lines go; stays open
 * @return 0 or CAROB_ENOMEM
 */
int carob_log_output_new(carob_log_output_t **out, carob_kernel_t *kernel,
			 int fd);

/** Writes what can be written at once and releases the output. */
void carob_log_output_free(carob_log_output_t *output);

/** @return the sink for `carob_log_configure`, borrowed */
carob_log_sink_t *carob_log_output_sink(carob_log_output_t *output);

/** @return how many lines were dropped so far */
uint64_t carob_log_output_dropped(const carob_log_output_t *output);

#endif
