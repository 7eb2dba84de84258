#include "app/team_shares.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "app/demand_draft.h"
#include "base/alloc.h"
#include "policy/share.h"

/* Without a split for so long the last parts no longer hold. */
#define FORGET_NS (2 * SHARE_ROUND_NS)

void team_shares_init(struct team_shares *shares, struct team_slots *slots,
		      struct peer_outbox *outbox, struct counter_set *counters,
		      const char *name, const char *data_centre)
{
	memset(shares, 0, sizeof(*shares));
	shares->slots = slots;
	shares->outbox = outbox;
	shares->counters = counters;
	copy_text(shares->name, sizeof(shares->name), name);
	copy_text(shares->data_centre, sizeof(shares->data_centre),
		  data_centre);
	pthread_mutex_init(&shares->lock, NULL);
	demand_table_init(&shares->table);
}

void team_shares_finish(struct team_shares *shares)
{
	demand_table_finish(&shares->table);
	free(shares->locals);
	pthread_mutex_destroy(&shares->lock);
}

static void send_to(struct team_shares *shares, const char *name,
		    Currant__DemandSummary *summary)
{
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;

	message.body_case = CURRANT__PEER_MESSAGE__BODY_DEMAND_SUMMARY;
	message.demand_summary = summary;
	shares->outbox->vt->send(shares->outbox, name, &message, NULL);
}

static void send_to_locals(struct team_shares *shares,
			   Currant__DemandSummary *summary)
{
	for (uint32_t i = 0; i < shares->local_count; i++)
		send_to(shares, shares->locals[i].name, summary);
}

/* Others are in a newer round: goes on with them. */
static void join_round(struct team_shares *shares,
		       const Currant__DemandSummary *summary, int64_t now_ns)
{
	if (summary->round <= shares->round)
		return;
	shares->round = summary->round;
	shares->began_ns =
		now_ns - (summary->data_centre[0] ? SHARE_SUM_NS : 0);
	shares->phase = SHARE_SAY;
}

void team_shares_on_summary(struct team_shares *shares, const char *from,
			    const Currant__DemandSummary *summary,
			    int64_t now_ns)
{
	int is_centre = summary->data_centre[0] != '\0';
	const char *name = is_centre ? summary->data_centre : from;

	if (!strcmp(name, is_centre ? shares->data_centre : shares->name))
		return;
	pthread_mutex_lock(&shares->lock);
	join_round(shares, summary, now_ns);
	if (demand_table_take(&shares->table, name, is_centre, summary) &&
	    is_centre && !summary->passed_on) {
		Currant__DemandSummary copy = *summary;

		copy.passed_on = 1;
		send_to_locals(shares, &copy);
	}
	pthread_mutex_unlock(&shares->lock);
}

static int64_t phase_due_ns(const struct team_shares *shares)
{
	static const int64_t after_ns[] = {
		[SHARE_SAY] = 0,
		[SHARE_SUM] = SHARE_SUM_NS,
		[SHARE_SPLIT] = SHARE_SPLIT_NS,
		[SHARE_REST] = SHARE_ROUND_NS,
	};

	return shares->began_ns + after_ns[shares->phase];
}

int team_shares_due(struct team_shares *shares, int64_t now_ns)
{
	int due;

	pthread_mutex_lock(&shares->lock);
	due = !shares->began_ns || now_ns >= phase_due_ns(shares);
	pthread_mutex_unlock(&shares->lock);
	return due;
}

static uint32_t larger(uint32_t a, uint32_t b)
{
	return a > b ? a : b;
}

/* Callers that come back once each SHARE_RETRY_NS, by their refusals. */
static uint32_t waiting_callers(uint32_t refused)
{
	const uint32_t times = SHARE_ROUND_NS / SHARE_RETRY_NS;

	return (refused + times - 1) / times;
}

static void add_own_demand(struct team_shares *shares,
			   struct demand_draft *draft, const struct team *team)
{
	Currant__TeamDemand *demand = demand_draft_add(draft, team->name);
	struct team_use use;

	team_slots_look(shares->slots, team->name, team->max_in_flight, &use);
	demand->in_flight = use.in_flight;
	demand->queued = waiting_callers(use.refused);
	demand->granted = larger(use.in_flight, use.part);
}

static void say_own_demand(struct team_shares *shares,
			   const struct share_view *view)
{
	struct demand_draft draft;

	demand_draft_init(&draft, shares->round, view->team_count);
	for (uint32_t i = 0; i < view->team_count; i++)
		if (view->teams[i].max_in_flight)
			add_own_demand(shares, &draft, &view->teams[i]);
	demand_table_take(&shares->table, shares->name, 0, &draft.summary);
	send_to_locals(shares, &draft.summary);
	demand_draft_finish(&draft);
}

static int64_t heard_at_ns(const struct team_shares *shares,
			   const struct demand_source *source, int64_t now_ns)
{
	uint64_t missed;

	if (!source || !source->round)
		return now_ns - 2 * SHARE_HOLD_NS;
	missed = shares->round - source->round;
	if (missed > SHARE_HOLD_NS / SHARE_ROUND_NS)
		return now_ns - 2 * SHARE_HOLD_NS;
	return now_ns - (int64_t)missed * SHARE_ROUND_NS;
}

/* Fills in what a party last said of a team; nothing: it uses none. */
static void set_party(struct team_shares *shares, struct share_party *party,
		      const char *name, int is_centre, const char *team,
		      int64_t now_ns)
{
	const struct demand_source *source =
		demand_table_find(&shares->table, name, is_centre);
	const struct team_demand *said =
		source ? demand_source_team(source, team) : NULL;

	party->received_ns = heard_at_ns(shares, source, now_ns);
	party->demand_slots = said ? said->demand : 0;
	party->used_slots = said ? said->granted : 0;
}

/* All daemons, in an order that is the same everywhere. */
struct share_host {
	const char *name;
	const char *data_centre;
};

static int compare_hosts(const void *a, const void *b)
{
	const struct share_host *left = a;
	const struct share_host *right = b;
	int order = strcmp(left->data_centre, right->data_centre);

	return order ? order : strcmp(left->name, right->name);
}

static struct share_host *sort_hosts(const struct team_shares *shares,
				     const struct share_view *view,
				     uint32_t *count)
{
	struct share_host *hosts =
		xcalloc(view->member_count + 1, sizeof(*hosts));

	for (uint32_t i = 0; i < view->member_count; i++) {
		hosts[i].name = view->members[i].name;
		hosts[i].data_centre = view->members[i].data_centre;
	}
	hosts[view->member_count].name = shares->name;
	hosts[view->member_count].data_centre = shares->data_centre;
	*count = view->member_count + 1;
	qsort(hosts, *count, sizeof(*hosts), compare_hosts);
	return hosts;
}

/* One party for each daemon here and for each other data centre. */
static uint32_t fill_parties(struct team_shares *shares,
			     const struct share_host *hosts, uint32_t count,
			     const char *team, struct share_party *parties,
			     int64_t now_ns)
{
	uint32_t filled = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct share_host *host = &hosts[i];
		int local = !strcmp(host->data_centre, shares->data_centre);
		struct share_party *party;

		if (!local && i &&
		    !strcmp(host->data_centre, hosts[i - 1].data_centre)) {
			parties[filled - 1].members++;
			continue;
		}
		party = &parties[filled++];
		memset(party, 0, sizeof(*party));
		party->members = 1;
		party->local = local;
		party->own = local && !strcmp(host->name, shares->name);
		set_party(shares, party, local ? host->name : host->data_centre,
			  !local, team, now_ns);
	}
	return filled;
}

static int is_silent(const struct share_party *party, int64_t now_ns)
{
	return !party->own && now_ns - party->received_ns > SHARE_ROUND_NS / 2;
}

/*
 * Whether one of them was heard in the last round, but not in this one: its
 * part may have risen in between, by as much as is not known here.
 */
static int is_one_late(const struct share_party *parties, uint32_t count,
		       int only_local, int64_t now_ns)
{
	for (uint32_t i = 0; i < count; i++) {
		const struct share_party *party = &parties[i];

		if ((party->local || !only_local) && is_silent(party, now_ns) &&
		    now_ns - party->received_ns < 2 * SHARE_ROUND_NS)
			return 1;
	}
	return 0;
}

/* Adds up the own data centre; silent daemons with what is left to them. */
static void add_sum(struct demand_draft *draft, const struct team *team,
		    const struct share_party *parties, uint32_t count,
		    uint32_t daemons, int64_t now_ns)
{
	double equal_slots = (double)team->max_in_flight / daemons;
	Currant__TeamDemand *sum = demand_draft_add(draft, team->name);
	double demand = 0;
	double granted = 0;

	for (uint32_t i = 0; i < count; i++) {
		double reserved;

		if (!parties[i].local)
			continue;
		if (!is_silent(&parties[i], now_ns)) {
			demand += parties[i].demand_slots;
			granted += parties[i].used_slots;
			continue;
		}
		reserved =
			share_reserved_slots(&parties[i], equal_slots, now_ns);
		demand += reserved;
		granted += reserved;
	}
	sum->in_flight = (uint32_t)ceil(demand);
	sum->granted = (uint32_t)ceil(granted);
}

/* A connection to another data centre makes this daemon a relay to it. */
static int is_relay_peer(const struct team_shares *shares,
			 const struct share_view *view,
			 const struct peer_member *peer)
{
	if (!peer->connect)
		return 0;
	for (uint32_t i = 0; i < view->member_count; i++)
		if (!strcmp(view->members[i].name, peer->name))
			return strcmp(view->members[i].data_centre,
				      shares->data_centre) != 0;
	return 0;
}

static void say_sum(struct team_shares *shares, const struct share_view *view,
		    const struct share_host *hosts, uint32_t count,
		    struct share_party *parties, int64_t now_ns)
{
	struct demand_draft draft;

	demand_draft_init(&draft, shares->round, view->team_count);
	draft.summary.data_centre = shares->data_centre;
	for (uint32_t i = 0; i < view->team_count; i++) {
		const struct team *team = &view->teams[i];
		uint32_t filled;

		if (!team->max_in_flight)
			continue;
		filled = fill_parties(shares, hosts, count, team->name, parties,
				      now_ns);
		if (is_one_late(parties, filled, 1, now_ns))
			continue;
		add_sum(&draft, team, parties, filled, count, now_ns);
	}
	/* Without a complete sum the other relay's may be one. */
	for (uint32_t i = 0; draft.summary.n_teams && i < view->peer_count; i++)
		if (is_relay_peer(shares, view, &view->peers[i]))
			send_to(shares, view->peers[i].name, &draft.summary);
	demand_draft_finish(&draft);
}

static void show_part(struct team_shares *shares, const char *team,
		      uint32_t part)
{
	char name[COUNTER_NAME_MAX];

	if (!shares->counters)
		return;
	snprintf(name, sizeof(name), "team_in_flight_max{team=\"%s\"}", team);
	gauge_set(gauge_get(shares->counters, name), part);
}

static uint32_t smaller(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static uint32_t own_granted(const struct team_shares *shares, const char *team)
{
	const struct demand_source *own =
		demand_table_find(&shares->table, shares->name, 0);
	const struct team_demand *said = demand_source_team(own, team);

	return said ? (uint32_t)said->granted : 0;
}

static void split_limits(struct team_shares *shares,
			 const struct share_view *view,
			 const struct share_host *hosts, uint32_t count,
			 struct share_party *parties, int64_t now_ns)
{
	team_slots_set_members(shares->slots, count);
	for (uint32_t i = 0; i < view->team_count; i++) {
		const struct team *team = &view->teams[i];
		uint32_t filled;
		uint32_t part;

		if (!team->max_in_flight)
			continue;
		filled = fill_parties(shares, hosts, count, team->name, parties,
				      now_ns);
		part = share_own_part(team->max_in_flight, parties, filled,
				      SHARE_ROUND_NS / 2, now_ns);
		if (is_one_late(parties, filled, 0, now_ns))
			part = smaller(part, own_granted(shares, team->name));
		team_slots_set_part(shares->slots, team->name,
				    team->max_in_flight, part);
		show_part(shares, team->name, part);
	}
	shares->split_ns = now_ns;
}

static void begin_round(struct team_shares *shares, int64_t now_ns)
{
	shares->round++;
	shares->began_ns = now_ns;
	shares->phase = SHARE_SAY;
}

static void note_locals(struct team_shares *shares,
			const struct share_view *view)
{
	shares->local_count = 0;
	shares->locals =
		xrealloc(shares->locals,
			 (view->member_count + 1) * sizeof(*shares->locals));
	for (uint32_t i = 0; i < view->member_count; i++) {
		const struct member *member = &view->members[i];

		if (strcmp(member->data_centre, shares->data_centre) != 0 ||
		    member->state == MEMBER_GONE)
			continue;
		copy_text(shares->locals[shares->local_count++].name,
			  NAME_BYTES, member->name);
	}
}

struct listed_hosts {
	const struct team_shares *shares;
	const struct share_view *view;
};

static int is_listed(void *arg, const struct demand_source *source)
{
	const struct listed_hosts *listed = arg;

	if (!source->is_centre && !strcmp(source->name, listed->shares->name))
		return 1;
	for (uint32_t i = 0; i < listed->view->member_count; i++) {
		const struct member *member = &listed->view->members[i];

		if (!strcmp(source->is_centre ? member->data_centre
					      : member->name,
			    source->name))
			return 1;
	}
	return 0;
}

/* Begins and ends what the rounds go by. */
static void prepare(struct team_shares *shares, const struct share_view *view,
		    int64_t now_ns)
{
	struct listed_hosts listed = { shares, view };

	note_locals(shares, view);
	if (!shares->began_ns || now_ns - shares->began_ns >= SHARE_ROUND_NS) {
		demand_table_prune(&shares->table, is_listed, &listed);
		begin_round(shares, now_ns);
	}
	/* This process stood still: others may have taken its part. */
	if (shares->split_ns && now_ns - shares->split_ns > FORGET_NS)
		team_slots_forget_parts(shares->slots);
	/* Nobody else can have been granted anything. */
	if (!shares->split_ns && !view->member_count)
		team_slots_set_members(shares->slots, 1);
}

static void take_phase(struct team_shares *shares,
		       const struct share_view *view, int64_t now_ns)
{
	uint32_t count;
	struct share_host *hosts = sort_hosts(shares, view, &count);
	struct share_party *parties = xcalloc(count, sizeof(*parties));

	if (shares->phase == SHARE_SAY)
		say_own_demand(shares, view);
	else if (shares->phase == SHARE_SUM)
		say_sum(shares, view, hosts, count, parties, now_ns);
	else if (shares->phase == SHARE_SPLIT)
		split_limits(shares, view, hosts, count, parties, now_ns);
	shares->phase++;
	free(parties);
	free(hosts);
}

void team_shares_step(struct team_shares *shares, const struct share_view *view,
		      int64_t now_ns)
{
	pthread_mutex_lock(&shares->lock);
	prepare(shares, view, now_ns);
	while (shares->phase < SHARE_REST && now_ns >= phase_due_ns(shares))
		take_phase(shares, view, now_ns);
	pthread_mutex_unlock(&shares->lock);
}
