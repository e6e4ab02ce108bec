#include "carobtrail/membership.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>

/* Successors followed at most; a longer chain is treated as a loop. */
#define SUCCESSOR_CHAIN_MAX   16
#define BUCKETS_INITIAL	      64
#define ARRAYS_INITIAL_CAP    16
#define UNREACHABLE_ZONES_MAX 32
/* A part is the top byte of the hash of the id. */
#define PART_SHIFT 56

typedef struct member_entry {
	carob_member_t member;
	bool unreachable;  /* this instance cannot reach the member */
	bool was_departed; /* dead or left at the last removal of members */
	struct member_entry *next; /* next entry in the bucket */
} member_entry_t;

struct carob_membership {
	/* Hash table by id without incarnation: runs of one id share a bucket. */
	member_entry_t **buckets;
	size_t bucket_count; /* a power of two */
	size_t count;
	member_entry_t *self;
	uint64_t version;
	uint64_t digest; /* XOR of the hashes of alive and leaving members */
	uint32_t part_digests[CAROB_MEMBERSHIP_PARTS];
	carob_zone_t unreachable_zones[UNREACHABLE_ZONES_MAX];
	size_t unreachable_zone_count;
	/* Caches of carob_membership_all and carob_membership_alive. */
	const carob_member_t **all;
	const carob_member_t **alive;
	size_t all_count;
	size_t alive_count;
	size_t cap; /* capacity of both arrays */
	bool all_stale;
	bool alive_stale;
};

static uint64_t hash_id(uint32_t id)
{
	return carob_hash_u64(id);
}

static member_entry_t **bucket_of(const carob_membership_t *m, uint32_t id)
{
	return &m->buckets[hash_id(id) & (m->bucket_count - 1)];
}

static member_entry_t *find_entry(const carob_membership_t *m,
				  carob_instance_id_t id)
{
	member_entry_t *entry = *bucket_of(m, id.id);

	while (entry && !carob_instance_id_eq(entry->member.id, id))
		entry = entry->next;
	return entry;
}

static bool is_serving(const carob_member_t *member)
{
	return member->state == CAROB_MEMBER_ALIVE ||
	       member->state == CAROB_MEMBER_LEAVING;
}

unsigned int carob_membership_part(carob_instance_id_t id)
{
	return (unsigned int)(hash_id(id.id) >> PART_SHIFT);
}

/* Adds the member to the digests, or removes it if it is in them. */
static void toggle_digest(carob_membership_t *m, const carob_member_t *member)
{
	const uint32_t fields[] = {member->id.id, member->id.incarnation,
				   member->revision, (uint32_t)member->state};
	uint64_t hash;

	if (!is_serving(member))
		return;
	hash = carob_hash_bytes(0, fields, sizeof(fields));
	m->digest ^= hash;
	m->part_digests[carob_membership_part(member->id)] ^= (uint32_t)hash;
}

static bool zone_unreachable(const carob_membership_t *m,
			     const carob_zone_t *zone)
{
	for (size_t i = 0; i < m->unreachable_zone_count; i++)
		if (strcmp(m->unreachable_zones[i].name, zone->name) == 0)
			return true;
	return false;
}

static bool entry_reachable(const carob_membership_t *m,
			    const member_entry_t *entry)
{
	return entry == m->self || (!entry->unreachable &&
				    !zone_unreachable(m, &entry->member.zone));
}

static int compare_members(const void *a, const void *b)
{
	const carob_member_t *left = *(const carob_member_t *const *)a;
	const carob_member_t *right = *(const carob_member_t *const *)b;

	if (left->id.id != right->id.id)
		return left->id.id < right->id.id ? -1 : 1;
	if (left->id.incarnation != right->id.incarnation)
		return left->id.incarnation < right->id.incarnation ? -1 : 1;
	return 0;
}

static void rebuild_all(carob_membership_t *m)
{
	m->all_count = 0;
	for (size_t i = 0; i < m->bucket_count; i++)
		for (member_entry_t *e = m->buckets[i]; e; e = e->next)
			m->all[m->all_count++] = &e->member;
	qsort(m->all, m->all_count, sizeof(m->all[0]), compare_members);
	m->all_stale = false;
}

static void rebuild_alive(carob_membership_t *m)
{
	if (m->all_stale)
		rebuild_all(m);
	m->alive_count = 0;
	for (size_t i = 0; i < m->all_count; i++) {
		const member_entry_t *entry = CAROB_CONTAINER_OF(
			m->all[i], const member_entry_t, member);

		if (entry->member.state == CAROB_MEMBER_ALIVE &&
		    entry_reachable(m, entry))
			m->alive[m->alive_count++] = m->all[i];
	}
	m->alive_stale = false;
}

static void mark_changed(carob_membership_t *m)
{
	m->alive_stale = true;
	m->version++;
}

static int reserve_arrays(carob_membership_t *m, size_t need)
{
	size_t cap = m->cap ? m->cap : ARRAYS_INITIAL_CAP;
	void *all;
	void *alive;

	if (need <= m->cap)
		return 0;
	while (cap < need)
		cap *= 2;
	all = realloc(m->all, cap * sizeof(m->all[0]));
	if (!all)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate %zu members", cap);
	m->all = all;
	alive = realloc(m->alive, cap * sizeof(m->alive[0]));
	if (!alive)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate %zu members", cap);
	m->alive = alive;
	m->cap = cap;
	return 0;
}

static void link_entry(carob_membership_t *m, member_entry_t *entry)
{
	member_entry_t **bucket = bucket_of(m, entry->member.id.id);

	entry->next = *bucket;
	*bucket = entry;
}

static int reserve_buckets(carob_membership_t *m, size_t need)
{
	member_entry_t **old = m->buckets;
	size_t old_count = m->bucket_count;
	size_t count = old_count ? old_count : BUCKETS_INITIAL;

	while (count < need)
		count *= 2;
	if (count == old_count)
		return 0;
	m->buckets = calloc(count, sizeof(m->buckets[0]));
	if (!m->buckets) {
		m->buckets = old;
		return carob_error_set(
			CAROB_ENOMEM, "cannot allocate buckets for %zu members",
			need);
	}
	m->bucket_count = count;
	for (size_t i = 0; i < old_count; i++) {
		while (old[i]) {
			member_entry_t *entry = old[i];

			old[i] = entry->next;
			link_entry(m, entry);
		}
	}
	free(old);
	return 0;
}

/* Returns NULL, with the last error set, if memory can't be allocated. */
static member_entry_t *add_member(carob_membership_t *m,
				  const carob_member_t *member)
{
	member_entry_t *entry;

	if (reserve_arrays(m, m->count + 1) != 0 ||
	    reserve_buckets(m, m->count + 1) != 0)
		return NULL;
	entry = calloc(1, sizeof(*entry));
	if (!entry) {
		carob_error_set(CAROB_ENOMEM, "cannot allocate a member");
		return NULL;
	}
	entry->member = *member;
	link_entry(m, entry);
	m->count++;
	m->all_stale = true;
	toggle_digest(m, member);
	mark_changed(m);
	return entry;
}

static bool valid_id(carob_instance_id_t id)
{
	return id.id != 0 && id.incarnation != 0;
}

int carob_membership_new(carob_membership_t **out,
			 const carob_membership_options_t *options)
{
	carob_membership_t *m;

	if (options->version != CAROB_MEMBERSHIP_OPTIONS_VERSION ||
	    !valid_id(options->self.id))
		return carob_error_set(CAROB_EINVALID,
				       "invalid options of the membership");
	m = calloc(1, sizeof(*m));
	if (!m)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the membership");
	m->self = add_member(m, &options->self);
	if (!m->self) {
		carob_membership_free(m);
		return CAROB_ENOMEM;
	}
	*out = m;
	return 0;
}

void carob_membership_free(carob_membership_t *m)
{
	if (!m)
		return;
	for (size_t i = 0; i < m->bucket_count; i++) {
		while (m->buckets[i]) {
			member_entry_t *entry = m->buckets[i];

			m->buckets[i] = entry->next;
			free(entry);
		}
	}
	free(m->buckets);
	free(m->all);
	free(m->alive);
	free(m);
}

/* Order of the states at equal revisions: the highest rank wins. */
static int state_rank(carob_member_state_t state)
{
	static const int ranks[] = {
		[CAROB_MEMBER_ALIVE] = 0,
		[CAROB_MEMBER_LEAVING] = 1,
		[CAROB_MEMBER_DEAD] = 2,
		[CAROB_MEMBER_LEFT] = 3,
	};

	return ranks[state];
}

static bool supersedes(const carob_member_t *report,
		       const carob_member_t *known)
{
	if (report->revision != known->revision)
		return report->revision > known->revision;
	return state_rank(report->state) > state_rank(known->state);
}

static void replace_member(carob_membership_t *m, member_entry_t *entry,
			   const carob_member_t *member)
{
	uint64_t generation = entry->member.generation;

	toggle_digest(m, &entry->member);
	entry->member = *member;
	if (entry->member.generation < generation)
		entry->member.generation = generation;
	entry->was_departed = false;
	toggle_digest(m, &entry->member);
	mark_changed(m);
}

static void raise_own_revision(carob_membership_t *m, uint32_t above)
{
	carob_member_t self = m->self->member;

	self.revision = above + 1;
	replace_member(m, m->self, &self);
}

static bool refute(carob_membership_t *m, const carob_member_t *report)
{
	const carob_member_t *self = &m->self->member;

	if (report->revision < self->revision ||
	    (report->state == self->state &&
	     report->revision == self->revision))
		return false;
	raise_own_revision(m, report->revision);
	return true;
}

static void mark_dead(carob_membership_t *m, member_entry_t *entry)
{
	carob_member_t dead = entry->member;

	dead.state = CAROB_MEMBER_DEAD;
	replace_member(m, entry, &dead);
}

static bool started_later(const carob_member_t *a, const carob_member_t *b)
{
	if (a->revision != b->revision)
		return a->revision > b->revision;
	return a->id.incarnation > b->id.incarnation;
}

/*
 * If two runs of one instance are alive, marks the earlier one dead. The own
 * run is kept in any case: its revision is raised if it is the earlier one.
 */
static void supersede_runs(carob_membership_t *m, member_entry_t *entry)
{
	member_entry_t *other = *bucket_of(m, entry->member.id.id);

	for (; other; other = other->next) {
		if (other == entry ||
		    other->member.id.id != entry->member.id.id ||
		    other->member.state != CAROB_MEMBER_ALIVE ||
		    entry->member.state != CAROB_MEMBER_ALIVE)
			continue;
		if (other == m->self &&
		    started_later(&entry->member, &other->member))
			raise_own_revision(m, entry->member.revision);
		if (started_later(&entry->member, &other->member))
			mark_dead(m, other);
		else
			mark_dead(m, entry);
	}
}

int carob_membership_learn(carob_membership_t *m, const carob_member_t *member,
			   bool *changed)
{
	member_entry_t *entry;
	bool ignored;

	if (!changed)
		changed = &ignored;
	*changed = false;
	if (!valid_id(member->id) || member->state > CAROB_MEMBER_DEAD)
		return carob_error_set(CAROB_EINVALID,
				       "invalid id or state of member %u/%u",
				       member->id.id, member->id.incarnation);
	entry = find_entry(m, member->id);
	if (entry && entry == m->self) {
		*changed = refute(m, member);
		return 0;
	}
	if (entry && !supersedes(member, &entry->member))
		return 0;
	if (entry)
		replace_member(m, entry, member);
	else
		entry = add_member(m, member);
	if (!entry)
		return CAROB_ENOMEM;
	*changed = true;
	supersede_runs(m, entry);
	return 0;
}

void carob_membership_set_self(carob_membership_t *m,
			       carob_member_state_t state,
			       carob_instance_id_t successor)
{
	carob_member_t self = m->self->member;

	self.state = state;
	self.successor = successor;
	self.revision++;
	replace_member(m, m->self, &self);
}

void carob_membership_raise_revision(carob_membership_t *m, uint32_t revision)
{
	if (m->self->member.revision < revision)
		raise_own_revision(m, revision - 1);
}

void carob_membership_set_generation(carob_membership_t *m, uint64_t generation)
{
	m->self->member.generation = generation;
}

void carob_membership_record_generation(carob_membership_t *m,
					carob_instance_id_t id,
					uint64_t generation)
{
	member_entry_t *entry = find_entry(m, id);

	if (entry && entry != m->self && entry->member.generation < generation)
		entry->member.generation = generation;
}

void carob_membership_set_reachable(carob_membership_t *m,
				    carob_instance_id_t id, bool reachable)
{
	member_entry_t *entry = find_entry(m, id);

	if (!entry || entry->unreachable == !reachable)
		return;
	entry->unreachable = !reachable;
	mark_changed(m);
}

void carob_membership_set_zone_reachable(carob_membership_t *m,
					 const carob_zone_t *zone,
					 bool reachable)
{
	carob_zone_t *zones = m->unreachable_zones;
	size_t i = 0;

	while (i < m->unreachable_zone_count &&
	       strcmp(zones[i].name, zone->name) != 0)
		i++;
	if (reachable == (i == m->unreachable_zone_count))
		return;
	if (reachable)
		zones[i] = zones[--m->unreachable_zone_count];
	else if (i < UNREACHABLE_ZONES_MAX)
		zones[m->unreachable_zone_count++] = *zone;
	mark_changed(m);
}

bool carob_membership_is_reachable(const carob_membership_t *m,
				   carob_instance_id_t id)
{
	const member_entry_t *entry = find_entry(m, id);

	return entry && entry_reachable(m, entry);
}

size_t carob_membership_remove_departed(carob_membership_t *m)
{
	size_t removed = 0;

	for (size_t i = 0; i < m->bucket_count; i++) {
		member_entry_t **link = &m->buckets[i];

		while (*link) {
			member_entry_t *entry = *link;
			bool departed = !is_serving(&entry->member);

			if (departed && entry->was_departed &&
			    entry != m->self) {
				*link = entry->next;
				free(entry);
				removed++;
				continue;
			}
			entry->was_departed = departed;
			link = &entry->next;
		}
	}
	if (removed > 0) {
		m->count -= removed;
		m->all_stale = true;
		mark_changed(m);
	}
	return removed;
}

const carob_member_t *carob_membership_self(const carob_membership_t *m)
{
	return &m->self->member;
}

const carob_member_t *carob_membership_find(const carob_membership_t *m,
					    carob_instance_id_t id)
{
	member_entry_t *entry = find_entry(m, id);

	return entry ? &entry->member : NULL;
}

const carob_member_t *carob_membership_resolve(const carob_membership_t *m,
					       carob_instance_id_t owner)
{
	const member_entry_t *entry = find_entry(m, owner);

	for (int hops = 0; entry && hops < SUCCESSOR_CHAIN_MAX; hops++) {
		const carob_member_t *member = &entry->member;

		if (is_serving(member))
			return entry_reachable(m, entry) ? member : NULL;
		if (member->state != CAROB_MEMBER_LEFT)
			return NULL;
		entry = find_entry(m, member->successor);
	}
	return NULL;
}

/* Casts away const: functions that only read may rebuild the cached arrays. */
static carob_membership_t *mutable_cache(const carob_membership_t *m)
{
	return (carob_membership_t *)m;
}

const carob_member_t *const *carob_membership_alive(const carob_membership_t *m,
						    size_t *count)
{
	if (m->alive_stale)
		rebuild_alive(mutable_cache(m));
	*count = m->alive_count;
	return m->alive;
}

const carob_member_t *const *carob_membership_all(const carob_membership_t *m,
						  size_t *count)
{
	if (m->all_stale)
		rebuild_all(mutable_cache(m));
	*count = m->all_count;
	return m->all;
}

uint64_t carob_membership_version(const carob_membership_t *m)
{
	return m->version;
}

uint64_t carob_membership_digest(const carob_membership_t *m)
{
	return m->digest;
}

const uint32_t *carob_membership_part_digests(const carob_membership_t *m)
{
	return m->part_digests;
}

size_t carob_membership_memory_bytes(const carob_membership_t *m)
{
	return sizeof(*m) + m->count * sizeof(member_entry_t) +
	       m->bucket_count * sizeof(m->buckets[0]) +
	       m->cap * (sizeof(m->all[0]) + sizeof(m->alive[0]));
}
