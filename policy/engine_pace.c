#include "policy/engine_pace.h"

#include <stdlib.h>

#include "base/clock.h"
#include "policy/item_place.h"

/* Part that one interval has in the mean: about seven of them count. */
#define INTERVAL_WEIGHT 0.15
/* An interval this many times the mean is a pause, such as a load. */
#define PAUSE_FACTOR 8
/* A pace that is older than this may have changed. */
#define PACE_KEEPS_NS (3 * NS_PER_S)
/* Bounds of what is believed of one engine. */
#define SPEED_MIN 0.1
#define SPEED_MAX 1.5

void engine_pace_add(struct engine_pace *pace, double interval_ns,
		     uint32_t running, int64_t now_ns)
{
	double alone_ns = interval_ns / place_step_time(running ? running : 1);

	if (!engine_pace_known(pace, now_ns))
		pace->event_ns = alone_ns;
	else if (alone_ns < PAUSE_FACTOR * pace->event_ns)
		pace->event_ns += INTERVAL_WEIGHT * (alone_ns - pace->event_ns);
	pace->seen_ns = now_ns;
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

double engine_pace_known(const struct engine_pace *pace, int64_t now_ns)
{
	return now_ns - pace->seen_ns < PACE_KEEPS_NS ? pace->event_ns : 0;
}

double engine_pace_speed(const struct engine_pace *pace, double typical_ns,
			 int64_t now_ns)
{
	double known_ns = engine_pace_known(pace, now_ns);
	double speed;

	if (known_ns <= 0 || typical_ns <= 0)
		return 1;
	speed = typical_ns / known_ns;
	if (speed < SPEED_MIN)
		return SPEED_MIN;
	return speed > SPEED_MAX ? SPEED_MAX : speed;
}
