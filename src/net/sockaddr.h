/**
 * @file sockaddr.h
 * Converts between `carob_addr_t` and the operating system's addresses.
 */
#ifndef CAROB_NET_SOCKADDR_H
#define CAROB_NET_SOCKADDR_H

#include "carobtrail/ids.h"

#include <sys/socket.h>

/** Converts to a socket address. @return its length in bytes */
socklen_t carob_sockaddr_from(struct sockaddr_storage *out,
			      const carob_addr_t *addr);

/** Converts an IPv4 or IPv6 address; others give an address of family 0. */
void carob_sockaddr_to(carob_addr_t *out, const struct sockaddr_storage *sa);

#endif
