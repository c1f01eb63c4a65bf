#ifndef TARRAGONFLOW_NET_ENDPOINT_H
#define TARRAGONFLOW_NET_ENDPOINT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** An IPv4 address and port of a process, in host byte order. */
struct endpoint {
	uint32_t ip;
	uint16_t port;
};

/** Buffer size for "255.255.255.255:65535" and a terminator. */
#define ENDPOINT_TEXT_MAX 24

/**
 * An address of a service or caller: IPv6, or IPv4 mapped into IPv6
 * (::ffff:a.b.c.d), in network byte order.
 */
struct ip_addr {
	uint8_t bytes[16];
};

/** Buffer size for any address as text and a terminator. */
#define IP_ADDR_TEXT_MAX 46

/** Parses "a.b.c.d:port". */
bool endpoint_parse(struct endpoint *endpoint, const char *text);

/** Writes @endpoint as text into @buf of ENDPOINT_TEXT_MAX; returns @buf. */
char *endpoint_format(const struct endpoint *endpoint, char *buf);

bool endpoint_equal(const struct endpoint *a, const struct endpoint *b);

void endpoint_to_sockaddr(const struct endpoint *endpoint,
			  struct sockaddr_in *addr);
void endpoint_from_sockaddr(struct endpoint *endpoint,
			    const struct sockaddr_in *addr);

/** Parses an IPv4 or IPv6 address. */
bool ip_addr_parse(struct ip_addr *addr, const char *text);

/** Writes @addr as text into @buf of IP_ADDR_TEXT_MAX; returns @buf. */
char *ip_addr_format(const struct ip_addr *addr, char *buf);

bool ip_addr_equal(const struct ip_addr *a, const struct ip_addr *b);

bool ip_addr_is_v4(const struct ip_addr *addr);

/** The IPv4 address of @addr in host byte order; 0 if it is IPv6. */
uint32_t ip_addr_v4(const struct ip_addr *addr);

/** Sets @addr to the IPv4 address in the four bytes at @v4. */
void ip_addr_from_v4(struct ip_addr *addr, const uint8_t *v4);

#endif
