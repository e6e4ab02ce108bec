/**
 * @file sync.h
 * Kernel service that keeps the manifest up to date, from the platform and
 * from the other instances.
 */
#ifndef CAROB_ENTRYD_SYNC_H
#define CAROB_ENTRYD_SYNC_H

#include "carobtrail/manifest_sync.h"
#include "settings.h"

#define ENTRYD_SYNC "manifest-sync"

/**
 * Creates and registers the service; "core", "control" and, if the settings
 * name a platform, "platform" must be registered.
 *
 * @return 0 or a negative code
 */
int entryd_sync_register(carob_kernel_t *kernel,
			 const entryd_settings_t *settings);

/** @return the manifest synchronisation, borrowed from the service */
carob_manifest_sync_t *entryd_sync_find(const carob_kernel_t *kernel);

#endif
