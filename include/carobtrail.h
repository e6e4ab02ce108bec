/**
 * @file carobtrail.h
 * All public headers of carobtrail.
 */
#ifndef CAROBTRAIL_H
#define CAROBTRAIL_H

#include "carobtrail/admission.h"
#include "carobtrail/catalog.h"
#include "carobtrail/clock.h"
#include "carobtrail/cluster.h"
#include "carobtrail/cluster_host.h"
#include "carobtrail/common.h"
#include "carobtrail/control_msg.h"
#include "carobtrail/endpoint.h"
#include "carobtrail/entry.h"
#include "carobtrail/errors.h"
#include "carobtrail/failure_detector.h"
#include "carobtrail/flow_packet.h"
#include "carobtrail/flow_table.h"
#include "carobtrail/gossip.h"
#include "carobtrail/health.h"
#include "carobtrail/histogram.h"
#include "carobtrail/ids.h"
#include "carobtrail/index_map.h"
#include "carobtrail/kernel.h"
#include "carobtrail/keyring.h"
#include "carobtrail/kv.h"
#include "carobtrail/limiter.h"
#include "carobtrail/log.h"
#include "carobtrail/manifest.h"
#include "carobtrail/manifest_store.h"
#include "carobtrail/manifest_sync.h"
#include "carobtrail/membership.h"
#include "carobtrail/msg.h"
#include "carobtrail/name_table.h"
#include "carobtrail/placement.h"
#include "carobtrail/publish.h"
#include "carobtrail/relay.h"
#include "carobtrail/rng.h"
#include "carobtrail/route_table.h"
#include "carobtrail/scheduler.h"
#include "carobtrail/steering.h"
#include "carobtrail/str.h"
#include "carobtrail/token.h"
#include "carobtrail/trace.h"
#include "carobtrail/upstream_table.h"

#endif
