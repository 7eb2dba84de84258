#include "policy/engine_pace.h"

#include <stdlib.h>

#include "base/clock.h"
#include "policy/item_place.h"

/* Weight of one interval in the moving average: about seven of them count. */
#define INTERVAL_EWMA_WEIGHT 0.15
/*
 * An interval this many times the average is a pause, for example a weight
 * load.
 */
#define PAUSE_FACTOR 8
/* An older pace may have changed. */
#define PACE_MAX_AGE_NS (3 * NS_PER_S)
/* Bounds of the speed that is assumed for one engine. */
#define SPEED_MIN 0.1
#define SPEED_MAX 1.5

void engine_pace_add(struct engine_pace *pace, double interval_ns,
		     uint32_t running, int64_t now_ns)
{
	double alone_ns = interval_ns / place_step_time(running ? running : 1);

	if (!engine_pace_interval(pace, now_ns))
		pace->alone_interval_ns = alone_ns;
	else if (alone_ns < PAUSE_FACTOR * pace->alone_interval_ns)
		pace->alone_interval_ns += INTERVAL_EWMA_WEIGHT *
					   (alone_ns - pace->alone_interval_ns);
	pace->last_event_ns = now_ns;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

double engine_pace_typical(double *paces, uint32_t count)
{
	if (!count)
		return 0;
	qsort(paces, count, sizeof(*paces), compare);
	return paces[(count - 1) / 2];
}

double engine_pace_interval(const struct engine_pace *pace, int64_t now_ns)
{
	return now_ns - pace->last_event_ns < PACE_MAX_AGE_NS
		       ? pace->alone_interval_ns
		       : 0;
}

double engine_pace_speed(const struct engine_pace *pace, double typical_ns,
			 int64_t now_ns)
{
	double known_ns = engine_pace_interval(pace, now_ns);
	double speed;

	if (known_ns <= 0 || typical_ns <= 0)
		return 1;
	speed = typical_ns / known_ns;
	if (speed < SPEED_MIN)
		return SPEED_MIN;
	return speed > SPEED_MAX ? SPEED_MAX : speed;
}
