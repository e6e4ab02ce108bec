#include "core/membership/gossip_zones.h"

#include <string.h>

carob_zone_contact_t *carob_zone_contacts_get(carob_zone_contacts_t *contacts,
					      const carob_zone_t *zone,
					      uint64_t now_ns)
{
	carob_zone_contact_t *contact;

	for (size_t i = 0; i < contacts->count; i++)
		if (strcmp(contacts->zones[i].zone.name, zone->name) == 0)
			return &contacts->zones[i];
	if (contacts->count == CAROB_CONTROL_ZONES_MAX)
		return NULL;
	contact = &contacts->zones[contacts->count++];
	*contact = (carob_zone_contact_t){*zone, now_ns, true, 0};
	return contact;
}

void carob_zone_contacts_record(carob_zone_contacts_t *contacts,
				const carob_zone_t *zone, uint64_t message_ns)
{
	carob_zone_contact_t *contact =
		carob_zone_contacts_get(contacts, zone, message_ns);

	if (contact && contact->last_message_ns < message_ns)
		contact->last_message_ns = message_ns;
}

size_t carob_zone_contacts_ages(carob_control_zone_age_t *out,
				const carob_zone_contacts_t *contacts,
				uint64_t now_ns)
{
	for (size_t i = 0; i < contacts->count; i++) {
		const carob_zone_contact_t *contact = &contacts->zones[i];
		uint64_t age = now_ns - contact->last_message_ns;

		out[i].zone = contact->zone;
		out[i].age_ms = age / CAROB_NS_PER_MS > UINT32_MAX
					? UINT32_MAX
					: (uint32_t)(age / CAROB_NS_PER_MS);
	}
	return contacts->count;
}
