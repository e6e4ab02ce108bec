#include "slope_series.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

void series_add(series_t *series, double x, double y)
{
	if (series->count == SERIES_POINTS_MAX)
		return;
	series->xs[series->count] = x;
	series->ys[series->count++] = y;
}

/* Result of a least-squares fit. */
typedef struct fit {
	double slope;
	double intercept;
	double r2;
} fit_t;

static fit_t fit_line(const series_t *s)
{
	double n = (double)s->count;
	double sx = 0;
	double sy = 0;
	double sxx = 0;
	double sxy = 0;
	double syy = 0;
	double dx;
	double dy;
	fit_t fit = {0};

	for (size_t i = 0; i < s->count; i++) {
		sx += s->xs[i];
		sy += s->ys[i];
		sxx += s->xs[i] * s->xs[i];
		sxy += s->xs[i] * s->ys[i];
		syy += s->ys[i] * s->ys[i];
	}
	dx = n * sxx - sx * sx;
	dy = n * syy - sy * sy;
	if (dx > 0)
		fit.slope = (n * sxy - sx * sy) / dx;
	fit.intercept = n > 0 ? (sy - fit.slope * sx) / n : 0;
	if (dx > 0 && dy > 0)
		fit.r2 = (n * sxy - sx * sy) * (n * sxy - sx * sy) / (dx * dy);
	return fit;
}

void series_print(const series_t *series)
{
	static const char *separator = "";
	fit_t fit = fit_line(series);

	printf("%s\n{\"name\":\"%s\",\"x\":\"%s\",\"unit\":\"%s\",\"slope\":"
	       "%.9g,\"intercept\":%.6g,\"r2\":%.4f,\"points\":[",
	       separator, series->name, series->x, series->unit, fit.slope,
	       fit.intercept, fit.r2);
	for (size_t i = 0; i < series->count; i++)
		printf("%s[%.10g,%.6g]", i ? "," : "", series->xs[i],
		       series->ys[i]);
	printf("]}");
	separator = ",";
}

uint64_t bench_cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * 1000000000ULL + (uint64_t)ts.tv_nsec;
}

size_t bench_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}
