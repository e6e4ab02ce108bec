/**
 * @file host_model.h
 * An upstream as load sees it: slots, and a queue in front of them.
 */
#ifndef CAROB_TESTS_HOST_MODEL_H
#define CAROB_TESTS_HOST_MODEL_H

#include <stddef.h>
#include <stdint.h>

#define HOST_MODEL_SLOTS_MAX 4

/** One upstream; zero-initialise it. */
typedef struct host_model {
	uint64_t slot_free_ns[HOST_MODEL_SLOTS_MAX];
	uint64_t busy_ns;
	uint32_t inside; /* running or waiting */
} host_model_t;

/**
 * A request comes in.
 *
 * @param host the upstream
 * @param slots requests that it runs at a time
 * @param queue requests that may wait
 * @param now_ns when the request comes
 * @param work_ns how long it runs
 * @return when it is answered, 0 if the upstream sheds it
 */
static inline uint64_t host_model_enter(host_model_t *host, size_t slots,
					size_t queue, uint64_t now_ns,
					uint64_t work_ns)
{
	uint64_t start = now_ns;
	size_t first = 0;

	if (host->inside >= slots + queue)
		return 0;
	host->inside++;
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
