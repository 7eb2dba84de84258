#include "policy/load_pace.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"

/* The level of the usual number, and the highest: at most twice that number. */
#define USUAL_LEVEL 4
#define STEPS_PER_USUAL 8
#define FACTOR_MAX 2
/* Weight of one load in the moving average of its level. */
#define LOAD_WEIGHT 0.1
/* A level is known after this many loads, and is tried again after a while. */
#define LOADS_TO_KNOW 6
#define LEVEL_RETENTION_NS (60 * NS_PER_S)
/*
 * More loads at once have to finish this part of the loads that they would add
 * if none took longer.
 */
#define GAIN_SHARE_MIN 0.5
/* Fewer at once have to finish this part as many per second. */
#define AS_FAST_MIN 0.95

static uint32_t level_step(const struct load_pace *pace)
{
	return (pace->usual + STEPS_PER_USUAL - 1) / STEPS_PER_USUAL;
}

/* Loads at once at the level; below 1 there is no such level. */
static int64_t level_bound(const struct load_pace *pace, int level)
{
	return (int64_t)pace->usual +
	       (int64_t)(level - USUAL_LEVEL) * level_step(pace);
}

void load_pace_set_usual(struct load_pace *pace, uint32_t usual)
{
	if (pace->usual == usual)
		return;
	memset(pace, 0, sizeof(*pace));
	pace->usual = usual;
}

/* The lowest level that allows about so many loads at once; -1: none. */
static int find_level(const struct load_pace *pace, double at_once)
{
	for (int i = 0; i < LOAD_PACE_LEVELS; i++)
		if ((double)level_bound(pace, i) + 0.5 > at_once)
			return i;
	return -1;
}

void load_pace_observe(struct load_pace *pace, double at_once, int64_t took_ns,
		       int64_t now_ns)
{
	int index = find_level(pace, at_once);
	struct load_level *level;
	double weight;
	double rate;

	if (index < 0 || took_ns <= 0)
		return;
	level = &pace->levels[index];
	rate = at_once / (double)took_ns;
	if (now_ns - level->last_ns > LEVEL_RETENTION_NS)
		level->count = 0;
	level->count++;
	/* The plain mean of the first loads. */
	weight = fmax(1.0 / level->count, LOAD_WEIGHT);
	level->loads_per_ns += weight * (rate - level->loads_per_ns);
	level->load_ns += weight * ((double)took_ns - level->load_ns);
	level->last_ns = now_ns;
}

int64_t load_pace_expected_ns(const struct load_pace *pace, uint32_t at_once)
{
	int level = find_level(pace, at_once);

	if (level < 0 || !pace->levels[level].count)
		return 0;
	return (int64_t)pace->levels[level].load_ns;
}

static int is_known(const struct load_pace *pace, int level, int64_t now_ns)
{
	const struct load_level *l = &pace->levels[level];

	return l->count >= LOADS_TO_KNOW &&
	       now_ns - l->last_ns <= LEVEL_RETENTION_NS;
}

/* Loads of this step and of those that are due before it. */
static uint32_t loads_until(const struct load_due *dues, uint32_t count,
			    int64_t left_ns)
{
	uint32_t loads = 0;

	for (uint32_t i = 0; i < count; i++)
		if (dues[i].left_ns <= left_ns)
			loads += dues[i].loads;
	return loads;
}

static int is_late(const struct load_pace *pace, int level,
		   const struct load_due *dues, uint32_t count)
{
	double rate = pace->levels[level].loads_per_ns;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t loads = loads_until(dues, count, dues[i].left_ns);

		/* Loads that all begin at once need no more room. */
		if (loads > level_bound(pace, level) &&
		    (double)loads > (double)dues[i].left_ns * rate)
			return 1;
	}
	return 0;
}

/* Whether a known level ends clearly more loads than a lower one. */
static int pays_off(const struct load_pace *pace, int level, int lower)
{
	double added = (double)level_bound(pace, level) /
			       (double)level_bound(pace, lower) -
		       1;

	return pace->levels[level].loads_per_ns >=
	       pace->levels[lower].loads_per_ns * (1 + GAIN_SHARE_MIN * added);
}

/* Fewer at once that end as fast: each engine is away for less time. */
static int lowest_as_fast(const struct load_pace *pace, int level,
			  int64_t now_ns)
{
	double least = AS_FAST_MIN * pace->levels[level].loads_per_ns;

	while (level && level_bound(pace, level - 1) > 0 &&
	       is_known(pace, level - 1, now_ns) &&
	       pace->levels[level - 1].loads_per_ns >= least)
		level--;
	return level;
}

uint32_t load_pace_bound(const struct load_pace *pace,
			 const struct load_due *dues, uint32_t due_count,
			 int64_t now_ns)
{
	int best = USUAL_LEVEL;

	if (!is_known(pace, best, now_ns) ||
	    !is_late(pace, best, dues, due_count))
		return pace->usual;
	for (int i = best + 1; i < LOAD_PACE_LEVELS; i++) {
		if (level_bound(pace, i) > FACTOR_MAX * (int64_t)pace->usual)
			break;
		if (!is_known(pace, i, now_ns))
			return (uint32_t)level_bound(pace, i);
		if (!pays_off(pace, i, best))
			break;
		best = i;
		if (!is_late(pace, best, dues, due_count))
			break;
	}
	if (best == USUAL_LEVEL)
		best = lowest_as_fast(pace, best, now_ns);
	return (uint32_t)level_bound(pace, best);
}
