#include "sync.h"

#include "carobtrail/errors.h"
#include "control.h"
#include "core.h"
#include "platform.h"

#include <sodium.h>
#include <stdlib.h>

typedef struct entryd_sync {
	carob_service_t service;
	carob_manifest_sync_t *sync;
} entryd_sync_t;

static void sync_free(carob_service_t *service)
{
	entryd_sync_t *self = (entryd_sync_t *)service;

	carob_manifest_sync_free(self->sync);
	free(self);
}

static const carob_service_ops_t sync_ops = {
	.name = ENTRYD_SYNC,
	.free = sync_free,
};

static int new_sync(entryd_sync_t *self, carob_kernel_t *kernel,
		    const entryd_settings_t *settings)
{
	carob_manifest_sync_options_t options =
		CAROB_MANIFEST_SYNC_OPTIONS_INIT;
	entryd_core_t *core = entryd_core_find(kernel);

	options.kernel = kernel;
	options.store = core->store;
	options.membership = core->membership;
	options.port = carob_control_port(
		entryd_control_channel(entryd_control_find(kernel)));
	options.kv = entryd_platform_kv(kernel);
	options.deployment = settings->deployment;
	randombytes_buf(&options.seed, sizeof(options.seed));
	return carob_manifest_sync_new(&self->sync, &options);
}

int entryd_sync_register(carob_kernel_t *kernel,
			 const entryd_settings_t *settings)
{
	entryd_sync_t *self = calloc(1, sizeof(*self));
	int error;

	if (!self)
		return carob_error_set(
			CAROB_ENOMEM,
			"cannot allocate the manifest sync service");
	self->service.ops = &sync_ops;
	error = new_sync(self, kernel, settings);
	if (!error)
		error = carob_kernel_register(kernel, &self->service);
	if (error)
		sync_free(&self->service);
	return error;
}

carob_manifest_sync_t *entryd_sync_find(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_SYNC);
	return ((entryd_sync_t *)service)->sync;
}
