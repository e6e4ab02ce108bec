#include "control.h"

#include "carobtrail/errors.h"
#include "core.h"

#include <stdlib.h>

struct entryd_control {
	carob_service_t service;
	carob_control_handler_t channel_handler;
	carob_control_handler_t *handler;
	carob_control_t *channel;
};

static void control_free(carob_service_t *service)
{
	entryd_control_t *control = (entryd_control_t *)service;

	carob_control_free(control->channel);
	free(control);
}

static const carob_service_ops_t control_ops = {
	.name = ENTRYD_CONTROL,
	.free = control_free,
};

static void on_message(carob_control_handler_t *handler,
		       const carob_control_msg_t *msg)
{
	entryd_control_t *control =
		CAROB_CONTAINER_OF(handler, entryd_control_t, channel_handler);

	if (control->handler)
		control->handler->message(control->handler, msg);
}

int entryd_control_register(carob_kernel_t *kernel, carob_loop_t *loop,
			    const entryd_settings_t *settings)
{
	carob_control_options_t options = CAROB_CONTROL_OPTIONS_INIT;
	entryd_control_t *control = calloc(1, sizeof(*control));
	int error;

	if (!control)
		return carob_error_set(
			CAROB_ENOMEM,
			"cannot allocate the control channel service");
	control->service.ops = &control_ops;
	control->channel_handler.message = on_message;
	options.kernel = kernel;
	options.loop = loop;
	options.self =
		carob_membership_self(entryd_core_find(kernel)->membership)->id;
	options.listen = settings->control;
	options.secret = settings->secret;
	options.handler = &control->channel_handler;
	error = carob_control_new(&control->channel, &options);
	if (!error)
		error = carob_kernel_register(kernel, &control->service);
	if (error)
		control_free(&control->service);
	return error;
}

entryd_control_t *entryd_control_find(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_CONTROL);
	return (entryd_control_t *)service;
}

carob_control_t *entryd_control_channel(entryd_control_t *control)
{
	return control->channel;
}

void entryd_control_set_handler(entryd_control_t *control,
				carob_control_handler_t *handler)
{
	control->handler = handler;
}
