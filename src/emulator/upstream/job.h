/**
 * @file job.h
 * Requests that an upstream runs, other than observations.
 */
#ifndef CAROB_UPSTREAM_JOB_H
#define CAROB_UPSTREAM_JOB_H

#include "host.h"

/**
 * Runs a request. Refuses it if all slots are used, the host refuses all work
 * or the request's cancel has arrived already.
 */
void upstream_job_start(upstream_host_t *host, const carob_msg_t *msg,
			const upstream_origin_t *origin,
			const carob_request_t *request);

/**
 * Cancels the request with the token of `origin` and confirms the cancel when
 * the request's slot is free. A cancel that arrives before its request is
 * confirmed at once and stored for a while, so that the request is refused.
 */
void upstream_job_cancel(upstream_host_t *host,
			 const upstream_origin_t *origin);

/** Handles the acknowledgement or reset of a separate response by its peer. */
void upstream_job_acknowledged(upstream_host_t *host, const carob_addr_t *peer,
			       uint16_t mid);

/** Ends all requests and writes their records. */
void upstream_jobs_dispose(upstream_host_t *host);

#endif
