#ifndef T_LIB_LISTENER_H
#define T_LIB_LISTENER_H

#include <netinet/in.h>

struct sockaddr_in loopback_address(int port);

// Listens on a free port of loopback, which goes into `*port`; returns the
// descriptor, or -1.
int listen_on_loopback(int backlog, int *port);

// Binds a free port of loopback, which goes into `*port`, or `*port` itself
// unless that is 0; returns the descriptor, or -1. While it is open nobody
// gets the port by chance, and others that this function bound may listen.
int hold_on_loopback(int *port);

// Whether a program that asks for this port of loopback would get it.
bool is_free_on_loopback(int port);

#endif
