#include "test_runner.h"

#include "carobtrail/errors.h"
#include "emulator/fabric/link.h"

#define DRAWS 10000

static carob_addr_t parse_addr(const char *text)
{
	carob_addr_t out = {0};

	CU_ASSERT_EQUAL_FATAL(carob_addr_parse(&out, carob_str_from(text)), 0);
	return out;
}

static fabric_links_t *new_links(void)
{
	fabric_links_t *links;

	CU_ASSERT_EQUAL_FATAL(fabric_links_new(&links, 7), 0);
	CU_ASSERT_EQUAL(fabric_links_add_to_group(links, CAROB_STR("macon-a"),
						  CAROB_STR("127.0.4.1")),
			0);
	CU_ASSERT_EQUAL(fabric_links_add_to_group(links, CAROB_STR("macon-b"),
						  CAROB_STR("127.0.4.2")),
			0);
	return links;
}

static void set_rule(fabric_links_t *links, const char *from, const char *to,
		     fabric_faults_t faults)
{
	CU_ASSERT_EQUAL(fabric_links_set(links, carob_str_from(from),
					 carob_str_from(to), &faults),
			0);
}

/* The delay that applies between two addresses after three rules were set. */
typedef struct rule_case {
	const char *from;
	const char *to;
	uint32_t delay_ms;
} rule_case_t;

static const rule_case_t rule_cases[] = {
	{"127.0.4.1:1", "127.0.4.2:9", 1}, /* rule for both groups */
	{"127.0.4.1:1", "127.0.4.9:9", 2}, /* rule for the sender's group */
	{"127.0.4.2:1", "127.0.4.1:9", 3}, /* rule for any groups */
	{"127.0.4.9:1", "127.0.4.8:9", 3},
};

static void test_most_specific_rule_applies(void)
{
	fabric_links_t *links = new_links();

	set_rule(links, "any", "any", (fabric_faults_t){.delay_ms = 3});
	set_rule(links, "macon-a", "any", (fabric_faults_t){.delay_ms = 2});
	set_rule(links, "macon-a", "macon-b", (fabric_faults_t){.delay_ms = 9});
	set_rule(links, "macon-a", "macon-b", (fabric_faults_t){.delay_ms = 1});
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(rule_cases); i++) {
		carob_addr_t from = parse_addr(rule_cases[i].from);
		carob_addr_t to = parse_addr(rule_cases[i].to);

		CU_ASSERT_EQUAL(fabric_links_find(links, &from, &to)->delay_ms,
				rule_cases[i].delay_ms);
	}
	fabric_links_clear(links);
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(rule_cases); i++) {
		carob_addr_t from = parse_addr(rule_cases[i].from);
		carob_addr_t to = parse_addr(rule_cases[i].to);

		CU_ASSERT_EQUAL(fabric_links_find(links, &from, &to)->delay_ms,
				0);
	}
	fabric_links_free(links);
}

static void test_cut_link(void)
{
	fabric_links_t *links = new_links();
	carob_addr_t a = parse_addr("127.0.4.1:1");
	carob_addr_t b = parse_addr("127.0.4.2:1");
	fabric_delivery_t delivery;

	CU_ASSERT_FALSE(fabric_links_is_cut(links, &a, &b));
	set_rule(links, "macon-a", "macon-b", (fabric_faults_t){.drop = 1});
	CU_ASSERT_TRUE(fabric_links_is_cut(links, &a, &b));
	CU_ASSERT_FALSE(fabric_links_is_cut(links, &b, &a));
	for (int i = 0; i < DRAWS; i++) {
		fabric_links_decide_delivery(&delivery, links, &a, &b);
		CU_ASSERT_EQUAL_FATAL(delivery.copies, 0);
		fabric_links_decide_delivery(&delivery, links, &b, &a);
		CU_ASSERT_EQUAL_FATAL(delivery.copies, 1);
	}
	fabric_links_free(links);
}

static void test_probabilities(void)
{
	fabric_links_t *links = new_links();
	carob_addr_t a = parse_addr("127.0.4.1:1");
	unsigned int dropped = 0;
	unsigned int duplicated = 0;
	unsigned int reordered = 0;
	fabric_delivery_t delivery;

	set_rule(links, "any", "any",
		 (fabric_faults_t){.drop = 0.1,
				   .duplicate = 0.2,
				   .reorder = 0.3,
				   .reorder_ms = 20,
				   .delay_ms = 1,
				   .jitter_ms = 2});
	for (int i = 0; i < DRAWS; i++) {
		fabric_links_decide_delivery(&delivery, links, &a, &a);
		dropped += delivery.copies == 0;
		duplicated += delivery.copies == 2;
		if (delivery.copies == 0)
			continue;
		reordered += delivery.delay_ns[0] >= 21 * CAROB_NS_PER_MS;
		CU_ASSERT_FATAL(delivery.delay_ns[0] >= CAROB_NS_PER_MS);
		CU_ASSERT_FATAL(delivery.delay_ns[0] <= 23 * CAROB_NS_PER_MS);
	}
	CU_ASSERT_TRUE(dropped > DRAWS * 8 / 100 && dropped < DRAWS * 12 / 100);
	CU_ASSERT_TRUE(duplicated > DRAWS * 15 / 100 &&
		       duplicated < DRAWS * 21 / 100);
	CU_ASSERT_TRUE(reordered > DRAWS * 23 / 100 &&
		       reordered < DRAWS * 31 / 100);
	fabric_links_free(links);
}

static void test_unknown_groups_are_refused(void)
{
	fabric_links_t *links = new_links();
	fabric_faults_t faults = {0};

	CU_ASSERT_EQUAL(fabric_links_set(links, CAROB_STR("nowhere"),
					 CAROB_STR("any"), &faults),
			CAROB_ENOTFOUND);
	CU_ASSERT_EQUAL(fabric_links_add_to_group(links, CAROB_STR("x"),
						  CAROB_STR("not an address")),
			CAROB_EINVALID);
	fabric_links_free(links);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"the most specific rule applies",
		 test_most_specific_rule_applies},
		{"a cut link drops all packets in one direction",
		 test_cut_link},
		{"faults occur with the probabilities set", test_probabilities},
		{"rules of unknown groups are refused",
		 test_unknown_groups_are_refused},
	};

	return run_tests("link", cases, CAROB_ARRAY_SIZE(cases));
}
