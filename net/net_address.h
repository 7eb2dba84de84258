#ifndef NET_NET_ADDRESS_H
#define NET_NET_ADDRESS_H

#include <netinet/in.h>

/* Parses an IPv4 address "ip:port"; returns -1 if `text` is not one. */
int net_address_parse(const char *text, struct sockaddr_in *addr);

#endif
