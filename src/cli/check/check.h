/**
 * @file check.h
 * Checks a configuration of the platform before it is sent. Nothing is read
 * but the given texts.
 */
#ifndef CAROB_CLI_CHECK_CHECK_H
#define CAROB_CLI_CHECK_CHECK_H

#include "carobtrail/str.h"

/** Maximum number of findings of each severity that are kept, so that many of
 * one do not hide those of another; the others are counted. */
#define CHECK_FINDINGS_MAX 1000

/** How serious a finding is. */
typedef enum check_severity {
	CHECK_NOTE, /* information; the exit status does not depend on it */
	CHECK_WARNING,
	CHECK_ERROR,
	CHECK_SEVERITIES,
} check_severity_t;

/** The document that a finding is about. */
typedef enum check_document {
	CHECK_CONFIG,
	CHECK_SETTINGS,
	CHECK_IN_FORCE,
	CHECK_DOCUMENTS,
} check_document_t;

/** One finding. */
typedef struct check_finding {
	check_document_t document;
	check_severity_t severity;
	unsigned int line; /* from 1; 0: not known */
	unsigned int rank; /* findings of a lower rank are printed first */
	size_t index;	   /* order in which the findings were made */
	char *path;   /* printable, as in "routes[3].hostname"; "": document */
	char *reason; /* printable ASCII */
} check_finding_t;

/** The findings of a check; zero-initialise it. */
typedef struct check_report {
	check_finding_t *items;
	size_t count;
	size_t cap;
	size_t omitted; /* findings above CHECK_FINDINGS_MAX */
	size_t counts[CHECK_SEVERITIES];
	check_document_t document;  /* of the findings that are added next */
	unsigned int rank;	    /* likewise */
	const struct json_t *lines; /* lines of its values by path, borrowed */
	bool no_memory;		    /* a finding could not be kept */
} check_report_t;

/** What is checked, and what it is compared with. */
typedef struct check_input {
	carob_str_t config;
	carob_str_t settings; /* settings of carob-flowd; NULL: none */
	carob_str_t in_force; /* configuration in force; NULL: none */
	/** Version in force at an instance; 0: none, or not known. */
	uint64_t version_in_force;
} check_input_t;

/**
 * Checks a configuration.
 *
 * @param report receives the findings in the order to print; release it with
 *        `check_report_dispose` also on failure
 * @param input the texts, untrusted
 * @return 0, also if there are findings; CAROB_EFORMAT if the configuration in
 *         force can't be decoded, so that there is nothing to compare with; or
 *         CAROB_ENOMEM
 */
int check_run(check_report_t *report, const check_input_t *input);

/** @return 0: no errors and no warnings; 1: warnings only; 2: errors */
int check_report_status(const check_report_t *report);

/** @return "note", "warning" or "error" */
const char *check_severity_name(check_severity_t severity);

/** Releases the findings and zeroes the report. */
void check_report_dispose(check_report_t *report);

#endif
