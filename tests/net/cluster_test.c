#include "cluster_sim.h"

#define RECORD_BYTES_MAX (200 * 1024)

typedef struct leave_case {
	size_t instances;
	size_t record_bytes;
	double loss;
} leave_case_t;

static const leave_case_t leave_cases[] = {
	{2, 0, 0},
	{2, 100, 0},
	{4, RECORD_BYTES_MAX, 0},
	{4, RECORD_BYTES_MAX, 0.1},
	{5, CAROB_CONTROL_CHUNK_MAX, 0.1},
	{5, CAROB_CONTROL_CHUNK_MAX + 1, 0},
};

/* @return the running instance that imported records, or `sim->count` */
static size_t find_importer(sim_t *sim, size_t leaving)
{
	for (size_t i = 0; i < sim->count; i++)
		if (i != leaving && sim->nodes[i].gossip &&
		    app_of(sim, i)->imports > 0)
			return i;
	return sim->count;
}

static void test_leave_with_records(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(leave_cases); i++) {
		const leave_case_t *c = &leave_cases[i];
		cluster_sim_t s;
		app_t *app;
		size_t successor;

		cluster_sim_init(&s, c->instances, i + 1);
		app = app_of(&s.sim, 1);
		app->record_bytes = c->record_bytes;
		app->work_in_progress = 3;
		s.sim.loss = c->loss;
		carob_cluster_drain(app->cluster);
		run_ms(&s, 1000);
		CU_ASSERT_FALSE(carob_cluster_has_left(app->cluster));
		CU_ASSERT(app->drain_successor.id != 0);
		app->work_in_progress = 0;
		run_ms(&s, 15000);
		CU_ASSERT(app->left);
		successor = find_importer(&s.sim, 1);
		CU_ASSERT_FATAL(successor < c->instances);
		CU_ASSERT_EQUAL(app_of(&s.sim, successor)->imports, 1);
		CU_ASSERT_EQUAL(app_of(&s.sim, successor)->imported_bytes,
				c->record_bytes);
		/* The successor is of the same zone if that has another one. */
		if (c->instances > 2)
			CU_ASSERT_EQUAL(successor % 2, 1);
		for (size_t j = 0; j < c->instances; j++)
			if (j != 1)
				CU_ASSERT_EQUAL(
					carob_membership_resolve(
						s.sim.nodes[j].membership,
						s.sim.nodes[1].self.id)
						->id.id,
					successor + 1);
		cluster_sim_dispose(&s);
	}
}

static void test_only_instance_leaves(void)
{
	cluster_sim_t s;

	cluster_sim_init(&s, 1, 1);
	app_of(&s.sim, 0)->record_bytes = 100;
	carob_cluster_drain(app_of(&s.sim, 0)->cluster);
	run_ms(&s, 2000);
	CU_ASSERT(app_of(&s.sim, 0)->left);
	CU_ASSERT_EQUAL(app_of(&s.sim, 0)->drain_successor.id, 0);
	cluster_sim_dispose(&s);
}

/*
 * The first successor dies while the leaving instance still has work in
 * progress. Another successor must be chosen and get the records.
 */
static void test_successor_dies_while_draining(void)
{
	cluster_sim_t s;
	app_t *app;
	uint32_t first;

	cluster_sim_init(&s, 6, 1);
	app = app_of(&s.sim, 1);
	app->work_in_progress = 1;
	app->record_bytes = 1000;
	carob_cluster_drain(app->cluster);
	run_ms(&s, 500);
	first = app->drain_successor.id;
	sim_kill(&s.sim, first - 1);
	run_ms(&s, 4000);
	CU_ASSERT_NOT_EQUAL(app->drain_successor.id, first);
	CU_ASSERT_NOT_EQUAL(app->drain_successor.id, 0);
	app->work_in_progress = 0;
	run_ms(&s, 2000);
	CU_ASSERT(app->left);
	CU_ASSERT_EQUAL(find_importer(&s.sim, 1) + 1, app->drain_successor.id);
	cluster_sim_dispose(&s);
}

/*
 * Pauses the first successor `at_ms` after the start of the handover and
 * resumes it later. @return how many imports there were
 */
static unsigned int count_imports(carob_cluster_mutation_t mutation,
				  uint64_t at_ms)
{
	unsigned int imports = 0;
	size_t first;
	cluster_sim_t s;
	app_t *app;

	cluster_sim_prepare(&s, 6, at_ms);
	s.mutation = mutation;
	cluster_sim_start(&s);
	app = app_of(&s.sim, 1);
	app->record_bytes = RECORD_BYTES_MAX;
	carob_cluster_drain(app->cluster);
	first = app->drain_successor.id - 1;
	run_ms(&s, at_ms);
	s.sim.nodes[first].paused = true;
	run_ms(&s, 12000);
	sim_resume(&s.sim, first);
	run_ms(&s, 8000);
	CU_ASSERT(app->left);
	for (size_t i = 0; i < 6; i++)
		imports += app_of(&s.sim, i)->imports;
	cluster_sim_dispose(&s);
	return imports;
}

/*
 * At most one instance may take over the flows of the one that left. If the
 * first successor is paused when it has received all records, it imports them
 * when it runs again; the records must not go to a second successor meanwhile.
 */
static void test_at_most_one_import(void)
{
	unsigned int max_imports = 0;

	for (uint64_t at_ms = 5; at_ms <= 200; at_ms += 5) {
		unsigned int imports = count_imports(
			CAROB_CLUSTER_MUTATION_SECOND_SUCCESSOR, at_ms);

		CU_ASSERT(count_imports(CAROB_CLUSTER_MUTATION_NONE, at_ms) <=
			  1);
		max_imports = imports > max_imports ? imports : max_imports;
	}
	CU_ASSERT_EQUAL(max_imports, 2);
}

/*
 * The successor, the only other instance of the zone, refuses the records.
 * It has been sent all of them, so no second successor may be chosen: the
 * instance leaves without a successor that has its records.
 */
static void test_successor_refuses(void)
{
	cluster_sim_t s;
	app_t *app;

	cluster_sim_init(&s, 4, 1);
	app = app_of(&s.sim, 1);
	app->record_bytes = 1000;
	app_of(&s.sim, 3)->refuse_import = true;
	carob_cluster_drain(app->cluster);
	run_ms(&s, 10000);
	CU_ASSERT(app->left);
	CU_ASSERT_EQUAL(find_importer(&s.sim, 1), 4);
	cluster_sim_dispose(&s);
}

/*
 * Transfers for another predecessor, with an excessive total, with a gap or
 * with too many bytes, and an unexpected acknowledgement are ignored.
 */
static void test_invalid_transfers(void)
{
	carob_control_msg_t msg = {.type = CAROB_CONTROL_RECORDS_TRANSFER};
	cluster_sim_t s;
	app_t *app;

	cluster_sim_init(&s, 2, 1);
	app = app_of(&s.sim, 0);
	msg.from = s.sim.nodes[1].self.id;
	msg.records = (carob_control_records_t){
		.predecessor = {77, 77}, .total = 1, .bytes = {"x", 1}};
	carob_cluster_on_message(app->cluster, &msg);
	msg.records.predecessor = msg.from;
	msg.records.total = UINT32_MAX;
	carob_cluster_on_message(app->cluster, &msg);
	msg.records.total = 2;
	msg.records.offset = 1;
	carob_cluster_on_message(app->cluster, &msg);
	msg.records.offset = 0;
	msg.records.bytes = (carob_str_t){"xyz", 3};
	carob_cluster_on_message(app->cluster, &msg);
	CU_ASSERT_EQUAL(app->imports, 0);
	msg.type = CAROB_CONTROL_RECORDS_ACK;
	msg.records.done = true;
	carob_cluster_on_message(app->cluster, &msg);
	CU_ASSERT_FALSE(app->left);
	cluster_sim_dispose(&s);
}

static void test_loads_generations_and_reports_reach_peers(void)
{
	carob_load_report_t report = {.upstream = {1, 1}, .service_id = 5};
	cluster_sim_t s;

	cluster_sim_init(&s, 5, 1);
	for (size_t i = 0; i < 5; i++)
		CU_ASSERT(app_of(&s.sim, i)->received_summaries >= 4);
	app_of(&s.sim, 3)->load = 17;
	run_ms(&s, 400);
	for (size_t i = 0; i < 5; i++)
		if (i != 3)
			CU_ASSERT(app_of(&s.sim, i)->received_summaries > 4);
	carob_membership_set_generation(s.sim.nodes[2].membership, 41);
	carob_cluster_send_reports(app_of(&s.sim, 0)->cluster,
				   s.sim.nodes[2].self.id, &report, 1);
	run_ms(&s, 3000);
	for (size_t i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(carob_membership_self(s.sim.nodes[i].membership)
					->generation,
				41);
	CU_ASSERT_EQUAL(app_of(&s.sim, 2)->reports, 1);
	CU_ASSERT_EQUAL(app_of(&s.sim, 1)->reports, 0);
	cluster_sim_dispose(&s);
}

static void test_status(void)
{
	carob_buf_t json = CAROB_BUF_INIT;
	cluster_sim_t s;

	cluster_sim_init(&s, 2, 1);
	CU_ASSERT(carob_cluster_ready(app_of(&s.sim, 0)->cluster));
	CU_ASSERT_EQUAL(carob_cluster_status(&json, app_of(&s.sim, 0)->cluster),
			0);
	CU_ASSERT_PTR_NOT_NULL(strstr(json.ptr, "\"joined\":true"));
	CU_ASSERT_PTR_NOT_NULL(strstr(json.ptr, "\"instance\":2"));
	carob_buf_dispose(&json);
	cluster_sim_dispose(&s);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"a leaving instance transfers its request records",
		 test_leave_with_records},
		{"the only instance leaves without a successor",
		 test_only_instance_leaves},
		{"another successor is chosen if the first dies",
		 test_successor_dies_while_draining},
		{"at most one instance imports the records",
		 test_at_most_one_import},
		{"the leaving instance leaves if the successor refuses",
		 test_successor_refuses},
		{"invalid transfers change nothing", test_invalid_transfers},
		{"loads, generations and reports reach the peers",
		 test_loads_generations_and_reports_reach_peers},
		{"the status is written as JSON", test_status},
	};

	return run_tests("cluster", cases, CAROB_ARRAY_SIZE(cases));
}
