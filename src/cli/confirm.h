/**
 * @file confirm.h
 * Finds out which generation every instance has at least in force. Ids,
 * addresses and ports that no generation has used since then may be used again.
 */
#ifndef CAROB_CLI_CONFIRM_H
#define CAROB_CLI_CONFIRM_H

#include "carobtrail/manifest.h"

/**
 * Queries all instances for their generation in force.
 *
 * Fails if a known instance that has not left does not respond. This includes
 * dead members, because a partitioned instance looks dead to the others but
 * may still be serving. Also fails if an availability zone of the manifest has
 * no instance that responds.
 *
 * @param out receives the lowest generation that an instance has in force
 * @param manifest the manifest with the availability zones
 * @param addrs comma-separated control addresses of the first instances
 * @param secret_file file with the deployment's secret
 * @return 0, CAROB_EUNAVAILABLE, or as `cli_query_all`
 */
int cli_confirm(uint64_t *out, const carob_manifest_t *manifest,
		const char *addrs, const char *secret_file);

#endif
