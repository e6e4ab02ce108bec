/*
 * Measures the cost of the core services against the size of their data, on
 * one thread and in memory. Prints one JSON object.
 */
#include "slopes.h"

#include <sodium.h>
#include <stdio.h>

int main(void)
{
	if (sodium_init() < 0)
		return 1;
	printf("{\"series\":[");
	bench_manifest_series();
	bench_scheduler_series();
	bench_entry_series();
	bench_propagation_series();
	printf("\n]}\n");
	return 0;
}
