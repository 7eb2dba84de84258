#ifndef MEMBERSHIP_RANK_H
#define MEMBERSHIP_RANK_H

#include "membership/membership.h"

/*
 * Distributes work among the members without coordination: the members are
 * ranked by rendezvous hashing for each piece of work, and daemons with the
 * same view compute the same ranks.
 *
 * Counts the alive members that rank before `own_name` for `work`, up to
 * `max`; if `data_centre` is not NULL, only those in it.
 */
uint32_t member_rank(const struct member *members, uint32_t count,
		     const char *own_name, const char *work,
		     const char *data_centre, uint32_t max);

#endif
