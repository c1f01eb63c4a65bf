#include "tarragonflow/net/endpoint.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORT_MAX 65535

static const uint8_t v4_prefix[12] = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

bool endpoint_parse(struct endpoint *endpoint, const char *text)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	struct in_addr in;
	char *end;
	unsigned long port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (inet_pton(AF_INET, host, &in) != 1)
		return false;
	if (colon[1] < '0' || colon[1] > '9')
		return false;
	port = strtoul(colon + 1, &end, 10);
	if (*end || !port || port > PORT_MAX)
		return false;
	endpoint->ip = ntohl(in.s_addr);
	endpoint->port = (uint16_t)port;
	return true;
}

char *endpoint_format(const struct endpoint *endpoint, char *buf)
{
	snprintf(buf, ENDPOINT_TEXT_MAX, "%u.%u.%u.%u:%u", endpoint->ip >> 24,
		 (endpoint->ip >> 16) & 0xff, (endpoint->ip >> 8) & 0xff,
		 endpoint->ip & 0xff, endpoint->port);
	return buf;
}

bool endpoint_equal(const struct endpoint *a, const struct endpoint *b)
{
	return a->ip == b->ip && a->port == b->port;
}

void endpoint_to_sockaddr(const struct endpoint *endpoint,
			  struct sockaddr_in *addr)
{
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_addr.s_addr = htonl(endpoint->ip);
	addr->sin_port = htons(endpoint->port);
}

void endpoint_from_sockaddr(struct endpoint *endpoint,
			    const struct sockaddr_in *addr)
{
	endpoint->ip = ntohl(addr->sin_addr.s_addr);
	endpoint->port = ntohs(addr->sin_port);
}

bool ip_addr_parse(struct ip_addr *addr, const char *text)
{
	uint8_t v4[4];

	if (inet_pton(AF_INET, text, v4) == 1) {
		ip_addr_from_v4(addr, v4);
		return true;
	}
	return inet_pton(AF_INET6, text, addr->bytes) == 1;
}

char *ip_addr_format(const struct ip_addr *addr, char *buf)
{
	if (ip_addr_is_v4(addr))
		inet_ntop(AF_INET, addr->bytes + 12, buf, IP_ADDR_TEXT_MAX);
	else
		inet_ntop(AF_INET6, addr->bytes, buf, IP_ADDR_TEXT_MAX);
	return buf;
}

bool ip_addr_equal(const struct ip_addr *a, const struct ip_addr *b)
{
	return !memcmp(a->bytes, b->bytes, sizeof(a->bytes));
}

bool ip_addr_is_v4(const struct ip_addr *addr)
{
	return !memcmp(addr->bytes, v4_prefix, sizeof(v4_prefix));
}

void ip_addr_from_v4(struct ip_addr *addr, const uint8_t *v4)
{
	memcpy(addr->bytes, v4_prefix, sizeof(v4_prefix));
	memcpy(addr->bytes + sizeof(v4_prefix), v4, 4);
}

uint32_t ip_addr_v4(const struct ip_addr *addr)
{
	const uint8_t *v4 = addr->bytes + 12;

	if (!ip_addr_is_v4(addr))
		return 0;
	return (uint32_t)v4[0] << 24 | (uint32_t)v4[1] << 16 |
	       (uint32_t)v4[2] << 8 | v4[3];
}
