#include "tcp_stack.h"

#include <lwip/ip.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/sockets.h>
#include <lwip/tcpip.h>
#include <string.h>

#define PACKET_MAX 9000
#define BACKLOG 64

static struct netif host_interface;
static tcp_stack_output *send_packet;
static bool is_v6;

static err_t output(struct pbuf *p)
{
	uint8_t data[PACKET_MAX];
	u16_t len = pbuf_copy_partial(p, data, sizeof(data), 0);

	send_packet(data, len);
	return ERR_OK;
}

static err_t output_v4(struct netif *netif, struct pbuf *p,
		       const ip4_addr_t *to)
{
	(void)netif;
	(void)to;
	return output(p);
}

static err_t output_v6(struct netif *netif, struct pbuf *p,
		       const ip6_addr_t *to)
{
	(void)netif;
	(void)to;
	return output(p);
}

static err_t init_interface(struct netif *netif)
{
	netif->name[0] = 't';
	netif->name[1] = 'f';
	netif->output = output_v4;
	netif->output_ip6 = output_v6;
	return ERR_OK;
}

bool tcp_stack_start(const char *address, uint16_t mtu, tcp_stack_output *send)
{
	ip_addr_t ip;

	if (!ipaddr_aton(address, &ip))
		return false;
	send_packet = send;
	is_v6 = IP_IS_V6(&ip);
	tcpip_init(NULL, NULL);
	LOCK_TCPIP_CORE();
	/* A netmask of 0 makes every address directly reachable. */
	netif_add(&host_interface, is_v6 ? IP4_ADDR_ANY4 : ip_2_ip4(&ip),
		  IP4_ADDR_ANY4, IP4_ADDR_ANY4, NULL, init_interface, ip_input);
	host_interface.mtu = mtu;
	host_interface.mtu6 = mtu;
	netif_set_default(&host_interface);
	netif_set_link_up(&host_interface);
	netif_set_up(&host_interface);
	if (is_v6) {
		netif_ip6_addr_set(&host_interface, 0, ip_2_ip6(&ip));
		netif_ip6_addr_set_state(&host_interface, 0,
					 IP6_ADDR_PREFERRED);
	}
	UNLOCK_TCPIP_CORE();
	return true;
}

void tcp_stack_input(const uint8_t *data, size_t len)
{
	/* Not PBUF_POOL: the packaged library's pool layout is broken. */
	struct pbuf *p = pbuf_alloc(PBUF_RAW, (u16_t)len, PBUF_RAM);

	if (!p)
		return;
	pbuf_take(p, data, (u16_t)len);
	LOCK_TCPIP_CORE();
	if (ip_input(p, &host_interface) != ERR_OK)
		pbuf_free(p);
	UNLOCK_TCPIP_CORE();
}

static socklen_t fill_address(struct sockaddr_storage *out, const char *address,
			      uint16_t port)
{
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;

	memset(out, 0, sizeof(*out));
	if (strchr(address, ':')) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = lwip_htons(port);
		ip6addr_aton(address, (ip6_addr_t *)&v6->sin6_addr);
		return sizeof(*v6);
	}
	v4->sin_family = AF_INET;
	v4->sin_port = lwip_htons(port);
	ip4addr_aton(address, (ip4_addr_t *)&v4->sin_addr);
	return sizeof(*v4);
}

int tcp_stack_connect(const char *address, uint16_t port)
{
	struct sockaddr_storage to;
	socklen_t len = fill_address(&to, address, port);
	int fd = lwip_socket(to.ss_family, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	if (lwip_connect(fd, (struct sockaddr *)&to, len) == 0)
		return fd;
	lwip_close(fd);
	return -1;
}

int tcp_stack_listen(uint16_t port)
{
	struct sockaddr_storage local;
	socklen_t len = fill_address(&local, is_v6 ? "::" : "0.0.0.0", port);
	int fd = lwip_socket(local.ss_family, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	if (lwip_bind(fd, (struct sockaddr *)&local, len) == 0 &&
	    lwip_listen(fd, BACKLOG) == 0)
		return fd;
	lwip_close(fd);
	return -1;
}

int tcp_stack_accept(int listener)
{
	return lwip_accept(listener, NULL, NULL);
}

ssize_t tcp_stack_read(int fd, void *buf, size_t len)
{
	return lwip_read(fd, buf, len);
}

ssize_t tcp_stack_write(int fd, const void *buf, size_t len)
{
	return lwip_write(fd, buf, len);
}

void tcp_stack_shutdown_write(int fd)
{
	lwip_shutdown(fd, SHUT_WR);
}

void tcp_stack_shutdown(int fd)
{
	lwip_shutdown(fd, SHUT_RDWR);
}

void tcp_stack_close(int fd, bool reset)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (reset)
		lwip_setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger,
				sizeof(linger));
	lwip_close(fd);
}
