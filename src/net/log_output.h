/**
 * @file log_output.h
 * Writes log lines to a pipe or file without blocking on its reader. Lines
 * are kept in a bounded buffer; lines that do not fit are dropped and counted.
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
 * @param fd destination of the lines; is not closed
 * @return 0 or CAROB_ENOMEM
 */
int carob_log_output_new(carob_log_output_t **out, carob_kernel_t *kernel,
			 int fd);

/** Writes what can be written without blocking and releases the output. */
void carob_log_output_free(carob_log_output_t *output);

/** @return the sink for `carob_log_configure`, borrowed */
carob_log_sink_t *carob_log_output_sink(carob_log_output_t *output);

/** @return how many lines were dropped so far */
uint64_t carob_log_output_dropped(const carob_log_output_t *output);

#endif
