/**
 * @file kv.h
 * Interface of the platform's key-value service. Calls are asynchronous; each
 * ends with exactly one reply unless it is cancelled. `net/platform_client.h`
 * implements the interface over HTTP, `emulator/kv/memory.h` in memory.
 */
#ifndef CAROBTRAIL_KV_H
#define CAROBTRAIL_KV_H

#include "carobtrail/str.h"

/** Largest value, in bytes. */
#define CAROB_KV_VALUE_BYTES_MAX (1024 * 1024)
/** Longest key, in bytes. */
#define CAROB_KV_KEY_MAX 255

typedef struct carob_kv carob_kv_t;
typedef struct carob_kv_call carob_kv_call_t;

/** One key with its value. */
typedef struct carob_kv_entry {
	carob_str_t key;
	carob_str_t value; /* empty in the reply to `list` */
	uint64_t index;	   /* increases with each write of the key */
} carob_kv_entry_t;

/** Result of a call; valid during the callback only. */
typedef struct carob_kv_reply {
	/**
	 * 0; CAROB_ENOTFOUND; CAROB_ECONFLICT: the key's index differs;
	 * CAROB_EUNAVAILABLE: not carried out; CAROB_EUNKNOWN: a write that may
	 * or may not have been carried out; CAROB_EFORMAT; CAROB_ENOMEM
	 */
	int result;
	uint64_t index; /* index to pass to the next `watch` */
	size_t count;
	const carob_kv_entry_t *entries;
} carob_kv_reply_t;

/** A call; its user embeds it, sets `done` and zero-initialises the rest. */
struct carob_kv_call {
	/** Called when the call ends; may start another one with `call`. */
	void (*done)(carob_kv_call_t *call, const carob_kv_reply_t *reply);
	void *pending; /* owned by the service; NULL when idle */
};

/** Operations of a key-value service. Keys and values are copied. */
typedef struct carob_kv_ops {
	/** Reads one key. */
	void (*get)(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key);
	/**
	 * Reads one key once its index differs from `index`, or after `wait_ms`
	 * at the latest.
	 */
	void (*watch)(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key,
		      uint64_t index, uint32_t wait_ms);
	/** Writes if the key's index is `index`; 0: if it does not exist. */
	void (*put_cas)(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key,
			carob_str_t value, uint64_t index);
	/** Deletes a key; succeeds if it does not exist. */
	void (*remove)(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t key);
	/** Reads all keys with a prefix, without their values. */
	void (*list)(carob_kv_t *kv, carob_kv_call_t *call, carob_str_t prefix);
	/** Cancels a call without `done`. A write may still take effect. */
	void (*cancel)(carob_kv_t *kv, carob_kv_call_t *call);
} carob_kv_ops_t;

/** A key-value service; implementations embed it as their first member. */
struct carob_kv {
	const carob_kv_ops_t *ops;
};

#endif
