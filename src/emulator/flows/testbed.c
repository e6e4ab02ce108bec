#include "testbed.h"

#include "host.h"

#include <string.h>

#define PER_MILLE 1000

size_t testbed_instance_of(const testbed_t *testbed, const carob_addr_t *from)
{
	for (size_t i = 0; i < testbed->instance_count; i++)
		if (memcmp(testbed->instances[i].packets.ip, from->ip,
			   sizeof(from->ip)) == 0)
			return i;
	return CHECKER_INSTANCES_MAX;
}

carob_addr_t testbed_addr(const testbed_t *testbed, uint32_t offset,
			  uint16_t port)
{
	carob_addr_t addr = testbed->base;

	addr.ip[3] = (uint8_t)(addr.ip[3] + offset);
	addr.port = port;
	return addr;
}

bool testbed_loses_packet(testbed_t *testbed, size_t from_zone, size_t to_zone)
{
	bool cut = from_zone == testbed->cut_zone ||
		   to_zone == testbed->cut_zone;

	if (cut && from_zone != to_zone)
		return true;
	return testbed->loss_per_mille > 0 &&
	       carob_rng_below(&testbed->rng, PER_MILLE) <
		       testbed->loss_per_mille;
}

testbed_route_t *testbed_find_route(testbed_t *testbed,
				    carob_endpoint_t endpoint)
{
	for (size_t i = 0; i < testbed->route_count; i++)
		if (carob_endpoint_eq(testbed->routes[i].endpoint, endpoint))
			return &testbed->routes[i];
	return NULL;
}
