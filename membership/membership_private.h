#ifndef MEMBERSHIP_MEMBERSHIP_PRIVATE_H
#define MEMBERSHIP_MEMBERSHIP_PRIVATE_H

#include <pthread.h>

#include "membership/member_health.h"
#include "membership/membership.h"

/* Definitions shared by the files in membership/; not for other modules. */
struct member_record {
	struct member view;
	struct member_health health;
	int listed;
	int chosen;
	int expects_answer;
};

struct membership {
	pthread_mutex_t lock;
	char own_name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char region[NAME_BYTES];
	int64_t heartbeat_ns;
	struct member_record *records;
	uint32_t count;
	uint64_t generation;
	int64_t listed_at_ns;
	int64_t last_tick_ns;
	int64_t last_seen_ns;
	uint64_t periods; /* number of past heartbeat periods */
	uint32_t announced_periods; /* periods to the next remote heartbeat */
	struct summary_table summaries;
};

/* Whether a member is in the own data centre; the lock must be held. */
int membership_is_local(const struct membership *m,
			const struct member_record *record);

#endif
