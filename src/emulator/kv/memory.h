/**
 * @file memory.h
 * In-memory fake of the platform's key-value service, for tests and
 * simulations. With a kernel it serves each call by itself after a fixed
 * latency. Without one, its user chooses which pending call is served next.
 */
#ifndef CAROB_EMULATOR_KV_MEMORY_H
#define CAROB_EMULATOR_KV_MEMORY_H

#include "carobtrail/kernel.h"
#include "carobtrail/kv.h"

typedef struct carob_kv_memory carob_kv_memory_t;

/** What happens to a call. */
typedef enum carob_kv_outcome {
	CAROB_KV_SERVED,
	CAROB_KV_LOST,		/* not carried out; CAROB_EUNAVAILABLE */
	CAROB_KV_RESPONSE_LOST, /* carried out; CAROB_EUNKNOWN for writes */
} carob_kv_outcome_t;

/**
 * Creates an empty service.
 *
 * @param out receives the service; release it with `carob_kv_memory_free`
 * @param kernel clock and timers that serve the calls; with NULL, calls are
 *               served by `carob_kv_memory_serve` only
 * @return 0 or CAROB_ENOMEM
 */
int carob_kv_memory_new(carob_kv_memory_t **out, carob_kernel_t *kernel);

/** Releases the service; pending calls end without a callback. */
void carob_kv_memory_free(carob_kv_memory_t *memory);

/** @return the service's interface for clients, borrowed */
carob_kv_t *carob_kv_memory_kv(carob_kv_memory_t *memory);

/** Sets the time from a call to its reply, in nanoseconds. */
void carob_kv_memory_set_latency(carob_kv_memory_t *memory, uint64_t ns);

/** Sets what happens to all calls that are served from now on. */
void carob_kv_memory_set_outcome(carob_kv_memory_t *memory,
				 carob_kv_outcome_t outcome);

/**
 * Sets what happens to some `put_cas` calls, in place of the outcome of all
 * calls: to the next `count` ones after the next `skip` ones.
 */
void carob_kv_memory_set_write_outcome(carob_kv_memory_t *memory,
				       carob_kv_outcome_t outcome,
				       unsigned int skip, unsigned int count);

/** @return how many calls were received, pending ones included */
uint64_t carob_kv_memory_calls(const carob_kv_memory_t *memory);

/** @return the number of keys */
size_t carob_kv_memory_size(const carob_kv_memory_t *memory);

/** @return how many calls can be served now */
size_t carob_kv_memory_ready(const carob_kv_memory_t *memory);

/** @return the call at position `i` of those that can be served now, or NULL */
carob_kv_call_t *carob_kv_memory_ready_call(const carob_kv_memory_t *memory,
					    size_t i);

/** Serves the call at position `i` of those that can be served now, if any. */
void carob_kv_memory_serve(carob_kv_memory_t *memory, size_t i,
			   carob_kv_outcome_t outcome);

/** Reads a value without a call. @return whether the key exists; if so, `value`
 * borrows its value */
bool carob_kv_memory_peek(carob_str_t *value, const carob_kv_memory_t *memory,
			  carob_str_t key);

/** Copies all keys of `from` into `to`, with their indexes. */
void carob_kv_memory_copy(carob_kv_memory_t *to, const carob_kv_memory_t *from);

/** @return a hash of all keys with their values and indexes */
uint64_t carob_kv_memory_hash(const carob_kv_memory_t *memory);

#endif
