#include "cluster.h"

#include "carobtrail/entry.h"
#include "carobtrail/errors.h"
#include "control.h"
#include "core.h"
#include "net/platform_list.h"
#include "prober.h"
#include "platform.h"
#include "request_path.h"
#include "sync.h"

#include <sodium.h>
#include <stdlib.h>

typedef struct entryd_cluster {
	carob_service_t service;
	carob_cluster_host_t host;
	carob_control_handler_t handler;
	carob_timer_t drain_timer; /* limits the time of a graceful stop */
	carob_loop_t *loop;
	uint32_t drain_limit_ms;
	entryd_core_t *core;
	carob_entry_t *entry;
	carob_manifest_sync_t *sync;
	carob_cluster_t *cluster;
	carob_platform_hints_t hints;
	carob_platform_list_t *platform_list; /* NULL without a platform */
} entryd_cluster_t;

static entryd_cluster_t *from_host(carob_cluster_host_t *host)
{
	return CAROB_CONTAINER_OF(host, entryd_cluster_t, host);
}

static void peer_generation(carob_cluster_host_t *host,
			    const carob_control_peer_t *peer,
			    uint64_t generation)
{
	carob_manifest_sync_on_peer_generation(from_host(host)->sync, peer,
					       generation);
}

static void manifest_message(carob_cluster_host_t *host,
			     const carob_control_peer_t *peer,
			     const carob_control_msg_t *msg)
{
	carob_manifest_sync_on_message(from_host(host)->sync, peer, msg);
}

static size_t summaries(carob_cluster_host_t *host, carob_load_summary_t *out,
			size_t cap)
{
	return carob_scheduler_summaries(out, cap,
					 from_host(host)->core->scheduler);
}

static void on_summary(carob_cluster_host_t *host,
		       const carob_load_summary_t *summary)
{
	carob_scheduler_on_summary(from_host(host)->core->scheduler, summary);
}

static void on_report(carob_cluster_host_t *host,
		      const carob_load_report_t *report)
{
	entryd_cluster_t *self = from_host(host);

	carob_health_on_partner_report(
		entryd_prober_health(self->service.kernel), report);
}

static void drain_entry(carob_cluster_host_t *host,
			carob_instance_id_t successor)
{
	carob_entry_drain(from_host(host)->entry, successor);
}

static bool entry_drained(carob_cluster_host_t *host)
{
	return carob_entry_drained(from_host(host)->entry);
}

static int export_records(carob_cluster_host_t *host, carob_buf_t *out)
{
	return carob_entry_export(out, from_host(host)->entry);
}

static int import_records(carob_cluster_host_t *host,
			  carob_instance_id_t predecessor, carob_str_t records)
{
	return carob_entry_import(from_host(host)->entry, predecessor, records);
}

static void on_left(carob_cluster_host_t *host)
{
	carob_loop_stop(from_host(host)->loop);
}

static const carob_cluster_host_ops_t host_ops = {
	.peer_generation = peer_generation,
	.manifest_message = manifest_message,
	.summaries = summaries,
	.on_summary = on_summary,
	.on_report = on_report,
	.drain = drain_entry,
	.drained = entry_drained,
	.export_records = export_records,
	.import_records = import_records,
	.left = on_left,
};

static void on_message(carob_control_handler_t *handler,
		       const carob_control_msg_t *msg)
{
	carob_cluster_on_message(
		CAROB_CONTAINER_OF(handler, entryd_cluster_t, handler)->cluster,
		msg);
}

static void on_drain_timeout(carob_timer_t *timer)
{
	carob_loop_stop(
		CAROB_CONTAINER_OF(timer, entryd_cluster_t, drain_timer)->loop);
}

static int cluster_start(carob_service_t *service)
{
	return carob_cluster_start(((entryd_cluster_t *)service)->cluster);
}

static void cluster_drain(carob_service_t *service)
{
	entryd_cluster_t *self = (entryd_cluster_t *)service;

	carob_timer_arm(service->kernel, &self->drain_timer,
			carob_kernel_now_ns(service->kernel) +
				self->drain_limit_ms * CAROB_NS_PER_MS);
	carob_cluster_drain(self->cluster);
}

static void cluster_free(carob_service_t *service)
{
	entryd_cluster_t *self = (entryd_cluster_t *)service;

	if (service->kernel)
		carob_timer_cancel(service->kernel, &self->drain_timer);
	carob_platform_list_free(self->platform_list);
	carob_cluster_free(self->cluster);
	free(self);
}

static const carob_service_ops_t cluster_ops = {
	.name = ENTRYD_CLUSTER,
	.start = cluster_start,
	.drain = cluster_drain,
	.free = cluster_free,
};

static int new_cluster(entryd_cluster_t *self, carob_kernel_t *kernel,
		       const entryd_settings_t *settings)
{
	carob_cluster_options_t options = CAROB_CLUSTER_OPTIONS_INIT;

	options.kernel = kernel;
	options.membership = self->core->membership;
	options.port = carob_control_port(
		entryd_control_channel(entryd_control_find(kernel)));
	options.host = &self->host;
	options.keyring = self->core->keyring;
	options.kv = entryd_platform_kv(kernel);
	options.deployment = settings->deployment;
	options.secret = settings->secret;
	options.seeds = settings->seeds;
	options.seed_count = settings->seed_count;
	randombytes_buf(&options.seed, sizeof(options.seed));
	return carob_cluster_new(&self->cluster, &options);
}

static void init_service(entryd_cluster_t *self, carob_kernel_t *kernel,
			 carob_loop_t *loop, const entryd_settings_t *settings)
{
	self->service.ops = &cluster_ops;
	self->host.ops = &host_ops;
	self->handler.message = on_message;
	self->drain_timer.fire = on_drain_timeout;
	self->loop = loop;
	self->drain_limit_ms = settings->drain_limit_ms;
	self->core = entryd_core_find(kernel);
	self->entry = entryd_request_path_find(kernel);
	self->sync = entryd_sync_find(kernel);
}

static void on_hint(carob_platform_hints_t *hints, const carob_addr_t *addr)
{
	entryd_cluster_t *self =
		CAROB_CONTAINER_OF(hints, entryd_cluster_t, hints);

	carob_gossip_add_hint(carob_cluster_gossip(self->cluster), addr);
}

static int new_platform_list(entryd_cluster_t *self, carob_kernel_t *kernel,
			     const entryd_settings_t *settings)
{
	carob_platform_list_options_t options =
		CAROB_PLATFORM_LIST_OPTIONS_INIT;

	if (settings->platform.family == 0)
		return 0;
	self->hints.hint = on_hint;
	options.kernel = kernel;
	options.base = carob_loop_base(self->loop);
	options.membership = self->core->membership;
	options.hints = &self->hints;
	options.addr = settings->platform;
	options.source = settings->service_ip;
	options.name = settings->deployment;
	randombytes_buf(&options.seed, sizeof(options.seed));
	return carob_platform_list_new(&self->platform_list, &options);
}

int entryd_cluster_register(carob_kernel_t *kernel, carob_loop_t *loop,
			    const entryd_settings_t *settings)
{
	entryd_cluster_t *self = calloc(1, sizeof(*self));
	int error;

	if (!self)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate the cluster service");
	init_service(self, kernel, loop, settings);
	error = new_cluster(self, kernel, settings);
	if (!error)
		error = new_platform_list(self, kernel, settings);
	if (!error)
		error = carob_kernel_register(kernel, &self->service);
	if (error) {
		cluster_free(&self->service);
		return error;
	}
	entryd_control_set_handler(entryd_control_find(kernel), &self->handler);
	return 0;
}

carob_cluster_t *entryd_cluster_find(const carob_kernel_t *kernel)
{
	carob_service_t *service = NULL;

	carob_kernel_find(&service, kernel, ENTRYD_CLUSTER);
	return ((entryd_cluster_t *)service)->cluster;
}
