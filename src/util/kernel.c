#include "carobtrail/kernel.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

#define SERVICES_MAX	   32
#define TIMERS_INITIAL_CAP 64

struct carob_kernel {
	const carob_clock_t *clock;
	carob_service_t *services[SERVICES_MAX];
	size_t service_count;
	carob_timer_t **heap; /* 1-based binary heap by due_ns */
	size_t heap_len;
	size_t heap_cap;
};

int carob_kernel_new(carob_kernel_t **out, const carob_clock_t *clock)
{
	carob_kernel_t *kernel = calloc(1, sizeof(*kernel));

	if (!kernel)
		return carob_error_set(CAROB_ENOMEM, "cannot allocate kernel");
	kernel->clock = clock;
	*out = kernel;
	return 0;
}

void carob_kernel_free(carob_kernel_t *kernel)
{
	if (!kernel)
		return;
	while (kernel->service_count > 0) {
		carob_service_t *service;

		service = kernel->services[--kernel->service_count];
		if (service->ops->free)
			service->ops->free(service);
	}
	free(kernel->heap);
	free(kernel);
}

const carob_clock_t *carob_kernel_clock(const carob_kernel_t *kernel)
{
	return kernel->clock;
}

uint64_t carob_kernel_now_ns(const carob_kernel_t *kernel)
{
	return carob_clock_now_ns(kernel->clock);
}

int carob_kernel_register(carob_kernel_t *kernel, carob_service_t *service)
{
	carob_service_t *other;

	if (carob_kernel_find(&other, kernel, service->ops->name) == 0)
		return carob_error_set(CAROB_EEXISTS,
				       "service %s is already registered",
				       service->ops->name);
	if (kernel->service_count == SERVICES_MAX)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot register more than %d services",
				       SERVICES_MAX);
	service->kernel = kernel;
	kernel->services[kernel->service_count++] = service;
	return 0;
}

void carob_kernel_unregister(carob_kernel_t *kernel, carob_service_t *service)
{
	size_t i = 0;

	while (i < kernel->service_count && kernel->services[i] != service)
		i++;
	if (i == kernel->service_count)
		return;
	kernel->service_count--;
	for (; i < kernel->service_count; i++)
		kernel->services[i] = kernel->services[i + 1];
}

int carob_kernel_find(carob_service_t **out, const carob_kernel_t *kernel,
		      const char *name)
{
	for (size_t i = 0; i < kernel->service_count; i++) {
		if (strcmp(kernel->services[i]->ops->name, name) == 0) {
			*out = kernel->services[i];
			return 0;
		}
	}
	return carob_error_set(CAROB_ENOTFOUND, "service %s is not registered",
			       name);
}

int carob_kernel_start(carob_kernel_t *kernel)
{
	for (size_t i = 0; i < kernel->service_count; i++) {
		carob_service_t *service = kernel->services[i];
		int error;

		if (!service->ops->start)
			continue;
		error = service->ops->start(service);
		if (error)
			return error;
	}
	return 0;
}

void carob_kernel_drain(carob_kernel_t *kernel)
{
	for (size_t i = kernel->service_count; i > 0; i--) {
		carob_service_t *service = kernel->services[i - 1];

		if (service->ops->drain)
			service->ops->drain(service);
	}
}

static void heap_set(carob_kernel_t *kernel, carob_timer_t *timer, size_t pos)
{
	kernel->heap[pos] = timer;
	timer->heap_pos = pos;
}

static void heap_sift_up(carob_kernel_t *kernel, carob_timer_t *timer,
			 size_t pos)
{
	while (pos > 1 && kernel->heap[pos / 2]->due_ns > timer->due_ns) {
		heap_set(kernel, kernel->heap[pos / 2], pos);
		pos /= 2;
	}
	heap_set(kernel, timer, pos);
}

static void heap_sift_down(carob_kernel_t *kernel, carob_timer_t *timer,
			   size_t pos)
{
	for (;;) {
		size_t child = pos * 2;

		if (child > kernel->heap_len)
			break;
		if (child < kernel->heap_len &&
		    kernel->heap[child + 1]->due_ns <
			    kernel->heap[child]->due_ns)
			child++;
		if (kernel->heap[child]->due_ns >= timer->due_ns)
			break;
		heap_set(kernel, kernel->heap[child], pos);
		pos = child;
	}
	heap_set(kernel, timer, pos);
}

static int heap_reserve(carob_kernel_t *kernel)
{
	size_t cap = kernel->heap_cap ? kernel->heap_cap * 2
				      : TIMERS_INITIAL_CAP;
	carob_timer_t **heap;

	if (kernel->heap_len + 1 < kernel->heap_cap)
		return 0;
	heap = realloc(kernel->heap, cap * sizeof(carob_timer_t *));
	if (!heap)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate %zu timers", cap);
	kernel->heap = heap;
	kernel->heap_cap = cap;
	return 0;
}

int carob_timer_arm(carob_kernel_t *kernel, carob_timer_t *timer,
		    uint64_t due_ns)
{
	int error;

	carob_timer_cancel(kernel, timer);
	error = heap_reserve(kernel);
	if (error)
		return error;
	timer->due_ns = due_ns;
	kernel->heap_len++;
	heap_sift_up(kernel, timer, kernel->heap_len);
	return 0;
}

void carob_timer_cancel(carob_kernel_t *kernel, carob_timer_t *timer)
{
	size_t pos = timer->heap_pos;
	carob_timer_t *last;

	if (pos == 0)
		return;
	timer->heap_pos = 0;
	last = kernel->heap[kernel->heap_len--];
	if (last == timer)
		return;
	heap_sift_down(kernel, last, pos);
	heap_sift_up(kernel, last, last->heap_pos);
}

bool carob_timer_armed(const carob_timer_t *timer)
{
	return timer->heap_pos != 0;
}

bool carob_kernel_next_due(const carob_kernel_t *kernel, uint64_t *due_ns)
{
	if (kernel->heap_len == 0)
		return false;
	*due_ns = kernel->heap[1]->due_ns;
	return true;
}

void carob_kernel_run_due(carob_kernel_t *kernel)
{
	uint64_t now = carob_kernel_now_ns(kernel);

	while (kernel->heap_len > 0 && kernel->heap[1]->due_ns <= now) {
		carob_timer_t *timer = kernel->heap[1];

		carob_timer_cancel(kernel, timer);
		timer->fire(timer);
	}
}
