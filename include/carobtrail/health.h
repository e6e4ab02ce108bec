/**
 * @file health.h
 * Active health checks of upstreams. Each upstream is probed by two instances,
 * of its availability zone if possible: its owner, which is the instance that
 * schedules it, and a second prober, called the partner, which reports its
 * results to the owner. This module does no I/O: probes are sent through a
 * port, and responses are passed in with the number of the probe.
 *
 * An upstream that does not respond is reported as unhealthy only if the
 * partner has not reached it either. While most upstreams do not respond to
 * this instance, none is reported for not responding, because a network fault
 * on the side of this instance is the likelier cause.
 */
#ifndef CAROBTRAIL_HEALTH_H
#define CAROBTRAIL_HEALTH_H

#include "carobtrail/kernel.h"
#include "carobtrail/manifest.h"
#include "carobtrail/membership.h"
#include "carobtrail/scheduler.h"

typedef struct carob_health carob_health_t;
typedef struct carob_health_port carob_health_port_t;

/** Outputs of the health checks: probes and their results. */
typedef struct carob_health_port_ops {
	/**
	 * Sends a probe to an upstream. The probe asks for the load if
	 * `reports_load` is set, and only for the health otherwise. `probe` is
	 * the number of the probe.
	 */
	void (*probe)(carob_health_port_t *port,
		      const carob_manifest_upstream_t *upstream,
		      bool reports_load, uint64_t probe);
	/** Passes a result to the scheduler of this instance. */
	void (*report)(carob_health_port_t *port,
		       const carob_load_report_t *report);
	/** Sends a result to instance `to`, which schedules the upstream. */
	void (*send_report)(carob_health_port_t *port, carob_instance_id_t to,
			    const carob_load_report_t *report);
} carob_health_port_ops_t;

/** A port; implementations embed it as their first member. */
struct carob_health_port {
	const carob_health_port_ops_t *ops;
};

/** Mutations: deliberate defects that only tests enable. */
typedef enum carob_health_mutation {
	CAROB_HEALTH_MUTATION_NONE,
	/** Reports silent upstreams even while most of them are silent. */
	CAROB_HEALTH_MUTATION_TRUST_PROBES,
	/** Ignores the results of the second prober. */
	CAROB_HEALTH_MUTATION_IGNORE_PARTNER,
} carob_health_mutation_t;

/** Options of `carob_health_new`; the objects must outlive the prober. */
typedef struct carob_health_options {
	unsigned int version;
	carob_kernel_t *kernel;
	const carob_membership_t *membership;
	carob_health_port_t *port;
	carob_health_mutation_t mutation;
} carob_health_options_t;

#define CAROB_HEALTH_OPTIONS_VERSION 1
#define CAROB_HEALTH_OPTIONS_INIT                                              \
	{                                                                      \
		.version = CAROB_HEALTH_OPTIONS_VERSION                        \
	}

/** Counters; the last three are gauges. */
typedef struct carob_health_counters {
	uint64_t probes;     /* probes sent */
	uint64_t answers;    /* responses that match a recent probe */
	uint64_t late;	     /* responses that match no recent probe */
	uint64_t distrusted; /* rounds in which most upstreams were silent */
	uint64_t targets;    /* upstreams that this instance probes */
	uint64_t scheduled;  /* targets that this instance also schedules */
	uint64_t silent;     /* targets that do not respond at present */
} carob_health_counters_t;

/**
 * Creates a prober. It sends no probes until it gets a manifest and is
 * started.
 *
 * @param out receives the prober; release it with `carob_health_free`
 * @param options kernel, membership and port
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int carob_health_new(carob_health_t **out,
		     const carob_health_options_t *options);

/** Releases the prober. */
void carob_health_free(carob_health_t *health);

/** Starts probing. @return 0 or CAROB_ENOMEM */
int carob_health_start(carob_health_t *health);

/** Replaces the manifest in force; the prober takes its own reference. */
void carob_health_set_manifest(carob_health_t *health,
			       carob_manifest_t *manifest);

/**
 * Handles a response to a probe.
 *
 * @param health the prober
 * @param probe number of the probe, as stated by the response; may be invalid
 * @param from source address of the response
 * @param result content of the response; its `upstream` and `service_id` are
 *        ignored
 */
void carob_health_on_answer(carob_health_t *health, uint64_t probe,
			    const carob_addr_t *from,
			    const carob_load_report_t *result);

/** Handles a report that the second prober of an upstream has sent. */
void carob_health_on_partner_report(carob_health_t *health,
				    const carob_load_report_t *report);

/** Copies the counters. */
void carob_health_counters(carob_health_counters_t *out,
			   const carob_health_t *health);

#endif
