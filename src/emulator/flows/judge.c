#include "judge.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

/* Contact time: after a fault, instances may act on outdated state for this
 * long. */
#define CONTACT_NS (4 * CAROB_NS_PER_S)
/* This long after the last fault, requests must be served again. */
#define RECOVERY_NS (12 * CAROB_NS_PER_S)
/* Recovery is only checked with at least this many requests after it; nine
 * tenths of them must be served. */
#define CALM_REQUESTS_MIN 20

static const char *const promise_names[JUDGE_PROMISE_COUNT] = {
	"wrong_answer",	  "run_twice",	   "flow_broken",
	"packet_changed", "wrong_service", "drained",
	"old_route",	  "new_route",	   "not_served",
};

static const char *const outcome_names[JUDGE_OUTCOME_COUNT] = {"served", "late",
							       "failed"};

void judge_broken(judge_t *judge, judge_promise_t promise, const char *fmt, ...)
{
	uint64_t now_ms = carob_clock_now_ns(judge->clock) / CAROB_NS_PER_MS;
	va_list args;

	judge->broken[promise]++;
	printf("broken %s at %" PRIu64 " ms: ", promise_names[promise], now_ms);
	va_start(args, fmt);
	vprintf(fmt, args);
	va_end(args);
	printf("\n");
	fflush(stdout);
}

/* Records the end of a fault that lasts `ms` milliseconds from now on. Returns
 * until when it excuses violations. */
static uint64_t until(judge_t *judge, uint64_t ms)
{
	uint64_t end = carob_clock_now_ns(judge->clock) + ms * CAROB_NS_PER_MS;

	if (end > judge->last_trouble_ns)
		judge->last_trouble_ns = end;
	return end + CONTACT_NS;
}

void judge_instance_trouble(judge_t *judge, size_t instance, uint64_t ms)
{
	uint64_t end = until(judge, ms);

	if (instance < JUDGE_INSTANCES_MAX &&
	    end > judge->instance_trouble_ns[instance])
		judge->instance_trouble_ns[instance] = end;
}

void judge_store_trouble(judge_t *judge, uint64_t ms)
{
	uint64_t end = until(judge, ms);

	if (end > judge->store_trouble_ns)
		judge->store_trouble_ns = end;
}

bool judge_instance_in_touch(const judge_t *judge, size_t instance)
{
	return instance >= JUDGE_INSTANCES_MAX ||
	       carob_clock_now_ns(judge->clock) >=
		       judge->instance_trouble_ns[instance];
}

bool judge_store_stable(const judge_t *judge)
{
	return carob_clock_now_ns(judge->clock) >= judge->store_trouble_ns;
}

void judge_outcome(judge_t *judge, judge_outcome_t outcome)
{
	judge->outcomes[outcome]++;
	if (carob_clock_now_ns(judge->clock) >
	    judge->last_trouble_ns + RECOVERY_NS)
		judge->calm_outcomes[outcome]++;
}

void judge_run(judge_t *judge, uint64_t id, bool idempotent)
{
	uint8_t *runs = &judge->runs[id % JUDGE_REQUESTS_MAX];

	if (++*runs > 1 && !idempotent)
		judge_broken(judge, JUDGE_RUN_TWICE,
			     "request %" PRIu64 " ran again", id);
}

void judge_recovery(judge_t *judge)
{
	uint64_t failed = judge->calm_outcomes[JUDGE_FAILED];
	uint64_t all = failed + judge->calm_outcomes[JUDGE_SERVED] +
		       judge->calm_outcomes[JUDGE_LATE];

	if (all >= CALM_REQUESTS_MIN && 10 * failed > all)
		judge_broken(judge, JUDGE_NOT_SERVED,
			     "%" PRIu64 " of %" PRIu64
			     " requests failed long after the last fault",
			     failed, all);
}

uint64_t judge_report(const judge_t *judge)
{
	uint64_t all = 0;

	printf("{");
	for (int i = 0; i < JUDGE_OUTCOME_COUNT; i++)
		printf("\"%s\":%" PRIu64 ",", outcome_names[i],
		       judge->outcomes[i]);
	printf("\"connects\":%" PRIu64 ",\"resets\":%" PRIu64
	       ",\"misdirected\":%" PRIu64 ",\"broken\":{",
	       judge->connects, judge->resets, judge->misdirected);
	for (int i = 0; i < JUDGE_PROMISE_COUNT; i++) {
		printf("%s\"%s\":%" PRIu64, i ? "," : "", promise_names[i],
		       judge->broken[i]);
		all += judge->broken[i];
	}
	printf("}}\n");
	fflush(stdout);
	return all;
}
