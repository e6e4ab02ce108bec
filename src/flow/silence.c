#include "carobtrail/silence.h"

#include "carobtrail/log.h"

/* One lost SYN is no sign; the second in a row is. */
#define SYNS_TO_AVOID 2
/* How long an upstream is passed over, for each SYN without an answer. */
#define AVOID_NS     (500 * CAROB_NS_PER_MS)
#define AVOID_NS_MAX (4 * CAROB_NS_PER_S)
/* Requests that wait, which together with one SYN make an upstream silent. */
#define REQUESTS_TO_SILENCE 2
/* Nothing was heard for longer than a SYN waits for its first repetition. */
#define SILENT_NS (250 * CAROB_NS_PER_MS)
/* Others count as answering if one did within this. */
#define OTHERS_NS (200 * CAROB_NS_PER_MS)

void carob_silence_note_answer(carob_upstream_table_t *table,
			       carob_upstream_index_t index, uint64_t now_ns)
{
	carob_upstream_t *upstream = &table->items[index];

	if (upstream->failures >= SYNS_TO_AVOID)
		CAROB_LOG(CAROB_EV_UPSTREAM_ANSWERS,
			  CAROB_FIELD_CSTR("upstream", upstream->id),
			  CAROB_FIELD_U64("failures", upstream->failures));
	upstream->failures = 0;
	upstream->waiting = 0;
	upstream->avoid_until_ns = 0;
	upstream->answered_ns = now_ns;
	table->answered_ns = now_ns;
}

void carob_silence_note_syn(carob_upstream_table_t *table,
			    carob_upstream_index_t index, uint64_t now_ns)
{
	carob_upstream_t *upstream = &table->items[index];
	uint64_t avoid_ns;

	upstream->failures++;
	if (upstream->failures < SYNS_TO_AVOID)
		return;
	avoid_ns = upstream->failures * AVOID_NS;
	if (avoid_ns > AVOID_NS_MAX)
		avoid_ns = AVOID_NS_MAX;
	upstream->avoid_until_ns = now_ns + avoid_ns;
	if (upstream->failures == SYNS_TO_AVOID)
		CAROB_LOG(CAROB_EV_UPSTREAM_AVOIDED,
			  CAROB_FIELD_CSTR("upstream", upstream->id),
			  CAROB_FIELD_U64("failures", upstream->failures),
			  CAROB_FIELD_U64("waiting", upstream->waiting),
			  CAROB_FIELD_U64("pending", upstream->pending));
}

void carob_silence_note_request(carob_upstream_table_t *table,
				carob_upstream_index_t index)
{
	table->items[index].waiting++;
}

/* After the pause, one flow at a time shows whether it is back. */
bool carob_silence_is_avoided(const carob_upstream_t *upstream, uint64_t now_ns)
{
	if (upstream->failures < SYNS_TO_AVOID)
		return false;
	return now_ns < upstream->avoid_until_ns || upstream->pending > 0;
}

bool carob_silence_is_silent(const carob_upstream_table_t *table,
			     carob_upstream_index_t index, uint64_t now_ns)
{
	const carob_upstream_t *upstream = &table->items[index];

	if (upstream->failures == 0)
		return false;
	if (upstream->failures < SYNS_TO_AVOID &&
	    upstream->waiting < REQUESTS_TO_SILENCE)
		return false;
	return now_ns - upstream->answered_ns >= SILENT_NS &&
	       now_ns - table->answered_ns < OTHERS_NS;
}
