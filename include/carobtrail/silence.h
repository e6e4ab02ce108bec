/**
 * @file silence.h
 * Which upstreams have fallen silent, from what callers' packets show.
 *
 * An upstream answers a SYN at once, also when it is busy, but not when it
 * holds as many flows as it can: a SYN that its caller repeats was lost, had
 * nobody to answer it, or found no room. A request that its caller repeats may
 * just take long. So one lost SYN proves nothing, and a second one without an
 * answer in between keeps new flows away. Two of them and a request that
 * waits, or one and two requests, make an upstream silent, provided that no
 * answer came for longer than usual and that others answer: otherwise the
 * trouble is this instance's own.
 *
 * An instance may send an upstream a SYN every few seconds only. A request
 * whose caller still repeats it after more than a second, while the upstream
 * has answered nothing else, therefore is a sign that needs no second one: a
 * queue that is so long would have been refused by the upstream.
 */
#ifndef CAROBTRAIL_SILENCE_H
#define CAROBTRAIL_SILENCE_H

#include "carobtrail/upstream_table.h"

/** Notes that a caller has acknowledged something of an upstream's. */
void carob_silence_note_answer(carob_upstream_table_t *table,
			       carob_upstream_index_t index, uint64_t now_ns);

/** Notes that a SYN was repeated without an answer. */
void carob_silence_note_syn(carob_upstream_table_t *table,
			    carob_upstream_index_t index, uint64_t now_ns);

/** Notes that a flow's request was repeated; once for each request. */
void carob_silence_note_request(carob_upstream_table_t *table,
				carob_upstream_index_t index, uint64_t now_ns);

/**
 * Notes that a caller still repeats a request.
 *
 * @param table the upstreams
 * @param index whose answer is missing
 * @param since_ns when the request was first sent there
 * @param now_ns monotonic time
 */
void carob_silence_note_stall(carob_upstream_table_t *table,
			      carob_upstream_index_t index, uint64_t since_ns,
			      uint64_t now_ns);

/** @return whether new flows had better go elsewhere */
bool carob_silence_is_avoided(const carob_upstream_t *upstream,
			      uint64_t now_ns);

/** @return whether there are signs enough, if times bear them out */
bool carob_silence_has_signs(const carob_upstream_t *upstream);

/**
 * @param table the upstreams
 * @param index the one that is asked for
 * @param usual_ns how long nearly all answers take
 * @param now_ns monotonic time
 * @return whether flows on it wait in vain
 */
bool carob_silence_is_silent(const carob_upstream_table_t *table,
			     carob_upstream_index_t index, uint64_t usual_ns,
			     uint64_t now_ns);

#endif
