#include "carobtrail/ids.h"

#include "carobtrail/errors.h"
#include "carobtrail/rng.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

bool carob_instance_id_eq(carob_instance_id_t a, carob_instance_id_t b)
{
	return a.id == b.id && a.incarnation == b.incarnation;
}

bool carob_upstream_id_eq(carob_upstream_id_t a, carob_upstream_id_t b)
{
	return a.id == b.id && a.incarnation == b.incarnation;
}

bool carob_addr_eq(const carob_addr_t *a, const carob_addr_t *b)
{
	return a->family == b->family && a->port == b->port &&
	       memcmp(a->ip, b->ip, sizeof(a->ip)) == 0;
}

static int report_invalid_address(carob_str_t text)
{
	return carob_error_set(CAROB_EINVALID,
			       "\"%.*s\" is not an IP address with port",
			       (int)text.len, text.ptr);
}

static int parse_port(uint16_t *out, const char *text)
{
	char *end;
	unsigned long port;

	if (*text < '0' || *text > '9')
		return CAROB_EINVALID;
	port = strtoul(text, &end, 10);
	if (*end != '\0' || port == 0 || port > PORT_MAX)
		return CAROB_EINVALID;
	*out = (uint16_t)port;
	return 0;
}

int carob_addr_parse(carob_addr_t *out, carob_str_t text)
{
	char copy[CAROB_ADDR_TEXT_MAX];
	carob_addr_t addr = {0};
	char *host = copy;
	char *colon;
	int family = AF_INET;

	if (text.len == 0 || text.len >= sizeof(copy))
		return report_invalid_address(text);
	memcpy(copy, text.ptr, text.len);
	copy[text.len] = '\0';
	colon = strrchr(copy, ':');
	if (!colon || parse_port(&addr.port, colon + 1) != 0)
		return report_invalid_address(text);
	*colon = '\0';
	if (*host == '[' && colon[-1] == ']') {
		host++;
		colon[-1] = '\0';
		family = AF_INET6;
	}
	if (inet_pton(family, host, addr.ip) != 1)
		return report_invalid_address(text);
	addr.family = family == AF_INET ? 4 : 6;
	*out = addr;
	return 0;
}

void carob_addr_format(char out[CAROB_ADDR_TEXT_MAX], const carob_addr_t *addr)
{
	char ip[INET6_ADDRSTRLEN] = "-";

	if (addr->family == 4)
		inet_ntop(AF_INET, addr->ip, ip, sizeof(ip));
	else if (addr->family == 6)
		inet_ntop(AF_INET6, addr->ip, ip, sizeof(ip));
	snprintf(out, CAROB_ADDR_TEXT_MAX,
		 addr->family == 6 ? "[%s]:%u" : "%s:%u", ip, addr->port);
}

uint64_t carob_addr_hash(uint64_t seed, const carob_addr_t *addr)
{
	uint64_t hash = carob_hash_bytes(seed, addr->ip, sizeof(addr->ip));

	return carob_hash_u64(hash ^ ((uint64_t)addr->family << 16) ^
			      addr->port);
}
