#include "net/sockaddr.h"

#include <netinet/in.h>
#include <string.h>

#define IPV4_BYTES 4
#define IPV6_BYTES 16

socklen_t carob_sockaddr_from(struct sockaddr_storage *out,
			      const carob_addr_t *addr)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;

	if (addr->family == 6) {
		memset(in6, 0, sizeof(*in6));
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(addr->port);
		memcpy(&in6->sin6_addr, addr->ip, IPV6_BYTES);
		return sizeof(*in6);
	}
	memset(in4, 0, sizeof(*in4));
	in4->sin_family = AF_INET;
	in4->sin_port = htons(addr->port);
	memcpy(&in4->sin_addr, addr->ip, IPV4_BYTES);
	return sizeof(*in4);
}

void carob_sockaddr_to(carob_addr_t *out, const struct sockaddr_storage *sa)
{
	const struct sockaddr_in *in4 = (const struct sockaddr_in *)sa;
	const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)sa;

	memset(out, 0, sizeof(*out));
	if (sa->ss_family == AF_INET) {
		out->family = 4;
		out->port = ntohs(in4->sin_port);
		memcpy(out->ip, &in4->sin_addr, IPV4_BYTES);
	} else if (sa->ss_family == AF_INET6) {
		out->family = 6;
		out->port = ntohs(in6->sin6_port);
		memcpy(out->ip, &in6->sin6_addr, IPV6_BYTES);
	}
}
