#include "net/control_internal.h"

#include "carobtrail/errors.h"

#include <string.h>

/* Splits "name arguments". Returns the name; `args` may become empty. */
static carob_str_t split_query(carob_str_t *args, carob_str_t query)
{
	const char *space = query.len ? memchr(query.ptr, ' ', query.len)
				      : NULL;
	size_t len = space ? (size_t)(space - query.ptr) : query.len;

	*args = (carob_str_t){"", 0};
	if (space)
		*args = (carob_str_t){space + 1, query.len - len - 1};
	return (carob_str_t){query.ptr, len};
}

static int format_names(carob_control_t *control)
{
	const carob_status_provider_t *provider = control->providers;
	int error = carob_buf_printf(&control->json, "{\"status\":[");

	for (; provider && !error; provider = provider->next)
		error = carob_buf_printf(&control->json, "\"%s\",",
					 provider->name);
	if (!error)
		error = carob_buf_printf(&control->json, "\"control\"]}");
	return error;
}

static int format_counters(carob_control_t *control)
{
	carob_control_counters_t c;

	carob_control_counters(&c, control);
	return carob_buf_printf(
		&control->json,
		"{\"sent\":%llu,\"sent_bytes\":%llu,\"received\":%llu,"
		"\"received_bytes\":%llu,\"dropped\":%llu,\"refused_key\":%llu,"
		"\"refused_message\":%llu,\"status_requests\":%llu,"
		"\"dealers\":%llu,\"routes\":%llu}",
		(unsigned long long)c.sent, (unsigned long long)c.sent_bytes,
		(unsigned long long)c.received,
		(unsigned long long)c.received_bytes,
		(unsigned long long)c.dropped,
		(unsigned long long)c.refused_key,
		(unsigned long long)c.refused_message,
		(unsigned long long)c.status_requests,
		(unsigned long long)c.dealers, (unsigned long long)c.routes);
}

static int build_status(carob_control_t *control, carob_str_t query)
{
	carob_status_provider_t *provider = control->providers;
	carob_str_t args;
	carob_str_t name = split_query(&args, query);

	if (name.len == 0)
		return format_names(control);
	if (carob_str_eq(name, CAROB_STR("control")))
		return format_counters(control);
	while (provider && !carob_str_eq(carob_str_from(provider->name), name))
		provider = provider->next;
	if (!provider)
		return carob_error_set(CAROB_ENOTFOUND,
				       "unknown status \"%.*s\"", (int)name.len,
				       name.ptr);
	return provider->status(provider, &control->json, args);
}

void carob_control_send_status_reply(carob_control_t *control,
				     carob_str_t route,
				     const carob_control_msg_t *request)
{
	carob_control_msg_t reply = {.type = CAROB_CONTROL_STATUS_REPLY,
				     .from = control->self};
	carob_str_t frames[2] = {route};

	control->counters.status_requests++;
	carob_buf_clear(&control->json);
	reply.status.request = request->status.request;
	reply.status.result = build_status(control, request->status.query);
	reply.status.json = carob_buf_view(&control->json);
	if (reply.status.result != 0)
		reply.status.json = carob_str_from(carob_error_last());
	else if (control->json.len > CAROB_CONTROL_STATUS_MAX) {
		reply.status.result = CAROB_ELIMIT;
		reply.status.json = CAROB_STR("the status is too long");
	}
	carob_buf_clear(&control->out);
	if (carob_control_encode(&control->out, &reply) != 0)
		return;
	frames[1] = carob_buf_view(&control->out);
	if (carob_zmq_send(&control->router, frames, 2) != 0)
		control->counters.dropped++;
}
