#include "platform.h"

#include "carobtrail/errors.h"
#include "net/platform_client.h"

#include <stdlib.h>

typedef struct entryd_platform {
	carob_service_t service;
	carob_platform_client_t *client;
} entryd_platform_t;

static void platform_free(carob_service_t *service)
{
	entryd_platform_t *self = (entryd_platform_t *)service;

	carob_platform_client_free(self->client);
	free(self);
}

static const carob_service_ops_t platform_ops = {
	.name = ENTRYD_PLATFORM,
	.free = platform_free,
};

int entryd_platform_register(carob_kernel_t *kernel, struct event_base *base,
			     const entryd_settings_t *settings)
{
	carob_platform_client_options_t options =
		CAROB_PLATFORM_CLIENT_OPTIONS_INIT;
	entryd_platform_t *self;
	int error;

	if (settings->platform.family == 0)
		return 0;
	self = calloc(1, sizeof(*self));
	if (!self)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the platform service");
	self->service.ops = &platform_ops;
	options.kernel = kernel;
	options.base = base;
	options.addr = settings->platform;
	options.source = settings->service_ip;
	error = carob_platform_client_new(&self->client, &options);
	if (!error)
		error = carob_kernel_register(kernel, &self->service);
	if (error)
		platform_free(&self->service);
	return error;
}

carob_kv_t *entryd_platform_kv(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	if (carob_kernel_find(&service, kernel, ENTRYD_PLATFORM) != 0)
		return NULL;
	return carob_platform_client_kv(((entryd_platform_t *)service)->client);
}
