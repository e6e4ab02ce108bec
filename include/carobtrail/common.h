/**
 * @file common.h
 * Attributes and helpers shared by all headers.
 */
#ifndef CAROBTRAIL_COMMON_H
#define CAROBTRAIL_COMMON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Checks the arguments of a printf-like function. */
#define CAROB_PRINTF(fmt, args) __attribute__((format(printf, fmt, args)))

/** Runs `fn` on the variable's address when it leaves scope. */
#define CAROB_CLEANUP(fn) __attribute__((cleanup(fn)))

/** Number of elements of an array. */
#define CAROB_ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

/** The structure of type `type` whose member `member` is at `ptr`. */
#define CAROB_CONTAINER_OF(ptr, type, member)                                  \
	((type *)((char *)(ptr)-offsetof(type, member)))

#define CAROB_NS_PER_US 1000ULL
#define CAROB_NS_PER_MS 1000000ULL
#define CAROB_NS_PER_S	1000000000ULL

#endif
