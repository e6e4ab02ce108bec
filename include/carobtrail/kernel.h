/**
 * @file kernel.h
 * The micro-kernel: a clock, timers and a registry in which services look up
 * each other by name. It does no I/O: its host (the daemon's event loop or a
 * test) asks for the next due time and runs the timers that are due.
 */
#ifndef CAROBTRAIL_KERNEL_H
#define CAROBTRAIL_KERNEL_H

#include "carobtrail/clock.h"

typedef struct carob_kernel carob_kernel_t;
typedef struct carob_service carob_service_t;
typedef struct carob_timer carob_timer_t;

/** Operations of a service. Any member but `name` may be NULL. */
typedef struct carob_service_ops {
	const char *name;
	/** Starts the service. @return 0 or a negative code */
	int (*start)(carob_service_t *service);
	/** Begins a graceful stop; work in progress continues. */
	void (*drain)(carob_service_t *service);
	/** Releases the service. */
	void (*free)(carob_service_t *service);
} carob_service_ops_t;

/** A service; implementations embed it as their first member. */
struct carob_service {
	const carob_service_ops_t *ops;
	carob_kernel_t *kernel;
};

/** A timer owned by its user, who embeds it; zero-initialise it. */
struct carob_timer {
	/** Called when the timer is due; it is disarmed and may be rearmed. */
	void (*fire)(carob_timer_t *timer);
	uint64_t due_ns;
	size_t heap_pos; /* 1-based; 0 when not armed */
};

/**
 * Creates a kernel.
 *
 * @param out receives the kernel; release it with `carob_kernel_free`
 * @param clock the clock; must outlive the kernel
 * @return 0 or CAROB_ENOMEM
 */
int carob_kernel_new(carob_kernel_t **out, const carob_clock_t *clock);

/** Frees the kernel's services, last registered first, then the kernel. */
void carob_kernel_free(carob_kernel_t *kernel);

/** @return the kernel's clock */
const carob_clock_t *carob_kernel_clock(const carob_kernel_t *kernel);

/** @return the kernel's monotonic time in nanoseconds */
uint64_t carob_kernel_now_ns(const carob_kernel_t *kernel);

/**
 * Registers a service. If this succeeds, the kernel owns the service.
 *
 * @param kernel the kernel
 * @param service the service, with `ops` set
 * @return 0, CAROB_EEXISTS if the name is taken, or CAROB_ENOMEM
 */
int carob_kernel_register(carob_kernel_t *kernel, carob_service_t *service);

/**
 * Removes a service from the registry without releasing it, for services that
 * end before the kernel. Does nothing if it is not registered.
 */
void carob_kernel_unregister(carob_kernel_t *kernel, carob_service_t *service);

/**
 * Finds a service by name.
 *
 * @param out receives the service, borrowed from the kernel
 * @param kernel the kernel
 * @param name the service's name
 * @return 0 or CAROB_ENOTFOUND
 */
int carob_kernel_find(carob_service_t **out, const carob_kernel_t *kernel,
		      const char *name);

/**
 * Starts all services in the order of registration.
 *
 * @return 0 or the code of the first service that fails, after which no
 *         further one is started
 */
int carob_kernel_start(carob_kernel_t *kernel);

/** Calls `drain` of all services, last registered first. */
void carob_kernel_drain(carob_kernel_t *kernel);

/**
 * Arms a timer, or moves it if it is armed.
 *
 * @param kernel the kernel
 * @param timer the timer; must not move until it has fired or is cancelled
 * @param due_ns monotonic time at which it is due
 * @return 0 or CAROB_ENOMEM
 */
int carob_timer_arm(carob_kernel_t *kernel, carob_timer_t *timer,
		    uint64_t due_ns);

/** Cancels a timer; does nothing if it is not armed. */
void carob_timer_cancel(carob_kernel_t *kernel, carob_timer_t *timer);

/** @return whether the timer is armed */
bool carob_timer_armed(const carob_timer_t *timer);

/**
 * @param kernel the kernel
 * @param due_ns receives the earliest due time
 * @return whether any timer is armed
 */
bool carob_kernel_next_due(const carob_kernel_t *kernel, uint64_t *due_ns);

/** Fires all timers that are due now, in the order of their due times. */
void carob_kernel_run_due(carob_kernel_t *kernel);

#endif
