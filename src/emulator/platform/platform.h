/**
 * @file platform.h
 * State and functions that the source files of carob-platform share.
 */
#ifndef CAROB_PLATFORM_PLATFORM_H
#define CAROB_PLATFORM_PLATFORM_H

#include "catalog.h"
#include "emulator/common/command.h"
#include "meter.h"
#include "net/program.h"
#include "store.h"

#include <event2/http.h>

typedef struct platform platform_t;

/** A request in progress: delayed, or a watch that waits for a change. */
typedef struct platform_call {
	platform_t *platform;
	struct evhttp_request *request;
	carob_timer_t timer;
	uint64_t index;	     /* index that a watch has seen */
	uint64_t expires_ns; /* end of a watch; 0: not set yet */
	bool is_waiting;     /* whether it waits for a change */
	struct platform_call *prev;
	struct platform_call *next;
} platform_call_t;

/** Faults that commands switch on. */
typedef struct platform_faults {
	bool down;	       /* connections are closed without a response */
	uint64_t delay_ns;     /* delay before each call is carried out */
	uint64_t lose_answers; /* number of next writes that get no response */
} platform_faults_t;

/** State of the program. */
struct platform {
	carob_program_t program;
	struct evhttp *http;
	carob_command_t *command;
	store_t store;
	catalog_t catalog;
	platform_faults_t faults;
	platform_call_t *calls;
	meter_t reads;
	meter_t writes;
	uint64_t answers_lost;
	uint64_t refused_down;
};

/** Opens the HTTP server. @return 0 or a negative code */
int platform_http_open(platform_t *platform, const carob_addr_t *listen);

/** Ends all calls and closes the server. */
void platform_http_close(platform_t *platform);

/** Carries out a command; see docs/operations/emulators.md. */
int platform_command(carob_buf_t *answer, void *context,
		     const carob_json_node_t *root);

/** Handles a call under /v1/kv/. */
void platform_kv(platform_call_t *call, const char *key,
		 const struct evkeyvalq *query);

/** Handles a call under /v1/session/. */
void platform_session(platform_call_t *call, const char *path);

/** Handles a call under /v1/catalog/ or /v1/agent/. */
void platform_catalog(platform_call_t *call, const char *path);

/** Sends a response and ends the call. */
void platform_reply(platform_call_t *call, int status, carob_str_t body);

/** Sends a JSON value and ends the call. Takes over the value's reference. */
void platform_reply_json(platform_call_t *call, int status, json_t *value);

/**
 * Sends the response to a write, or closes the connection instead if responses
 * are to be lost, and ends the call. Takes over the value's reference.
 */
void platform_reply_write(platform_call_t *call, int status, json_t *value);

/** Makes a call wait until data has changed since `index`, or until
 * `expires_ns` at the latest. */
void platform_wait_for_change(platform_call_t *call, uint64_t index,
			      uint64_t expires_ns);

/** @return the body of the request, to be disposed of by the caller */
carob_buf_t platform_request_body(const platform_call_t *call);

#endif
