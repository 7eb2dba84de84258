#ifndef NET_NET_ADDRESS_H
#define NET_NET_ADDRESS_H

#include <netinet/in.h>

/* Reads "ip:port" of IPv4; -1 if the text is none. */
int net_address_parse(const char *text, struct sockaddr_in *addr);

#endif
