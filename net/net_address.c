#include "net/net_address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PORT 65535

int net_address_parse(const char *text, struct sockaddr_in *addr)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	char *end;
	long port;

	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return -1;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port < 0 || port > MAX_PORT)
		return -1;
	addr->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &addr->sin_addr) == 1 ? 0 : -1;
}
