#ifndef POLICY_ENGINE_PACE_H
#define POLICY_ENGINE_PACE_H

#include <stdint.h>

/*
 * How fast an engine makes tokens, by the times between events of runs there.
 * Load pattern: some engines turn several times slower for seconds while they
 * look healthy, and every step has items there. Pure.
 */
struct engine_pace {
	double event_ns; /* between a run's events, as if alone; 0: unknown */
	int64_t seen_ns; /* the newest event */
};

/* An event came `interval_ns` after the one before, beside `running` runs. */
void engine_pace_add(struct engine_pace *pace, double interval_ns,
		     uint32_t running, int64_t now_ns);

/*
 * Time between events of all engines' runs, as if alone: the lower median of
 * those that are known; 0 if none is. Changes the order of `paces`.
 */
double engine_pace_typical(double *paces, uint32_t count);

/* The known time; 0 if there is none that is young enough. */
double engine_pace_known(const struct engine_pace *pace, int64_t now_ns);

/* Relative to a typical engine; 1 where nothing is known. */
double engine_pace_speed(const struct engine_pace *pace, double typical_ns,
			 int64_t now_ns);

#endif
