/**
 * @file core.h
 * Kernel service that holds the state which the other services share:
 * membership, keyring, scheduler and the manifest in force.
 */
#ifndef CAROB_ENTRYD_CORE_H
#define CAROB_ENTRYD_CORE_H

#include "carobtrail/kernel.h"
#include "carobtrail/keyring.h"
#include "carobtrail/manifest_store.h"
#include "carobtrail/membership.h"
#include "carobtrail/scheduler.h"
#include "settings.h"

#define ENTRYD_CORE "core"

/** The service and the objects that it owns. */
typedef struct entryd_core {
	carob_service_t service;
	carob_membership_t *membership;
	carob_keyring_t *keyring;
	carob_scheduler_t *scheduler;
	carob_manifest_store_t *store;
	carob_manifest_subscriber_t subscriber;
} entryd_core_t;

/** Creates and registers the service. @return 0 or a negative code */
int entryd_core_register(carob_kernel_t *kernel,
			 const entryd_settings_t *settings);

/** @return the service; it is registered before all others */
entryd_core_t *entryd_core_find(const carob_kernel_t *kernel);

#endif
