/* Claims of reader slots, by many instances of a zone on a paused clock with a
 * store of leases whose faults are set. */
#include "carobtrail/reader_claim.h"

#include "carobtrail/errors.h"
#include "carobtrail/log.h"
#include "test_runner.h"

#include <string.h>

#define INSTANCES 60
#define CHECK_MS  500
#define SEEN_MS	  2500 /* until instances see a change of the slot */
#define CALL_MS	  5
#define MS	  CAROB_NS_PER_MS

typedef struct simulation simulation_t;

typedef struct instance {
	carob_lease_store_t store; /* calls of this instance */
	carob_reader_role_t role;
	carob_timer_t done;
	simulation_t *simulation;
	char name[16];
	carob_reader_claim_t *claim;
	carob_lease_call_t *call; /* in progress */
	int result;
	uint64_t lease;
	bool is_reader;
	bool alive;
	bool cut; /* calls are not executed */
} instance_t;

struct simulation {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_reader_table_t readers; /* as all instances see it */
	carob_reader_table_t stored;
	uint64_t stored_ns;    /* time of the last change of `stored` */
	uint64_t holder_lease; /* lease of the entry; 0: none */
	uint64_t expires_ns;
	uint64_t last_lease;
	uint64_t revision;
	int writes;
	double link_mbps[INSTANCES]; /* 0: not known */
	instance_t instances[INSTANCES];
};

static uint64_t now_ns(const simulation_t *simulation)
{
	return carob_clock_now_ns(&simulation->clock.clock);
}

static void finish(instance_t *instance, carob_lease_call_t *call, int result,
		   uint64_t lease)
{
	instance->call = call;
	instance->result = instance->cut ? CAROB_EUNAVAILABLE : result;
	instance->lease = lease;
	(void)carob_timer_arm(instance->simulation->kernel, &instance->done,
			      now_ns(instance->simulation) + CALL_MS * MS);
}

static void on_call_over(carob_timer_t *timer)
{
	instance_t *instance = CAROB_CONTAINER_OF(timer, instance_t, done);

	if (instance->alive)
		instance->call->done(instance->call, instance->result,
				     instance->lease);
}

static void free_entry(simulation_t *simulation)
{
	simulation->holder_lease = 0;
	simulation->stored_ns = now_ns(simulation);
	carob_reader_table_remove(&simulation->stored, CAROB_STR("a"), 0,
				  ++simulation->revision);
}

static void store_begin(carob_lease_store_t *store, carob_lease_call_t *call,
			uint32_t ttl_ms)
{
	instance_t *instance = (instance_t *)store;

	(void)ttl_ms;
	instance->simulation->writes++;
	finish(instance, call, 0, ++instance->simulation->last_lease);
}

static void store_claim(carob_lease_store_t *store, carob_lease_call_t *call,
			const carob_reader_entry_t *entry, uint64_t lease,
			uint64_t expected)
{
	instance_t *instance = (instance_t *)store;
	simulation_t *simulation = instance->simulation;
	uint64_t revision = simulation->holder_lease
				    ? simulation->stored.slots[0].revision
				    : 0;
	bool taken = revision != expected;

	simulation->writes++;
	if (!taken && !instance->cut) {
		simulation->holder_lease = lease;
		simulation->expires_ns = now_ns(simulation) + 6000 * MS;
		simulation->stored_ns = now_ns(simulation);
		carob_reader_table_put(&simulation->stored, entry,
				       ++simulation->revision);
	}
	finish(instance, call, taken ? CAROB_ESTALE : 0, 0);
}

static void store_renew(carob_lease_store_t *store, carob_lease_call_t *call,
			uint64_t lease)
{
	instance_t *instance = (instance_t *)store;
	simulation_t *simulation = instance->simulation;
	bool held = lease == simulation->holder_lease;

	if (held && !instance->cut)
		simulation->expires_ns = now_ns(simulation) + 6000 * MS;
	finish(instance, call, held ? 0 : CAROB_ESTALE, 0);
}

static void store_end(carob_lease_store_t *store, carob_lease_call_t *call,
		      uint64_t lease)
{
	instance_t *instance = (instance_t *)store;

	if (lease == instance->simulation->holder_lease && !instance->cut)
		free_entry(instance->simulation);
	finish(instance, call, 0, 0);
}

static const carob_lease_store_ops_t store_ops = {
	.begin = store_begin,
	.claim = store_claim,
	.renew = store_renew,
	.end = store_end,
};

static void on_role(carob_reader_role_t *role, bool is_reader)
{
	CAROB_CONTAINER_OF(role, instance_t, role)->is_reader = is_reader;
}

static void start_instance(simulation_t *simulation, size_t index)
{
	carob_reader_claim_options_t options = CAROB_READER_CLAIM_OPTIONS_INIT;
	instance_t *instance = &simulation->instances[index];

	memset(instance, 0, sizeof(*instance));
	instance->store.ops = &store_ops;
	instance->role.changed = on_role;
	instance->done.fire = on_call_over;
	instance->simulation = simulation;
	instance->alive = true;
	(void)snprintf(instance->name, sizeof(instance->name), "i-%zu", index);
	options.kernel = simulation->kernel;
	options.store = &instance->store;
	options.readers = &simulation->readers;
	options.role = &instance->role;
	options.self.zone = CAROB_STR("a");
	options.self.name = carob_str_from(instance->name);
	options.seed = index;
	options.link_mbps = simulation->link_mbps[index];
	CU_ASSERT_EQUAL_FATAL(
		carob_reader_claim_new(&instance->claim, &options), 0);
}

static void stop_instance(instance_t *instance)
{
	carob_reader_claim_free(instance->claim);
	carob_timer_cancel(instance->simulation->kernel, &instance->done);
	instance->claim = NULL;
	instance->alive = false;
	instance->is_reader = false;
}

static void simulation_init(simulation_t *simulation)
{
	memset(simulation, 0, sizeof(*simulation));
	carob_manual_clock_init(&simulation->clock, 1000 * CAROB_NS_PER_S);
	CU_ASSERT_EQUAL_FATAL(carob_kernel_new(&simulation->kernel,
					       &simulation->clock.clock),
			      0);
	simulation->readers.zone = CAROB_STR("a");
	simulation->stored.zone = CAROB_STR("a");
	for (size_t i = 0; i < INSTANCES; i++)
		start_instance(simulation, i);
}

static void simulation_dispose(simulation_t *simulation)
{
	for (size_t i = 0; i < INSTANCES; i++)
		if (simulation->instances[i].alive)
			stop_instance(&simulation->instances[i]);
	carob_kernel_free(simulation->kernel);
}

static void run_for(simulation_t *simulation, uint64_t ms)
{
	for (uint64_t passed = 0; passed < ms; passed += 5) {
		carob_manual_clock_advance(&simulation->clock, 5 * MS);
		carob_kernel_run_due(simulation->kernel);
		if (simulation->holder_lease &&
		    now_ns(simulation) >= simulation->expires_ns)
			free_entry(simulation);
		if (now_ns(simulation) - simulation->stored_ns >= SEEN_MS * MS)
			simulation->readers = simulation->stored;
		if (passed % CHECK_MS != 0)
			continue;
		for (size_t i = 0; i < INSTANCES; i++)
			if (simulation->instances[i].alive)
				carob_reader_claim_check(
					simulation->instances[i].claim, true);
	}
}

static size_t count_readers(const simulation_t *simulation)
{
	size_t count = 0;

	for (size_t i = 0; i < INSTANCES; i++)
		count += simulation->instances[i].is_reader;
	return count;
}

static instance_t *find_reader(simulation_t *simulation)
{
	for (size_t i = 0; i < INSTANCES; i++)
		if (simulation->instances[i].is_reader)
			return &simulation->instances[i];
	return NULL;
}

static void revoke(simulation_t *simulation, instance_t *reader)
{
	(void)reader;
	free_entry(simulation);
}

static void kill_reader(simulation_t *simulation, instance_t *reader)
{
	(void)simulation;
	stop_instance(reader);
}

static void cut_reader(simulation_t *simulation, instance_t *reader)
{
	(void)simulation;
	reader->cut = true;
}

static void restart_reader(simulation_t *simulation, instance_t *reader)
{
	size_t index = (size_t)(reader - simulation->instances);

	stop_instance(reader);
	start_instance(simulation, index);
}

static void kill_all(simulation_t *simulation, instance_t *reader)
{
	(void)reader;
	for (size_t i = 0; i < INSTANCES; i++) {
		stop_instance(&simulation->instances[i]);
		start_instance(simulation, i);
	}
}

/* Faults of the reader of a zone, and the time after which another one reads. */
static const struct fault_case {
	const char *name;
	void (*inject)(simulation_t *simulation, instance_t *reader);
	uint64_t recovered_ms;
} fault_cases[] = {
	{"killed", kill_reader, 15000},
	{"killed and started again", restart_reader, 1500},
	{"cut off from the store", cut_reader, 15000},
	{"its entry is taken away", revoke, 10000},
	{"all instances are killed", kill_all, 15000},
};

static void check_fault(const struct fault_case *c)
{
	static simulation_t simulation;
	instance_t *reader;

	simulation_init(&simulation);
	run_for(&simulation, 10000);
	CU_ASSERT_EQUAL(count_readers(&simulation), 1);
	reader = find_reader(&simulation);
	CU_ASSERT_PTR_NOT_NULL_FATAL(reader);
	if (!reader)
		return;
	c->inject(&simulation, reader);
	run_for(&simulation, c->recovered_ms);
	CU_ASSERT_EQUAL(count_readers(&simulation), 1);
	CU_ASSERT_TRUE(simulation.holder_lease != 0);
	if (count_readers(&simulation) != 1)
		printf("\n%s: %zu readers", c->name,
		       count_readers(&simulation));
	simulation_dispose(&simulation);
}

static void test_faults(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(fault_cases); i++)
		check_fault(&fault_cases[i]);
}

/* A start of a whole zone must cost few writes of the store. */
static void test_writes_of_start(void)
{
	static simulation_t simulation;

	simulation_init(&simulation);
	run_for(&simulation, 30000);
	CU_ASSERT_EQUAL(count_readers(&simulation), 1);
	CU_ASSERT_TRUE(simulation.writes <= INSTANCES);
	printf("\n%d writes at the start of %d instances", simulation.writes,
	       INSTANCES);
	simulation_dispose(&simulation);
}

/* A reader with a slow link sends so much to its zone that packets of callers
 * are lost on it: with a fast one in the zone, that one must read, also after
 * it has been killed. Without any, a slow one must. */
static void test_link_rates(void)
{
	static const struct {
		const char *name;
		double slow_mbps;
		double fast_mbps; /* of the last two instances */
		bool fast_reads;
	} rates[] = {
		{"two fast links", 10, 200, true},
		{"slow links only", 10, 10, false},
		{"fast links only", 200, 200, false},
	};
	static simulation_t simulation;

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(rates); i++) {
		simulation_init(&simulation);
		for (size_t j = 0; j < INSTANCES; j++) {
			stop_instance(&simulation.instances[j]);
			simulation.link_mbps[j] = j < INSTANCES - 2
							  ? rates[i].slow_mbps
							  : rates[i].fast_mbps;
			start_instance(&simulation, j);
		}
		run_for(&simulation, 20000);
		CU_ASSERT_EQUAL(count_readers(&simulation), 1);
		if (rates[i].fast_reads)
			CU_ASSERT_TRUE(find_reader(&simulation) >=
				       &simulation.instances[INSTANCES - 2]);
		stop_instance(find_reader(&simulation));
		run_for(&simulation, 20000);
		CU_ASSERT_EQUAL(count_readers(&simulation), 1);
		if (rates[i].fast_reads)
			CU_ASSERT_TRUE(find_reader(&simulation) >=
				       &simulation.instances[INSTANCES - 2]);
		simulation_dispose(&simulation);
	}
}

/* An instance that stops gives its slot up at once. */
static void test_stop(void)
{
	static simulation_t simulation;
	instance_t *reader;

	simulation_init(&simulation);
	run_for(&simulation, 10000);
	reader = find_reader(&simulation);
	CU_ASSERT_PTR_NOT_NULL_FATAL(reader);
	if (!reader)
		return;
	carob_reader_claim_check(reader->claim, false);
	CU_ASSERT_EQUAL(simulation.holder_lease, 0);
	CU_ASSERT_FALSE(reader->is_reader);
	simulation_dispose(&simulation);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"faults of a reader", test_faults},
		{"writes of a start", test_writes_of_start},
		{"rates of links", test_link_rates},
		{"a reader stops", test_stop},
	};

	carob_log_configure("test", NULL, CAROB_LOG_ERROR, NULL);
	return run_tests("reader-claim", cases, CAROB_ARRAY_SIZE(cases));
}
