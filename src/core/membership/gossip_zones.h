/**
 * @file gossip_zones.h
 * The time since a message from each other zone last reached this instance's
 * zone. Members with a cross link to a zone measure it themselves; all other
 * members use the lowest age in the heartbeats of their neighbours.
 */
#ifndef CAROB_CORE_GOSSIP_ZONES_H
#define CAROB_CORE_GOSSIP_ZONES_H

#include "carobtrail/control_msg.h"

/** Another zone. */
typedef struct carob_zone_contact {
	carob_zone_t zone;
	uint64_t last_message_ns; /* time of the last message from the zone */
	bool reachable;
	uint32_t salt; /* a new value selects other members for cross links */
} carob_zone_contact_t;

/** All other zones known; zero-initialise it. */
typedef struct carob_zone_contacts {
	carob_zone_contact_t zones[CAROB_CONTROL_ZONES_MAX];
	size_t count;
} carob_zone_contacts_t;

/**
 * Finds a zone. A new one is added as reachable, with a last message at
 * `now_ns`.
 *
 * @return the zone, or NULL if it is new and there are too many
 */
carob_zone_contact_t *carob_zone_contacts_get(carob_zone_contacts_t *contacts,
					      const carob_zone_t *zone,
					      uint64_t now_ns);

/** Records a message from a zone at `message_ns`; earlier times are ignored. */
void carob_zone_contacts_record(carob_zone_contacts_t *contacts,
				const carob_zone_t *zone, uint64_t message_ns);

/**
 * Writes the time since the last message of each zone.
 *
 * @param out receives up to CAROB_CONTROL_ZONES_MAX ages
 * @param contacts the zones
 * @param now_ns the current time
 * @return number of ages written
 */
size_t carob_zone_contacts_ages(carob_control_zone_age_t *out,
				const carob_zone_contacts_t *contacts,
				uint64_t now_ns);

#endif
