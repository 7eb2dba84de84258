#ifndef DISCOVERY_DISCOVERY_H
#define DISCOVERY_DISCOVERY_H

#include "base/record_log.h"
#include "discovery/crash_board.h"
#include "discovery/host_table.h"
#include "policy/partition_owner.h"
#include "store/keyed_follower.h"
#include "store/topic_writer.h"

/*
 * Discovery of the entry hosts: each daemon periodically writes a notice
 * (heartbeat) to a topic of the platform's store and reads the notices of the
 * others. Daemons do not connect to each other.
 */
struct discovery_listener {
	/* A host is new or restarted, or its `ready` or `leaving` changed. */
	void (*changed)(struct discovery_listener *listener);
};

struct discovery {
	struct keyed_follower follower;
	struct host_table hosts;
	struct crash_board crashes;
	struct topic_writer writer;
	struct topic_write *pending_notice; /* being written */
	struct entry_host own;
	struct timer timer;
	struct record_log *log;
	struct discovery_listener *listener; /* may be NULL */
	int notice_outdated; /* the own state changed during that write */
	struct topic_write *pending_crashes; /* the own list, being written */
	int crashes_outdated; /* the own list must be written again */
};

void discovery_init(struct discovery *discovery, struct topic_log *log,
		    struct timer_service *timers, const struct entry_host *own,
		    struct record_log *records, struct counter_set *counters);
void discovery_finish(struct discovery *discovery);
void discovery_start(struct discovery *discovery);

/* Set the own state; a change is written in a notice at once. */
void discovery_set_ready(struct discovery *discovery, int ready);
void discovery_set_leaving(struct discovery *discovery);
void discovery_set_partitions(struct discovery *discovery, uint64_t partitions);

/* Writes the own list of crashes for the other hosts, after a change. */
void discovery_publish_crashes(struct discovery *discovery);

/* Whether the host's notices are recent, as far as they could be read. */
int discovery_is_alive(const struct discovery *discovery,
		       const struct entry_host *host);

/* Alive, ready and not leaving: may be named to callers. */
int discovery_takes_calls(const struct discovery *discovery,
			  const struct entry_host *host);

/* Hosts ranked as owners; further ones own nothing. 350 are planned. */
#define DISCOVERY_CANDIDATES_MAX 512

/* The hosts as candidates for partitions and duties; returns how many. */
uint32_t discovery_candidates(const struct discovery *discovery,
			      struct owner_candidate *out);

/* Whether the notices of all hosts were read at least once. */
int discovery_is_listed(const struct discovery *discovery);

#endif
