#include "slopes.h"

#include "carobtrail/publish.h"
#include "emulator/kv/memory.h"
#include "core/manifest/manifest_json.h"
#include "slope_series.h"

#include <stdlib.h>

#define ROUNDS	 5
#define PORT_MIN 1024

static const size_t sizes[] = {300, 900, 1800, 3600, 6000};

static void add_upstream(carob_buf_t *text, size_t id, unsigned int change,
			 bool first)
{
	int result = carob_buf_printf(
		text,
		"%s{\"id\":%zu,\"name\":\"host-%zu\",\"zone\":\"zone-%zu\","
		"\"addr\":\"10.%zu.%zu.%zu:%u\",\"incarnation\":%u}",
		first ? "" : ",", id, id, id % 9, id >> 16 & 255, id >> 8 & 255,
		id & 255, 5683 + change, 1 + change);

	if (result != 0)
		abort();
}

void bench_manifest_text(carob_buf_t *text, size_t upstreams,
			 unsigned int change)
{
	size_t services = upstreams / BENCH_UPSTREAMS_PER_SERVICE;
	size_t id = 1;

	(void)carob_buf_printf(text, "{\"deployment\":\"d\",\"zones\":[");
	for (int i = 0; i < 9; i++)
		(void)carob_buf_printf(text, "%s\"zone-%d\"", i ? "," : "", i);
	(void)carob_buf_printf(text, "],\"services\":[");
	for (size_t s = 0; s < services; s++) {
		(void)carob_buf_printf(
			text,
			"%s{\"id\":%zu,\"name\":\"service-%zu\",\"addr\":"
			"\"192.0.2.1:%zu\",\"slots\":3,\"connections\":2000,"
			"\"upstreams\":[",
			s ? "," : "", s + 1, s + 1, PORT_MIN + s);
		for (size_t u = 0; u < BENCH_UPSTREAMS_PER_SERVICE; u++, id++)
			add_upstream(text, id, id == 2 ? change : 0, u == 0);
		(void)carob_buf_printf(text, "]}");
	}
	(void)carob_buf_printf(text, "]}");
}

carob_manifest_t *bench_manifest(size_t upstreams, unsigned int change)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_manifest_t *manifest = NULL;

	bench_manifest_text(&text, upstreams, change);
	if (carob_manifest_parse(&manifest, "bench", carob_buf_view(&text)) !=
	    0)
		abort();
	return manifest;
}

/* Returns the lower of two times. The shortest of several rounds is the one
 * that other work on the machine affects least. */
static uint64_t shorter_time(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static void measure_parse(series_t *bytes, series_t *time, series_t *memory,
			  size_t upstreams)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_manifest_t *manifests[ROUNDS] = {0};
	uint64_t shortest = UINT64_MAX;
	size_t heap;
	uint64_t start_ns;

	bench_manifest_text(&text, upstreams, 0);
	series_add(bytes, (double)upstreams, (double)text.len);
	heap = bench_heap_bytes();
	for (int i = 0; i < ROUNDS; i++) {
		start_ns = bench_cpu_ns();
		if (carob_manifest_parse(&manifests[i], "bench",
					 carob_buf_view(&text)) != 0)
			abort();
		shortest = shorter_time(shortest, bench_cpu_ns() - start_ns);
	}
	series_add(time, (double)upstreams, (double)shortest / 1e3);
	series_add(memory, (double)upstreams,
		   (double)(bench_heap_bytes() - heap) / ROUNDS);
	for (int i = 0; i < ROUNDS; i++)
		carob_manifest_free(manifests[i]);
}

/* Measures how long it takes to apply a delta that changes one upstream. */
static void measure_delta(series_t *bytes, series_t *time, size_t upstreams)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t delta = CAROB_BUF_INIT;
	carob_manifest_t *from = bench_manifest(upstreams, 0);
	carob_manifest_t *to = bench_manifest(upstreams, 1);
	uint64_t shortest = UINT64_MAX;
	uint64_t start_ns;

	if (carob_manifest_delta(&delta, from, to) != 0)
		abort();
	series_add(bytes, (double)upstreams, (double)delta.len);
	for (int i = 0; i < ROUNDS; i++) {
		carob_manifest_t *patched = NULL;

		start_ns = bench_cpu_ns();
		if (carob_manifest_patch(&patched, from, "delta",
					 carob_buf_view(&delta)) != 0)
			abort();
		carob_manifest_free(patched);
		shortest = shorter_time(shortest, bench_cpu_ns() - start_ns);
	}
	series_add(time, (double)upstreams, (double)shortest / 1e3);
	carob_manifest_free(from);
	carob_manifest_free(to);
}

static void on_published(void *context, const carob_publish_outcome_t *outcome)
{
	if (outcome->result != 0)
		abort();
	*(bool *)context = true;
}

static void publish(carob_kernel_t *kernel, carob_kv_memory_t *memory,
		    size_t upstreams, unsigned int change)
{
	carob_publish_options_t options = CAROB_PUBLISH_OPTIONS_INIT;
	carob_publish_t *object = NULL;
	bool done = false;

	options.kernel = kernel;
	options.kv = carob_kv_memory_kv(memory);
	options.manifest = bench_manifest(upstreams, change);
	options.publish_id.bytes[0] = (uint8_t)(change + 1);
	options.done = on_published;
	options.context = &done;
	if (carob_publish_new(&object, &options) != 0)
		abort();
	while (!done)
		carob_kv_memory_serve(memory, 0, CAROB_KV_SERVED);
	carob_publish_free(object);
	carob_manifest_free(options.manifest);
}

/* Counts the calls to the key-value store that it takes to publish a change of
 * one upstream. */
static void measure_publish(series_t *calls, size_t upstreams)
{
	carob_manual_clock_t clock;
	carob_kernel_t *kernel = NULL;
	carob_kv_memory_t *memory = NULL;
	uint64_t before;

	carob_manual_clock_init(&clock, CAROB_NS_PER_S);
	if (carob_kernel_new(&kernel, &clock.clock) != 0 ||
	    carob_kv_memory_new(&memory, NULL) != 0)
		abort();
	publish(kernel, memory, upstreams, 0);
	before = carob_kv_memory_calls(memory);
	publish(kernel, memory, upstreams, 1);
	series_add(calls, (double)upstreams,
		   (double)(carob_kv_memory_calls(memory) - before));
	carob_kv_memory_free(memory);
	carob_kernel_free(kernel);
}

void bench_manifest_series(void)
{
	series_t bytes = {"manifest_bytes", "upstreams", "B", 0, {0}, {0}};
	series_t parse = {"manifest_parse", "upstreams", "us", 0, {0}, {0}};
	series_t memory = {"manifest_memory", "upstreams", "B", 0, {0}, {0}};
	series_t delta = {"delta_bytes", "upstreams", "B", 0, {0}, {0}};
	series_t patch = {"delta_apply", "upstreams", "us", 0, {0}, {0}};
	series_t calls = {"publish_calls", "upstreams", "calls", 0, {0}, {0}};

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++) {
		measure_parse(&bytes, &parse, &memory, sizes[i]);
		measure_delta(&delta, &patch, sizes[i]);
		measure_publish(&calls, sizes[i]);
	}
	series_print(&bytes);
	series_print(&parse);
	series_print(&memory);
	series_print(&delta);
	series_print(&patch);
	series_print(&calls);
}
