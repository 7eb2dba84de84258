#ifndef T_LIB_LISTENER_H
#define T_LIB_LISTENER_H

// Listens on a free port of loopback, which goes into `*port`; returns the
// descriptor, or -1.
int listen_on_loopback(int backlog, int *port);

// Listens at a port of loopback that was listened at before.
int listen_again(int port);

#endif
