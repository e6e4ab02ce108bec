/**
 * @file relay.h
 * A caller's packet that one instance relays to another in one datagram.
 */
#ifndef CAROBTRAIL_RELAY_H
#define CAROBTRAIL_RELAY_H

#include "carobtrail/ids.h"
#include "carobtrail/msg.h"

/** Reason for a relay, which determines how the receiver handles the packet. */
typedef enum carob_relay_kind {
	/** The packet's token is owned by the receiver or its predecessor. */
	CAROB_RELAY_OWNER = 1,
	/** The owner had no free slot; the receiver may run the request. */
	CAROB_RELAY_OVERFLOW = 2,
	/** A message without a token, such as a Reset; its owner is unknown. */
	CAROB_RELAY_SEARCH = 3,
} carob_relay_kind_t;

/** A relayed packet; `msg` borrows from the datagram. */
typedef struct carob_relay {
	carob_relay_kind_t kind;
	uint32_t service_id;
	carob_instance_id_t from; /* sender */
	carob_instance_id_t to;	  /* receiver */
	carob_addr_t caller;
	uint32_t age_us; /* time since the packet arrived from the caller */
	carob_msg_t msg;
} carob_relay_t;

#endif
