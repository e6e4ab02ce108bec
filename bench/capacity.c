/*
 * Calculates the cost of the planned size from measured slopes, and writes it
 * as the table of docs/CAPACITY.md, between its markers. With --check it only
 * compares the page with the table.
 *
 * Usage: bench-capacity [--check] SLOPES.json MEMBERSHIP.json PROCESSES.json
 *        PAGE.md
 */
#include "carobtrail/errors.h"
#include "util/json_doc.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_BYTES_MAX (1024 * 1024)
#define BEGIN_MARK     "<!-- table: written by script/capacity -->\n"
#define END_MARK       "<!-- end of table -->\n"

/* Planned size and its budgets, as the requirements state them. */
#define REGIONS		    3.0
#define ZONES		    9.0
#define DAEMONS		    17000.0
#define HOSTS		    110000.0
#define FLOWS		    430e6
#define NEW_FLOWS_PER_S	    1.8e6
#define CHANGES_PER_DAY	    37000.0
#define REPLACED_PER_DAY    12000.0
#define FAILED_PER_DAY	    170.0
#define IN_FORCE_MS	    9000.0
#define CPU_PERCENT	    3.1
#define CONTROL_MEMORY	    (32.0 * 1024 * 1024)
#define CONTROL_BYTES_PER_S (8.0 * 1024)
#define STORE_WRITES_PER_S  400.0 /* required: "several hundred" */
#define STORE_READS_PER_S   2000.0
#define SECONDS_PER_DAY	    86400.0

/* Constants of carobtrail itself; they must agree with its sources. */
#define DOCUMENT_BYTES_MAX (1024.0 * 1024)
#define DELTAS_KEPT	   16.0
/* Sustained rate at which one instance sends whole manifests. */
#define WHOLE_MANIFEST_BYTES_PER_S 4096.0
/* Reads of the store when an instance starts: the head, the index, 16 parts
 * and one more read. */
#define READS_PER_START	   19.0
#define WRITES_PER_PUBLISH 5.0

/* A deployment and its share of the planned size. */
typedef struct scope {
	const char *name;
	double share; /* greater than 0, at most 1 */
} scope_t;

typedef struct capacity {
	json_t *slopes;
	json_t *membership;
	json_t *processes;
	carob_buf_t out;
	scope_t scope;
} capacity_t;

static json_t *find_series(const capacity_t *c, const char *name)
{
	json_t *list = json_object_get(c->slopes, "series");
	size_t count = json_array_size(list);

	for (size_t i = 0; i < count; i++) {
		json_t *series = json_array_get(list, i);
		const char *found =
			json_string_value(json_object_get(series, "name"));

		if (found && strcmp(found, name) == 0)
			return series;
	}
	fprintf(stderr, "bench-capacity: the slopes have no series %s\n", name);
	exit(1);
}

static double get_number(const json_t *object, const char *key)
{
	return json_number_value(json_object_get(object, key));
}

/* Returns the fitted cost at size `x`, at least 0. */
static double fitted_cost(const capacity_t *c, const char *name, double x)
{
	const json_t *series = find_series(c, name);
	double y = get_number(series, "intercept") +
		   get_number(series, "slope") * x;

	return y > 0 ? y : 0;
}

static double fitted_slope(const capacity_t *c, const char *name)
{
	return get_number(find_series(c, name), "slope");
}

static double largest_x(const capacity_t *c, const char *name)
{
	const json_t *points = json_object_get(find_series(c, name), "points");
	const json_t *last =
		json_array_get(points, json_array_size(points) - 1);

	return json_number_value(json_array_get(last, 0));
}

/* Returns the value at `x` of the straight line through the first and the last
 * element of a list of the membership measurements. */
static double membership_value(const capacity_t *c, const char *list,
			       const char *x_key, const char *y_key, double x)
{
	const json_t *points = json_object_get(c->membership, list);
	const json_t *a = json_array_get(points, 0);
	const json_t *b = json_array_get(points, json_array_size(points) - 1);
	double dx = get_number(b, x_key) - get_number(a, x_key);
	double dy = get_number(b, y_key) - get_number(a, y_key);

	return get_number(a, y_key) + (x - get_number(a, x_key)) * dy / dx;
}

static double largest_value(const json_t *document, const char *list,
			    const char *key)
{
	const json_t *points = json_object_get(document, list);
	size_t count = json_array_size(points);
	double largest = 0;

	for (size_t i = 0; i < count; i++) {
		double value = get_number(json_array_get(points, i), key);

		largest = value > largest ? value : largest;
	}
	return largest;
}

static void add_row(capacity_t *c, const char *what, double value,
		    double budget, const char *unit)
{
	const char *verdict = value <= budget ? "holds" : "**does not hold**";
	double ratio = value <= budget ? budget / value : value / budget;

	(void)carob_buf_printf(&c->out,
			       "| %s | %s | %.4g %s | %.4g %s | %s, %.2g x |\n",
			       what, c->scope.name, value, unit, budget, unit,
			       verdict, ratio);
}

static void add_note(capacity_t *c, const char *what, double value,
		     const char *unit)
{
	(void)carob_buf_printf(&c->out, "| %s | %s | %.4g %s | | |\n", what,
			       c->scope.name, value, unit);
}

static void add_memory(capacity_t *c)
{
	double hosts = HOSTS * c->scope.share;
	double daemons = DAEMONS * c->scope.share;
	double manifest = fitted_cost(c, "manifest_memory", hosts);
	double scheduler = fitted_cost(c, "scheduler_memory", hosts);
	double members = membership_value(c, "tables", "members",
					  "memory_bytes", daemons);

	add_note(c, "entry instance: memory of the manifest",
		 manifest / 1048576, "MB");
	add_note(c, "entry instance: memory of the scheduler's upstreams",
		 scheduler / 1048576, "MB");
	add_note(c, "entry instance: memory of the members", members / 1048576,
		 "MB");
	add_row(c, "entry instance: control memory together",
		(manifest + scheduler + members) / 1048576,
		CONTROL_MEMORY / 1048576, "MB");
}

static void add_processor(capacity_t *c)
{
	double hosts = HOSTS * c->scope.share;
	double changes = CHANGES_PER_DAY * c->scope.share / SECONDS_PER_DAY;
	double change_us = fitted_cost(c, "delta_apply", hosts) +
			   fitted_cost(c, "scheduler_apply", hosts);
	double idle_us =
		largest_value(c->processes, "runs", "cpu_us_per_s_most");

	add_note(c, "entry instance: processor time of one change",
		 change_us / 1000, "ms");
	add_note(c, "entry instance: processor of the idle control channel",
		 idle_us / 1e4, "% of a core");
	add_row(c,
		"entry instance: processor for control, changes and heartbeats",
		(change_us * changes + idle_us) / 1e4, CPU_PERCENT,
		"% of a core");
}

static void add_bytes(capacity_t *c)
{
	double changes = CHANGES_PER_DAY * c->scope.share / SECONDS_PER_DAY;
	double replaced =
		(REPLACED_PER_DAY + FAILED_PER_DAY) * c->scope.share / 24;
	double idle =
		largest_value(c->membership, "sizes", "idle_bytes_per_s_most");
	double update_bytes = membership_value(c, "rates", "replaced_per_hour",
					       "bytes_per_s", replaced) -
			      membership_value(c, "rates", "replaced_per_hour",
					       "bytes_per_s", 0);
	double change =
		fitted_cost(c, "change_bytes", largest_x(c, "change_bytes"));

	add_note(c, "entry instance: heartbeats, busiest measured instance",
		 idle, "B/s");
	add_note(c, "entry instance: news of replacements and failures",
		 update_bytes, "B/s");
	add_note(c, "entry instance: changes of the manifest", change * changes,
		 "B/s");
	add_row(c, "entry instance: control bytes sent together",
		idle + update_bytes + change * changes, CONTROL_BYTES_PER_S,
		"B/s");
}

static void add_flows(capacity_t *c)
{
	double flows = FLOWS / DAEMONS;
	double new_flows = NEW_FLOWS_PER_S / DAEMONS;

	add_note(c, "entry instance: memory of open flows, all of them feeds",
		 fitted_cost(c, "feed_memory", flows) / 1048576, "MB");
	add_note(c, "entry instance: processor of new flows, without sockets",
		 fitted_slope(c, "feed_open") * new_flows / 1e4, "% of a core");
}

static void add_store(capacity_t *c)
{
	double daemons = DAEMONS * c->scope.share;
	double changes = CHANGES_PER_DAY * c->scope.share / SECONDS_PER_DAY;
	double replaced = REPLACED_PER_DAY * c->scope.share / SECONDS_PER_DAY;
	double publish = fitted_cost(c, "publish_calls", 0);
	double reads =
		fitted_cost(c, "idle_calls", daemons) +
		fitted_cost(c, "change_calls", largest_x(c, "change_calls")) *
			changes +
		(publish - WRITES_PER_PUBLISH) * changes +
		READS_PER_START * replaced;

	add_row(c, "store: reads and waiting watches", reads, STORE_READS_PER_S,
		"/s");
	add_row(c, "store: writes of publishing", WRITES_PER_PUBLISH * changes,
		STORE_WRITES_PER_S, "/s");
	add_row(c, "store: a zone starts at once and no peer answers",
		READS_PER_START * DAEMONS / ZONES, STORE_READS_PER_S,
		"reads in the first second");
}

static void add_propagation(capacity_t *c)
{
	double daemons = DAEMONS * c->scope.share;

	add_row(c, "change: time until the last instance has it",
		fitted_cost(c, "change_ms_log", log2(daemons)), IN_FORCE_MS,
		"ms");
	add_note(c, "change: bytes of the delta on each hop",
		 fitted_cost(c, "delta_bytes", HOSTS * c->scope.share), "B");
}

static void add_manifest(capacity_t *c)
{
	double document =
		fitted_cost(c, "manifest_bytes", HOSTS * c->scope.share);
	double changes = CHANGES_PER_DAY * c->scope.share / SECONDS_PER_DAY;

	add_row(c, "manifest: operators' document", document / 1048576,
		DOCUMENT_BYTES_MAX / 1048576, "MB");
	add_row(c, "manifest: one of its 16 parts in the store",
		document / 16 / 1048576, 1, "MB");
	add_note(c, "cut-off region: deltas reach back", DELTAS_KEPT / changes,
		 "s");
	add_row(c, "cut-off region: time for a whole manifest from one peer",
		document / WHOLE_MANIFEST_BYTES_PER_S, IN_FORCE_MS / 1000, "s");
}

static void add_table(capacity_t *c)
{
	static const scope_t scopes[] = {{"all", 1}, {"a region", 1 / REGIONS}};

	(void)carob_buf_printf(&c->out, "| line | deployment | cost | budget | "
					"verdict and margin |\n"
					"| --- | --- | --- | --- | --- |\n");
	for (size_t i = 0; i < CAROB_ARRAY_SIZE(scopes); i++) {
		c->scope = scopes[i];
		add_memory(c);
		add_processor(c);
		add_bytes(c);
		add_flows(c);
		add_store(c);
		add_propagation(c);
		add_manifest(c);
	}
}

static void add_fits(capacity_t *c)
{
	json_t *list = json_object_get(c->slopes, "series");
	size_t count = json_array_size(list);

	(void)carob_buf_printf(&c->out,
			       "\n| measured | against | slope | at 0 | r² | "
			       "measured up to |\n"
			       "| --- | --- | --- | --- | --- | --- |\n");
	for (size_t i = 0; i < count; i++) {
		const json_t *s = json_array_get(list, i);
		const char *name =
			json_string_value(json_object_get(s, "name"));

		(void)carob_buf_printf(
			&c->out,
			"| %s, %s | %s | %.4g | %.4g | %.3f | %.6g |\n", name,
			json_string_value(json_object_get(s, "unit")),
			json_string_value(json_object_get(s, "x")),
			get_number(s, "slope"), get_number(s, "intercept"),
			get_number(s, "r2"), largest_x(c, name));
	}
}

static int print_error(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	(void)fprintf(stderr, "bench-capacity: ");
	(void)vfprintf(stderr, fmt, args);
	(void)fprintf(stderr, "\n");
	va_end(args);
	return 1;
}

/* Copies the old page with the new table between its markers. */
static int build_page(carob_buf_t *page, const carob_buf_t *old,
		      const carob_buf_t *table)
{
	const char *begin = strstr(old->ptr, BEGIN_MARK);
	const char *end = strstr(old->ptr, END_MARK);
	size_t head;

	if (!begin || !end || end < begin)
		return print_error("the page has no markers around its table");
	head = (size_t)(begin - old->ptr) + strlen(BEGIN_MARK);
	(void)carob_buf_append(page, old->ptr, head);
	(void)carob_buf_append(page, table->ptr, table->len);
	return carob_buf_printf(page, "%s", end);
}

static int write_page(const char *path, const carob_buf_t *page)
{
	FILE *file = fopen(path, "wb");
	bool written;

	if (!file)
		return print_error("cannot open %s for writing", path);
	written = fwrite(page->ptr, 1, page->len, file) == page->len;
	return fclose(file) == 0 && written
		       ? 0
		       : print_error("cannot write %s", path);
}

static int update_page(const capacity_t *c, const char *path, bool check)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t old = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t page = CAROB_BUF_INIT;

	if (carob_file_read(&old, path, PAGE_BYTES_MAX) != 0)
		return print_error("%s", carob_error_last());
	if (build_page(&page, &old, &c->out) != 0)
		return 1;
	if (!check)
		return write_page(path, &page);
	if (carob_str_eq(carob_buf_view(&old), carob_buf_view(&page)))
		return 0;
	return print_error(
		"%s differs from the measured slopes: run script/capacity",
		path);
}

int main(int argc, char **argv)
{
	bool check = argc > 1 && strcmp(argv[1], "--check") == 0;
	capacity_t c = {.out = CAROB_BUF_INIT};
	int status;

	argv += check;
	if (argc - check != 5)
		return print_error(
			"usage: [--check] SLOPES MEMBERSHIP PROCESSES PAGE");
	c.slopes = json_load_file(argv[1], 0, NULL);
	c.membership = json_load_file(argv[2], 0, NULL);
	c.processes = json_load_file(argv[3], 0, NULL);
	if (!c.slopes || !c.membership || !c.processes)
		return print_error(
			"cannot read the files with the measurements");
	add_table(&c);
	add_fits(&c);
	status = update_page(&c, argv[4], check);
	carob_buf_dispose(&c.out);
	json_decref(c.slopes);
	json_decref(c.membership);
	json_decref(c.processes);
	return status;
}
