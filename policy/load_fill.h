#ifndef POLICY_LOAD_FILL_H
#define POLICY_LOAD_FILL_H

#include <stdint.h>

/*
 * Distributes requests over servers so that all that take some are expected to
 * be equally fast afterwards. Load pattern: between two reports of a server
 * many hosts place requests by the same knowledge; if each took the fastest
 * server, that server would be overrun until the next reports, and then the
 * next one. Each host therefore fills the servers, from the fastest on, with
 * what all hosts together are expected to place by this knowledge, and draws a
 * server with the probability of its part. With exact knowledge only one
 * request is distributed, so that the fastest server is certain; the older the
 * knowledge, the more servers have a part. Pure functions.
 */
#define LOAD_FILL_MAX 64

struct load_fill_server {
	uint32_t slots;
	double requests; /* expected at the server; 0 or more */
	double slowdown; /* expected duration of work, relative to usual */
};

/*
 * Expected duration of a request: as long as the slots last only the slowdown
 * counts, but a busier server is more likely to have none free.
 */
double load_fill_time(const struct load_fill_server *server);

/*
 * Stores the part of each server in `parts`; their sum is `requests`, which is
 * above 0. `count` is at most LOAD_FILL_MAX.
 */
void load_fill(const struct load_fill_server *servers, uint32_t count,
	       double requests, double *parts);

#endif
