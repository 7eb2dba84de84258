#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "bench/slope.h"

#include "base/alloc.h"
#include "base/clock.h"
#include "base/rng.h"
#include "policy/share.h"

/*
 * One team's limit over many daemons in virtual time. Every three seconds
 * the limit is split anew from summaries that are two seconds old; demand
 * moves to other daemons every twenty seconds; a request runs for ten
 * seconds on average. Parts that others set from other summaries, as while
 * half of the daemons split a second later, are a case of their own.
 */

#define RUN_S 240
#define MOVE_S 20
#define CUT_FROM_S 100
#define CUT_TO_S 160
#define SILENT_S 4
#define ENDS_IN_A_SECOND 0.1
#define HOT_PART 0.2
#define HOT_DEMAND 24
#define SEED 77
#define MAX_DAEMONS 352
#define SPLIT_S 3
#define SUMMARY_AGE_S 2

struct split_daemon {
	double demand;
	uint32_t running;
	uint32_t part;
	double said_demand; /* in the newest summary */
	double said_used;
};

struct split_run {
	uint32_t daemons;
	uint32_t data_centres;
	uint32_t limit;
	int cut;
	int32_t skew_s; /* half of the daemons split so much later */
	struct split_daemon all[MAX_DAEMONS];
	struct rng rng;
};

struct split_result {
	double overshoot; /* most, against the limit */
	double used; /* of what limit and demand allow, on average */
};

static uint32_t place_of(const struct split_run *run, uint32_t daemon)
{
	return daemon * run->data_centres / run->daemons;
}

static int is_cut(const struct split_run *run, uint32_t a, uint32_t b,
		  int32_t second)
{
	return run->cut && second >= CUT_FROM_S && second < CUT_TO_S &&
	       a != b && (!a || !b);
}

/* The view of one daemon; others are seen as they were some time ago. */
static uint32_t find_part(const struct split_run *run, uint32_t daemon,
			  int32_t second)
{
	struct share_party parties[MAX_DAEMONS];
	uint32_t own = place_of(run, daemon);
	uint32_t last = UINT32_MAX;
	uint32_t count = 0;

	for (uint32_t i = 0; i < run->daemons; i++) {
		const struct split_daemon *other = &run->all[i];
		uint32_t place = place_of(run, i);
		int local = place == own;
		struct share_party *party;

		if (local || place != last) {
			party = &parties[count++];
			memset(party, 0, sizeof(*party));
			party->local = local;
			party->own = i == daemon;
			party->received_ns = (is_cut(run, place, own, second)
						      ? CUT_FROM_S
						      : second) *
					     NS_PER_S;
		}
		party = &parties[count - 1];
		last = place;
		party->members++;
		party->demand_slots += other->said_demand;
		party->used_slots += other->said_used;
	}
	return share_own_part(run->limit, parties, count, SILENT_S * NS_PER_S,
			      second * NS_PER_S);
}

static void move_demand(struct split_run *run)
{
	for (uint32_t i = 0; i < run->daemons; i++)
		run->all[i].demand = rng_unit(&run->rng) < HOT_PART ? HOT_DEMAND
								    : 1;
}

static void end_some(struct split_run *run)
{
	for (uint32_t i = 0; i < run->daemons; i++) {
		uint32_t running = run->all[i].running;

		for (uint32_t n = 0; n < running; n++)
			run->all[i].running -= rng_unit(&run->rng) <
					       ENDS_IN_A_SECOND;
	}
}

static void say(struct split_daemon *daemon)
{
	daemon->said_demand = daemon->demand > daemon->running
				      ? daemon->demand
				      : daemon->running;
	daemon->said_used = daemon->running > daemon->part ? daemon->running
							   : daemon->part;
}

static int splits_now(const struct split_run *run, uint32_t daemon,
		      int32_t second)
{
	return (second - (daemon % 2 ? run->skew_s : 0)) % SPLIT_S == 0;
}

static void one_second(struct split_run *run, int32_t second)
{
	uint32_t parts[MAX_DAEMONS];

	if (second % MOVE_S == 0)
		move_demand(run);
	end_some(run);
	for (uint32_t i = 0; i < run->daemons; i++)
		if (splits_now(run, i, second + SUMMARY_AGE_S))
			say(&run->all[i]);
	for (uint32_t i = 0; i < run->daemons; i++)
		parts[i] = splits_now(run, i, second)
				   ? find_part(run, i, second)
				   : run->all[i].part;
	for (uint32_t i = 0; i < run->daemons; i++) {
		struct split_daemon *daemon = &run->all[i];

		daemon->part = parts[i];
		while (daemon->running < daemon->part &&
		       daemon->running < daemon->demand)
			daemon->running++;
	}
}

static struct split_result run_split(struct split_run *run)
{
	struct split_result result = { 0, 0 };

	rng_init(&run->rng, SEED);
	for (int32_t s = 0; s < RUN_S; s++) {
		double running = 0;
		double demand = 0;

		one_second(run, s);
		for (uint32_t i = 0; i < run->daemons; i++) {
			running += run->all[i].running;
			demand += run->all[i].demand;
		}
		if (running / run->limit - 1 > result.overshoot)
			result.overshoot = running / run->limit - 1;
		if (demand > run->limit)
			demand = run->limit;
		result.used +=
			(running < demand ? running / demand : 1) / RUN_S;
	}
	return result;
}

void bench_overshoot(void)
{
	static const struct {
		const char *name;
		uint32_t daemons, data_centres, limit;
		int cut;
		int32_t skew_s;
	} cases[] = {
		{ "3 daemons", 3, 3, 24, 0, 0 },
		{ "3 daemons, one cut off", 3, 3, 24, 1, 0 },
		{ "12 daemons", 12, 4, 48, 0, 0 },
		{ "12 daemons, a data centre cut off", 12, 4, 48, 1, 0 },
		{ "350 daemons", 350, 32, 1200, 0, 0 },
		{ "350 daemons, a data centre cut off", 350, 32, 1200, 1, 0 },
		{ "350 daemons, half of them a second later", 350, 32, 1200, 0,
		  1 },
	};

	for (uint32_t i = 0; i < ARRAY_SIZE(cases); i++) {
		struct split_run *run = xcalloc(1, sizeof(*run));
		struct split_result result;

		run->daemons = cases[i].daemons;
		run->data_centres = cases[i].data_centres;
		run->limit = cases[i].limit;
		run->cut = cases[i].cut;
		run->skew_s = cases[i].skew_s;
		result = run_split(run);
		print_figure("overshoot", cases[i].name, "most_above_limit",
			     "ratio", result.overshoot);
		print_figure("overshoot", cases[i].name, "limit_used", "ratio",
			     result.used);
		free(run);
	}
}
