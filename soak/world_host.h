// What a run of the soak knows of one daemon.
#ifndef SOAK_WORLD_HOST_H
#define SOAK_WORLD_HOST_H

#include "soak/world.h"

struct World::Host {
	Host(TestReactor *loop, const TempDir &dir, int number,
	     const std::string &store)
	    : daemon(loop, dir, number, store)
	{
	}

	DaemonProcess daemon;
	bool expected = false; // to run
	bool stopping = false;
	int64_t healed_ms = -10000; // thawed, or its link works again
};

#endif
