#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "peer/peer_internal.h"

int peer_address_parse(const char *text, struct sockaddr_in *address,
		       struct error *err)
{
	char host[NAME_BYTES];
	char *colon, *end;
	uint64_t port = 0;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	if (copy_text(host, sizeof(host), text))
		return error_set(err, ERROR_INVALID,
				 "peer address is over %d bytes", NAME_BYTES);
	colon = strrchr(host, ':');
	if (colon) {
		*colon = '\0';
		port = strtoul(colon + 1, &end, 10);
	}
	if (!colon || end == colon + 1 || *end || port > UINT16_MAX ||
	    inet_pton(AF_INET, host, &address->sin_addr) != 1)
		return error_set(err, ERROR_INVALID,
				 "peer address '%s' is not IP:PORT", text);
	address->sin_port = htons((uint16_t)port);
	return 0;
}
