/**
 * @file check_priv.h
 * Declarations shared by the parts of the check.
 */
#ifndef CAROB_CLI_CHECK_CHECK_PRIV_H
#define CAROB_CLI_CHECK_CHECK_PRIV_H

#include "check.h"
#include "platform/config.h"

/** Size of a path or the description of a value. */
#define CHECK_PATH_BYTES 160
#define CHECK_TEXT_BYTES 80

/** A parsed and decoded configuration. */
typedef struct check_config {
	json_t *root;
	platform_config_t decoded;
} check_config_t;

/**
 * Adds a finding about the document and with the rank that are set in the
 * report. Bytes that are not printable ASCII are replaced.
 *
 * @param report the report
 * @param severity how serious it is
 * @param path the member of the document
 * @param fmt printf format of the reason
 */
void check_add(check_report_t *report, check_severity_t severity,
	       const char *path, const char *fmt, ...) CAROB_PRINTF(4, 5);

/** Describes a value in printable ASCII, shortened; NULL: "missing".
 * @return `out` */
const char *check_describe(char out[CHECK_TEXT_BYTES], const json_t *value);

/** Sets the lines of a document's findings; `text` must be valid JSON. */
void check_find_lines(check_report_t *report, check_document_t document,
		      carob_str_t text);

/** Sorts the findings for printing. */
void check_report_sort(check_report_t *report);

/** What a member of an object has to be. */
typedef enum check_kind {
	CHECK_DECODED, /* the decoder of the platform checks it */
	CHECK_LIST,
	CHECK_OBJECT,
	CHECK_TEXT,
	CHECK_BOOL,
	CHECK_COUNT,  /* a whole number that is not negative */
	CHECK_NUMBER, /* a number that is not negative */
	CHECK_ROUTE_TYPE,
} check_kind_t;

/** A member that an object may have. */
typedef struct check_field {
	const char *name;
	check_kind_t kind;
	check_severity_t missing; /* how serious its absence is */
} check_field_t;

/** A kind of object: its members, up to one without a name. */
extern const check_field_t check_config_fields[];
extern const check_field_t check_route_fields[];
extern const check_field_t check_share_fields[];
extern const check_field_t check_service_fields[];
extern const check_field_t check_limit_fields[];

/** Reports members that are missing, of another type or not known. */
void check_fields(check_report_t *report, const json_t *object,
		  const char *path, const check_field_t *fields);

/** Checks a configuration without regard to other documents. */
void check_rules(check_report_t *report, const check_config_t *config);

/** Checks the settings by themselves and against the configuration. */
void check_settings(check_report_t *report, const json_t *settings,
		    carob_str_t text, const check_config_t *config);

/** Reports what changes for callers, sorted by rank. */
void check_differences(check_report_t *report, const check_config_t *from,
		       const check_config_t *to);

#endif
