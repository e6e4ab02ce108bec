/**
 * @file silence.h
 * Which upstreams have fallen silent, from what callers' packets show.
 *
 * An upstream answers a SYN at once, also when it is busy: a SYN that its
 * caller repeats was lost or had nobody to answer it. A request that its
 * caller repeats may just take long. So one lost SYN proves nothing, a second
 * one without an answer in between keeps new flows away, and either two of
 * them, or one and two requests that wait, make an upstream silent, provided
 * that others answer: otherwise the trouble is this instance's own.
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
				carob_upstream_index_t index);

/** @return whether new flows had better go elsewhere */
bool carob_silence_is_avoided(const carob_upstream_t *upstream,
			      uint64_t now_ns);

/** @return whether flows on it wait in vain */
bool carob_silence_is_silent(const carob_upstream_table_t *table,
			     carob_upstream_index_t index, uint64_t now_ns);

#endif
