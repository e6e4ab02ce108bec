/* carob-flowd: an instance that balances flows, packet by packet. */
#include "carobtrail/catalog.h"
#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "carobtrail/rng.h"
#include "explain.h"
#include "frontend.h"
#include "http.h"
#include "load.h"
#include "metrics.h"
#include "net/program.h"
#include "platform/calls.h"
#include "platform/store.h"
#include "relay.h"
#include "settings.h"

#include <sodium.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Interval of the periodic work: sweeping the flow table, detecting pauses of
 * the process, ending a drain. */
#define TICK_NS (500 * CAROB_NS_PER_MS)
/* A tick that is late by this much, or a suspension of this length, is treated
 * as a pause of the process. */
#define PAUSE_NS (500 * CAROB_NS_PER_MS)
/* Shortest drain after the stop signal. Routers check readiness twice a second
 * and send packets elsewhere after two failed checks; the rest is for packets
 * in flight. */
#define DRAIN_MS_MIN 2000
/* Part of the grace time that is reserved for stopping after the drain. */
#define STOP_MARGIN_MS 1000
/* Ticks between two checks whether the settings file has changed. */
#define SETTINGS_CHECK_TICKS 10
/* After this time without packets, the routers are taken to send none any
 * more. */
#define DRAIN_IDLE_NS (CAROB_NS_PER_S)

typedef struct flowd {
	carob_program_t program;
	flowd_settings_t settings;
	carob_route_table_t routes;
	carob_upstream_table_t upstreams;
	carob_link_meter_t link;
	carob_steering_t *steering;
	uint64_t pace_seed; /* see carob_pace_options_t */
	carob_reader_table_t readers;
	carob_zone_table_t zones;
	platform_store_t *store;
	flowd_relay_t *relay; /* NULL: all is read from the platform */
	flowd_load_t *load;   /* NULL: load is not shared */
	carob_load_view_t load_view;
	carob_catalog_t *catalog;
	flowd_frontend_t *frontend;
	flowd_http_t *readiness;
	flowd_http_t *metrics;
	carob_catalog_listener_t catalog_listener;
	flowd_http_handler_t readiness_handler;
	flowd_http_handler_t metrics_handler;
	flowd_http_handler_t explain_handler;
	carob_timer_t tick;
	uint64_t ticks;
	uint64_t suspended_ns; /* total time in suspension, at the last tick */
	bool ready;	       /* result of the last readiness check */
	bool draining;
	uint64_t drain_start_ns; /* time of the stop signal */
	uint64_t last_packets;	 /* packet counter at the last tick */
	uint64_t last_packet_ns; /* last tick at which the counter had risen */
} flowd_t;

static uint64_t read_clock(clockid_t id)
{
	struct timespec now;

	if (clock_gettime(id, &now) != 0)
		return 0;
	return (uint64_t)now.tv_sec * CAROB_NS_PER_S + (uint64_t)now.tv_nsec;
}

/* Total time for which the machine was suspended. CLOCK_BOOTTIME advances
 * during a suspension, CLOCK_MONOTONIC does not. */
static uint64_t suspended_ns(void)
{
	return read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC);
}

static int handle_readiness(flowd_http_handler_t *handler, carob_buf_t *body,
			    const char *query)
{
	flowd_t *self = CAROB_CONTAINER_OF(handler, flowd_t, readiness_handler);
	bool ready = !self->draining && carob_catalog_complete(self->catalog);

	(void)body;
	(void)query;
	if (ready != self->ready)
		CAROB_LOG(CAROB_EV_READINESS, CAROB_FIELD_U64("ready", ready),
			  CAROB_FIELD_U64("leaving", self->draining),
			  CAROB_FIELD_U64("revision", carob_catalog_revision(
							      self->catalog)));
	self->ready = ready;
	return ready ? 200 : 503;
}

static int handle_metrics(flowd_http_handler_t *handler, carob_buf_t *body,
			  const char *query)
{
	flowd_t *self = CAROB_CONTAINER_OF(handler, flowd_t, metrics_handler);
	flowd_metrics_source_t source = {
		.steering = self->steering,
		.catalog = self->catalog,
		.upstreams = &self->upstreams,
		.routes = &self->routes,
		.zones = &self->zones,
		.frontend = self->frontend,
		.hub = self->program.hub,
		.relay = flowd_relay_status(self->relay),
		.load = carob_load_sharing_status(
			flowd_load_sharing(self->load)),
		.link_congested = carob_link_meter_congested(
			&self->link, carob_kernel_now_ns(self->program.kernel)),
	};

	(void)query;
	return flowd_metrics_write(body, &source) == 0 ? 200 : 503;
}

static int handle_explain(flowd_http_handler_t *handler, carob_buf_t *body,
			  const char *query)
{
	flowd_t *self = CAROB_CONTAINER_OF(handler, flowd_t, explain_handler);
	flowd_explain_source_t source = {
		.steering = self->steering,
		.catalog = self->catalog,
		.upstreams = &self->upstreams,
		.zones = &self->zones,
		.read_from = flowd_relay_status(self->relay).source,
		.load = carob_load_sharing_status(
			flowd_load_sharing(self->load)),
	};

	return flowd_explain_write(body, &source, query) == 0 ? 200 : 400;
}

/* Detects that the process was paused or the machine suspended. Then the
 * catalogue may be out of date and is refreshed. */
static void detect_pause(flowd_t *self, uint64_t now_ns)
{
	uint64_t suspended = suspended_ns();
	uint64_t late_ns = now_ns - self->tick.due_ns;
	uint64_t suspension_ns = suspended - self->suspended_ns;

	self->suspended_ns = suspended;
	/* The two clocks are not read at the same instant, so the difference
	 * between two readings may be slightly negative. */
	if (suspension_ns > INT64_MAX)
		suspension_ns = 0;
	if (late_ns < PAUSE_NS && suspension_ns < PAUSE_NS)
		return;
	CAROB_LOG(CAROB_EV_PAUSE_NOTICED,
		  CAROB_FIELD_U64("late_ms", late_ns / CAROB_NS_PER_MS),
		  CAROB_FIELD_U64("suspended_ms",
				  suspension_ns / CAROB_NS_PER_MS));
	carob_catalog_refresh(self->catalog);
	/* The monotonic clock does not count a suspension. */
	if (self->load && suspension_ns >= PAUSE_NS)
		carob_load_sharing_forget(flowd_load_sharing(self->load));
}

static void stop_if_drained(flowd_t *self, uint64_t now_ns)
{
	uint64_t packets = flowd_frontend_counters(self->frontend)->packets;
	uint64_t elapsed_ms = (now_ns - self->drain_start_ns) / CAROB_NS_PER_MS;
	uint64_t max_ms =
		self->settings.stop_grace_ms > STOP_MARGIN_MS
			? self->settings.stop_grace_ms - STOP_MARGIN_MS
			: 0;

	if (packets != self->last_packets)
		self->last_packet_ns = now_ns;
	self->last_packets = packets;
	if (!self->draining)
		return;
	if (elapsed_ms >= max_ms ||
	    (elapsed_ms >= DRAIN_MS_MIN &&
	     now_ns - self->last_packet_ns >= DRAIN_IDLE_NS))
		carob_loop_stop(self->program.loop);
}

static void on_tick(carob_timer_t *timer)
{
	flowd_t *self = CAROB_CONTAINER_OF(timer, flowd_t, tick);
	uint64_t now = carob_kernel_now_ns(self->program.kernel);

	detect_pause(self, now);
	carob_steering_sweep(self->steering);
	stop_if_drained(self, now);
	if (self->relay)
		flowd_relay_check(self->relay, self->upstreams.count,
				  !self->draining && carob_catalog_complete(
							     self->catalog));
	if (++self->ticks % SETTINGS_CHECK_TICKS == 0)
		carob_program_reload_if_changed(&self->program);
	(void)carob_timer_arm(self->program.kernel, &self->tick, now + TICK_NS);
}

static void on_signal(carob_program_t *program, int count)
{
	flowd_t *self = (flowd_t *)program;

	if (count > 1) {
		carob_loop_stop(program->loop);
		return;
	}
	self->draining = true;
	if (self->relay)
		flowd_relay_drain(self->relay);
	self->drain_start_ns = carob_kernel_now_ns(program->kernel);
	CAROB_LOG(CAROB_EV_DRAINING,
		  CAROB_FIELD_U64("flows",
				  carob_steering_flow_count(self->steering)));
}

static void log_settings(const flowd_settings_t *settings)
{
	char store[CAROB_ADDR_TEXT_MAX];

	carob_addr_format(store, &settings->store);
	CAROB_LOG(CAROB_EV_SETTINGS_IN_FORCE,
		  CAROB_FIELD_STR("instance", settings->instance),
		  CAROB_FIELD_STR("zone", settings->zone),
		  CAROB_FIELD_CSTR("store", store),
		  CAROB_FIELD_U64("first_start", settings->first_start),
		  CAROB_FIELD_U64("contact_ms", settings->contact_ms),
		  CAROB_FIELD_U64("apply_ms", settings->apply_ms),
		  CAROB_FIELD_U64("stop_grace_ms", settings->stop_grace_ms),
		  CAROB_FIELD_U64("share_load", settings->share_load));
}

static void set_pace(flowd_t *self, const flowd_settings_t *settings)
{
	carob_pace_options_t options = {
		.cold_overage = settings->cold_overage,
		.cold_slack = settings->cold_slack,
		.instances = settings->pace_instances,
		.seed = self->pace_seed,
	};

	carob_steering_set_pace(self->steering, &options);
}

/* Sockets and the home zone are only set at the start: whatever changes them
 * also restarts the process. */
static int on_reload(carob_program_t *program, const carob_json_node_t *root)
{
	flowd_t *self = (flowd_t *)program;
	flowd_settings_t settings;
	int error = flowd_settings_read(&settings, root);

	if (error)
		return error;
	/* These strings borrow from the new document, which replaces the old
	 * one. */
	self->settings.instance = settings.instance;
	self->settings.zone = settings.zone;
	self->settings.stop_grace_ms = settings.stop_grace_ms;
	carob_steering_set_low_priority_floor(self->steering,
					      settings.low_priority_floor);
	log_settings(&settings);
	set_pace(self, &settings);
	carob_catalog_set_deadlines(self->catalog, settings.contact_ms,
				    settings.apply_ms);
	if (self->relay)
		flowd_relay_set_apply_ms(self->relay, settings.apply_ms);
	return 0;
}

static int start_relay(flowd_t *self)
{
	flowd_relay_options_t options = {
		.kernel = self->program.kernel,
		.base = carob_loop_base(self->program.loop),
		.store = self->store,
		.readers = &self->readers,
		.settings = &self->settings,
		.link = &self->link,
	};

	if (!self->settings.relay.family)
		return 0;
	return flowd_relay_new(&self->relay, &options);
}

static int start_load(flowd_t *self)
{
	flowd_load_options_t options = {
		.kernel = self->program.kernel,
		.hub = self->program.hub,
		.settings = &self->settings,
		.upstreams = &self->upstreams,
		.readers = &self->readers,
		.view = &self->load_view,
	};

	if (!self->settings.share_load)
		return 0;
	options.key = flowd_relay_key(self->relay);
	return flowd_load_new(&self->load, &options);
}

static int start_steering(flowd_t *self)
{
	carob_steering_options_t options = CAROB_STEERING_OPTIONS_INIT;
	int error;

	options.clock = carob_kernel_clock(self->program.kernel);
	options.routes = &self->routes;
	options.upstreams = &self->upstreams;
	options.home_zone = self->settings.zone;
	self->pace_seed = (uint64_t)randombytes_random() << 32 |
			  randombytes_random();
	carob_link_meter_init(&self->link, self->settings.link_mbps);
	options.link = &self->link;
	if (self->settings.share_load)
		options.load_view = &self->load_view;
	options.reset_gone = self->settings.share_load ||
			     self->settings.cold_overage > 0;
	options.low_priority_floor = self->settings.low_priority_floor;
	error = carob_steering_new(&self->steering, &options);
	if (!error)
		set_pace(self, &self->settings);
	return error;
}

static void on_catalog_complete(carob_catalog_listener_t *listener)
{
	flowd_t *self = CAROB_CONTAINER_OF(listener, flowd_t, catalog_listener);
	int error = flowd_frontend_start(self->frontend);

	if (!error)
		return;
	carob_program_fail(&self->program, error);
	carob_loop_stop(self->program.loop);
}

static int start_catalog(flowd_t *self)
{
	carob_catalog_options_t options = CAROB_CATALOG_OPTIONS_INIT;
	int error;

	error = platform_store_new(&self->store, self->program.kernel,
				   carob_loop_base(self->program.loop),
				   &self->settings.store,
				   &self->settings.packets);
	if (!error)
		error = start_relay(self);
	if (!error)
		error = start_load(self);
	if (error)
		return error;
	options.kernel = self->program.kernel;
	options.source = self->relay ? flowd_relay_source(self->relay)
				     : platform_store_source(self->store);
	options.readers = self->relay ? &self->readers : NULL;
	options.zones = &self->zones;
	options.routes = &self->routes;
	options.upstreams = &self->upstreams;
	options.contact_ms = self->settings.contact_ms;
	options.apply_ms = self->settings.apply_ms;
	options.link_mbps = self->settings.link_mbps;
	self->catalog_listener.complete = on_catalog_complete;
	options.listener = &self->catalog_listener;
	options.seed = carob_addr_hash(0, &self->settings.packets);
	return carob_catalog_new(&self->catalog, &options);
}

static int start_servers(flowd_t *self)
{
	struct event_base *base = carob_loop_base(self->program.loop);
	int error;

	error = flowd_frontend_new(&self->frontend, self->program.hub,
				   &self->settings.packets, self->steering,
				   self->catalog,
				   carob_kernel_clock(self->program.kernel),
				   &self->link);
	self->readiness_handler.path = PLATFORM_READY_PATH;
	self->readiness_handler.handle = handle_readiness;
	if (!error)
		error = flowd_http_new(&self->readiness, base,
				       &self->settings.readiness,
				       &self->readiness_handler);
	self->metrics_handler.path = "/metrics";
	self->metrics_handler.handle = handle_metrics;
	if (!error && self->settings.metrics.family)
		error = flowd_http_new(&self->metrics, base,
				       &self->settings.metrics,
				       &self->metrics_handler);
	self->explain_handler.path = "/explain";
	self->explain_handler.handle = handle_explain;
	if (!error && self->metrics)
		error = flowd_http_add(self->metrics, &self->explain_handler);
	return error;
}

static int start_instance(flowd_t *self)
{
	int error = start_steering(self);

	if (!error)
		error = start_catalog(self);
	if (!error)
		error = start_servers(self);
	if (error)
		return carob_program_fail(&self->program, error);
	self->suspended_ns = suspended_ns();
	self->tick.fire = on_tick;
	(void)carob_timer_arm(self->program.kernel, &self->tick,
			      carob_kernel_now_ns(self->program.kernel) +
				      TICK_NS);
	log_settings(&self->settings);
	carob_catalog_start(self->catalog);
	return 0;
}

static void dispose_instance(flowd_t *self)
{
	flowd_http_free(self->metrics);
	flowd_http_free(self->readiness);
	flowd_frontend_free(self->frontend);
	carob_catalog_free(self->catalog);
	flowd_load_free(self->load);
	flowd_relay_free(self->relay);
	platform_store_free(self->store);
	carob_steering_free(self->steering);
	carob_route_table_dispose(&self->routes);
	carob_upstream_table_dispose(&self->upstreams);
	carob_zone_table_dispose(&self->zones);
	carob_program_dispose(&self->program);
}

static int read_settings(carob_program_t *program,
			 const carob_json_node_t *root)
{
	return flowd_settings_read(&((flowd_t *)program)->settings, root);
}

int main(int argc, const char **argv)
{
	static flowd_t self = {.program.name = "carob-flowd",
			       .program.read_settings = read_settings,
			       .program.log_fd = STDOUT_FILENO,
			       .program.on_signal = on_signal,
			       .program.on_reload = on_reload};
	int error;

	error = carob_program_init(&self.program, argc, argv);
	if (!error)
		error = start_instance(&self);
	if (!error)
		carob_program_run(&self.program);
	dispose_instance(&self);
	return self.program.exit_status;
}
