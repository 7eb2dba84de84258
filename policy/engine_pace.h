#ifndef POLICY_ENGINE_PACE_H
#define POLICY_ENGINE_PACE_H

#include <stdint.h>

/*
 * Measures how fast an engine generates tokens, from the intervals between the
 * events of its runs. Load pattern: some engines become several times slower
 * for seconds while they look healthy, and every step has items there. Pure
 * functions.
 */
struct engine_pace {
	double alone_interval_ns; /* as if the run were alone; 0: unknown */
	int64_t last_event_ns; /* of the newest event */
};

/*
 * Records an event that came `interval_ns` after the previous one, with
 * `running` runs at the engine.
 */
void engine_pace_add(struct engine_pace *pace, double interval_ns,
		     uint32_t running, int64_t now_ns);

/*
 * Event interval over all engines, each as if of a run that is alone: the lower
 * median of the known intervals; 0 if there are none. Sorts `paces`.
 */
double engine_pace_typical(double *paces, uint32_t count);

/* The event interval; 0 if there is no recent one. */
double engine_pace_interval(const struct engine_pace *pace, int64_t now_ns);

/* Speed relative to a typical engine; 1 if unknown. */
double engine_pace_speed(const struct engine_pace *pace, double typical_ns,
			 int64_t now_ns);

#endif
