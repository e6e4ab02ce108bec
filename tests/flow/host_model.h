/**
 * @file host_model.h
 * Queueing model of an upstream: a number of slots with a bounded queue.
 */
#ifndef CAROB_TESTS_HOST_MODEL_H
#define CAROB_TESTS_HOST_MODEL_H

#include <stddef.h>
#include <stdint.h>

#define HOST_MODEL_SLOTS_MAX 4

/** State of one upstream; zero-initialise it. */
typedef struct host_model {
	uint64_t slot_free_ns[HOST_MODEL_SLOTS_MAX]; /* when each slot is free */
	uint64_t busy_ns;	  /* total processing time of all requests */
	uint32_t active_requests; /* requests that are running or queued */
} host_model_t;

/**
 * Submits a request to the upstream. The caller of this function decrements
 * `active_requests` when the request is done.
 *
 * @param host the upstream
 * @param slots number of requests that it processes concurrently
 * @param queue capacity of its queue, in requests
 * @param now_ns time at which the request arrives
 * @param work_ns processing time of the request
 * @return the time of the response, 0 if the upstream sheds the request
 */
static inline uint64_t host_model_enter(host_model_t *host, size_t slots,
					size_t queue, uint64_t now_ns,
					uint64_t work_ns)
{
	uint64_t start = now_ns;
	size_t first = 0;

	if (host->active_requests >= slots + queue)
		return 0;
	host->active_requests++;
	for (size_t i = 1; i < slots; i++)
		if (host->slot_free_ns[i] < host->slot_free_ns[first])
			first = i;
	if (host->slot_free_ns[first] > start)
		start = host->slot_free_ns[first];
	host->slot_free_ns[first] = start + work_ns;
	host->busy_ns += work_ns;
	return start + work_ns;
}

#endif
