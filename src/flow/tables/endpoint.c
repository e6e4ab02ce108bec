#include "carobtrail/endpoint.h"

#include <arpa/inet.h>
#include <string.h>

carob_endpoint_t carob_endpoint_of(const carob_addr_t *addr)
{
	carob_endpoint_t endpoint = {.port = addr->port};
	uint32_t network;

	memcpy(&network, addr->ip, sizeof(network));
	endpoint.ip = ntohl(network);
	return endpoint;
}

carob_addr_t carob_endpoint_addr(carob_endpoint_t endpoint)
{
	carob_addr_t addr = {.family = 4, .port = endpoint.port};
	uint32_t network = htonl(endpoint.ip);

	memcpy(addr.ip, &network, sizeof(network));
	return addr;
}
