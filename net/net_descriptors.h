#ifndef NET_NET_DESCRIPTORS_H
#define NET_NET_DESCRIPTORS_H

#include <stdint.h>

/*
 * The sockets that the servers and pools of a process share. Callers leave a
 * part of them to the connections that their requests need.
 */
#define NET_DESCRIPTORS_POOL_DIVISOR 8

struct net_descriptors {
	uint32_t open;
	uint32_t max;
	/*
	 * Closes an idle or a caller's connection; returns 0 if none can be.
	 * May be NULL.
	 */
	int (*make_room)(void *arg);
	void *arg;
};

#endif
