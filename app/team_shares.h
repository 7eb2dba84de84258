#ifndef APP_TEAM_SHARES_H
#define APP_TEAM_SHARES_H

#include <pthread.h>
#include <stdint.h>

#include "app/demand_table.h"
#include "base/counter.h"
#include "membership/membership.h"
#include "peer/peer_outbox.h"
#include "request/team_slots.h"

/*
 * Splits each team's limit over all daemons (policy/share.h) in rounds that
 * all daemons go through together, by the figures of one moment: at its start
 * each daemon tells the others of its data centre what its teams have in
 * flight and were granted; later the relays tell the other data centres its
 * sum; then each works out its own parts. A round begins by the own clock, or
 * with the first summary of it. docs/technical/shares.txt has the reasons.
 */
#define SHARE_ROUND_NS (3 * NS_PER_S)
#define SHARE_SUM_NS (1 * NS_PER_S) /* after the start of the round */
#define SHARE_SPLIT_NS (2 * NS_PER_S)
/* When a caller that was refused for the team's limit comes back. */
#define SHARE_RETRY_NS (1 * NS_PER_S)

enum share_phase {
	SHARE_SAY = 0, /* the own demand is still to be told */
	SHARE_SUM,
	SHARE_SPLIT,
	SHARE_REST, /* until the next round */
};

/* What a daemon knows of the system when it takes a step. */
struct share_view {
	const struct member *members; /* all listed, the own host left out */
	uint32_t member_count;
	const struct peer_member *peers; /* with whom it keeps connections */
	uint32_t peer_count;
	const struct team *teams;
	uint32_t team_count;
};

struct share_local {
	char name[NAME_BYTES];
};

struct team_shares {
	pthread_mutex_t lock;
	struct team_slots *slots;
	struct peer_outbox *outbox;
	struct counter_set *counters;
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	uint64_t round;
	int64_t began_ns; /* 0: no round yet */
	int64_t split_ns; /* of the last split; 0: none yet */
	enum share_phase phase;
	struct demand_table table; /* with the own demand */
	struct share_local *locals; /* whom a sum is passed on to */
	uint32_t local_count;
};

/* The arguments must outlive it; `counters` may be NULL. */
void team_shares_init(struct team_shares *shares, struct team_slots *slots,
		      struct peer_outbox *outbox, struct counter_set *counters,
		      const char *name, const char *data_centre);
void team_shares_finish(struct team_shares *shares);

/* Takes a peer's summary over; another data centre's sum is passed on. */
void team_shares_on_summary(struct team_shares *shares, const char *from,
			    const Currant__DemandSummary *summary,
			    int64_t now_ns);

/* Whether there is a step to take now, for which a view is needed. */
int team_shares_due(struct team_shares *shares, int64_t now_ns);

void team_shares_step(struct team_shares *shares, const struct share_view *view,
		      int64_t now_ns);

#endif
