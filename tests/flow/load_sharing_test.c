/* Load sharing of 4, 28 and 135 instances in three zones, with and without
 * faults. Guards against wrong sums, against ages that are understated, and
 * against views that outlive what they were made of. */
#include "load_simulation.h"

#include "carobtrail/log.h"

#include <math.h>

/* Upstream of which only the instance that fails has load, and that load. */
#define MARKED	    0
#define MARKED_LOAD 3
/* Steps of loads are 1/8 request, and a report may be a step too high or low. */
#define STEP (1.0 / CAROB_LOAD_STEPS)

static simulation_t sim;

static const size_t sizes[] = {4, 28, 135};

static bool has_load(size_t instance, size_t upstream)
{
	return upstream != MARKED &&
	       carob_hash_u64(instance * 1000 + upstream) % 20 == 0;
}

static void set_loads(void)
{
	for (size_t i = 0; i < sim.count; i++)
		for (size_t u = 0; sim.instances[i].kernel && u < SIM_UPSTREAMS;
		     u++)
			sim_set_load(&sim, i, u, has_load(i, u));
}

static double load_of_others(size_t instance, size_t upstream)
{
	double load = 0;

	for (size_t i = 0; i < sim.count; i++)
		if (i != instance && sim.instances[i].kernel &&
		    !sim.instances[i].frozen)
			load += sim.instances[i]
					.upstreams.items[upstream]
					.pending;
	return load;
}

/* Starts `count` instances with their loads, and waits until all know them. */
static void begin(size_t count)
{
	sim_init(&sim, count);
	set_loads();
	sim_run(&sim, 10000);
}

/* Time after which a change must be known everywhere: it is reported, passed on
 * to the other zones, and answered, each an interval later at most; a period in
 * which it begins is measured in part. */
static uint64_t settle_ms(void)
{
	return 5 * sim_interval(&sim, 0) + 100;
}

/* Time after which nothing of a sender that has stopped may be in a fresh view:
 * its report, the sum of its zone and the view expire one after the other. */
static uint64_t gone_ms(void)
{
	uint32_t interval_ms = sim_interval(&sim, 1);

	return CAROB_LOAD_INTERVALS_KEPT * interval_ms +
	       2 * carob_load_view_ms(interval_ms) + 100;
}

static void check_sums(size_t instance)
{
	const sim_instance_t *it = &sim.instances[instance];
	double worst = 0;

	for (size_t u = 0; u < SIM_UPSTREAMS; u++) {
		double error = fabs(it->upstreams.items[u].others_load -
				    load_of_others(instance, u));

		if (error > worst)
			worst = error;
	}
	CU_ASSERT_TRUE(worst <= 2 * STEP);
	if (worst > 2 * STEP)
		printf("\n%zu of %zu: off by %.2f", instance, sim.count, worst);
}

/* All know the load of all others but not their own as that of others, at the
 * price that is promised. */
static void check_size(size_t count)
{
	uint64_t bytes;
	uint64_t worst_bytes = 0;
	uint64_t worst_age_ms = 0;
	uint64_t rejected = 0;

	begin(count);
	for (size_t i = 0; i < count; i++) {
		CU_ASSERT_TRUE(sim_knows(&sim, i));
		CU_ASSERT_EQUAL(sim.instances[i].view.all_instances, count);
		CU_ASSERT_EQUAL(sim.instances[i].view.zone_instances,
				(count + 2 - i % SIM_ZONES) / SIM_ZONES);
		check_sums(i);
	}
	bytes = carob_load_sharing_status(sim.instances[0].sharing)
			.counters.bytes_sent;
	for (int k = 0; k < 4000; k++) {
		sim_step(&sim);
		for (size_t i = 0; i < count; i++) {
			carob_load_status_t status = carob_load_sharing_status(
				sim.instances[i].sharing);

			if (status.age_ms > worst_age_ms)
				worst_age_ms = status.age_ms;
			CU_ASSERT_TRUE(status.known);
		}
	}
	bytes = carob_load_sharing_status(sim.instances[0].sharing)
			.counters.bytes_sent -
		bytes;
	for (size_t i = 0; i < count; i++) {
		carob_load_status_t status =
			carob_load_sharing_status(sim.instances[i].sharing);
		uint64_t per_s = status.counters.bytes_sent * 1000 / 30000;

		rejected += status.counters.malformed + status.counters.forged +
			    status.counters.stale;
		if (!status.is_reader && per_s > worst_bytes)
			worst_bytes = per_s;
	}
	CU_ASSERT_EQUAL(rejected, 0);
	/* Intervals vary by a sixteenth. */
	CU_ASSERT_TRUE(bytes / 20 <= CAROB_LOAD_BYTES_PER_S * 17 / 16);
	CU_ASSERT_TRUE(worst_bytes <= 8000);
	CU_ASSERT_TRUE(worst_age_ms <=
		       3 * sim_interval(&sim, 0) + 2 * SIM_STEP_MS);
	printf("\n%3zu instances: interval %u ms, age up to %u ms, reader "
	       "sends "
	       "%u B/s, another one up to %u B/s",
	       count, sim_interval(&sim, 0), (unsigned)worst_age_ms,
	       (unsigned)(bytes / 20), (unsigned)worst_bytes);
	sim_dispose(&sim);
}

static void test_sizes(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++)
		check_size(sizes[i]);
}

/* How the mean age of what is known may exceed what the view says: loads are
 * averages of an interval, and steps and delays in the zone. */
#define AGE_SLACK_MS(interval_ms) ((interval_ms) / 2.0 + 30)
#define RAMP_MS			  20 /* all loads rise by 1 in this time */

/* All loads on one upstream rise steadily, so that a sum shows the mean time at
 * which its parts were measured. The view must not say a later one. */
static void check_age(uint32_t delay_ms, uint32_t zone_delay_ms)
{
	double worst_ms = 0;
	uint64_t start;

	sim_init(&sim, 4);
	sim.faults.delay_ms = delay_ms;
	sim.faults.zone_delay_ms = zone_delay_ms;
	sim_run(&sim, 6000);
	start = sim_now(&sim);
	for (uint32_t ms = 0; ms < 1600; ms += SIM_STEP_MS) {
		for (size_t i = 0; i < sim.count; i++)
			sim_set_load(&sim, i, MARKED, ms / RAMP_MS);
		sim_step(&sim);
		for (size_t i = 0; i < sim.count; i++) {
			const sim_instance_t *it = &sim.instances[i];
			double load = it->upstreams.items[MARKED].others_load;
			double said_ms =
				(double)(it->view.updated_ns - start) / MS;

			if (ms < 1000 + delay_ms + zone_delay_ms)
				continue;
			if (said_ms - load / 3 * RAMP_MS > worst_ms)
				worst_ms = said_ms - load / 3 * RAMP_MS;
		}
	}
	CU_ASSERT_TRUE(sim.instances[3].upstreams.items[MARKED].others_load >
		       3 * 500.0 / RAMP_MS);
	CU_ASSERT_TRUE(worst_ms <= AGE_SLACK_MS(sim_interval(&sim, 0)));
	printf("\ndelays of %u ms, and %u between zones: loads up to %.0f ms "
	       "older than said",
	       delay_ms, zone_delay_ms, worst_ms);
	sim_dispose(&sim);
}

static void test_age(void)
{
	check_age(0, 0);
	check_age(0, 300);
	check_age(100, 0);
}

static void kill_reader(void)
{
	sim_stop(&sim, 0);
}

static void freeze_reader(void)
{
	sim.instances[0].frozen = true;
}

static void deafen_reader(void)
{
	sim.instances[0].deaf = true;
}

static void mute_reader(void)
{
	sim.instances[0].mute = true;
}

static void cut_zone(void)
{
	sim.faults.zone_cut = true;
}

static void freeze_instance(void)
{
	sim.instances[3].frozen = true;
}

static void kill_half(void)
{
	for (size_t i = SIM_ZONES; i < sim.count; i++)
		if (i % 2 != 0)
			sim_stop(&sim, i);
}

/* Which instances are counted after a fault. */
typedef enum counted {
	COUNT_NONE, /* the view has expired */
	COUNT_ALL,
	COUNT_ZONE, /* those of the first zone */
	COUNT_REST, /* those of the other zones */
	COUNT_LIVE, /* those that run */
} counted_t;

static size_t number_of(counted_t counted)
{
	size_t number = 0;

	for (size_t i = 0; i < sim.count; i++) {
		bool first = i % SIM_ZONES == 0;
		bool runs = sim.instances[i].kernel && !sim.instances[i].frozen;

		number += counted == COUNT_ALL ||
			  (counted == COUNT_ZONE && first) ||
			  (counted == COUNT_REST && !first) ||
			  (counted == COUNT_LIVE && runs);
	}
	return number;
}

/* Faults, and what is known after the bound: in the zone of the fault and in
 * another one. */
static const struct fault_case {
	const char *name;
	void (*inject)(void);
	size_t marked; /* instance with the marked load */
	counted_t here;
	counted_t there;
	bool marked_stays; /* its load is still known in the other zone */
} fault_cases[] = {
	{"reader killed", kill_reader, 0, COUNT_NONE, COUNT_REST, false},
	{"reader frozen", freeze_reader, 0, COUNT_NONE, COUNT_REST, false},
	{"reader receives nothing", deafen_reader, 3, COUNT_NONE, COUNT_REST,
	 false},
	{"reader sends nothing", mute_reader, 0, COUNT_NONE, COUNT_REST, false},
	{"zone cut off", cut_zone, 3, COUNT_ZONE, COUNT_REST, false},
	{"instance frozen", freeze_instance, 3, COUNT_LIVE, COUNT_LIVE, false},
	{"half killed", kill_half, 3, COUNT_LIVE, COUNT_LIVE, false},
};

/* @return whether an instance knows the number that is expected */
static bool counts(size_t instance, counted_t counted)
{
	const carob_load_view_t *view = &sim.instances[instance].view;

	if (counted == COUNT_NONE)
		return !sim_knows(&sim, instance);
	return sim_knows(&sim, instance) &&
	       view->all_instances == number_of(counted);
}

static void check_fault(const struct fault_case *c, size_t count)
{
	size_t there = count > 4 ? 4 : 1; /* in the second zone */
	size_t here = count > 6 ? 6 : 3;  /* in the first zone */
	bool here_runs;
	uint64_t view_ms;

	begin(count);
	sim_set_load(&sim, c->marked, MARKED, MARKED_LOAD);
	sim_run(&sim, settle_ms());
	CU_ASSERT_TRUE(counts(there, COUNT_ALL));
	CU_ASSERT_DOUBLE_EQUAL(
		sim.instances[there].upstreams.items[MARKED].others_load,
		MARKED_LOAD, STEP);
	c->inject();
	/* A view that is not renewed ends before what it was made of. */
	view_ms = carob_load_view_ms(sim_interval(&sim, 1)) + 100;
	sim_run(&sim, view_ms);
	CU_ASSERT_TRUE(c->here != COUNT_NONE || !sim_knows(&sim, here));
	/* A reader that hears nothing is heard until the round trip to it is no
	 * longer known. */
	sim_run(&sim, gone_ms() - view_ms);
	if (c->inject == deafen_reader)
		sim_run(&sim, 20ULL * sim_interval(&sim, 1));
	here_runs = sim.instances[here].kernel && !sim.instances[here].frozen;
	CU_ASSERT_TRUE(!here_runs || counts(here, c->here));
	CU_ASSERT_TRUE(counts(there, c->there));
	CU_ASSERT_DOUBLE_EQUAL(
		sim.instances[there].upstreams.items[MARKED].others_load, 0,
		STEP);
	if ((here_runs && !counts(here, c->here)) || !counts(there, c->there))
		printf("\n%s, %zu instances: here %d/%u, there %d/%u", c->name,
		       count, sim_knows(&sim, here),
		       sim.instances[here].view.all_instances,
		       sim_knows(&sim, there),
		       sim.instances[there].view.all_instances);
	sim_dispose(&sim);
}

static void test_faults(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(fault_cases); i++)
		for (size_t k = 0; k < CAROB_ARRAY_SIZE(sizes); k++)
			check_fault(&fault_cases[i], sizes[k]);
}

/* The load that a fresh view says of the marked upstream, at most, among all
 * instances but `except`. */
static double marked_load(size_t except)
{
	double load = 0;

	for (size_t i = 0; i < sim.count; i++) {
		const sim_instance_t *it = &sim.instances[i];

		if (i != except && it->kernel && sim_knows(&sim, i) &&
		    it->upstreams.items[MARKED].others_load > load)
			load = it->upstreams.items[MARKED].others_load;
	}
	return load;
}

/* After a reader is killed, another one takes its place; the instances that
 * were killed start again. All are counted then. */
static void check_recovery(size_t count)
{
	begin(count);
	kill_reader();
	kill_half();
	sim_run(&sim, gone_ms());
	CU_ASSERT_TRUE(counts(1, COUNT_REST) == (count == 4));
	for (size_t i = 0; i < count; i++)
		if (!sim.instances[i].kernel && i != 0)
			sim_start(&sim, i);
	set_loads();
	sim_set_reader(&sim, count > 6 ? 6 : 3);
	sim_run(&sim, 3000 + gone_ms());
	for (size_t i = 1; i < count; i++) {
		CU_ASSERT_TRUE(counts(i, COUNT_LIVE));
		check_sums(i);
	}
	sim_dispose(&sim);
}

static void test_recovery(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++)
		check_recovery(sizes[i]);
}

/* A reader gives its slot up and another one takes it: no view says that there
 * are more instances than there are, or that most have gone. */
static void check_handover(size_t count)
{
	size_t few = 0;
	size_t many = 0;

	begin(count);
	sim_set_reader(&sim, 3);
	for (int k = 0; k < 4000; k++) {
		sim_step(&sim);
		for (size_t i = 0; i < count; i++) {
			const carob_load_view_t *view = &sim.instances[i].view;

			few += sim_knows(&sim, i) &&
			       view->all_instances < count * 9 / 10;
			many += view->all_instances > count;
		}
	}
	CU_ASSERT_EQUAL(few, 0);
	CU_ASSERT_EQUAL(many, 0);
	for (size_t i = 0; i < count; i++)
		CU_ASSERT_TRUE(counts(i, COUNT_ALL));
	sim_dispose(&sim);
}

static void test_handover(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(sizes); i++)
		check_handover(sizes[i]);
}

/* The number of instances is used for 60 s after the last view, no longer. */
static void test_counts_expire(void)
{
	const sim_instance_t *it = &sim.instances[3];

	begin(28);
	kill_reader();
	sim_run(&sim, 55000);
	CU_ASSERT_FALSE(sim_knows(&sim, 3));
	CU_ASSERT_EQUAL(
		carob_load_view_zone_instances(&it->view, sim_now(&sim)), 10);
	sim_run(&sim, 5000);
	CU_ASSERT_EQUAL(
		carob_load_view_zone_instances(&it->view, sim_now(&sim)), 0);
	CU_ASSERT_EQUAL(carob_load_view_all_instances(&it->view, sim_now(&sim)),
			0);
	sim_dispose(&sim);
}

static uint64_t rejected(uint64_t *forged, uint64_t *stale)
{
	*forged = 0;
	*stale = 0;
	for (size_t i = 0; i < sim.count; i++) {
		carob_load_status_t status =
			carob_load_sharing_status(sim.instances[i].sharing);

		*forged += status.counters.forged;
		*stale += status.counters.stale;
	}
	return *forged + *stale;
}

/* Networks that lose, delay, repeat and alter datagrams; `known` is the least
 * share of instances that know the load, on average. */
static const struct network_case {
	const char *name;
	sim_faults_t faults;
	double known;
	bool forged;
	bool stale;
} network_cases[] = {
	{"a tenth lost", {.lost = 10}, 0.99, false, false},
	{"all twice", {.twice = 100}, 0.99, false, true},
	{"a tenth late", {.late = 10}, 0.99, false, true},
	{"a tenth altered", {.forged = 10}, 0.99, true, false},
	{"all of it", {20, 20, 20, 20, 0, 100, false}, 0.5, true, true},
};

/* Datagrams that are late by up to 3 s may be the newest of their sender. */
#define LATE_MS 3000

static void check_network(const struct network_case *c, size_t count)
{
	size_t known = 0;
	size_t looks = 0;
	uint64_t forged;
	uint64_t stale;

	begin(count);
	sim.faults = c->faults;
	sim_set_load(&sim, 3, MARKED, MARKED_LOAD);
	sim_run(&sim, 10000);
	sim_set_load(&sim, 3, MARKED, 0);
	sim_run(&sim, gone_ms() + LATE_MS);
	for (int k = 0; k < 100; k++) {
		sim_run(&sim, 50);
		CU_ASSERT_DOUBLE_EQUAL(marked_load(3), 0, STEP);
		for (size_t i = 0; i < count; i++, looks++) {
			known += sim_knows(&sim, i);
			CU_ASSERT_TRUE(sim.instances[i].view.all_instances <=
				       count);
		}
	}
	CU_ASSERT_TRUE((double)known >= c->known * (double)looks);
	if ((double)known < c->known * (double)looks)
		printf("\n%s, %zu instances: known at %.3f", c->name, count,
		       (double)known / (double)looks);
	(void)rejected(&forged, &stale);
	CU_ASSERT_EQUAL(forged > 0, c->forged);
	CU_ASSERT_EQUAL(stale > 0, c->stale);
	sim_dispose(&sim);
}

static void test_networks(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(network_cases); i++)
		for (size_t k = 0; k < CAROB_ARRAY_SIZE(sizes); k++)
			check_network(&network_cases[i], sizes[k]);
}

/* A report of an earlier incarnation that comes again changes nothing, whether
 * its sender has started again or is gone. */
static void check_replay(bool restarted)
{
	uint64_t forged;
	uint64_t stale;

	begin(28);
	sim.recorded = 3 + 1;
	sim_set_load(&sim, 3, MARKED, MARKED_LOAD);
	sim_run(&sim, settle_ms());
	CU_ASSERT_DOUBLE_EQUAL(marked_load(3), MARKED_LOAD, STEP);
	sim.recorded = 0;
	sim_stop(&sim, 3);
	if (restarted)
		sim_start(&sim, 3);
	sim_run(&sim, gone_ms());
	CU_ASSERT_EQUAL(rejected(&forged, &stale), 0);
	for (int k = 0; k < 30; k++) {
		sim_fly(&sim, &sim.record, 1);
		sim_run(&sim, 100);
		CU_ASSERT_EQUAL(marked_load(3), 0);
		CU_ASSERT_TRUE(counts(4, COUNT_LIVE));
	}
	(void)rejected(&forged, &stale);
	CU_ASSERT_EQUAL(stale, 30);
	sim_dispose(&sim);
}

static void test_replays(void)
{
	check_replay(true);
	check_replay(false);
}

/* Reports that waited at a reader while it was frozen are as old as they are
 * when it goes on. */
static void test_frozen_reader_goes_on(void)
{
	begin(28);
	sim_set_load(&sim, 3, MARKED, MARKED_LOAD);
	freeze_reader();
	sim_run(&sim, settle_ms());
	sim_stop(&sim, 3);
	sim_run(&sim, 10000);
	sim.instances[0].frozen = false;
	for (int k = 0; k < 600; k++) {
		sim_step(&sim);
		CU_ASSERT_DOUBLE_EQUAL(marked_load(3), 0, STEP);
	}
	CU_ASSERT_TRUE(counts(6, COUNT_LIVE));
	sim_dispose(&sim);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"sums, numbers and bytes at each size", test_sizes},
		{"ages are not understated", test_age},
		{"faults", test_faults},
		{"recovery", test_recovery},
		{"a reader hands over", test_handover},
		{"numbers of instances expire", test_counts_expire},
		{"faults of the network", test_networks},
		{"replays", test_replays},
		{"a frozen reader goes on", test_frozen_reader_goes_on},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("load-sharing", cases, CAROB_ARRAY_SIZE(cases));
}
