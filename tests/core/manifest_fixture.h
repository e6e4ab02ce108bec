/**
 * @file manifest_fixture.h
 * Fixture for tests that publish small manifests into an in-memory platform,
 * with a clock that only the test advances.
 */
#ifndef CAROBTRAIL_MANIFEST_FIXTURE_H
#define CAROBTRAIL_MANIFEST_FIXTURE_H

#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/publish.h"
#include "emulator/kv/memory.h"
#include "core/manifest/publish_doc.h"

#include <string.h>

#define FIXTURE_DEPLOYMENT CAROB_STR("d")

/** An in-memory platform, a kernel and its clock. */
typedef struct fixture {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_kv_memory_t *memory;
	carob_kv_t *kv;
} fixture_t;

static inline void fixture_init(fixture_t *f)
{
	memset(f, 0, sizeof(*f));
	carob_manual_clock_init(&f->clock, CAROB_NS_PER_S);
	CU_ASSERT_EQUAL(carob_kernel_new(&f->kernel, &f->clock.clock), 0);
	CU_ASSERT_EQUAL(carob_kv_memory_new(&f->memory, f->kernel), 0);
	carob_kv_memory_set_latency(f->memory, CAROB_NS_PER_MS);
	f->kv = carob_kv_memory_kv(f->memory);
}

static inline void fixture_dispose(fixture_t *f)
{
	carob_kv_memory_free(f->memory);
	carob_kernel_free(f->kernel);
}

/** Advances the clock by `ns` and runs the timers that become due. */
static inline void fixture_run(fixture_t *f, uint64_t ns)
{
	uint64_t end = f->clock.now_ns + ns;
	uint64_t due;

	while (carob_kernel_next_due(f->kernel, &due) && due <= end) {
		if (due > f->clock.now_ns)
			f->clock.now_ns = due;
		carob_kernel_run_due(f->kernel);
	}
	f->clock.now_ns = end;
}

/** @return a manifest with one upstream of the given address; release it */
static inline carob_manifest_t *fixture_manifest(const char *addr,
						 unsigned int incarnation)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t text = CAROB_BUF_INIT;
	carob_manifest_t *manifest = NULL;

	(void)carob_buf_printf(
		&text,
		"{\"deployment\":\"d\",\"zones\":[\"a\"],\"services\":[{\"id\":"
		"1,\"name\":\"s\",\"addr\":\"127.0.0.1:5701\",\"slots\":1,"
		"\"connections\":1,\"upstreams\":[{\"id\":7,\"incarnation\":%u,"
		"\"name\":\"u\",\"zone\":\"a\",\"addr\":\"%s\"}]}]}",
		incarnation, addr);
	CU_ASSERT_EQUAL(
		carob_manifest_parse(&manifest, "m", carob_buf_view(&text)), 0);
	return manifest;
}

/** A publish and its outcome. */
typedef struct fixture_publish {
	carob_publish_t *publish;
	carob_publish_outcome_t outcome;
	bool done;
} fixture_publish_t;

static inline void fixture_on_done(void *context,
				   const carob_publish_outcome_t *outcome)
{
	fixture_publish_t *p = context;

	p->outcome = *outcome;
	p->done = true;
}

/** Starts a publish; takes over the caller's reference to the manifest. */
static inline void fixture_start(fixture_publish_t *p, fixture_t *f,
				 carob_manifest_t *manifest, uint8_t id)
{
	carob_publish_options_t options = CAROB_PUBLISH_OPTIONS_INIT;

	memset(p, 0, sizeof(*p));
	options.kernel = f->kernel;
	options.kv = f->kv;
	options.manifest = manifest;
	options.publish_id.bytes[0] = id;
	options.seed = id;
	options.done = fixture_on_done;
	options.context = p;
	CU_ASSERT_EQUAL(carob_publish_new(&p->publish, &options), 0);
	carob_manifest_free(manifest);
}

/** Publishes a manifest and runs the clock for 60 s. @return the result */
static inline int fixture_publish(fixture_t *f, carob_manifest_t *manifest,
				  uint8_t id)
{
	fixture_publish_t p;

	fixture_start(&p, f, manifest, id);
	fixture_run(f, 60 * CAROB_NS_PER_S);
	CU_ASSERT_TRUE(p.done);
	carob_publish_free(p.publish);
	return p.outcome.result;
}

/** @return the head in the platform; its generation is 0 if there is none */
static inline carob_head_t fixture_head(const fixture_t *f)
{
	carob_head_t head = {0};
	carob_kv_key_t key;
	carob_str_t value;

	carob_head_key(&key, FIXTURE_DEPLOYMENT);
	if (carob_kv_memory_peek(&value, f->memory, carob_str_from(key.text)))
		CU_ASSERT_EQUAL(carob_head_parse(&head, "head", value), 0);
	return head;
}

#endif
