#include "t/lib-listener.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

struct sockaddr_in loopback_address(int port)
{
	struct sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)port);
	return address;
}

int listen_on_loopback(int backlog, int *port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in address = loopback_address(0);
	socklen_t len = sizeof(address);

	if (bind(fd, (struct sockaddr *)&address, len) || listen(fd, backlog) ||
	    getsockname(fd, (struct sockaddr *)&address, &len)) {
		close(fd);
		return -1;
	}
	*port = ntohs(address.sin_port);
	return fd;
}

int hold_on_loopback(int *port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in address = loopback_address(*port);
	socklen_t len = sizeof(address);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, len) ||
	    getsockname(fd, (struct sockaddr *)&address, &len)) {
		close(fd);
		return -1;
	}
	*port = ntohs(address.sin_port);
	return fd;
}

bool is_free_on_loopback(int port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in address = loopback_address(port);
	bool ok = !bind(fd, (struct sockaddr *)&address, sizeof(address));

	close(fd);
	return ok;
}
