/**
 * @file platform_list.h
 * Reads the platform's list of instances, in the form of Consul's published
 * catalogue API (/v1/catalog/service/NAME). The list may be out of date: an
 * address on it is only a hint that an instance can be contacted there.
 */
#ifndef CAROB_NET_PLATFORM_LIST_H
#define CAROB_NET_PLATFORM_LIST_H

#include "carobtrail/ids.h"
#include "carobtrail/kernel.h"
#include "carobtrail/membership.h"

struct event_base;

typedef struct carob_platform_list carob_platform_list_t;
typedef struct carob_platform_hints carob_platform_hints_t;

/** Largest number of hints taken from one response. */
#define CAROB_PLATFORM_HINTS_MAX 8

/** Receiver of the hints; implementations embed it. */
struct carob_platform_hints {
	/** An instance may listen for control messages at `addr`. */
	void (*hint)(carob_platform_hints_t *hints, const carob_addr_t *addr);
};

/** Options of `carob_platform_list_new`. */
typedef struct carob_platform_list_options {
	unsigned int version;
	carob_kernel_t *kernel;
	struct event_base *base;
	const carob_membership_t *membership; /* its size sets the period */
	carob_platform_hints_t *hints;
	carob_addr_t addr;   /* address of the platform */
	carob_addr_t source; /* connect from this IP; family 0: any */
	carob_str_t name;    /* service name of the instances; copied */
	uint64_t seed;
} carob_platform_list_options_t;

#define CAROB_PLATFORM_LIST_OPTIONS_VERSION 1
#define CAROB_PLATFORM_LIST_OPTIONS_INIT                                       \
	{                                                                      \
		.version = CAROB_PLATFORM_LIST_OPTIONS_VERSION                 \
	}

/** Monotonic counters. */
typedef struct carob_platform_list_counters {
	uint64_t calls;
	uint64_t failures; /* no response, or an invalid one */
	uint64_t hints;
} carob_platform_list_counters_t;

/**
 * Creates a reader, which reads the list as soon as timers are run and then
 * periodically.
 *
 * @param out receives it; release it with `carob_platform_list_free`
 * @param options the options; the objects that they point to must outlive it
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_platform_list_new(carob_platform_list_t **out,
			    const carob_platform_list_options_t *options);

/** Releases the reader; a request in progress is cancelled. */
void carob_platform_list_free(carob_platform_list_t *list);

/** Copies the counters. */
void carob_platform_list_counters(carob_platform_list_counters_t *out,
				  const carob_platform_list_t *list);

#endif
