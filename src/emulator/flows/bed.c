#include "bed.h"

#include "host.h"

#include <string.h>

#define PER_MILLE 1000

size_t bed_instance_of(const bed_t *bed, const carob_addr_t *from)
{
	for (size_t i = 0; i < bed->instance_count; i++)
		if (memcmp(bed->instances[i].packets.ip, from->ip,
			   sizeof(from->ip)) == 0)
			return i;
	return JUDGE_INSTANCES_MAX;
}

carob_addr_t bed_addr(const bed_t *bed, uint32_t offset, uint16_t port)
{
	carob_addr_t addr = bed->base;

	addr.ip[3] = (uint8_t)(addr.ip[3] + offset);
	addr.port = port;
	return addr;
}

bool bed_loses(bed_t *bed, size_t from_zone, size_t to_zone)
{
	bool cut = from_zone == bed->cut_zone || to_zone == bed->cut_zone;

	if (cut && from_zone != to_zone)
		return true;
	return bed->loss_per_mille > 0 &&
	       carob_rng_below(&bed->rng, PER_MILLE) < bed->loss_per_mille;
}

bed_route_t *bed_route_of(bed_t *bed, carob_endpoint_t endpoint)
{
	for (size_t i = 0; i < bed->route_count; i++)
		if (carob_endpoint_eq(bed->routes[i].endpoint, endpoint))
			return &bed->routes[i];
	return NULL;
}
