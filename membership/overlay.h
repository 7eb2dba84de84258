#ifndef MEMBERSHIP_OVERLAY_H
#define MEMBERSHIP_OVERLAY_H

#include <stdint.h>

/*
 * Selects the members to which a daemon keeps connections, so that their
 * number grows with the size of its own data centre plus the number of data
 * centres. It connects to all members of its own data centre. If it is one of
 * the OVERLAY_RELAYS of its own side for a pair of data centres, it also
 * connects to the relays of the other side. Relays are chosen by rendezvous
 * hashing of the pair, which gives the same result on both sides.
 */
#define OVERLAY_RELAYS 2

struct overlay_host {
	const char *name;
	const char *data_centre;
	int usable; /* preferred as relay: not suspect, gone or leaving */
	int chosen; /* the result */
};

/*
 * Sets `chosen` of each host. `hosts` must be sorted by data centre and
 * include the own host, which is never chosen.
 */
void overlay_choose(struct overlay_host *hosts, uint32_t count,
		    const char *own_name);

#endif
