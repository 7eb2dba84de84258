#include "duty/version_duty_private.h"

/* Weight of one load in the moving average of load times. */
#define LOAD_WEIGHT 0.2

double version_duty_loading_ns(struct version_duty *duty)
{
	int64_t now = clock_now_ns(duty->clock);

	duty->loading_ns +=
		(double)(now - duty->loading_as_of_ns) * duty->loading_count;
	duty->loading_as_of_ns = now;
	return duty->loading_ns;
}

void version_duty_set_phase(struct duty_engine *engine, enum engine_phase phase)
{
	struct version_duty *duty = engine->duty;

	if (engine->phase == PHASE_IDLE && phase != PHASE_IDLE) {
		version_duty_loading_ns(duty);
		duty->loading_count++;
	} else if (engine->phase != PHASE_IDLE && phase == PHASE_IDLE) {
		version_duty_loading_ns(duty);
		duty->loading_count--;
	}
	engine->phase = phase;
}

void version_duty_learn_load_time(struct duty_engine *engine)
{
	struct version_duty *duty = engine->duty;
	int64_t took_ns = clock_now_ns(duty->clock) - engine->ordered_ns;
	double engines_ns;

	if (!engine->is_order_taken || took_ns <= 0)
		return;
	engines_ns =
		version_duty_loading_ns(duty) - engine->loading_ns_at_order;
	duty->mean_load_ns +=
		LOAD_WEIGHT * ((double)took_ns - duty->mean_load_ns);
	load_pace_observe(&duty->pace, engines_ns / (double)took_ns, took_ns,
			  clock_now_ns(duty->clock));
}

int64_t version_duty_expected_load_ns(const struct version_duty *duty)
{
	int64_t expected_ns =
		load_pace_expected_ns(&duty->pace, duty->loading_count + 1);

	return expected_ns ? expected_ns : (int64_t)duty->mean_load_ns;
}
