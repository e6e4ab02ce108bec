/**
 * @file platform.h
 * Kernel service that holds the client of the platform's key-value service.
 */
#ifndef CAROB_ENTRYD_PLATFORM_H
#define CAROB_ENTRYD_PLATFORM_H

#include "carobtrail/kernel.h"
#include "carobtrail/kv.h"
#include "settings.h"

#define ENTRYD_PLATFORM "platform"

struct event_base;

/**
 * Creates and registers the service. Does nothing if the settings have no
 * platform.
 *
 * @return 0 or a negative code
 */
int entryd_platform_register(carob_kernel_t *kernel, struct event_base *base,
			     const entryd_settings_t *settings);

/** @return the key-value service, borrowed; NULL without a platform */
carob_kv_t *entryd_platform_kv(const carob_kernel_t *kernel);

#endif
