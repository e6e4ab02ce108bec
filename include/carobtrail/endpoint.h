/**
 * @file endpoint.h
 * An IPv4 address and port as integers, so that they can be compared cheaply
 * for each packet.
 */
#ifndef CAROBTRAIL_ENDPOINT_H
#define CAROBTRAIL_ENDPOINT_H

#include "carobtrail/ids.h"

/** An IPv4 address and port, both in host byte order. */
typedef struct carob_endpoint {
	uint32_t ip;
	uint16_t port;
} carob_endpoint_t;

/** @return whether both are the same address and port */
static inline bool carob_endpoint_eq(carob_endpoint_t a, carob_endpoint_t b)
{
	return a.ip == b.ip && a.port == b.port;
}

/** @return the endpoint of an address, whose family must be 4 */
carob_endpoint_t carob_endpoint_of(const carob_addr_t *addr);

/** @return the endpoint as an address of family 4 */
carob_addr_t carob_endpoint_addr(carob_endpoint_t endpoint);

#endif
