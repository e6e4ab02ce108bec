#include "core.h"

#include "carobtrail/errors.h"

#include <sodium.h>
#include <stdlib.h>

static void core_free(carob_service_t *service)
{
	entryd_core_t *core = (entryd_core_t *)service;

	carob_scheduler_free(core->scheduler);
	carob_manifest_store_free(core->store);
	carob_keyring_free(core->keyring);
	carob_membership_free(core->membership);
	free(core);
}

static const carob_service_ops_t core_ops = {
	.name = ENTRYD_CORE,
	.free = core_free,
};

/* Chooses a random incarnation; 0 is not a valid one. */
static uint32_t random_incarnation(void)
{
	return 1 + randombytes_uniform(UINT32_MAX);
}

static int new_membership(entryd_core_t *core,
			  const entryd_settings_t *settings)
{
	carob_membership_options_t options = CAROB_MEMBERSHIP_OPTIONS_INIT;

	options.self = (carob_member_t){
		.id = {settings->instance, random_incarnation()},
		.zone = settings->zone,
		.relay_addr = settings->relay_advertised,
		.control_addr = settings->control_advertised,
		.state = CAROB_MEMBER_ALIVE,
		.revision = 1,
	};
	return carob_membership_new(&core->membership, &options);
}

static int new_scheduler(entryd_core_t *core, carob_kernel_t *kernel)
{
	carob_scheduler_options_t options = CAROB_SCHEDULER_OPTIONS_INIT;

	options.kernel = kernel;
	options.membership = core->membership;
	randombytes_buf(&options.seed, sizeof(options.seed));
	return carob_scheduler_new(&core->scheduler, &options);
}

static int apply_manifest(carob_manifest_subscriber_t *subscriber,
			  const carob_generation_t *generation)
{
	entryd_core_t *core =
		CAROB_CONTAINER_OF(subscriber, entryd_core_t, subscriber);

	return carob_scheduler_set_manifest(core->scheduler,
					    generation->manifest);
}

static int init_core(entryd_core_t *core, carob_kernel_t *kernel,
		     const entryd_settings_t *settings)
{
	int error;

	error = new_membership(core, settings);
	if (!error)
		error = carob_keyring_new(&core->keyring);
	if (!error)
		error = new_scheduler(core, kernel);
	if (!error)
		error = carob_manifest_store_new(&core->store);
	core->subscriber.apply = apply_manifest;
	if (!error)
		error = carob_manifest_store_subscribe(core->store,
						       &core->subscriber);
	return error;
}

int entryd_core_register(carob_kernel_t *kernel,
			 const entryd_settings_t *settings)
{
	entryd_core_t *core = calloc(1, sizeof(*core));
	int error;

	if (!core)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the core service");
	core->service.ops = &core_ops;
	error = init_core(core, kernel, settings);
	if (!error)
		error = carob_kernel_register(kernel, &core->service);
	if (error)
		core_free(&core->service);
	return error;
}

entryd_core_t *entryd_core_find(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_CORE);
	return (entryd_core_t *)service;
}
