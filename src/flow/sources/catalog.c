#include "carobtrail/catalog.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"

#include <stdlib.h>
#include <string.h>

/* A platform responds to a listing within milliseconds, a slow one within
 * 250 ms. */
#define LIST_TIMEOUT_MS 1500
/* After a failure, a short watch probes whether the platform is back. */
#define PROBE_WAIT_MS	 1
#define PROBE_TIMEOUT_MS 1000
#define RETRY_MS_FIRST	 200
#define RETRY_MS_MAX	 1000
/* The maximum age of the cached state is divided into the age at which a watch
 * begins, its wait, the additional time until an unresponsive connection times
 * out, and the rest for the pause and the read that follow the timeout. */
#define WATCH_WAIT_MS(contact_ms)    ((contact_ms)*5 / 8)
#define WATCH_TIMEOUT_MS(contact_ms) ((contact_ms)*7 / 8)
#define WATCH_MARGIN_MS(contact_ms)                                            \
	(WATCH_TIMEOUT_MS(contact_ms) - WATCH_WAIT_MS(contact_ms))
/* Pause after a watch that returned changes. Changes come in bursts and each
 * call is a cost, so the pause lets one call read a whole burst. */
#define BURST_PAUSE_MS(apply_ms)	((apply_ms)*2 / 5)
#define READER_BURST_PAUSE_MS(apply_ms) ((apply_ms) / 6)
/* A watch returns some 500 changes or 1 MB at most. After half of either, more
 * may wait, and are read at once. */
#define BACKLOG_CHANGES 250
#define BACKLOG_BYTES	((size_t)512 * 1024)
/* Changes that the link carries within this part of the time in which they must
 * be in force are read as they are. If there are more, a listing may be
 * shorter: it has one version of each item. */
#define LINK_PART_MS(apply_ms) ((apply_ms) / 16.0)
#define BYTES_PER_MBIT	       (1e6 / 8)
/* Upstreams that are alive restore entries which expired in an outage, or which
 * the platform lost, within 2 s after it. Another second is for the read that
 * returns the entries. */
#define LAPSE_GRACE_NS (3 * CAROB_NS_PER_S)
/* Upstreams that are gone are kept for this long, as packets of old flows may
 * still carry their tags. */
#define FORGET_GONE_NS (120 * CAROB_NS_PER_S)

/* A watch may take this much longer than it waits for changes. If it takes
 * longer, the platform may have been away without a failed read. */
#define CONTACT_GAP_NS (500 * CAROB_NS_PER_MS)

typedef enum catalog_read {
	READ_NONE,
	READ_PAGE,
	READ_CHANGES,
} catalog_read_t;

struct carob_catalog {
	carob_catalog_reader_t reader;
	carob_catalog_options_t options;
	carob_timer_t read_timer;  /* begins the next read */
	carob_timer_t lapse_timer; /* ends the grace period of lapsed entries */
	carob_rng_t rng;
	catalog_read_t reading;
	carob_buf_t page_after; /* last key of the previous page */
	uint64_t page_revision; /* revision of the first page */
	size_t page_bytes;	/* length of the pages read so far */
	size_t list_bytes;	/* length of the last complete listing */
	bool listed;		/* a complete listing has been read */
	bool complete;		/* see carob_catalog_complete */
	bool has_era;		/* a response has said its era */
	uint64_t era;		/* highest era of a response */
	uint64_t revision;	/* changes up to it have been read */
	uint64_t responded_ns;	/* time of the last response */
	uint64_t recovered_ns;	/* end of the last outage */
	uint64_t gap_ns;   /* time without contact before the last response */
	uint32_t failures; /* failed reads since the last response */
	carob_catalog_counters_t counters;
};

static uint64_t now_ns(const carob_catalog_t *catalog)
{
	return carob_kernel_now_ns(catalog->options.kernel);
}

static void read_page(carob_catalog_t *catalog)
{
	catalog->reading = READ_PAGE;
	catalog->counters.lists++;
	if (catalog->page_after.len == 0) {
		carob_upstream_table_begin_listing(catalog->options.upstreams);
		if (catalog->options.readers)
			carob_reader_table_begin_listing(
				catalog->options.readers);
		if (catalog->options.zones)
			carob_zone_table_begin_listing(catalog->options.zones);
	}
	catalog->options.source->ops->list(catalog->options.source,
					   &catalog->reader,
					   carob_buf_view(&catalog->page_after),
					   LIST_TIMEOUT_MS);
}

/* Returns the length of changes from which on a listing is read instead. */
static size_t changes_bytes_max(const carob_catalog_t *catalog)
{
	double link_bytes = catalog->options.link_mbps * BYTES_PER_MBIT *
			    LINK_PART_MS(catalog->options.apply_ms) / 1000;

	if (catalog->options.link_mbps <= 0)
		return 0;
	return link_bytes > (double)catalog->list_bytes ? (size_t)link_bytes
							: catalog->list_bytes;
}

/* Returns the time that a listing takes on the own link. It is bounded, as a
 * watch has to wait for changes for some time. */
static uint64_t listing_ms(const carob_catalog_t *catalog)
{
	double bytes_per_ms =
		catalog->options.link_mbps * BYTES_PER_MBIT / 1000;
	uint64_t max_ms = WATCH_MARGIN_MS(catalog->options.contact_ms);
	double ms = 0;

	if (bytes_per_ms > 0)
		ms = (double)catalog->list_bytes / bytes_per_ms;
	return ms < (double)max_ms ? (uint64_t)ms : max_ms;
}

/* Returns the time until a watch has to be answered, so that the state can be
 * read on another connection before it is too old; 0: that time is over. The
 * connection may have gone silent since the last response. */
static uint64_t time_left_ms(const carob_catalog_t *catalog)
{
	uint64_t spent_ms = carob_catalog_age_ms(catalog) + listing_ms(catalog);
	uint64_t limit_ms = WATCH_TIMEOUT_MS(catalog->options.contact_ms);

	return limit_ms > spent_ms ? limit_ms - spent_ms : 0;
}

static void read_changes(carob_catalog_t *catalog)
{
	uint64_t margin_ms = WATCH_MARGIN_MS(catalog->options.contact_ms);
	uint64_t left_ms = time_left_ms(catalog);
	bool probe = catalog->failures > 0 || left_ms <= margin_ms;
	const carob_catalog_watch_t watch = {
		.after = catalog->revision,
		.wait_ms = probe ? PROBE_WAIT_MS
				 : (uint32_t)(left_ms - margin_ms),
		.timeout_ms = probe ? PROBE_TIMEOUT_MS : (uint32_t)left_ms,
		.stall_ms = LIST_TIMEOUT_MS,
		.bytes_max = changes_bytes_max(catalog),
	};

	catalog->reading = READ_CHANGES;
	catalog->counters.watches++;
	catalog->options.source->ops->watch(catalog->options.source,
					    &catalog->reader, &watch);
}

static void on_read_timer(carob_timer_t *timer)
{
	carob_catalog_t *catalog =
		CAROB_CONTAINER_OF(timer, carob_catalog_t, read_timer);

	if (catalog->listed)
		read_changes(catalog);
	else
		read_page(catalog);
}

static void schedule_read(carob_catalog_t *catalog, uint64_t ms)
{
	catalog->reading = READ_NONE;
	(void)carob_timer_arm(catalog->options.kernel, &catalog->read_timer,
			      now_ns(catalog) + ms * CAROB_NS_PER_MS);
}

/* Returns the pause before the next retry, with exponential backoff. Each pause
 * is shortened at random by up to half, so that instances do not retry at the
 * same time. */
static uint64_t retry_pause_ms(carob_catalog_t *catalog)
{
	uint64_t pause = RETRY_MS_FIRST;

	for (uint32_t i = 1; i < catalog->failures && pause < RETRY_MS_MAX; i++)
		pause *= 2;
	if (pause > RETRY_MS_MAX)
		pause = RETRY_MS_MAX;
	return pause / 2 +
	       carob_rng_below(&catalog->rng, (uint32_t)(pause / 2) + 1);
}

static bool in_lapse_grace(const carob_catalog_t *catalog)
{
	return catalog->recovered_ns != 0 &&
	       now_ns(catalog) - catalog->recovered_ns < LAPSE_GRACE_NS;
}

static carob_upstream_state_t state_of_missing(const carob_catalog_t *catalog)
{
	return in_lapse_grace(catalog) ? CAROB_UPSTREAM_LAPSED
				       : CAROB_UPSTREAM_GONE;
}

/* Returns whether an entry that is removed has not just expired in an outage of
 * the platform, also one that no read has noticed. */
static bool trusts_removals(const carob_catalog_t *catalog)
{
	uint64_t contact_ns = catalog->options.contact_ms * CAROB_NS_PER_MS;

	return (catalog->recovered_ns == 0 ||
		now_ns(catalog) - catalog->recovered_ns >= contact_ns) &&
	       catalog->gap_ns <= WATCH_WAIT_MS(catalog->options.contact_ms) *
						  CAROB_NS_PER_MS +
					  CONTACT_GAP_NS;
}

static int copy_route(carob_route_t *out, carob_route_share_t *shares,
		      const carob_catalog_route_t *route,
		      carob_name_table_t *services)
{
	int error = 0;

	out->endpoint = route->endpoint;
	out->idempotent = route->idempotent;
	out->target_ms = route->target_ms;
	out->timeout_ms = route->timeout_ms;
	out->priority = route->priority;
	out->share_count = route->share_count;
	out->shares = shares;
	for (size_t i = 0; !error && i < route->share_count; i++) {
		shares[i].weight = route->shares[i].weight;
		error = carob_name_table_add(&shares[i].service, services,
					     route->shares[i].service);
	}
	return error;
}

static int copy_service(carob_service_config_t *out,
			const carob_catalog_service_t *service,
			carob_name_table_t *services)
{
	out->cold_per_s = service->cold_per_s;
	out->cold_start_ms = service->cold_start_ms;
	return carob_name_table_add(&out->service, services, service->name);
}

static size_t count_shares(const carob_catalog_config_t *config)
{
	size_t count = 0;

	for (size_t i = 0; i < config->count; i++)
		count += config->routes[i].share_count;
	return count;
}

/* `shares` receives the shares of all routes, owned by the caller. */
static int copy_config(carob_route_config_t *out, carob_route_share_t **shares,
		       const carob_catalog_config_t *config,
		       carob_name_table_t *services)
{
	size_t share_count = count_shares(config);
	size_t used = 0;
	int error = 0;

	*shares = calloc(share_count ? share_count : 1, sizeof(**shares));
	out->routes =
		calloc(config->count ? config->count : 1, sizeof(*out->routes));
	out->services =
		calloc(config->service_count ? config->service_count : 1,
		       sizeof(*out->services));
	if (!*shares || !out->routes || !out->services)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate routes of a "
				       "configuration");
	for (size_t i = 0; !error && i < config->count; i++) {
		error = copy_route(&out->routes[i], *shares + used,
				   &config->routes[i], services);
		used += config->routes[i].share_count;
	}
	for (size_t i = 0; !error && i < config->service_count; i++)
		error = copy_service(&out->services[i], &config->services[i],
				     services);
	return error;
}

static void log_config(int error, uint64_t version, size_t routes,
		       uint64_t revision)
{
	if (error)
		CAROB_LOG(CAROB_EV_CONFIG_REFUSED,
			  CAROB_FIELD_U64("version", version),
			  CAROB_FIELD_U64("revision", revision),
			  CAROB_FIELD_CSTR("error", carob_error_last()));
	else
		CAROB_LOG(CAROB_EV_CONFIG_APPLIED,
			  CAROB_FIELD_U64("version", version),
			  CAROB_FIELD_U64("routes", routes),
			  CAROB_FIELD_U64("revision", revision));
}

static int apply_config(carob_catalog_t *catalog,
			const carob_catalog_config_t *config, uint64_t revision)
{
	carob_route_config_t next = {
		.version = config->version,
		.idle_timeout_ms = config->idle_timeout_ms,
		.count = config->count,
		.service_count = config->service_count,
	};
	carob_route_share_t *shares = NULL;
	int error = copy_config(&next, &shares, config,
				&catalog->options.upstreams->services);

	if (!error)
		error = carob_route_table_apply(catalog->options.routes, &next);
	free(shares);
	free(next.routes);
	free(next.services);
	/* A version in force is not logged again: each listing contains it. */
	if (error != CAROB_ESTALE)
		log_config(error, config->version, config->count, revision);
	return error;
}

static void apply_unusable(carob_catalog_t *catalog,
			   const carob_catalog_change_t *change)
{
	catalog->counters.unusable++;
	CAROB_LOG(CAROB_EV_ITEM_UNUSABLE,
		  CAROB_FIELD_STR("upstream", change->upstream_id),
		  CAROB_FIELD_U64("revision", change->revision));
}

/* Logs an entry that could not be applied. `log_config` has already logged a
 * configuration that was refused. */
static void log_not_applied(const carob_catalog_change_t *change)
{
	if (change->kind == CAROB_CATALOG_UPSTREAM)
		CAROB_LOG(CAROB_EV_ITEM_UNUSABLE,
			  CAROB_FIELD_STR("upstream", change->upstream_id),
			  CAROB_FIELD_U64("revision", change->revision),
			  CAROB_FIELD_CSTR("error", carob_error_last()));
	else if (change->kind == CAROB_CATALOG_ZONE_EVACUATED ||
		 change->kind == CAROB_CATALOG_ZONE_RESTORED)
		CAROB_LOG(CAROB_EV_ITEM_UNUSABLE,
			  CAROB_FIELD_STR("zone", change->zone),
			  CAROB_FIELD_U64("revision", change->revision),
			  CAROB_FIELD_CSTR("error", carob_error_last()));
}

/* Logs the beginning of an evacuation and that it is in force here. */
static void log_evacuation(const carob_catalog_t *catalog,
			   const carob_catalog_change_t *change,
			   const carob_catalog_reply_t *reply, size_t upstreams)
{
	CAROB_LOG(CAROB_EV_ZONE_EVACUATED,
		  CAROB_FIELD_STR("zone", change->zone),
		  CAROB_FIELD_U64("revision", change->revision));
	CAROB_LOG(CAROB_EV_ZONE_EVACUATION_APPLIED,
		  CAROB_FIELD_STR("zone", change->zone),
		  CAROB_FIELD_U64("revision", change->revision),
		  CAROB_FIELD_U64("confirmed_ms", reply->age_ms),
		  CAROB_FIELD_CSTR("source",
				   reply->pace == CAROB_CATALOG_PACE_RELAYED
					   ? "reader"
					   : "platform"),
		  CAROB_FIELD_U64("era", catalog->era),
		  CAROB_FIELD_U64("upstreams", upstreams));
}

/* The upstreams are marked also if the zone table knows the evacuation already,
 * in case that memory was lacking the first time. */
static int evacuate_zone(carob_catalog_t *catalog,
			 const carob_catalog_change_t *change,
			 const carob_catalog_reply_t *reply)
{
	carob_zone_table_t *zones = catalog->options.zones;
	size_t upstreams;
	int stale;
	int error;

	if (!zones)
		return 0;
	stale = carob_zone_table_evacuate(zones, change->zone, change->revision,
					  now_ns(catalog));
	if (stale && stale != CAROB_ESTALE)
		return stale;
	error = carob_upstream_table_set_evacuated(
		&upstreams, catalog->options.upstreams, change->zone,
		carob_zone_table_is_evacuated(zones, change->zone));
	if (error || stale)
		return error ? error : stale;
	log_evacuation(catalog, change, reply, upstreams);
	return 0;
}

static int restore_zone(carob_catalog_t *catalog, carob_str_t zone,
			uint64_t revision)
{
	carob_zone_table_t *zones = catalog->options.zones;
	uint64_t since_ns = 0;
	size_t upstreams;
	int error;

	if (!zones || !carob_zone_table_restore(&since_ns, zones, zone,
						revision, now_ns(catalog)))
		return 0;
	error = carob_upstream_table_set_evacuated(
		&upstreams, catalog->options.upstreams, zone, false);
	CAROB_LOG(CAROB_EV_ZONE_RESTORED, CAROB_FIELD_STR("zone", zone),
		  CAROB_FIELD_U64("revision", revision),
		  CAROB_FIELD_U64("evacuated_ms", (now_ns(catalog) - since_ns) /
							  CAROB_NS_PER_MS),
		  CAROB_FIELD_U64("upstreams", upstreams));
	return error;
}

/* Restores the zones whose keys a listing did not contain. */
static void end_zone_listing(carob_catalog_t *catalog)
{
	carob_zone_table_t *zones = catalog->options.zones;
	uint64_t revision = catalog->page_revision;

	for (size_t i = 0; zones && i < zones->names.count; i++)
		if (carob_zone_table_is_unlisted(zones, i, revision))
			(void)restore_zone(
				catalog, carob_str_from(zones->names.names[i]),
				revision);
}

static void apply_unusable_upstream(carob_catalog_t *catalog,
				    const carob_catalog_change_t *change)
{
	apply_unusable(catalog, change);
	carob_upstream_table_remove(catalog->options.upstreams,
				    change->upstream_id, change->revision,
				    CAROB_UPSTREAM_GONE, now_ns(catalog));
}

/* Sets `cold_ms` of an entry that lacks it, from the configuration. The time
 * runs from when this instance first reads of the start: the start time in the
 * entry is of another clock. Returns false if the configuration says nothing. */
static bool set_cold_time(const carob_catalog_t *catalog,
			  carob_upstream_entry_t *entry)
{
	const carob_upstream_table_t *upstreams = catalog->options.upstreams;
	carob_upstream_index_t index =
		carob_upstream_table_by_id(upstreams, entry->id);
	const carob_service_config_t *service = carob_route_table_service(
		catalog->options.routes,
		carob_name_table_find(&upstreams->services, entry->service));
	uint64_t now = now_ns(catalog);

	if (!service || service->cold_start_ms == 0)
		return false;
	entry->cold_ms = service->cold_start_ms;
	if (index == CAROB_UPSTREAM_NONE ||
	    upstreams->items[index].started_ms != entry->started_ms)
		return true;
	entry->cold_ms = 0;
	if (upstreams->items[index].cold_until_ns > now)
		entry->cold_ms =
			(uint32_t)((upstreams->items[index].cold_until_ns -
				    now) /
				   CAROB_NS_PER_MS);
	return true;
}

static int apply_upstream(carob_catalog_t *catalog,
			  const carob_catalog_change_t *change)
{
	carob_upstream_entry_t entry = change->upstream;

	if (entry.cold_unstated && !set_cold_time(catalog, &entry)) {
		apply_unusable_upstream(catalog, change);
		return 0;
	}
	return carob_upstream_table_put(catalog->options.upstreams, &entry,
					change->revision, now_ns(catalog));
}

static void apply_removal(carob_catalog_t *catalog,
			  const carob_catalog_change_t *change)
{
	carob_upstream_table_t *upstreams = catalog->options.upstreams;

	if (trusts_removals(catalog))
		carob_upstream_table_note_removal(upstreams,
						  change->upstream_id,
						  change->revision,
						  now_ns(catalog));
	carob_upstream_table_remove(upstreams, change->upstream_id,
				    change->revision, state_of_missing(catalog),
				    now_ns(catalog));
}

static void apply_change(carob_catalog_t *catalog,
			 const carob_catalog_change_t *change,
			 const carob_catalog_reply_t *reply)
{
	int error = 0;

	switch (change->kind) {
	case CAROB_CATALOG_UPSTREAM:
		error = apply_upstream(catalog, change);
		break;
	case CAROB_CATALOG_UPSTREAM_UNUSABLE:
		apply_unusable_upstream(catalog, change);
		break;
	case CAROB_CATALOG_UPSTREAM_REMOVED:
		apply_removal(catalog, change);
		break;
	case CAROB_CATALOG_CONFIG:
		error = apply_config(catalog, &change->config,
				     change->revision);
		break;
	case CAROB_CATALOG_CONFIG_UNUSABLE:
		apply_unusable(catalog, change);
		break;
	case CAROB_CATALOG_READER:
		if (catalog->options.readers)
			carob_reader_table_put(catalog->options.readers,
					       &change->reader,
					       change->revision);
		break;
	case CAROB_CATALOG_READER_REMOVED:
		if (catalog->options.readers)
			carob_reader_table_remove(catalog->options.readers,
						  change->reader.zone,
						  change->reader.slot,
						  change->revision);
		break;
	case CAROB_CATALOG_ZONE_EVACUATED:
		error = evacuate_zone(catalog, change, reply);
		break;
	case CAROB_CATALOG_ZONE_RESTORED:
		error = restore_zone(catalog, change->zone, change->revision);
		break;
	case CAROB_CATALOG_OTHER:
		break;
	}
	if (error == 0)
		catalog->counters.changes++;
	else if (error != CAROB_ESTALE)
		log_not_applied(change);
}

/* Upstreams of evacuated zones count: an instance that starts when all zones
 * are evacuated still has to carry their open flows. */
static bool is_in_service(const carob_upstream_t *upstream)
{
	return upstream->used && (upstream->state == CAROB_UPSTREAM_READY ||
				  upstream->state == CAROB_UPSTREAM_LAPSED);
}

static bool can_place_flows(const carob_catalog_t *catalog)
{
	const carob_upstream_table_t *upstreams = catalog->options.upstreams;

	if (!catalog->options.routes->buckets || !catalog->listed)
		return false;
	for (size_t i = 0; i < upstreams->count; i++)
		if (is_in_service(&upstreams->items[i]))
			return true;
	return false;
}

static void check_complete(carob_catalog_t *catalog)
{
	carob_catalog_listener_t *listener = catalog->options.listener;

	if (catalog->complete || !can_place_flows(catalog))
		return;
	catalog->complete = true;
	if (listener)
		listener->complete(listener);
}

static void apply_changes(carob_catalog_t *catalog,
			  const carob_catalog_reply_t *reply)
{
	for (size_t i = 0; i < reply->count; i++)
		apply_change(catalog, &reply->changes[i], reply);
	check_complete(catalog);
}

static void begin_lapse_grace(carob_catalog_t *catalog)
{
	catalog->recovered_ns = now_ns(catalog);
	(void)carob_timer_arm(catalog->options.kernel, &catalog->lapse_timer,
			      catalog->recovered_ns + LAPSE_GRACE_NS);
}

static void record_response(carob_catalog_t *catalog,
			    const carob_catalog_reply_t *reply)
{
	uint64_t confirmed = now_ns(catalog) - reply->age_ms * CAROB_NS_PER_MS;

	if (catalog->failures > 0) {
		begin_lapse_grace(catalog);
		CAROB_LOG(CAROB_EV_PLATFORM_REACHABLE,
			  CAROB_FIELD_U64("failures", catalog->failures),
			  CAROB_FIELD_U64("silent_ms",
					  carob_catalog_age_ms(catalog)));
	}
	catalog->failures = 0;
	catalog->gap_ns = confirmed > catalog->responded_ns
				  ? confirmed - catalog->responded_ns
				  : 0;
	if (confirmed > catalog->responded_ns)
		catalog->responded_ns = confirmed;
}

static void on_page(carob_catalog_t *catalog,
		    const carob_catalog_reply_t *reply)
{
	if (catalog->page_after.len == 0) {
		catalog->page_revision = reply->revision;
		catalog->page_bytes = 0;
	}
	catalog->page_bytes += reply->bytes;
	apply_changes(catalog, reply);
	carob_buf_clear(&catalog->page_after);
	if (reply->truncated && reply->last_key.len > 0 &&
	    carob_buf_append(&catalog->page_after, reply->last_key.ptr,
			     reply->last_key.len) == 0) {
		read_page(catalog);
		return;
	}
	carob_upstream_table_end_listing(catalog->options.upstreams,
					 catalog->page_revision,
					 state_of_missing(catalog),
					 now_ns(catalog));
	if (catalog->options.readers)
		carob_reader_table_end_listing(catalog->options.readers,
					       catalog->page_revision);
	end_zone_listing(catalog);
	catalog->revision = catalog->page_revision;
	catalog->list_bytes = catalog->page_bytes;
	catalog->listed = true;
	check_complete(catalog);
	CAROB_LOG(CAROB_EV_CATALOG_LISTED,
		  CAROB_FIELD_U64("revision", catalog->revision),
		  CAROB_FIELD_U64("upstreams",
				  catalog->options.upstreams->count));
	read_changes(catalog);
}

/* Returns the pause before the next watch. It runs from when the platform
 * confirmed the response: later changes wait since then. */
static uint64_t burst_pause_ms(const carob_catalog_t *catalog,
			       const carob_catalog_reply_t *reply)
{
	uint64_t pause_ms =
		reply->pace == CAROB_CATALOG_PACE_READER
			? READER_BURST_PAUSE_MS(catalog->options.apply_ms)
			: BURST_PAUSE_MS(catalog->options.apply_ms);

	return pause_ms > reply->age_ms ? pause_ms - reply->age_ms : 0;
}

/* Returns whether more changes may wait than the response could hold. */
static bool has_backlog(const carob_catalog_reply_t *reply)
{
	return reply->count >= BACKLOG_CHANGES || reply->bytes >= BACKLOG_BYTES;
}

static void on_changes(carob_catalog_t *catalog,
		       const carob_catalog_reply_t *reply, bool was_probe)
{
	apply_changes(catalog, reply);
	if (reply->revision > catalog->revision)
		catalog->revision = reply->revision;
	carob_upstream_table_forget_gone(catalog->options.upstreams,
					 FORGET_GONE_NS, now_ns(catalog));
	/* No pause while the instance is starting and its state is still
	 * incomplete. */
	if (reply->count > 0 && !has_backlog(reply) && !was_probe &&
	    catalog->complete && reply->pace != CAROB_CATALOG_PACE_RELAYED)
		schedule_read(catalog, burst_pause_ms(catalog, reply));
	else
		read_changes(catalog);
}

static void cancel_read(carob_catalog_t *catalog)
{
	carob_timer_cancel(catalog->options.kernel, &catalog->read_timer);
	if (catalog->reading != READ_NONE)
		catalog->options.source->ops->cancel(catalog->options.source);
	catalog->reading = READ_NONE;
}

static void restart_listing(carob_catalog_t *catalog)
{
	carob_buf_clear(&catalog->page_after);
	catalog->listed = false;
	read_page(catalog);
}

/* Ends the grace period. After a new era, all is read once more: until then,
 * entries of the copy that contradicted what was known did not count. */
static void on_lapse_timer(carob_timer_t *timer)
{
	carob_catalog_t *catalog =
		CAROB_CONTAINER_OF(timer, carob_catalog_t, lapse_timer);

	carob_upstream_table_expire_lapsed(catalog->options.upstreams,
					   now_ns(catalog));
	/* When the platform responds again, another grace period begins. */
	if (!catalog->options.upstreams->reconciling || catalog->failures > 0)
		return;
	carob_upstream_table_end_reconciling(catalog->options.upstreams);
	if (catalog->options.zones)
		carob_zone_table_end_reconciling(catalog->options.zones);
	cancel_read(catalog);
	restart_listing(catalog);
}

/* The outage may have begun before it was noticed. */
static void distrust_recent_removals(carob_catalog_t *catalog)
{
	uint64_t contact_ns = catalog->options.contact_ms * CAROB_NS_PER_MS;
	uint64_t now = now_ns(catalog);

	carob_upstream_table_distrust_removals(
		catalog->options.upstreams,
		now > contact_ns ? now - contact_ns : 0);
}

static void on_failure(carob_catalog_t *catalog,
		       const carob_catalog_reply_t *reply)
{
	uint64_t pause_ms;

	catalog->counters.failed++;
	catalog->failures++;
	distrust_recent_removals(catalog);
	pause_ms = retry_pause_ms(catalog);
	if (catalog->failures == 1)
		CAROB_LOG(CAROB_EV_PLATFORM_UNREACHABLE,
			  CAROB_FIELD_I64("result", reply->result),
			  CAROB_FIELD_CSTR("error", carob_error_last()),
			  CAROB_FIELD_U64("revision", catalog->revision),
			  CAROB_FIELD_U64("retry_ms", pause_ms));
	/* A listing continues with the page that failed. The watch that
	 * follows starts at the revision of the first page: it returns what
	 * has changed meanwhile, or fails if the history is lost. */
	schedule_read(catalog, pause_ms);
}

/* Returns whether a listing must replace the watch: the history of changes is
 * no longer available, or is longer than the listing. */
static bool needs_listing(const carob_catalog_reply_t *reply,
			  catalog_read_t reading)
{
	return reply->result == CAROB_ESTALE ||
	       (reply->partial && reading == READ_CHANGES);
}

static void log_changes_lost(const carob_catalog_t *catalog)
{
	CAROB_LOG(CAROB_EV_CHANGES_LOST,
		  CAROB_FIELD_U64("revision", catalog->revision),
		  CAROB_FIELD_U64("age_ms", carob_catalog_age_ms(catalog)),
		  CAROB_FIELD_CSTR("error", carob_error_last()));
}

/* Begins to use a newer era: its revisions start anew and the writes since the
 * copy are lost. What is known stays in use until a listing has replaced it. */
static void begin_era(carob_catalog_t *catalog, uint64_t era)
{
	CAROB_LOG(CAROB_EV_STORE_ERA, CAROB_FIELD_U64("era", era),
		  CAROB_FIELD_U64("era_before", catalog->era),
		  CAROB_FIELD_U64("revision", catalog->revision),
		  CAROB_FIELD_U64("age_ms", carob_catalog_age_ms(catalog)));
	catalog->counters.eras++;
	catalog->era = era;
	catalog->listed = false;
	carob_upstream_table_begin_era(catalog->options.upstreams);
	carob_upstream_table_distrust_removals(catalog->options.upstreams, 0);
	if (catalog->options.readers)
		carob_reader_table_begin_era(catalog->options.readers);
	if (catalog->options.zones)
		carob_zone_table_begin_era(catalog->options.zones);
	begin_lapse_grace(catalog);
}

/* Compares the era of a response with the one in use.
 * @return whether the response is out of date: it is of an older era, or its
 *         read began in an older one and does not cover the new one */
static bool check_era(carob_catalog_t *catalog,
		      const carob_catalog_reply_t *reply,
		      catalog_read_t reading)
{
	bool is_first_page = reading == READ_PAGE &&
			     catalog->page_after.len == 0;

	if (!reply->has_era)
		return false;
	if (!catalog->has_era) {
		catalog->has_era = true;
		catalog->era = reply->era;
		return false;
	}
	if (reply->era < catalog->era)
		return true;
	if (reply->era == catalog->era)
		return false;
	begin_era(catalog, reply->era);
	return !is_first_page;
}

/* Reads again instead of using a response of another era. A response of the
 * newer era shows that the platform responds; a late one of an older era does
 * not, and counts as a failure. */
static void on_other_era(carob_catalog_t *catalog,
			 const carob_catalog_reply_t *reply)
{
	carob_catalog_reply_t failed = {.result = CAROB_EUNAVAILABLE};

	if (reply->era < catalog->era) {
		catalog->counters.outdated++;
		(void)carob_error_set(failed.result,
				      "response of era %llu, expected %llu",
				      (unsigned long long)reply->era,
				      (unsigned long long)catalog->era);
		on_failure(catalog, &failed);
		return;
	}
	carob_buf_clear(&catalog->page_after);
	if (reply->result != 0 && reply->result != CAROB_ESTALE) {
		on_failure(catalog, reply);
		return;
	}
	record_response(catalog, reply);
	restart_listing(catalog);
}

static void on_done(carob_catalog_reader_t *reader,
		    const carob_catalog_reply_t *reply)
{
	carob_catalog_t *catalog =
		CAROB_CONTAINER_OF(reader, carob_catalog_t, reader);
	catalog_read_t reading = catalog->reading;
	bool was_probe = catalog->failures > 0;

	catalog->reading = READ_NONE;
	if (check_era(catalog, reply, reading)) {
		on_other_era(catalog, reply);
		return;
	}
	if (needs_listing(reply, reading)) {
		log_changes_lost(catalog);
		restart_listing(catalog);
		return;
	}
	if (reply->result != 0) {
		on_failure(catalog, reply);
		return;
	}
	record_response(catalog, reply);
	if (reading == READ_PAGE)
		on_page(catalog, reply);
	else
		on_changes(catalog, reply, was_probe);
}

void carob_catalog_start(carob_catalog_t *catalog)
{
	restart_listing(catalog);
}

void carob_catalog_refresh(carob_catalog_t *catalog)
{
	cancel_read(catalog);
	carob_buf_clear(&catalog->page_after);
	if (catalog->listed)
		read_changes(catalog);
	else
		read_page(catalog);
}

void carob_catalog_set_deadlines(carob_catalog_t *catalog, uint32_t contact_ms,
				 uint32_t apply_ms)
{
	catalog->options.contact_ms = contact_ms;
	catalog->options.apply_ms = apply_ms;
}

bool carob_catalog_complete(const carob_catalog_t *catalog)
{
	return catalog->complete;
}

uint64_t carob_catalog_age_ms(const carob_catalog_t *catalog)
{
	return (now_ns(catalog) - catalog->responded_ns) / CAROB_NS_PER_MS;
}

uint64_t carob_catalog_revision(const carob_catalog_t *catalog)
{
	return catalog->revision;
}

uint64_t carob_catalog_era(const carob_catalog_t *catalog)
{
	return catalog->era;
}

const carob_catalog_counters_t *
carob_catalog_counters(const carob_catalog_t *catalog)
{
	return &catalog->counters;
}

int carob_catalog_new(carob_catalog_t **out,
		      const carob_catalog_options_t *options)
{
	carob_catalog_t *catalog;

	if (options->version != CAROB_CATALOG_OPTIONS_VERSION ||
	    !options->kernel || !options->source || !options->routes ||
	    !options->upstreams)
		return carob_error_set(CAROB_EINVALID,
				       "catalog options: unsupported version "
				       "or a required member is NULL");
	catalog = calloc(1, sizeof(*catalog));
	if (!catalog)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate catalog");
	catalog->reader.done = on_done;
	catalog->options = *options;
	catalog->read_timer.fire = on_read_timer;
	catalog->lapse_timer.fire = on_lapse_timer;
	catalog->responded_ns = carob_kernel_now_ns(options->kernel);
	carob_rng_init(&catalog->rng, options->seed);
	*out = catalog;
	return 0;
}

void carob_catalog_free(carob_catalog_t *catalog)
{
	if (!catalog)
		return;
	carob_timer_cancel(catalog->options.kernel, &catalog->read_timer);
	carob_timer_cancel(catalog->options.kernel, &catalog->lapse_timer);
	if (catalog->reading != READ_NONE)
		catalog->options.source->ops->cancel(catalog->options.source);
	carob_buf_dispose(&catalog->page_after);
	free(catalog);
}
