#include "cluster_sim.h"

#define MEMORY_BYTES_MAX (200 * 1024)

typedef struct leave_case {
	size_t instances;
	size_t memory_bytes;
	double loss;
} leave_case_t;

static const leave_case_t leave_cases[] = {
	{2, 0, 0},
	{2, 100, 0},
	{4, MEMORY_BYTES_MAX, 0},
	{4, MEMORY_BYTES_MAX, 0.1},
	{5, CAROB_CONTROL_CHUNK_MAX, 0.1},
	{5, CAROB_CONTROL_CHUNK_MAX + 1, 0},
};

static size_t importer(sim_t *sim, size_t leaver)
{
	for (size_t i = 0; i < sim->count; i++)
		if (i != leaver && sim->nodes[i].gossip &&
		    app_of(sim, i)->imports > 0)
			return i;
	return sim->count;
}

static void test_leave_with_memory(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(leave_cases); i++) {
		const leave_case_t *c = &leave_cases[i];
		world_t w;
		app_t *app;
		size_t heir;

		world_init(&w, c->instances, i + 1);
		app = app_of(&w.sim, 1);
		app->memory_bytes = c->memory_bytes;
		app->work = 3;
		w.sim.loss = c->loss;
		carob_cluster_drain(app->cluster);
		run_ms(&w, 1000);
		CU_ASSERT_FALSE(carob_cluster_has_left(app->cluster));
		CU_ASSERT(app->drained_to.id != 0);
		app->work = 0;
		run_ms(&w, 15000);
		CU_ASSERT(app->left);
		heir = importer(&w.sim, 1);
		CU_ASSERT_FATAL(heir < c->instances);
		CU_ASSERT_EQUAL(app_of(&w.sim, heir)->imports, 1);
		CU_ASSERT_EQUAL(app_of(&w.sim, heir)->imported_bytes,
				c->memory_bytes);
		if (c->instances > 2) /* one of the own zone */
			CU_ASSERT_EQUAL(heir % 2, 1);
		for (size_t j = 0; j < c->instances; j++)
			if (j != 1)
				CU_ASSERT_EQUAL(
					carob_membership_resolve(
						w.sim.nodes[j].membership,
						w.sim.nodes[1].self.id)
						->id.id,
					heir + 1);
		world_dispose(&w);
	}
}

static void test_leave_alone(void)
{
	world_t w;

	world_init(&w, 1, 1);
	app_of(&w.sim, 0)->memory_bytes = 100;
	carob_cluster_drain(app_of(&w.sim, 0)->cluster);
	run_ms(&w, 2000);
	CU_ASSERT(app_of(&w.sim, 0)->left);
	CU_ASSERT_EQUAL(app_of(&w.sim, 0)->drained_to.id, 0);
	world_dispose(&w);
}

/* The first choice dies while the leaving instance still works. */
static void test_successor_dies_while_draining(void)
{
	world_t w;
	app_t *app;
	uint32_t first;

	world_init(&w, 6, 1);
	app = app_of(&w.sim, 1);
	app->work = 1;
	app->memory_bytes = 1000;
	carob_cluster_drain(app->cluster);
	run_ms(&w, 500);
	first = app->drained_to.id;
	sim_kill(&w.sim, first - 1);
	run_ms(&w, 4000);
	CU_ASSERT_NOT_EQUAL(app->drained_to.id, first);
	CU_ASSERT_NOT_EQUAL(app->drained_to.id, 0);
	app->work = 0;
	run_ms(&w, 2000);
	CU_ASSERT(app->left);
	CU_ASSERT_EQUAL(importer(&w.sim, 1) + 1, app->drained_to.id);
	world_dispose(&w);
}

/* How many took the memory over when the first choice froze at `at_ms`. */
static unsigned int count_heirs(carob_cluster_fault_t fault, uint64_t at_ms)
{
	unsigned int imports = 0;
	size_t first;
	world_t w;
	app_t *app;

	world_prepare(&w, 6, at_ms);
	w.fault = fault;
	world_start(&w);
	app = app_of(&w.sim, 1);
	app->memory_bytes = MEMORY_BYTES_MAX;
	carob_cluster_drain(app->cluster);
	first = app->drained_to.id - 1;
	run_ms(&w, at_ms);
	w.sim.nodes[first].paused = true;
	run_ms(&w, 12000);
	sim_resume(&w.sim, first);
	run_ms(&w, 8000);
	CU_ASSERT(app->left);
	for (size_t i = 0; i < 6; i++)
		imports += app_of(&w.sim, i)->imports;
	world_dispose(&w);
	return imports;
}

/* At most one instance may ever honour the tokens of the one that left. */
static void test_never_two_heirs(void)
{
	unsigned int most = 0;

	for (uint64_t at_ms = 5; at_ms <= 200; at_ms += 5) {
		unsigned int heirs = count_heirs(
			CAROB_CLUSTER_FAULT_SECOND_SUCCESSOR, at_ms);

		CU_ASSERT(count_heirs(CAROB_CLUSTER_FAULT_NONE, at_ms) <= 1);
		most = heirs > most ? heirs : most;
	}
	CU_ASSERT_EQUAL(most, 2);
}

static void test_successor_refuses(void)
{
	world_t w;
	app_t *app;

	world_init(&w, 4, 1);
	app = app_of(&w.sim, 1);
	app->memory_bytes = 1000;
	app_of(&w.sim, 3)->refuses_import = true;
	carob_cluster_drain(app->cluster);
	run_ms(&w, 10000);
	CU_ASSERT(app->left);
	CU_ASSERT_EQUAL(importer(&w.sim, 1), 4);
	world_dispose(&w);
}

/* Parts that nobody asked for, or that break the rules, change nothing. */
static void test_false_parts(void)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_MEMORY_TRANSFER};
	world_t w;
	app_t *app;

	world_init(&w, 2, 1);
	app = app_of(&w.sim, 0);
	msg.from = w.sim.nodes[1].self.id;
	msg.memory = (carob_control_memory_t){
		.predecessor = {77, 77}, .total = 1, .bytes = {"x", 1}};
	carob_cluster_on_message(app->cluster, &msg);
	msg.memory.predecessor = msg.from;
	msg.memory.total = UINT32_MAX;
	carob_cluster_on_message(app->cluster, &msg);
	msg.memory.total = 2;
	msg.memory.offset = 1;
	carob_cluster_on_message(app->cluster, &msg);
	msg.memory.offset = 0;
	msg.memory.bytes = (carob_str_t){"xyz", 3};
	carob_cluster_on_message(app->cluster, &msg);
	CU_ASSERT_EQUAL(app->imports, 0);
	msg.type = CAROB_CONTROL_MEMORY_ACK;
	msg.memory.done = true;
	carob_cluster_on_message(app->cluster, &msg);
	CU_ASSERT_FALSE(app->left);
	world_dispose(&w);
}

static void test_loads_and_generations_travel(void)
{
	carob_load_report_t report = {.upstream = {1, 1}, .service_id = 5};
	world_t w;

	world_init(&w, 5, 1);
	for (size_t i = 0; i < 5; i++)
		CU_ASSERT(app_of(&w.sim, i)->heard_summaries >= 4);
	app_of(&w.sim, 3)->load = 17;
	run_ms(&w, 400);
	for (size_t i = 0; i < 5; i++)
		if (i != 3)
			CU_ASSERT(app_of(&w.sim, i)->heard_summaries > 4);
	carob_membership_set_generation(w.sim.nodes[2].membership, 41);
	carob_cluster_send_reports(app_of(&w.sim, 0)->cluster,
				   w.sim.nodes[2].self.id, &report, 1);
	run_ms(&w, 3000);
	for (size_t i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(carob_membership_self(w.sim.nodes[i].membership)
					->generation,
				41);
	CU_ASSERT_EQUAL(app_of(&w.sim, 2)->reports, 1);
	CU_ASSERT_EQUAL(app_of(&w.sim, 1)->reports, 0);
	world_dispose(&w);
}

static void test_status(void)
{
	carob_buf_t json = CAROB_BUF_INIT;
	world_t w;

	world_init(&w, 2, 1);
	CU_ASSERT(carob_cluster_ready(app_of(&w.sim, 0)->cluster));
	CU_ASSERT_EQUAL(carob_cluster_status(&json, app_of(&w.sim, 0)->cluster),
			0);
	CU_ASSERT_PTR_NOT_NULL(strstr(json.ptr, "\"joined\":true"));
	CU_ASSERT_PTR_NOT_NULL(strstr(json.ptr, "\"instance\":2"));
	carob_buf_dispose(&json);
	world_dispose(&w);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"a leaving instance hands its memory over",
		 test_leave_with_memory},
		{"the only instance leaves", test_leave_alone},
		{"the successor dies during the drain",
		 test_successor_dies_while_draining},
		{"never two heirs", test_never_two_heirs},
		{"the successor refuses", test_successor_refuses},
		{"false parts change nothing", test_false_parts},
		{"loads, generations and reports travel",
		 test_loads_and_generations_travel},
		{"status as JSON", test_status},
	};

	return run_tests("cluster", cases, CAROB_ARRAY_SIZE(cases));
}
