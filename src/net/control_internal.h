/**
 * @file control_internal.h
 * Internal state of the control channel, shared by control.c and
 * control_status.c.
 */
#ifndef CAROB_NET_CONTROL_INTERNAL_H
#define CAROB_NET_CONTROL_INTERNAL_H

#include "net/control.h"
#include "net/control_auth.h"
#include "net/control_codec.h"
#include "net/control_peers.h"

#include <uthash.h>

/** A peer with a connection to this instance. */
typedef struct carob_control_route {
	carob_instance_id_t id;
	uint64_t last_received_ns;
	UT_hash_handle hh;
} carob_control_route_t;

struct carob_control {
	carob_control_port_t port;
	carob_service_t service; /* registered as "control" */
	carob_kernel_t *kernel;
	struct event_base *base;
	carob_control_handler_t *handler;
	carob_instance_id_t self;
	carob_addr_t listen;
	carob_curve_keys_t keys;
	void *context; /* ZeroMQ context */
	carob_control_auth_t auth;
	carob_zmq_socket_t router;
	carob_control_dealer_t *dealers;
	size_t dealer_count;
	carob_control_route_t *routes; /* hash table by instance id */
	carob_status_provider_t *providers;
	carob_timer_t sweep; /* closes idle dealers, removes idle routes */
	carob_control_scratch_t *scratch; /* lists of a received message */
	carob_buf_t out;		  /* message being sent */
	carob_buf_t json;		  /* status being sent */
	carob_control_counters_t counters;
};

/**
 * Sends the reply to a status request.
 *
 * @param control the control channel
 * @param route routing id of the connection that the request came from
 * @param request the request
 */
void carob_control_send_status_reply(carob_control_t *control,
				     carob_str_t route,
				     const carob_control_msg_t *request);

#endif
