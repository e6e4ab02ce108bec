#include "carobtrail/link_meter.h"

#include "carobtrail/clock.h"

#define BITS_PER_BYTE 8.0
#define BITS_PER_MBIT 1e6
/* A queue that takes longer to send is long: most responses arrive within a few
 * times this. */
#define QUEUE_NS_MAX (20.0 * CAROB_NS_PER_MS)
/* What was sent through a long queue may still be unanswered for this long: the
 * time after which callers have repeated a request twice. */
#define AFTERMATH_NS (1500 * CAROB_NS_PER_MS)

void carob_link_meter_init(carob_link_meter_t *meter, double mbps)
{
	*meter = (carob_link_meter_t){.bytes_per_ns = mbps * BITS_PER_MBIT /
						      BITS_PER_BYTE /
						      CAROB_NS_PER_S};
}

bool carob_link_meter_send(carob_link_meter_t *meter, uint64_t bytes,
			   uint64_t now_ns)
{
	bool was_congested = carob_link_meter_congested(meter, now_ns);

	if (meter->bytes_per_ns <= 0)
		return false;
	meter->queued_bytes -=
		(double)(now_ns - meter->updated_ns) * meter->bytes_per_ns;
	if (meter->queued_bytes < 0)
		meter->queued_bytes = 0;
	meter->queued_bytes += (double)bytes;
	meter->updated_ns = now_ns;
	if (meter->queued_bytes <= QUEUE_NS_MAX * meter->bytes_per_ns)
		return false;
	meter->congested_ns = now_ns;
	meter->has_been_congested = true;
	return !was_congested;
}

bool carob_link_meter_can_send(const carob_link_meter_t *meter, uint64_t bytes,
			       uint64_t within_ns)
{
	return meter->bytes_per_ns <= 0 ||
	       (double)bytes <= meter->bytes_per_ns * (double)within_ns;
}

bool carob_link_meter_congested(const carob_link_meter_t *meter,
				uint64_t now_ns)
{
	return meter->has_been_congested &&
	       now_ns - meter->congested_ns < AFTERMATH_NS;
}
