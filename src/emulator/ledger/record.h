/**
 * @file record.h
 * Records that callers and upstreams write about each request, one file (a
 * ledger) per process. The caller chooses a random 64-bit request id (rid)
 * for each request and sends it with the request; the upstream returns it
 * with the name of its service. Times are read from the monotonic clock of
 * one machine, in microseconds.
 */
#ifndef CAROB_EMULATOR_RECORD_H
#define CAROB_EMULATOR_RECORD_H

#include "carobtrail/str.h"

#include <stdio.h>

/** Longest name of a service or an upstream, in bytes. */
#define CAROB_RECORD_NAME_MAX 31

/** Name of a service or an upstream, NUL terminated. */
typedef char carob_record_name_t[CAROB_RECORD_NAME_MAX + 1];

/** Final response that a caller received. */
typedef enum carob_call_result {
	CAROB_CALL_NONE,      /* no response, or none yet */
	CAROB_CALL_ANSWERED,  /* response of an upstream */
	CAROB_CALL_CANCELLED, /* the cancel was confirmed */
	CAROB_CALL_NOT_RUN,   /* refused as "not run" */
	CAROB_CALL_UNKNOWN,   /* failed with "outcome unknown" */
} carob_call_result_t;

/** An observation (RFC 7641), called a feed here, as its caller saw it. */
typedef struct carob_feed_record {
	uint64_t longest_gap_us; /* longest time without a notification */
	uint32_t notifications;
	uint32_t regressions;	   /* lower sequence number than before */
	uint32_t wrong_content;	   /* content of another feed or service */
	bool ended_without_reason; /* neither cancelled nor refused */
} carob_feed_record_t;

/** One request as its caller saw it. */
typedef struct carob_call_record {
	uint64_t rid;
	carob_record_name_t service;
	bool idempotent;
	bool is_feed;
	bool cancelled; /* the caller cancelled before the response */
	carob_call_result_t result;
	uint64_t sent_us;
	uint64_t final_us; /* time of the result; 0: none */
	uint64_t deadline_us;
	uint64_t answer_rid; /* rid in the response; 0: none */
	/* Service named in the response; "": none. */
	carob_record_name_t answer_service;
	carob_feed_record_t feed;
} carob_call_record_t;

/** How the run of a request ended at its upstream. */
typedef enum carob_run_end {
	CAROB_RUN_DONE,
	CAROB_RUN_CANCELLED,
	CAROB_RUN_SHED, /* refused by the upstream and not run */
	CAROB_RUN_OPEN, /* still running when the upstream stopped */
} carob_run_end_t;

/** One request as an upstream saw it. */
typedef struct carob_run_record {
	uint64_t rid;
	carob_record_name_t upstream;
	carob_record_name_t service; /* service of the upstream */
	carob_run_end_t end;
	uint64_t start_us;
	uint64_t end_us;
	bool worked_after_cancel;
} carob_run_record_t;

/** Copies a name and truncates it if it is too long. */
void carob_record_name(carob_record_name_t out, carob_str_t name);

/** Writes a record as one line of JSON. @return 0 or CAROB_EIO */
int carob_call_record_write(FILE *file, const carob_call_record_t *record);

/** Writes a record as one line of JSON. @return 0 or CAROB_EIO */
int carob_run_record_write(FILE *file, const carob_run_record_t *record);

/** Callbacks for the records of a file; either member may be NULL. */
typedef struct carob_record_reader carob_record_reader_t;
struct carob_record_reader {
	int (*call)(carob_record_reader_t *reader,
		    const carob_call_record_t *record);
	int (*run)(carob_record_reader_t *reader,
		   const carob_run_record_t *record);
};

/**
 * Reads a file of records. An incomplete last line, which is left behind by a
 * writer that was killed, is ignored.
 *
 * @param path the file
 * @param reader called for each record; its first error ends the reading
 * @return 0, CAROB_ENOTFOUND, CAROB_EFORMAT or the reader's error
 */
int carob_records_read(const char *path, carob_record_reader_t *reader);

#endif
