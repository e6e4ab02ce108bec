#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/membership.h"

#include <string.h>

static carob_member_t member(uint32_t id, carob_member_state_t state,
			     uint32_t revision, uint32_t successor)
{
	carob_member_t m = {
		.id = {id, id * 10},
		.state = state,
		.revision = revision,
		.successor = {successor, successor * 10},
	};

	strcpy(m.zone.name, "macon-a");
	return m;
}

static carob_membership_t *membership_of_self(void)
{
	carob_membership_options_t options = CAROB_MEMBERSHIP_OPTIONS_INIT;
	carob_membership_t *m;

	options.self = member(1, CAROB_MEMBER_ALIVE, 1, 0);
	CU_ASSERT_EQUAL_FATAL(carob_membership_new(&m, &options), 0);
	return m;
}

static void learn(carob_membership_t *m, carob_member_t report)
{
	CU_ASSERT_EQUAL(carob_membership_learn(m, &report, NULL), 0);
}

typedef struct merge_case {
	carob_member_state_t first;
	uint32_t first_revision;
	carob_member_state_t second;
	uint32_t second_revision;
	carob_member_state_t expected;
} merge_case_t;

static const merge_case_t merge_cases[] = {
	{CAROB_MEMBER_ALIVE, 1, CAROB_MEMBER_DEAD, 1, CAROB_MEMBER_DEAD},
	{CAROB_MEMBER_DEAD, 1, CAROB_MEMBER_ALIVE, 1, CAROB_MEMBER_DEAD},
	{CAROB_MEMBER_DEAD, 1, CAROB_MEMBER_ALIVE, 2, CAROB_MEMBER_ALIVE},
	{CAROB_MEMBER_LEAVING, 2, CAROB_MEMBER_ALIVE, 1, CAROB_MEMBER_LEAVING},
	{CAROB_MEMBER_LEFT, 2, CAROB_MEMBER_DEAD, 2, CAROB_MEMBER_LEFT},
	{CAROB_MEMBER_DEAD, 2, CAROB_MEMBER_LEFT, 2, CAROB_MEMBER_LEFT},
};

static void test_merge(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(merge_cases); i++) {
		const merge_case_t *c = &merge_cases[i];
		carob_membership_t *m = membership_of_self();

		learn(m, member(2, c->first, c->first_revision, 0));
		learn(m, member(2, c->second, c->second_revision, 0));
		CU_ASSERT_EQUAL(
			carob_membership_find(m, (carob_instance_id_t){2, 20})
				->state,
			c->expected);
		carob_membership_free(m);
	}
}

static void test_resolve_follows_successors(void)
{
	carob_membership_t *m = membership_of_self();

	learn(m, member(2, CAROB_MEMBER_LEFT, 5, 3));
	learn(m, member(3, CAROB_MEMBER_LEFT, 5, 4));
	learn(m, member(4, CAROB_MEMBER_LEAVING, 2, 1));
	learn(m, member(5, CAROB_MEMBER_DEAD, 2, 4));
	learn(m, member(6, CAROB_MEMBER_LEFT, 2, 6));
	CU_ASSERT_EQUAL(
		carob_membership_resolve(m, (carob_instance_id_t){2, 20})->id.id,
		4);
	CU_ASSERT_PTR_NULL(
		carob_membership_resolve(m, (carob_instance_id_t){5, 50}));
	CU_ASSERT_PTR_NULL(
		carob_membership_resolve(m, (carob_instance_id_t){6, 60}));
	CU_ASSERT_PTR_NULL(
		carob_membership_resolve(m, (carob_instance_id_t){4, 41}));
	carob_membership_free(m);
}

static void test_self_refutes_its_death(void)
{
	carob_membership_t *m = membership_of_self();

	learn(m, member(1, CAROB_MEMBER_DEAD, 4, 0));
	CU_ASSERT_EQUAL(carob_membership_self(m)->state, CAROB_MEMBER_ALIVE);
	CU_ASSERT_EQUAL(carob_membership_self(m)->revision, 5);
	carob_membership_free(m);
}

typedef struct supersede_case {
	carob_member_state_t old_state;
	uint32_t old_revision;
	uint32_t new_revision;
	carob_member_state_t old_expected;
	carob_member_state_t new_expected;
} supersede_case_t;

static const supersede_case_t supersede_cases[] = {
	{CAROB_MEMBER_ALIVE, 5, 9, CAROB_MEMBER_DEAD, CAROB_MEMBER_ALIVE},
	{CAROB_MEMBER_ALIVE, 9, 5, CAROB_MEMBER_ALIVE, CAROB_MEMBER_DEAD},
	{CAROB_MEMBER_LEAVING, 5, 9, CAROB_MEMBER_LEAVING, CAROB_MEMBER_ALIVE},
	{CAROB_MEMBER_LEFT, 5, 9, CAROB_MEMBER_LEFT, CAROB_MEMBER_ALIVE},
	{CAROB_MEMBER_DEAD, 5, 9, CAROB_MEMBER_DEAD, CAROB_MEMBER_ALIVE},
};

static void test_later_run_supersedes(void)
{
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(supersede_cases); i++) {
		const supersede_case_t *c = &supersede_cases[i];
		carob_membership_t *m = membership_of_self();
		carob_member_t old =
			member(2, c->old_state, c->old_revision, 0);
		carob_member_t new =
			member(2, CAROB_MEMBER_ALIVE, c->new_revision, 0);

		new.id.incarnation = 77;
		learn(m, old);
		learn(m, new);
		CU_ASSERT_EQUAL(carob_membership_find(m, old.id)->state,
				c->old_expected);
		CU_ASSERT_EQUAL(carob_membership_find(m, new.id)->state,
				c->new_expected);
		carob_membership_free(m);
	}
}

static void test_run_of_self_is_not_superseded(void)
{
	carob_membership_t *m = membership_of_self();
	carob_member_t other = member(1, CAROB_MEMBER_ALIVE, 50, 0);

	other.id.incarnation = 77;
	learn(m, other);
	CU_ASSERT_EQUAL(carob_membership_self(m)->state, CAROB_MEMBER_ALIVE);
	CU_ASSERT_EQUAL(carob_membership_self(m)->revision, 51);
	CU_ASSERT_EQUAL(carob_membership_find(m, other.id)->state,
			CAROB_MEMBER_DEAD);
	carob_membership_free(m);
}

static size_t alive_count(const carob_membership_t *m)
{
	size_t count;

	carob_membership_alive(m, &count);
	return count;
}

static void test_unreachable_members_take_no_new_flows(void)
{
	carob_membership_t *m = membership_of_self();
	carob_member_t remote = member(3, CAROB_MEMBER_ALIVE, 1, 0);

	strcpy(remote.zone.name, "macon-b");
	learn(m, member(2, CAROB_MEMBER_ALIVE, 1, 0));
	learn(m, remote);
	CU_ASSERT_EQUAL(alive_count(m), 3);
	carob_membership_set_reachable(m, (carob_instance_id_t){2, 20}, false);
	CU_ASSERT_EQUAL(alive_count(m), 2);
	CU_ASSERT_PTR_NULL(
		carob_membership_resolve(m, (carob_instance_id_t){2, 20}));
	carob_membership_set_zone_reachable(m, &remote.zone, false);
	CU_ASSERT_EQUAL(alive_count(m), 1);
	CU_ASSERT_FALSE(carob_membership_is_reachable(m, remote.id));
	CU_ASSERT_EQUAL(carob_membership_find(m, remote.id)->state,
			CAROB_MEMBER_ALIVE);
	carob_membership_set_zone_reachable(m, &remote.zone, true);
	carob_membership_set_reachable(m, (carob_instance_id_t){2, 20}, true);
	CU_ASSERT_EQUAL(alive_count(m), 3);
	carob_membership_free(m);
}

static void test_departed_members_are_removed_at_second_call(void)
{
	carob_membership_t *m = membership_of_self();
	size_t count;

	learn(m, member(2, CAROB_MEMBER_DEAD, 1, 0));
	learn(m, member(3, CAROB_MEMBER_ALIVE, 1, 0));
	CU_ASSERT_EQUAL(carob_membership_remove_departed(m), 0);
	learn(m, member(3, CAROB_MEMBER_LEFT, 2, 2));
	CU_ASSERT_EQUAL(carob_membership_remove_departed(m), 1);
	carob_membership_all(m, &count);
	CU_ASSERT_EQUAL(count, 2);
	CU_ASSERT_EQUAL(carob_membership_remove_departed(m), 1);
	CU_ASSERT_EQUAL(carob_membership_remove_departed(m), 0);
	carob_membership_free(m);
}

static void test_equal_tables_have_equal_digests(void)
{
	carob_membership_t *a = membership_of_self();
	carob_membership_t *b = membership_of_self();

	for (uint32_t id = 2; id < 300; id++) {
		learn(a, member(id, CAROB_MEMBER_ALIVE, 1, 0));
		learn(b, member(301 - id, CAROB_MEMBER_ALIVE, 1, 0));
	}
	CU_ASSERT_EQUAL(carob_membership_digest(a), carob_membership_digest(b));
	learn(a, member(7, CAROB_MEMBER_DEAD, 1, 0));
	CU_ASSERT_NOT_EQUAL(carob_membership_digest(a),
			    carob_membership_digest(b));
	learn(b, member(7, CAROB_MEMBER_LEFT, 4, 9));
	CU_ASSERT_EQUAL(carob_membership_digest(a), carob_membership_digest(b));
	CU_ASSERT_EQUAL(memcmp(carob_membership_part_digests(a),
			       carob_membership_part_digests(b),
			       CAROB_MEMBERSHIP_PARTS * sizeof(uint32_t)),
			0);
	carob_membership_free(a);
	carob_membership_free(b);
}

static void test_generation_keeps_revision(void)
{
	carob_membership_t *m = membership_of_self();
	carob_instance_id_t other = {2, 20};
	uint32_t revision = carob_membership_self(m)->revision;

	carob_membership_set_generation(m, 9);
	CU_ASSERT_EQUAL(carob_membership_self(m)->generation, 9);
	CU_ASSERT_EQUAL(carob_membership_self(m)->revision, revision);
	learn(m, member(2, CAROB_MEMBER_ALIVE, 1, 0));
	carob_membership_record_generation(m, other, 8);
	carob_membership_record_generation(m, other, 7);
	learn(m, member(2, CAROB_MEMBER_LEAVING, 2, 0));
	CU_ASSERT_EQUAL(carob_membership_find(m, other)->generation, 8);
	carob_membership_free(m);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"records merge by revision, then by state", test_merge},
		{"resolving an owner follows its successors",
		 test_resolve_follows_successors},
		{"an instance refutes a report of its own death",
		 test_self_refutes_its_death},
		{"a run that started later supersedes the earlier run",
		 test_later_run_supersedes},
		{"another run does not supersede the run of the instance",
		 test_run_of_self_is_not_superseded},
		{"unreachable members take no new flows",
		 test_unreachable_members_take_no_new_flows},
		{"departed members are removed at the second call",
		 test_departed_members_are_removed_at_second_call},
		{"tables with equal live members have equal digests",
		 test_equal_tables_have_equal_digests},
		{"a generation changes without a new revision",
		 test_generation_keeps_revision},
	};

	return run_tests("membership", cases, CAROB_ARRAY_SIZE(cases));
}
