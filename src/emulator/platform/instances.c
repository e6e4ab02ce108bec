#include "platform.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

#define REGISTER   "agent/service/register"
#define DEREGISTER "agent/service/deregister/"
#define CATALOG	   "catalog/service/"

static bool has_prefix(const char *path, const char *prefix)
{
	return strncmp(path, prefix, strlen(prefix)) == 0;
}

static json_t *parse_body(const platform_call_t *call)
{
	CAROB_CLEANUP(carob_buf_dispose)
	carob_buf_t body = platform_request_body(call);

	return json_loadb(body.ptr ? body.ptr : "", body.len, 0, NULL);
}

static void register_service(platform_call_t *call)
{
	json_t *service = parse_body(call);

	if (!service ||
	    catalog_register(&call->platform->catalog, service) != 0)
		platform_reply(call, HTTP_BADREQUEST,
			       CAROB_STR("not a service"));
	else
		platform_reply_write(call, HTTP_OK, json_object());
	json_decref(service);
}

void platform_catalog(platform_call_t *call, const char *path)
{
	catalog_t *catalog = &call->platform->catalog;

	if (strcmp(path, REGISTER) == 0) {
		register_service(call);
	} else if (has_prefix(path, DEREGISTER)) {
		catalog_deregister(catalog, path + strlen(DEREGISTER));
		platform_reply_write(call, HTTP_OK, json_object());
	} else if (has_prefix(path, CATALOG)) {
		platform_reply_json(call, HTTP_OK,
				    catalog_list(catalog,
						 path + strlen(CATALOG)));
	} else {
		platform_reply(call, HTTP_NOTFOUND, CAROB_STR("no such path"));
	}
}

/* Parses the time to live of a session, such as "15s", into nanoseconds. */
static uint64_t parse_ttl(const json_t *options)
{
	const char *text = json_string_value(json_object_get(options, "TTL"));

	return text ? strtoull(text, NULL, 10) * CAROB_NS_PER_S : 0;
}

static void create_session(platform_call_t *call)
{
	json_t *options = parse_body(call);
	const char *behavior =
		json_string_value(json_object_get(options, "Behavior"));
	const store_session_t *session = store_session_create(
		&call->platform->store, parse_ttl(options),
		behavior && strcmp(behavior, "delete") == 0);

	json_decref(options);
	if (!session) {
		platform_reply(call, HTTP_INTERNAL, CAROB_STR(""));
		return;
	}
	platform_reply_write(call, HTTP_OK,
			     json_pack("{s:s}", "ID", session->id));
}

static void renew_session(platform_call_t *call, const char *id)
{
	const store_session_t *session =
		store_session_renew(&call->platform->store, id);

	if (!session) {
		platform_reply(call, HTTP_NOTFOUND,
			       CAROB_STR("session has lapsed"));
		return;
	}
	platform_reply_write(call, HTTP_OK,
			     json_pack("[{s:s}]", "ID", session->id));
}

void platform_session(platform_call_t *call, const char *path)
{
	if (strcmp(path, "create") == 0) {
		create_session(call);
	} else if (has_prefix(path, "renew/")) {
		renew_session(call, path + strlen("renew/"));
	} else if (has_prefix(path, "destroy/")) {
		store_session_destroy(&call->platform->store,
				      path + strlen("destroy/"));
		platform_reply_write(call, HTTP_OK, json_true());
	} else {
		platform_reply(call, HTTP_NOTFOUND, CAROB_STR("no such path"));
	}
}
