#include "test_runner.h"

#include "core/test_manifest.h"

#include "carobtrail/errors.h"
#include "carobtrail/scheduler.h"

#include <stdlib.h>

#define SLOTS	    2
#define CONNECTIONS 5
#define JOBS	    128
#define PEER	    2

typedef enum decision {
	UNDECIDED,
	STARTED,
	REDIRECTED,
	REFUSED
} decision_t;

/* A piece of work that records the decisions of the scheduler. */
typedef struct job {
	carob_work_t work;
	decision_t decision;
	unsigned int decision_count;
	carob_upstream_id_t upstream;
	uint32_t peer;
	carob_refusal_t reason;
	uint32_t retry_after_ms;
} job_t;

typedef struct fixture {
	carob_manual_clock_t clock;
	carob_kernel_t *kernel;
	carob_membership_t *membership;
	carob_scheduler_t *sched;
	job_t jobs[JOBS];
	size_t job_count;
} fixture_t;

static void on_start(carob_work_t *work,
		     const carob_manifest_upstream_t *upstream)
{
	job_t *job = CAROB_CONTAINER_OF(work, job_t, work);

	job->decision = STARTED;
	job->decision_count++;
	job->upstream = upstream->id;
}

static void on_redirect(carob_work_t *work, carob_instance_id_t to)
{
	job_t *job = CAROB_CONTAINER_OF(work, job_t, work);

	job->decision = REDIRECTED;
	job->decision_count++;
	job->peer = to.id;
}

static void on_refuse(carob_work_t *work, carob_refusal_t reason,
		      uint32_t retry_after_ms)
{
	job_t *job = CAROB_CONTAINER_OF(work, job_t, work);

	job->decision = REFUSED;
	job->decision_count++;
	job->reason = reason;
	job->retry_after_ms = retry_after_ms;
}

static const carob_work_ops_t job_ops = {on_start, on_redirect, on_refuse};

static carob_member_t member(uint32_t id, carob_member_state_t state)
{
	return (carob_member_t){
		.id = {id, 1},
		.zone = {"macon-a"},
		.state = state,
		.revision = 1,
	};
}

static void apply_manifest(fixture_t *f, const char *states)
{
	carob_manifest_t *manifest =
		test_manifest_new(states, SLOTS, CONNECTIONS);

	CU_ASSERT_PTR_NOT_NULL_FATAL(manifest);
	CU_ASSERT_EQUAL(carob_scheduler_set_manifest(f->sched, manifest), 0);
	carob_manifest_free(manifest);
}

static void set_up_mutation(fixture_t *f, const char *states,
			    carob_scheduler_mutation_t mutation)
{
	carob_membership_options_t membership_options =
		CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_scheduler_options_t options = CAROB_SCHEDULER_OPTIONS_INIT;

	memset(f, 0, sizeof(*f));
	carob_manual_clock_init(&f->clock, 5 * CAROB_NS_PER_S);
	carob_kernel_new(&f->kernel, &f->clock.clock);
	membership_options.self = member(1, CAROB_MEMBER_ALIVE);
	carob_membership_new(&f->membership, &membership_options);
	options.kernel = f->kernel;
	options.membership = f->membership;
	options.seed = 42;
	options.mutation = mutation;
	CU_ASSERT_EQUAL_FATAL(carob_scheduler_new(&f->sched, &options), 0);
	apply_manifest(f, states);
}

static void set_up(fixture_t *f, const char *states)
{
	set_up_mutation(f, states, CAROB_SCHEDULER_MUTATION_NONE);
}

static void tear_down(fixture_t *f)
{
	carob_scheduler_free(f->sched);
	carob_membership_free(f->membership);
	carob_kernel_free(f->kernel);
}

static void advance_ms(fixture_t *f, uint64_t ms)
{
	for (uint64_t i = 0; i < ms; i++) {
		carob_manual_clock_advance(&f->clock, CAROB_NS_PER_MS);
		carob_kernel_run_due(f->kernel);
	}
}

static job_t *submit(fixture_t *f, carob_work_t work)
{
	job_t *job = &f->jobs[f->job_count++ % JOBS];

	*job = (job_t){.work = work};
	job->work.ops = &job_ops;
	if (!job->work.service_id)
		job->work.service_id = TEST_SERVICE;
	if (!job->work.deadline_ns)
		job->work.deadline_ns = UINT64_MAX;
	carob_scheduler_submit(f->sched, &job->work);
	return job;
}

static job_t *submit_unpinned(fixture_t *f)
{
	return submit(f, (carob_work_t){0});
}

static job_t *submit_pinned(fixture_t *f, carob_upstream_id_t to)
{
	return submit(f, (carob_work_t){.pinned = to});
}

static void finish_job(fixture_t *f, job_t *job, carob_work_outcome_t outcome)
{
	carob_scheduler_finish(f->sched, &job->work, outcome, 0);
}

static size_t count_running_on(const fixture_t *f, uint32_t id)
{
	size_t count = 0;

	for (size_t i = 0; i < f->job_count && i < JOBS; i++)
		count += f->jobs[i].work.state == CAROB_WORK_RUNNING &&
			 f->jobs[i].upstream.id == id;
	return count;
}

static void test_slots_are_never_exceeded(void)
{
	fixture_t f;

	set_up(&f, "aaa");
	for (size_t i = 0; i < 20; i++)
		submit_unpinned(&f);
	for (uint32_t id = 0; id < 3; id++)
		CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID + id),
				SLOTS);
	CU_ASSERT_EQUAL(f.jobs[6].decision, UNDECIDED);
	finish_job(&f, &f.jobs[0], CAROB_OUTCOME_DONE);
	CU_ASSERT_EQUAL(f.jobs[6].decision, STARTED);
	CU_ASSERT_EQUAL(f.jobs[6].upstream.id, f.jobs[0].upstream.id);
	tear_down(&f);
}

static void test_least_loaded_first(void)
{
	fixture_t f;

	set_up(&f, "aaaa");
	for (size_t i = 0; i < 4; i++)
		submit_unpinned(&f);
	for (uint32_t id = 0; id < 4; id++)
		CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID + id), 1);
	tear_down(&f);
}

static void test_draining_gets_pinned_work_only(void)
{
	fixture_t f;
	job_t *pinned;

	set_up(&f, "da");
	for (size_t i = 0; i < 6; i++)
		submit_unpinned(&f);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), 0);
	pinned = submit_pinned(&f, (carob_upstream_id_t){TEST_FIRST_ID, 1});
	CU_ASSERT_EQUAL(pinned->decision, STARTED);
	tear_down(&f);
}

static void test_drain_takes_effect_at_once(void)
{
	fixture_t f;

	set_up(&f, "aa");
	for (size_t i = 0; i < 6; i++)
		submit_unpinned(&f);
	apply_manifest(&f, "da");
	for (size_t i = 0; i < 4; i++)
		if (f.jobs[i].upstream.id == TEST_FIRST_ID)
			finish_job(&f, &f.jobs[i], CAROB_OUTCOME_DONE);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), 0);
	tear_down(&f);
}

typedef struct pinned_case {
	uint32_t service_id;
	carob_upstream_id_t pinned;
	decision_t decision;
} pinned_case_t;

static const pinned_case_t pinned_cases[] = {
	{TEST_SERVICE, {TEST_FIRST_ID, 1}, STARTED},
	{TEST_SERVICE, {TEST_FIRST_ID, 2}, REFUSED}, /* other incarnation */
	{TEST_SERVICE, {TEST_OTHER_ID, 1}, REFUSED}, /* other service */
	{TEST_SERVICE, {12345, 1}, REFUSED},	     /* unknown upstream */
	{TEST_OTHER_SERVICE, {TEST_OTHER_ID, 1}, STARTED},
	{99, {TEST_FIRST_ID, 1}, REFUSED}, /* unknown service */
};

static void test_pinned_work_starts_on_its_upstream(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(pinned_cases); i++) {
		const pinned_case_t *c = &pinned_cases[i];
		fixture_t f;
		job_t *job;

		set_up(&f, "aa");
		job = submit(&f, (carob_work_t){.service_id = c->service_id,
						.pinned = c->pinned});
		CU_ASSERT_EQUAL(job->decision, c->decision);
		if (c->decision == STARTED) {
			CU_ASSERT_EQUAL(job->upstream.id, c->pinned.id);
		} else {
			CU_ASSERT_EQUAL(job->reason, CAROB_REFUSAL_NO_UPSTREAM);
		}
		tear_down(&f);
	}
}

static void test_removed_upstream_refuses_waiting_work(void)
{
	fixture_t f;
	job_t *waiting;

	set_up(&f, "aa");
	for (size_t i = 0; i < SLOTS; i++)
		submit_pinned(&f, (carob_upstream_id_t){TEST_FIRST_ID, 1});
	waiting = submit_pinned(&f, (carob_upstream_id_t){TEST_FIRST_ID, 1});
	CU_ASSERT_EQUAL(waiting->decision, UNDECIDED);
	apply_manifest(&f, "-a");
	CU_ASSERT_EQUAL(waiting->decision, REFUSED);
	finish_job(&f, &f.jobs[0], CAROB_OUTCOME_DONE);
	finish_job(&f, &f.jobs[1], CAROB_OUTCOME_DONE);
	apply_manifest(&f, "aa");
	tear_down(&f);
}

/*
 * A feed occupies a connection, so it must not queue behind requests that wait
 * for slots.
 */
static void test_feed_does_not_wait_for_slots(void)
{
	carob_upstream_id_t to = {TEST_FIRST_ID, 1};
	fixture_t f;
	job_t *waiting;
	job_t *feed;

	set_up(&f, "aa");
	for (size_t i = 0; i < SLOTS; i++)
		CU_ASSERT_EQUAL(submit_pinned(&f, to)->decision, STARTED);
	waiting = submit_pinned(&f, to);
	CU_ASSERT_EQUAL(waiting->decision, UNDECIDED);
	feed = submit(&f,
		      (carob_work_t){.kind = CAROB_WORK_FEED, .pinned = to});
	CU_ASSERT_EQUAL(feed->decision, STARTED);
	CU_ASSERT_EQUAL(waiting->decision, UNDECIDED);
	tear_down(&f);
}

static void test_expired_work_is_never_started(void)
{
	fixture_t f;
	job_t *expiring;

	set_up(&f, "a");
	expiring = submit(&f, (carob_work_t){.deadline_ns = 1});
	CU_ASSERT_EQUAL(expiring->decision, REFUSED);
	CU_ASSERT_EQUAL(expiring->reason, CAROB_REFUSAL_EXPIRED);
	submit_unpinned(&f);
	submit_unpinned(&f);
	expiring = submit(&f,
			  (carob_work_t){.deadline_ns = f.clock.now_ns +
							400 * CAROB_NS_PER_MS});
	CU_ASSERT_EQUAL(expiring->decision, UNDECIDED);
	/* The clock jumps over the deadline, as after a pause of the process. */
	carob_manual_clock_advance(&f.clock, CAROB_NS_PER_S);
	finish_job(&f, &f.jobs[1], CAROB_OUTCOME_DONE);
	CU_ASSERT_EQUAL(expiring->decision, REFUSED);
	CU_ASSERT_EQUAL(expiring->reason, CAROB_REFUSAL_EXPIRED);
	tear_down(&f);
}

static void test_work_that_would_expire_is_refused(void)
{
	fixture_t f;
	job_t *job;

	set_up(&f, "a");
	submit_unpinned(&f);
	submit_unpinned(&f);
	job = submit(&f, (carob_work_t){.deadline_ns = f.clock.now_ns +
						       CAROB_NS_PER_MS});
	CU_ASSERT_EQUAL(job->decision, REFUSED);
	CU_ASSERT_EQUAL(job->reason, CAROB_REFUSAL_OVERLOAD);
	CU_ASSERT(job->retry_after_ms >= 1000);
	tear_down(&f);
}

/*
 * The retry times of refused callers are spread over an interval that grows
 * with the number of callers, so that they do not all return at the same time.
 */
static void test_retry_after_spreads_callers(void)
{
	fixture_t f;
	uint32_t shortest = UINT32_MAX;
	uint32_t longest = 0;

	set_up(&f, "a");
	for (size_t i = 0; i < JOBS; i++) {
		job_t *job = submit_unpinned(&f);

		if (job->decision != REFUSED)
			continue;
		shortest = job->retry_after_ms < shortest ? job->retry_after_ms
							  : shortest;
		longest = job->retry_after_ms > longest ? job->retry_after_ms
							: longest;
	}
	CU_ASSERT(shortest >= 1000);
	CU_ASSERT(longest >= 3000);
	tear_down(&f);
}

static void test_withdrawn_work_gets_no_decision(void)
{
	fixture_t f;
	job_t *waiting;

	set_up(&f, "a");
	submit_unpinned(&f);
	submit_unpinned(&f);
	waiting = submit_unpinned(&f);
	carob_scheduler_withdraw(f.sched, &waiting->work);
	finish_job(&f, &f.jobs[0], CAROB_OUTCOME_DONE);
	finish_job(&f, &f.jobs[1], CAROB_OUTCOME_DONE);
	advance_ms(&f, 3000);
	CU_ASSERT_EQUAL(waiting->decision_count, 0);
	tear_down(&f);
}

static void test_work_gets_one_decision(void)
{
	fixture_t f;

	set_up(&f, "aa");
	for (size_t i = 0; i < JOBS; i++)
		submit(&f,
		       (carob_work_t){.deadline_ns = f.clock.now_ns +
						     (i * 37 % 900) *
							     CAROB_NS_PER_MS});
	advance_ms(&f, 3000);
	for (size_t i = 0; i < JOBS; i++)
		CU_ASSERT_EQUAL(f.jobs[i].decision_count, 1);
	tear_down(&f);
}

static void test_feeds_are_bounded_by_connections(void)
{
	fixture_t f;
	job_t *job;

	set_up(&f, "aa");
	for (size_t i = 0; i < 2 * CONNECTIONS; i++) {
		job = submit(&f, (carob_work_t){.kind = CAROB_WORK_FEED});
		CU_ASSERT_EQUAL(job->decision, STARTED);
	}
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), CONNECTIONS);
	job = submit(&f, (carob_work_t){.kind = CAROB_WORK_FEED});
	CU_ASSERT_EQUAL(job->decision, REFUSED);
	CU_ASSERT_EQUAL(submit_unpinned(&f)->decision, STARTED);
	tear_down(&f);
}

static void send_peer_summary(fixture_t *f, uint16_t slots, uint16_t in_flight,
			      uint32_t upstream, uint16_t running)
{
	carob_load_summary_t summary = {
		.instance = {PEER, 1},
		.service_id = TEST_SERVICE,
		.slots = slots,
		.in_flight = in_flight,
		.connections = 1,
	};

	if (running) {
		summary.upstream_count = 1;
		summary.upstreams[0].upstream =
			(carob_upstream_id_t){upstream, 1};
		summary.upstreams[0].in_flight = running;
	}
	carob_scheduler_on_summary(f->sched, &summary);
}

static void add_peer(fixture_t *f)
{
	carob_member_t peer = member(PEER, CAROB_MEMBER_ALIVE);

	carob_membership_learn(f->membership, &peer, NULL);
}

static void test_work_is_redirected_to_free_slots(void)
{
	fixture_t f;
	job_t *job = NULL;

	set_up(&f, "aaaa");
	add_peer(&f);
	send_peer_summary(&f, 4, 3, 0, 0);
	for (size_t i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(submit_unpinned(&f)->decision, STARTED);
	job = submit(&f, (carob_work_t){.may_redirect = true});
	CU_ASSERT_EQUAL(job->decision, REDIRECTED);
	CU_ASSERT_EQUAL(job->peer, PEER);
	/* The peer's only free slot counts as used until its next summary. */
	job = submit(&f, (carob_work_t){.may_redirect = true});
	CU_ASSERT_EQUAL(job->decision, UNDECIDED);
	tear_down(&f);
}

static void test_work_of_peers_occupies_slots(void)
{
	fixture_t f;

	set_up(&f, "a");
	add_peer(&f);
	send_peer_summary(&f, 0, 0, TEST_FIRST_ID, 1);
	submit_pinned(&f, (carob_upstream_id_t){TEST_FIRST_ID, 1});
	submit_pinned(&f, (carob_upstream_id_t){TEST_FIRST_ID, 1});
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), SLOTS - 1);
	send_peer_summary(&f, 0, 0, 0, 0);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), SLOTS);
	tear_down(&f);
}

static void test_failing_upstream_is_ejected(void)
{
	fixture_t f;
	carob_upstream_id_t failing = {TEST_FIRST_ID, 1};
	job_t *job;

	set_up(&f, "aa");
	for (size_t i = 0; i < 3; i++)
		finish_job(&f, submit_pinned(&f, failing),
			   CAROB_OUTCOME_TIMEOUT);
	for (size_t i = 0; i < SLOTS; i++)
		submit_unpinned(&f);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), 0);
	CU_ASSERT_EQUAL(submit_pinned(&f, failing)->decision, REFUSED);
	advance_ms(&f, 700);
	/* Half open: one request at a time until one succeeds. */
	job = submit_pinned(&f, failing);
	CU_ASSERT_EQUAL(job->decision, STARTED);
	submit_pinned(&f, failing);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), 1);
	advance_ms(&f, 3000);
	finish_job(&f, job, CAROB_OUTCOME_DONE);
	for (size_t i = 0; i < 4; i++)
		finish_job(&f, submit_pinned(&f, failing), CAROB_OUTCOME_DONE);
	advance_ms(&f, 5000);
	submit_pinned(&f, failing);
	submit_pinned(&f, failing);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), SLOTS);
	tear_down(&f);
}

/*
 * Work for an ejected upstream is refused with the reason overload. The reason
 * "no upstream" would end the flow, although the upstream may recover.
 */
static void test_ejected_upstream_refuses_as_overload(void)
{
	carob_upstream_id_t failing = {TEST_FIRST_ID, 1};
	fixture_t f;
	job_t *job;

	set_up(&f, "aa");
	for (size_t i = 0; i < SLOTS + 2; i++)
		job = submit_pinned(&f, failing);
	CU_ASSERT_EQUAL(job->decision, UNDECIDED);
	for (size_t i = 0; i < 3; i++)
		finish_job(&f, &f.jobs[i], CAROB_OUTCOME_TIMEOUT);
	advance_ms(&f, 20);
	CU_ASSERT_EQUAL(submit_pinned(&f, failing)->reason,
			CAROB_REFUSAL_OVERLOAD);
	for (size_t i = 0; i < f.job_count; i++)
		if (f.jobs[i].decision == REFUSED)
			CU_ASSERT_EQUAL(f.jobs[i].reason,
					CAROB_REFUSAL_OVERLOAD);
	tear_down(&f);
}

/*
 * While nothing is in flight, the backoff doubles with each shed in a row, up
 * to the time that the upstream asks for. It starts short, because the first
 * shed may be due to work of a peer whose summary has not arrived yet.
 */
static void test_backoff_after_shed_grows(void)
{
	static const uint64_t backoffs_ms[] = {65, 130, 260, 520, 1300, 1300};
	carob_upstream_id_t up = {TEST_FIRST_ID, 1};
	fixture_t f;

	set_up(&f, "a");
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(backoffs_ms); i++) {
		job_t *job = submit_pinned(&f, up);

		CU_ASSERT_EQUAL(job->decision, STARTED);
		carob_scheduler_finish(f.sched, &job->work, CAROB_OUTCOME_SHED,
				       1000);
		job = submit_pinned(&f, up);
		CU_ASSERT_NOT_EQUAL(job->decision, STARTED);
		carob_scheduler_withdraw(f.sched, &job->work);
		advance_ms(&f, backoffs_ms[i]);
	}
	tear_down(&f);
}

static void test_all_ejected_refuses_at_once(void)
{
	fixture_t f;
	job_t *job;

	set_up(&f, "aa");
	for (uint32_t id = 0; id < 2; id++)
		for (size_t i = 0; i < 3; i++)
			finish_job(
				&f,
				submit_pinned(&f,
					      (carob_upstream_id_t){
						      TEST_FIRST_ID + id, 1}),
				CAROB_OUTCOME_TIMEOUT);
	job = submit_unpinned(&f);
	CU_ASSERT_EQUAL(job->decision, REFUSED);
	CU_ASSERT_EQUAL(job->reason, CAROB_REFUSAL_NO_UPSTREAM);
	tear_down(&f);
}

static void send_report(fixture_t *f, uint32_t id, uint32_t in_use,
			bool healthy)
{
	carob_load_report_t received = {
		.upstream = {id, 1},
		.service_id = TEST_SERVICE,
		.in_use = in_use,
		.healthy = healthy,
	};

	carob_scheduler_on_report(f->sched, &received);
}

static void test_unhealthy_probe_lowers_preference(void)
{
	fixture_t f;

	set_up(&f, "aaaa");
	send_report(&f, TEST_FIRST_ID, 0, false);
	for (size_t i = 0; i < 6; i++)
		submit_unpinned(&f);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), 0);
	submit_unpinned(&f);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), 1);
	tear_down(&f);
}

static void test_mostly_unhealthy_probes_are_ignored(void)
{
	fixture_t f;

	set_up(&f, "aaaa");
	for (uint32_t id = 0; id < 3; id++)
		send_report(&f, TEST_FIRST_ID + id, 0, false);
	for (size_t i = 0; i < 4; i++)
		submit_unpinned(&f);
	for (uint32_t id = 0; id < 4; id++)
		CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID + id), 1);
	tear_down(&f);
}

static void test_excessive_report_blocks_no_work(void)
{
	fixture_t f;

	set_up(&f, "aa");
	send_report(&f, TEST_FIRST_ID, 1000000, true);
	for (size_t i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(submit_unpinned(&f)->decision, STARTED);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), SLOTS);
	tear_down(&f);
}

static void test_shedding_upstream_gets_fewer(void)
{
	fixture_t f;
	carob_upstream_id_t up = {TEST_FIRST_ID, 1};
	job_t *job;

	set_up(&f, "a");
	job = submit_pinned(&f, up);
	carob_scheduler_finish(f.sched, &job->work, CAROB_OUTCOME_SHED, 300);
	CU_ASSERT_NOT_EQUAL(submit_pinned(&f, up)->decision, STARTED);
	advance_ms(&f, 400);
	submit_pinned(&f, up);
	submit_pinned(&f, up);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), 1);
	tear_down(&f);
}

static void test_new_upstream_starts_slowly(void)
{
	fixture_t f;

	set_up(&f, "a");
	apply_manifest(&f, "aa");
	for (size_t i = 0; i < 4; i++)
		submit_unpinned(&f);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), SLOTS);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID + 1), 1);
	tear_down(&f);
}

/*
 * Flows that are assigned between two summaries must not all go to the least
 * loaded instance.
 */
static void test_owners_are_chosen_by_load_and_share(void)
{
	size_t assigned[3] = {0};
	fixture_t f;

	set_up(&f, "aaaa");
	add_peer(&f);
	send_peer_summary(&f, 4, 0, 0, 0);
	for (size_t i = 0; i < 1000; i++) {
		carob_instance_id_t owner;
		carob_upstream_id_t hint;

		CU_ASSERT_EQUAL(carob_scheduler_choose_owner(
					&owner, &hint, f.sched, TEST_SERVICE),
				0);
		assigned[owner.id]++;
	}
	CU_ASSERT(assigned[1] > 450 && assigned[1] < 550);
	send_peer_summary(&f, 4, 4, 0, 0);
	assigned[1] = 0;
	for (size_t i = 0; i < 4; i++) {
		carob_instance_id_t owner;
		carob_upstream_id_t hint;

		advance_ms(&f, 2000);
		send_peer_summary(&f, 4, 4, 0, 0);
		carob_scheduler_choose_owner(&owner, &hint, f.sched,
					     TEST_SERVICE);
		assigned[1] += owner.id == 1;
	}
	CU_ASSERT(assigned[1] >= 2);
	CU_ASSERT_EQUAL(carob_scheduler_choose_owner(&(carob_instance_id_t){0},
						     &(carob_upstream_id_t){0},
						     f.sched, 99),
			CAROB_ENOTFOUND);
	tear_down(&f);
}

static size_t count_flows_assigned_to_peer(fixture_t *f)
{
	size_t assigned = 0;

	for (size_t i = 0; i < 100; i++) {
		carob_instance_id_t owner;
		carob_upstream_id_t hint;

		CU_ASSERT_EQUAL(carob_scheduler_choose_owner(
					&owner, &hint, f->sched, TEST_SERVICE),
				0);
		assigned += owner.id == PEER;
	}
	return assigned;
}

/*
 * A new member gets flows only when it is stable: until then, other instances
 * may not know it and could not forward packets to it.
 */
static void test_new_member_gets_flows_when_stable(void)
{
	fixture_t f;

	set_up(&f, "aaaa");
	advance_ms(&f, 3000);
	add_peer(&f);
	CU_ASSERT_EQUAL(count_flows_assigned_to_peer(&f), 0);
	advance_ms(&f, 1900);
	CU_ASSERT_EQUAL(count_flows_assigned_to_peer(&f), 0);
	advance_ms(&f, 200);
	CU_ASSERT(count_flows_assigned_to_peer(&f) > 20);
	tear_down(&f);
	/* Members learnt shortly after the start existed before: stable. */
	set_up(&f, "aaaa");
	advance_ms(&f, 500);
	add_peer(&f);
	CU_ASSERT(count_flows_assigned_to_peer(&f) > 20);
	tear_down(&f);
}

static void test_summary_lists_work_of_instance(void)
{
	carob_load_summary_t summaries[4];
	fixture_t f;
	size_t count;

	set_up(&f, "ad");
	submit_pinned(&f, (carob_upstream_id_t){TEST_FIRST_ID + 1, 1});
	submit_unpinned(&f);
	submit_unpinned(&f);
	submit_unpinned(&f);
	count = carob_scheduler_summaries(summaries,
					  CAROB_ARRAY_SIZE(summaries), f.sched);
	CU_ASSERT_EQUAL(count, 2);
	for (size_t i = 0; i < count; i++) {
		if (summaries[i].service_id != TEST_SERVICE)
			continue;
		CU_ASSERT_EQUAL(summaries[i].slots, SLOTS);
		CU_ASSERT_EQUAL(summaries[i].in_flight, 3);
		CU_ASSERT_EQUAL(summaries[i].queued, 1);
		CU_ASSERT_EQUAL(summaries[i].upstream_count, 2);
	}
	tear_down(&f);
}

/*
 * Each mutation causes the described defect, so that a scenario that passes
 * under a mutation shows a gap in the scenario.
 */
static void test_mutations_cause_defects(void)
{
	carob_upstream_id_t other = {TEST_OTHER_ID, 1};
	fixture_t f;

	set_up_mutation(&f, "da", CAROB_SCHEDULER_MUTATION_PLACE_ON_DRAINING);
	submit_unpinned(&f);
	submit_unpinned(&f);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), 1);
	tear_down(&f);
	set_up_mutation(&f, "a", CAROB_SCHEDULER_MUTATION_ANY_SERVICE);
	CU_ASSERT_EQUAL(submit_pinned(&f, other)->decision, STARTED);
	tear_down(&f);
	set_up_mutation(&f, "a", CAROB_SCHEDULER_MUTATION_IGNORE_SLOTS);
	for (size_t i = 0; i < 2 * SLOTS; i++)
		submit_unpinned(&f);
	CU_ASSERT_EQUAL(count_running_on(&f, TEST_FIRST_ID), 2 * SLOTS);
	tear_down(&f);
	set_up_mutation(&f, "a", CAROB_SCHEDULER_MUTATION_KEEP_EXPIRED);
	CU_ASSERT_EQUAL(submit(&f, (carob_work_t){.deadline_ns = 1})->decision,
			STARTED);
	tear_down(&f);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"slots are never exceeded", test_slots_are_never_exceeded},
		{"work is placed on the least loaded upstream",
		 test_least_loaded_first},
		{"a draining upstream gets pinned work only",
		 test_draining_gets_pinned_work_only},
		{"a drain takes effect immediately",
		 test_drain_takes_effect_at_once},
		{"pinned work is started on its upstream only",
		 test_pinned_work_starts_on_its_upstream},
		{"waiting work is refused when its upstream is removed",
		 test_removed_upstream_refuses_waiting_work},
		{"a feed does not wait for slots",
		 test_feed_does_not_wait_for_slots},
		{"expired work is never started",
		 test_expired_work_is_never_started},
		{"work that would miss its deadline is refused immediately",
		 test_work_that_would_expire_is_refused},
		{"retry times of refused callers are spread",
		 test_retry_after_spreads_callers},
		{"withdrawn work gets no decision",
		 test_withdrawn_work_gets_no_decision},
		{"every piece of work gets exactly one decision",
		 test_work_gets_one_decision},
		{"feeds are bounded by connections",
		 test_feeds_are_bounded_by_connections},
		{"work is redirected to a peer with free slots",
		 test_work_is_redirected_to_free_slots},
		{"work of peers occupies slots",
		 test_work_of_peers_occupies_slots},
		{"a failing upstream is ejected and tried again later",
		 test_failing_upstream_is_ejected},
		{"work for an ejected upstream is refused as overload",
		 test_ejected_upstream_refuses_as_overload},
		{"the backoff grows with each shed in a row",
		 test_backoff_after_shed_grows},
		{"work is refused immediately if all upstreams are ejected",
		 test_all_ejected_refuses_at_once},
		{"an unhealthy probe result only lowers the preference",
		 test_unhealthy_probe_lowers_preference},
		{"probe results are ignored if most are unhealthy",
		 test_mostly_unhealthy_probes_are_ignored},
		{"a report of too many slots in use blocks no work",
		 test_excessive_report_blocks_no_work},
		{"an upstream that sheds gets fewer requests",
		 test_shedding_upstream_gets_fewer},
		{"a new upstream gets a slow start",
		 test_new_upstream_starts_slowly},
		{"owners are chosen by load and slots",
		 test_owners_are_chosen_by_load_and_share},
		{"a new member gets flows only when it is stable",
		 test_new_member_gets_flows_when_stable},
		{"a summary lists the work of this instance",
		 test_summary_lists_work_of_instance},
		{"each mutation causes its defect",
		 test_mutations_cause_defects},
	};

	return run_tests("scheduler", cases, CAROB_ARRAY_SIZE(cases));
}
