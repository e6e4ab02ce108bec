/**
 * @file log.h
 * Structured log: numbered events, one JSON object per line.
 * `docs/events.md` lists the events; a test compares it with this table.
 */
#ifndef CAROBTRAIL_LOG_H
#define CAROBTRAIL_LOG_H

#include "carobtrail/clock.h"
#include "carobtrail/str.h"

/** Severity of an event. */
typedef enum carob_log_level {
	CAROB_LOG_DEBUG,
	CAROB_LOG_INFO,
	CAROB_LOG_WARN,
	CAROB_LOG_ERROR,
} carob_log_level_t;

/**
 * All events: X(name, number, level, text). Numbers are never reused.
 * 1xxx process, 2xxx manifest and platform, 3xxx membership and keys,
 * 4xxx requests and flows, 5xxx upstreams, 6xxx emulators and tools.
 */
#define CAROB_LOG_EVENTS(X)                                                    \
	X(CAROB_EV_STARTED, 1001, INFO, "process started")                     \
	X(CAROB_EV_DRAINING, 1002, INFO, "graceful stop begun")                \
	X(CAROB_EV_STOPPED, 1003, INFO, "process stopped")                     \
	X(CAROB_EV_SETTINGS_REFUSED, 1004, ERROR, "settings refused")          \
	X(CAROB_EV_START_FAILED, 1005, ERROR, "process could not start")       \
	X(CAROB_EV_READINESS, 1006, INFO, "readiness changed")                 \
	X(CAROB_EV_SETTINGS_IN_FORCE, 1007, INFO, "settings in force")         \
	X(CAROB_EV_LOG_DROPPED, 1008, WARN, "log lines were dropped")          \
	X(CAROB_EV_MANIFEST_APPLIED, 2001, INFO,                               \
	  "manifest generation in force")                                      \
	X(CAROB_EV_MANIFEST_REFUSED, 2002, ERROR,                              \
	  "manifest generation refused")                                       \
	X(CAROB_EV_PLATFORM_UNREACHABLE, 2003, WARN,                           \
	  "the platform does not answer")                                      \
	X(CAROB_EV_PLATFORM_REACHABLE, 2004, INFO,                             \
	  "the platform answers again")                                        \
	X(CAROB_EV_WATCH_CHANGED, 2005, INFO,                                  \
	  "this instance began or ended watching the platform")                \
	X(CAROB_EV_CONFIG_APPLIED, 2010, INFO, "configuration in force")       \
	X(CAROB_EV_CONFIG_REFUSED, 2011, ERROR, "configuration refused")       \
	X(CAROB_EV_CATALOG_LISTED, 2012, INFO,                                 \
	  "all upstreams and the configuration were read")                     \
	X(CAROB_EV_CHANGES_LOST, 2014, WARN,                                   \
	  "changes cannot be read: the whole catalogue is read again")         \
	X(CAROB_EV_SOURCE_CHANGED, 2020, INFO,                                 \
	  "changes are read from a reader of the zone")                        \
	X(CAROB_EV_READER_FAILED, 2021, WARN,                                  \
	  "a reader does not answer or is out of date: the platform is read")  \
	X(CAROB_EV_READER_ROLE, 2022, INFO,                                    \
	  "this instance began or ended reading for its zone")                 \
	X(CAROB_EV_STORE_ERA, 2015, WARN,                                      \
	  "the platform came back from a copy: all is read again")             \
	X(CAROB_EV_ERA_UNREADABLE, 2016, WARN,                                 \
	  "the era of a response cannot be read and is ignored")               \
	X(CAROB_EV_ITEM_UNUSABLE, 2013, WARN,                                  \
	  "an item of the platform cannot be read and is not used")            \
	X(CAROB_EV_ZONE_EVACUATED, 2030, WARN,                                 \
	  "the operator takes an availability zone out of service")            \
	X(CAROB_EV_ZONE_EVACUATION_APPLIED, 2031, INFO,                        \
	  "upstreams of an evacuated zone get no new flows")                   \
	X(CAROB_EV_ZONE_RESTORED, 2032, INFO,                                  \
	  "an evacuated zone is back in service")                              \
	X(CAROB_EV_MEMBER_JOINED, 3001, INFO, "an instance joined")            \
	X(CAROB_EV_MEMBER_LEAVING, 3002, INFO, "an instance is leaving")       \
	X(CAROB_EV_MEMBER_LEFT, 3003, INFO, "an instance left")                \
	X(CAROB_EV_MEMBER_DEAD, 3004, WARN, "an instance is dead")             \
	X(CAROB_EV_MEMBER_UNREACHABLE, 3005, WARN,                             \
	  "an instance cannot be reached from this instance")                  \
	X(CAROB_EV_MEMBER_REACHABLE, 3006, INFO,                               \
	  "an instance can be reached again")                                  \
	X(CAROB_EV_ZONE_UNREACHABLE, 3007, WARN,                               \
	  "an availability zone cannot be reached")                            \
	X(CAROB_EV_ZONE_REACHABLE, 3008, INFO,                                 \
	  "an availability zone can be reached again")                         \
	X(CAROB_EV_PAUSE_NOTICED, 3009, WARN, "this process was paused")       \
	X(CAROB_EV_LINK_CONGESTED, 3012, WARN,                                 \
	  "own link is congested: missing answers are no evidence")            \
	X(CAROB_EV_DEATH_REFUTED, 3010, WARN,                                  \
	  "this instance was declared dead and refutes it")                    \
	X(CAROB_EV_CLUSTER_JOINED, 3011, INFO, "joined the other instances")   \
	X(CAROB_EV_CONTROL_REFUSED, 3020, WARN, "control message refused")     \
	X(CAROB_EV_KEY_ADDED, 3030, INFO, "sealing key added")                 \
	X(CAROB_EV_KEY_ACTIVATED, 3031, INFO, "sealing key in use")            \
	X(CAROB_EV_KEY_REMOVED, 3032, INFO, "sealing key removed")             \
	X(CAROB_EV_KEYS_UNAVAILABLE, 3033, ERROR,                              \
	  "sealing keys could not be obtained")                                \
	X(CAROB_EV_KEY_CONFLICT, 3034, ERROR,                                  \
	  "two sealing keys have the same serial")                             \
	X(CAROB_EV_HANDOVER_DONE, 3040, INFO,                                  \
	  "successor took over the request records")                           \
	X(CAROB_EV_HANDOVER_FAILED, 3041, WARN,                                \
	  "no successor took over the request records")                        \
	X(CAROB_EV_LOAD_KNOWN, 3050, INFO,                                     \
	  "the load of the other instances is known")                          \
	X(CAROB_EV_LOAD_UNKNOWN, 3051, WARN,                                   \
	  "the load of the other instances is not known any more")             \
	X(CAROB_EV_PATH_REPLACED, 4001, WARN,                                  \
	  "path without responses replaced")                                   \
	X(CAROB_EV_UPSTREAM_SILENT, 4002, WARN,                                \
	  "upstream does not respond on any path")                             \
	X(CAROB_EV_MEMORY_IMPORTED, 4003, INFO,                                \
	  "request records of the predecessor taken over")                     \
	X(CAROB_EV_FLOW_DECIDED, 4010, INFO,                                   \
	  "forwarding decision for a packet")                                  \
	X(CAROB_EV_OVERLOAD_BEGUN, 4011, WARN,                                 \
	  "a service is overloaded: new flows are refused or deferred")        \
	X(CAROB_EV_OVERLOAD_ENDED, 4012, INFO,                                 \
	  "the overload of a service has ended")                               \
	X(CAROB_EV_UPSTREAM_STATE, 5001, INFO, "state of an upstream changed") \
	X(CAROB_EV_UPSTREAM_AVOIDED, 5002, WARN,                               \
	  "an upstream leaves SYNs or a request unanswered and is avoided")    \
	X(CAROB_EV_UPSTREAM_ANSWERS, 5003, INFO,                               \
	  "an avoided upstream answers again")                                 \
	X(CAROB_EV_UPSTREAM_SILENCE, 5004, WARN,                               \
	  "an upstream stopped responding: waiting flows are reset")           \
	X(CAROB_EV_UPSTREAM_GONE, 5005, WARN,                                  \
	  "upstreams are known to be gone: waiting flows are reset")           \
	X(CAROB_EV_UPSTREAM_EJECTED, 5006, WARN,                               \
	  "an upstream fails more requests than others and is ejected")        \
	X(CAROB_EV_UPSTREAM_RETURNED, 5007, INFO,                              \
	  "an ejected upstream gets new flows again")                          \
	X(CAROB_EV_UPSTREAM_FAILING, 5008, WARN,                               \
	  "upstreams fail most requests: overdue requests are reset")          \
	X(CAROB_EV_PROBES_DISTRUSTED, 5010, WARN,                              \
	  "most probed upstreams are silent: failed probes are ignored")       \
	X(CAROB_EV_UPSTREAM_PACED, 5020, INFO,                                 \
	  "slow start: new flows to an upstream are paced")                    \
	X(CAROB_EV_UPSTREAM_NOT_PACED, 5021, INFO,                             \
	  "slow start of an upstream has ended")                               \
	X(CAROB_EV_PACKET_DROPPED, 6001, INFO,                                 \
	  "the emulated network dropped a packet")

/** An event of the catalogue. */
typedef enum carob_log_event {
#define X(name, number, level, text) name = (number),
	CAROB_LOG_EVENTS(X)
#undef X
} carob_log_event_t;

/** Type of a field's value. */
typedef enum carob_log_field_kind {
	CAROB_LOG_FIELD_STR,
	CAROB_LOG_FIELD_U64,
	CAROB_LOG_FIELD_I64,
} carob_log_field_kind_t;

/** One named value of a log line. */
typedef struct carob_log_field {
	const char *name;
	carob_log_field_kind_t kind;
	union {
		carob_str_t str;
		uint64_t u64;
		int64_t i64;
	};
} carob_log_field_t;

#define CAROB_FIELD_STR(n, v)                                                  \
	((carob_log_field_t){                                                  \
		.name = (n), .kind = CAROB_LOG_FIELD_STR, .str = (v)})
#define CAROB_FIELD_CSTR(n, v) CAROB_FIELD_STR(n, carob_str_from(v))
#define CAROB_FIELD_U64(n, v)                                                  \
	((carob_log_field_t){                                                  \
		.name = (n), .kind = CAROB_LOG_FIELD_U64, .u64 = (v)})
#define CAROB_FIELD_I64(n, v)                                                  \
	((carob_log_field_t){                                                  \
		.name = (n), .kind = CAROB_LOG_FIELD_I64, .i64 = (v)})

/** One row of the table of events. */
typedef struct carob_log_event_info {
	int number;
	const char *name;
	carob_log_level_t level;
	const char *text;
} carob_log_event_info_t;

/** Destination of log lines. */
typedef struct carob_log_sink carob_log_sink_t;
struct carob_log_sink {
	void (*write)(carob_log_sink_t *sink, carob_str_t line);
};

/**
 * Configures the process's log.
 *
 * @param program program name in each line; must stay valid
 * @param clock source of the time stamps; must stay valid
 * @param level lowest level that is written
 * @param sink destination of the lines; NULL for standard error
 */
void carob_log_configure(const char *program, const carob_clock_t *clock,
			 carob_log_level_t level, carob_log_sink_t *sink);

/** Writes one event with `count` fields. */
void carob_log_write(carob_log_event_t event, const carob_log_field_t *fields,
		     size_t count);

/** Writes one event; the other arguments are its fields, at least one. */
#define CAROB_LOG(event, ...)                                                  \
	carob_log_write(                                                       \
		(event), (const carob_log_field_t[]){__VA_ARGS__},             \
		CAROB_ARRAY_SIZE(((const carob_log_field_t[]){__VA_ARGS__})))

/** @return the table of events; `count` receives the number of rows */
const carob_log_event_info_t *carob_log_catalogue(size_t *count);

/** @return the lower-case name of a level */
const char *carob_log_level_name(carob_log_level_t level);

#endif
