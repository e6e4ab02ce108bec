/**
 * @file failure_detector.h
 * Failure detector: finds upstreams that no longer answer, by passive
 * observation of the callers' packets.
 *
 * The evidence consists of retransmissions:
 *
 * - A SYN that its caller retransmits was lost, or the upstream is down, or it
 *   holds as many flows as it can. An upstream that is merely busy answers
 *   SYNs at once.
 * - A request that its caller retransmits may just take long, so it only
 *   counts along with unanswered SYNs.
 *
 * Any answer of the upstream discards the evidence. Two unanswered SYNs in a
 * row make the upstream avoided: new flows go to others for a while. A single
 * one proves nothing. Three unanswered SYNs and retransmitted requests, with
 * at least one of each, make it silent, and requests that may be retried are
 * reset, if also
 *
 * - the latest evidence is recent,
 * - the upstream has not answered for longer than responses usually take, and
 * - other upstreams answer. Otherwise the failure is likely to be on the side
 *   of this instance.
 *
 * At a low rate of new flows, an upstream gets a SYN from an instance only
 * every few seconds. One stalled request, which its caller still retransmits
 * after more than a second in which the upstream has answered nothing, is
 * therefore sufficient evidence, also without unanswered SYNs. It can't be
 * due to queueing: an upstream refuses requests before its queue gets that
 * long.
 *
 * An upstream whose entry was removed is known to be gone with less evidence
 * (docs/design/zone-lost.md). The removal alone is none: the upstream may serve
 * without reaching the platform.
 */
#ifndef CAROBTRAIL_FAILURE_DETECTOR_H
#define CAROBTRAIL_FAILURE_DETECTOR_H

#include "carobtrail/upstream_table.h"

/** Records that a caller has acknowledged data or a SYN of the upstream. */
void carob_failure_detector_record_answer(carob_upstream_table_t *table,
					  carob_upstream_index_t index,
					  uint64_t now_ns);

/** Records that a caller has retransmitted a SYN to the upstream. */
void carob_failure_detector_record_syn(carob_upstream_table_t *table,
				       carob_upstream_index_t index,
				       uint64_t now_ns);

/**
 * Records that an attempt to connect to the upstream has ended without an
 * answer. It is no evidence of silence: the upstream may have reset it.
 */
void carob_failure_detector_record_refusal(carob_upstream_table_t *table,
					   carob_upstream_index_t index,
					   uint64_t now_ns);

/**
 * Records that a caller has retransmitted a request to the upstream. Call it
 * once for each request, at its first retransmission.
 */
void carob_failure_detector_record_request(carob_upstream_table_t *table,
					   carob_upstream_index_t index,
					   uint64_t now_ns);

/**
 * Records a retransmission of a request, which may have stalled: it has if the
 * upstream has not answered anything for long enough since the request was
 * first sent. Call it at each retransmission.
 *
 * @param table the upstreams
 * @param index the upstream that has not answered the request
 * @param since_ns monotonic time at which the request was first sent
 * @param now_ns monotonic time
 */
void carob_failure_detector_record_stall(carob_upstream_table_t *table,
					 carob_upstream_index_t index,
					 uint64_t since_ns, uint64_t now_ns);

/**
 * Records a retransmission of a request, which may be overdue: it is if it has
 * waited for much longer than responses usually take, and the upstream has
 * answered nothing meanwhile. Call it at each retransmission.
 *
 * @param table the upstreams
 * @param index the upstream that has not answered the request
 * @param since_ns monotonic time at which the request was first sent
 * @param usual_ns a high quantile of the response time, in nanoseconds
 * @param now_ns monotonic time
 */
void carob_failure_detector_record_overdue(carob_upstream_table_t *table,
					   carob_upstream_index_t index,
					   uint64_t since_ns, uint64_t usual_ns,
					   uint64_t now_ns);

/**
 * Decides whether an upstream is known to be gone: its entry was removed while
 * the platform was reachable, it has answered nothing since, and either a
 * request to it has stalled, or requests to several such upstreams of its zone
 * are overdue while the whole zone has answered nothing since.
 *
 * @param table the upstreams
 * @param index the upstream
 * @param now_ns monotonic time
 * @return whether it is gone
 */
bool carob_failure_detector_is_gone(const carob_upstream_table_t *table,
				    carob_upstream_index_t index,
				    uint64_t now_ns);

/** @return whether new flows should go to other upstreams, if there are any */
bool carob_failure_detector_is_avoided(const carob_upstream_t *upstream,
				       uint64_t now_ns);

/**
 * @return whether there is enough evidence for the upstream to be silent. This
 *         is the cheap part of `carob_failure_detector_is_silent`, which also
 *         checks the times.
 */
bool carob_failure_detector_has_evidence(const carob_upstream_t *upstream);

/**
 * Decides whether an upstream is silent: requests to it are not expected to be
 * answered.
 *
 * @param table the upstreams
 * @param index the upstream
 * @param usual_ns a high quantile of the response time, in nanoseconds
 * @param now_ns monotonic time
 * @return whether the upstream is silent
 */
bool carob_failure_detector_is_silent(const carob_upstream_table_t *table,
				      carob_upstream_index_t index,
				      uint64_t usual_ns, uint64_t now_ns);

#endif
