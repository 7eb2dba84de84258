#ifndef HTTP_PORT_SOCKETS_H
#define HTTP_PORT_SOCKETS_H

#include <netinet/in.h>
#include <stdint.h>

/*
 * The connections of this process to one of its ports. CivetWeb exposes the
 * address of a connection but not its descriptor, so all descriptors of the
 * process are scanned.
 */
struct port_socket {
	int fd;
	uint16_t peer_port;
	char peer_ip[INET_ADDRSTRLEN];
};

/*
 * Lists the connections accepted at `ip`, which may be 0.0.0.0, and `port` in
 * `*out`, which the caller frees. Returns their number.
 */
uint32_t port_sockets_list(const char *ip, uint16_t port,
			   struct port_socket **out);

/* Bytes that came and nobody has read. */
int port_socket_unread_bytes(const struct port_socket *socket);

#endif
