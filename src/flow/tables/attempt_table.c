#include "carobtrail/attempt_table.h"

#include "carobtrail/rng.h"

bool carob_attempt_table_exchange(carob_attempt_t *out,
				  carob_attempt_table_t *table,
				  const carob_flow_packet_t *packet,
				  uint32_t now_ms)
{
	uint64_t hash = carob_hash_u64((uint64_t)packet->caller.ip << 32 |
				       packet->route.ip) ^
			packet->route.port;
	carob_attempt_t *attempt =
		&table->items[carob_hash_u64(hash) % CAROB_ATTEMPTS];

	*out = *attempt;
	attempt->caller = packet->caller;
	attempt->route = packet->route;
	attempt->ms = now_ms;
	return out->caller.ip == packet->caller.ip &&
	       carob_endpoint_eq(out->route, packet->route);
}
