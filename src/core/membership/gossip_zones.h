/**
 * @file gossip_zones.h
 * How long ago anything from each other zone reached this instance's zone.
 * Members that link to a zone hear it themselves; the others take the lowest
 * age that their neighbours name.
 */
#ifndef CAROB_CORE_GOSSIP_ZONES_H
#define CAROB_CORE_GOSSIP_ZONES_H

#include "carobtrail/control_msg.h"

/** Another zone. */
typedef struct carob_zone_contact {
	carob_zone_t zone;
	uint64_t heard_ns;
	bool reachable;
	uint32_t salt; /* changes which of its members are linked to */
} carob_zone_contact_t;

/** All other zones that are known; zero-initialise it. */
typedef struct carob_zone_contacts {
	carob_zone_contact_t zones[CAROB_CONTROL_ZONES_MAX];
	size_t count;
} carob_zone_contacts_t;

/**
 * @return the zone, added as reachable and heard at `now_ns` if it is new;
 *         NULL if there are too many
 */
carob_zone_contact_t *carob_zone_contacts_get(carob_zone_contacts_t *contacts,
					      const carob_zone_t *zone,
					      uint64_t now_ns);

/** Notes that something from a zone arrived, at `heard_ns` or later. */
void carob_zone_contacts_heard(carob_zone_contacts_t *contacts,
			       const carob_zone_t *zone, uint64_t heard_ns);

/**
 * Writes the age of every zone.
 *
 * @param out receives up to CAROB_CONTROL_ZONES_MAX ages
 * @return how many
 */
size_t carob_zone_contacts_ages(carob_control_zone_age_t *out,
				const carob_zone_contacts_t *contacts,
				uint64_t now_ns);

#endif
