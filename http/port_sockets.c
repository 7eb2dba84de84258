#include "http/port_sockets.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/alloc.h"

#define FIRST_SOCKETS 64

static int is_of_port(int fd, const struct sockaddr_in *wanted)
{
	struct sockaddr_in own = { 0 };
	socklen_t len = sizeof(own);

	return !getsockname(fd, (struct sockaddr *)&own, &len) &&
	       own.sin_family == AF_INET && own.sin_port == wanted->sin_port &&
	       (wanted->sin_addr.s_addr == htonl(INADDR_ANY) ||
		own.sin_addr.s_addr == wanted->sin_addr.s_addr);
}

/* Returns -1 if `fd` is not a connection to the port. */
static int read_socket(struct port_socket *out, int fd,
		       const struct sockaddr_in *wanted)
{
	struct sockaddr_in peer = { 0 };
	socklen_t len = sizeof(peer);

	if (!is_of_port(fd, wanted) ||
	    getpeername(fd, (struct sockaddr *)&peer, &len))
		return -1;
	out->fd = fd;
	out->peer_port = ntohs(peer.sin_port);
	inet_ntop(AF_INET, &peer.sin_addr, out->peer_ip, sizeof(out->peer_ip));
	return 0;
}

uint32_t port_sockets_list(const char *ip, uint16_t port,
			   struct port_socket **out)
{
	struct sockaddr_in wanted = { .sin_port = htons(port) };
	uint32_t alloc = FIRST_SOCKETS;
	uint32_t count = 0;
	DIR *dir = opendir("/proc/self/fd");
	struct dirent *entry;

	inet_pton(AF_INET, ip, &wanted.sin_addr);
	*out = xcalloc(alloc, sizeof(**out));
	while (dir && (entry = readdir(dir))) {
		if (entry->d_name[0] == '.' ||
		    read_socket(&(*out)[count], atoi(entry->d_name), &wanted))
			continue;
		if (++count < alloc)
			continue;
		alloc *= 2;
		*out = xrealloc(*out, alloc * sizeof(**out));
	}
	if (dir)
		closedir(dir);
	return count;
}

int port_socket_unread_bytes(const struct port_socket *socket)
{
	int bytes = 0;

	return ioctl(socket->fd, FIONREAD, &bytes) ? 0 : bytes;
}
