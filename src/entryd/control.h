/**
 * @file control.h
 * Kernel service that holds the control channel to the other instances.
 */
#ifndef CAROB_ENTRYD_CONTROL_H
#define CAROB_ENTRYD_CONTROL_H

#include "net/control.h"
#include "settings.h"

#define ENTRYD_CONTROL "control-channel"

typedef struct entryd_control entryd_control_t;

/**
 * Creates and registers the service; "core" must be registered.
 *
 * @return 0 or a negative code
 */
int entryd_control_register(carob_kernel_t *kernel, carob_loop_t *loop,
			    const entryd_settings_t *settings);

/** @return the service; the kernel owns it */
entryd_control_t *entryd_control_find(const carob_kernel_t *kernel);

/** @return the control channel, borrowed from the service */
carob_control_t *entryd_control_channel(entryd_control_t *control);

/**
 * Sets the receiver of messages; it must outlive the service. Messages that
 * arrive before it is set are dropped.
 */
void entryd_control_set_handler(entryd_control_t *control,
				carob_control_handler_t *handler);

#endif
