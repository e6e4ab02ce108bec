/**
 * @file check_priv.h
 * Declarations shared by the parts of the check.
 */
#ifndef CAROB_CLI_CHECK_CHECK_PRIV_H
#define CAROB_CLI_CHECK_CHECK_PRIV_H

#include "check.h"
#include "platform/config.h"

/** Size of a path; longer ones are cut, and their lines are not known. */
#define CHECK_PATH_BYTES 160
/** Size of the description of a value. */
#define CHECK_TEXT_BYTES 80

/** A parsed and decoded configuration. */
typedef struct check_config {
	json_t *root;  /* NULL: not usable */
	json_t *lines; /* lines of its values by path */
	platform_config_t decoded;
} check_config_t;

/** A value of a document; "" is the path of the whole document. */
typedef struct check_place {
	char path[CHECK_PATH_BYTES];
	const json_t *value;
} check_place_t;

/** @return element `index` of the list that is member `list` of a place */
check_place_t check_element(const check_place_t *place, const char *list,
			    size_t index);

/**
 * Adds a finding about the document and with the rank that are set in the
 * report. Bytes that are not printable ASCII are replaced.
 *
 * @param report the report
 * @param severity how serious it is
 * @param place an object
 * @param name the member that the finding is about, whose value precedes the
 *        reason; NULL: the object itself
 * @param fmt printf format of the reason
 */
void check_add(check_report_t *report, check_severity_t severity,
	       const check_place_t *place, const char *name, const char *fmt,
	       ...) CAROB_PRINTF(5, 6);

/** Describes a value, shortened; NULL: "missing". @return `out` */
const char *check_describe(char out[CHECK_TEXT_BYTES], const json_t *value);

/**
 * Finds the lines of the values of a document.
 *
 * @param depth receives the number of levels; a value in an object has level 2
 * @param text valid JSON
 * @return the lines by path, owned by the caller; NULL: out of memory
 */
json_t *check_find_lines(size_t *depth, carob_str_t text);

/** Sorts the findings for printing. */
void check_report_sort(check_report_t *report);

/** Kinds of objects in a configuration. */
typedef enum check_kind {
	CHECK_ROOT,
	CHECK_ROUTE,
	CHECK_SHARE,
	CHECK_SERVICE,
	CHECK_LIMITS,
} check_kind_t;

/** Reports members that are missing, of another type or not known. */
void check_fields(check_report_t *report, const check_place_t *place,
		  check_kind_t kind);

/** Checks a configuration without regard to other documents. */
void check_rules(check_report_t *report, const check_config_t *config);

/** Checks the settings by themselves and against the configuration. */
void check_settings(check_report_t *report, const json_t *root,
		    carob_str_t text, const platform_config_t *config);

/** Reports what changes for callers, ranked. */
void check_differences(check_report_t *report, const check_config_t *from,
		       const check_config_t *to);

#endif
