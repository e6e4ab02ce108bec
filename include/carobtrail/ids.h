/**
 * @file ids.h
 * Identities of instances, upstreams and flows, and socket addresses.
 */
#ifndef CAROBTRAIL_IDS_H
#define CAROBTRAIL_IDS_H

#include "carobtrail/common.h"
#include "carobtrail/str.h"

/** Identifies one run of an instance; a restart keeps `id` only. */
typedef struct carob_instance_id {
	uint32_t id;	      /* number from the settings; 0: no instance */
	uint32_t incarnation; /* drawn at random at each start; never 0 */
} carob_instance_id_t;

/** Identifies an upstream; a new address means a new incarnation. */
typedef struct carob_upstream_id {
	uint32_t id;	      /* number from the manifest; 0: no upstream */
	uint16_t incarnation; /* number from the manifest */
} carob_upstream_id_t;

/** Identity of a flow: 48 random bits in the low bits of the integer. */
typedef uint64_t carob_flow_id_t;

/** Mask of the bits that a flow id can have set. */
#define CAROB_FLOW_ID_MASK 0xffffffffffffULL

/** Longest zone name, in bytes. */
#define CAROB_ZONE_NAME_MAX 31

/** Name of an availability zone, NUL terminated. */
typedef struct carob_zone {
	char name[CAROB_ZONE_NAME_MAX + 1];
} carob_zone_t;

/** An IPv4 or IPv6 address with a port; zero-filled where unused. */
typedef struct carob_addr {
	uint8_t ip[16]; /* network order; IPv4 uses the first 4 bytes */
	uint16_t port;	/* host order */
	uint8_t family; /* 4, 6, or 0 for no address */
} carob_addr_t;

/** Longest text of an address, "[...]:65535", with its NUL byte. */
#define CAROB_ADDR_TEXT_MAX 64

/** @return whether both identify the same run of the same instance */
bool carob_instance_id_eq(carob_instance_id_t a, carob_instance_id_t b);

/** @return whether both identify the same incarnation of one upstream */
bool carob_upstream_id_eq(carob_upstream_id_t a, carob_upstream_id_t b);

/** @return whether both are the same address and port */
bool carob_addr_eq(const carob_addr_t *a, const carob_addr_t *b);

/**
 * Parses "127.0.0.1:5683" or "[::1]:5683".
 *
 * @param out receives the address
 * @param text the text
 * @return 0 or CAROB_EINVALID
 */
int carob_addr_parse(carob_addr_t *out, carob_str_t text);

/** Formats the address as text that `carob_addr_parse` accepts. */
void carob_addr_format(char out[CAROB_ADDR_TEXT_MAX], const carob_addr_t *addr);

/** @return a hash of the address and port */
uint64_t carob_addr_hash(uint64_t seed, const carob_addr_t *addr);

#endif
