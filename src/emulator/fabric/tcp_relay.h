/**
 * @file tcp_relay.h
 * A TCP address whose connections are relayed to one target. A link that
 * drops everything stalls the data of its direction without closing
 * connections; it continues when the link is healed.
 */
#ifndef CAROB_FABRIC_TCP_RELAY_H
#define CAROB_FABRIC_TCP_RELAY_H

#include "carobtrail/kernel.h"
#include "link.h"

struct event_base;

typedef struct tcp_relay tcp_relay_t;

/** Opens a relay. @return 0, CAROB_ENOMEM or CAROB_EIO */
int tcp_relay_open(tcp_relay_t **out, struct event_base *base,
		   const fabric_links_t *links, const carob_addr_t *listen,
		   const carob_addr_t *target);

/** Closes a relay and its connections; NULL is ignored. */
void tcp_relay_close(tcp_relay_t *relay);

/** Stalls or resumes each connection after a change of the links. */
void tcp_relay_update(tcp_relay_t *relay);

#endif
