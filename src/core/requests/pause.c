/*
 * Detects pauses of the process, such as a suspended virtual machine, by a
 * periodic timer that fires late.
 */
#include "core/requests/entry_priv.h"

#define TICK_NS	     (500 * CAROB_NS_PER_MS)
#define PAUSE_MIN_NS (1500 * CAROB_NS_PER_MS)
/* Time after a pause in which packets from the socket may be old. */
#define CATCH_UP_NS (200 * CAROB_NS_PER_MS)

void carob_pause_check(carob_entry_t *entry)
{
	uint64_t now = carob_entry_now(entry);

	if (now - entry->ticked_ns < PAUSE_MIN_NS)
		return;
	entry->pauses++;
	entry->pause_began_ns = entry->ticked_ns;
	entry->pause_over_ns = now + CATCH_UP_NS;
	entry->ticked_ns = now;
}

static void on_tick(carob_timer_t *timer)
{
	carob_entry_t *entry = CAROB_CONTAINER_OF(timer, carob_entry_t, tick);

	carob_pause_check(entry);
	entry->ticked_ns = carob_entry_now(entry);
	carob_timer_arm(entry->kernel, timer, entry->ticked_ns + TICK_NS);
}

void carob_pause_init(carob_entry_t *entry)
{
	entry->tick.fire = on_tick;
	entry->ticked_ns = carob_entry_now(entry);
	carob_timer_arm(entry->kernel, &entry->tick,
			entry->ticked_ns + TICK_NS);
}

uint64_t carob_pause_arrival(const carob_entry_t *entry)
{
	uint64_t now = carob_entry_now(entry);

	return now < entry->pause_over_ns ? entry->pause_began_ns : now;
}
