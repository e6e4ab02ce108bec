/**
 * @file memory.h
 * A fake of the platform's key-value service in memory, for tests and
 * scenarios. With a kernel it answers by itself after a set time; without one
 * its user chooses which waiting call is served next.
 */
#ifndef CAROB_EMULATOR_KV_MEMORY_H
#define CAROB_EMULATOR_KV_MEMORY_H

#include "carobtrail/kernel.h"
#include "carobtrail/kv.h"

typedef struct carob_kv_memory carob_kv_memory_t;

/** What happens to a call. */
typedef enum carob_kv_fate {
	CAROB_KV_SERVED,
	CAROB_KV_LOST,	      /* not carried out */
	CAROB_KV_ANSWER_LOST, /* carried out; a write's answer is lost */
} carob_kv_fate_t;

/**
 * Creates an empty service.
 *
 * @param out receives it; release it with `carob_kv_memory_free`
 * @param kernel whose timers serve the calls; NULL: served by hand
 * @return 0 or CAROB_ENOMEM
 */
int carob_kv_memory_new(carob_kv_memory_t **out, carob_kernel_t *kernel);

/** Releases it; waiting calls are forgotten. */
void carob_kv_memory_free(carob_kv_memory_t *memory);

/** @return the interface for clients, borrowed */
carob_kv_t *carob_kv_memory_kv(carob_kv_memory_t *memory);

/** Sets the time from a call to its answer. */
void carob_kv_memory_set_latency(carob_kv_memory_t *memory, uint64_t ns);

/** Sets what happens to all calls from now on. */
void carob_kv_memory_set_fate(carob_kv_memory_t *memory, carob_kv_fate_t fate);

/** Sets what happens to `count` writes instead, after `skip` more writes. */
void carob_kv_memory_set_write_fate(carob_kv_memory_t *memory,
				    carob_kv_fate_t fate, unsigned int skip,
				    unsigned int count);

/** @return calls received; a waiting watch counts as one */
uint64_t carob_kv_memory_calls(const carob_kv_memory_t *memory);

/** @return how many keys there are */
size_t carob_kv_memory_size(const carob_kv_memory_t *memory);

/** @return how many calls could be served now */
size_t carob_kv_memory_ready(const carob_kv_memory_t *memory);

/** @return the call at position `i` of those that could be served now */
carob_kv_call_t *carob_kv_memory_ready_call(const carob_kv_memory_t *memory,
					    size_t i);

/** Serves the call at position `i` of those that could be served now. */
void carob_kv_memory_serve(carob_kv_memory_t *memory, size_t i,
			   carob_kv_fate_t fate);

/** @return whether the key exists; if so `value` borrows its value */
bool carob_kv_memory_peek(carob_str_t *value, const carob_kv_memory_t *memory,
			  carob_str_t key);

/** Gives `to` all keys of `from`, as of now. */
void carob_kv_memory_copy(carob_kv_memory_t *to, const carob_kv_memory_t *from);

/** @return a hash of all keys with their values and indexes */
uint64_t carob_kv_memory_hash(const carob_kv_memory_t *memory);

#endif
