#include "policy/step_pace.h"

#include "base/clock.h"

/* Weight of one interval in the moving average. */
#define INTERVAL_WEIGHT 0.3
/* A trainer that paused for longer begins anew. */
#define INTERVAL_MAX_NS (60 * NS_PER_S)
/* The longest items of a step take the rest of its time. */
#define LOAD_TIME_SHARE 0.25
/* A step that takes longer than its time this often is given up. */
#define STEP_TIMES_MAX 2
#define LEFT_MAX_NS (3600 * NS_PER_S)

static void note_interval(struct step_pace *pace, int64_t interval_ns)
{
	if (!pace->interval_ns) {
		pace->interval_ns = interval_ns;
		return;
	}
	pace->interval_ns +=
		(int64_t)(INTERVAL_WEIGHT *
			  (double)(interval_ns - pace->interval_ns));
}

void step_pace_note(struct step_pace *pace, uint64_t min_version, int64_t at_ns)
{
	if (min_version <= pace->version)
		return;
	if (pace->version && at_ns > pace->began_ns) {
		int64_t passed_ns = at_ns - pace->began_ns;
		uint64_t versions = min_version - pace->version;

		if (passed_ns > INTERVAL_MAX_NS)
			pace->interval_ns = 0;
		else
			note_interval(pace, (int64_t)((double)passed_ns /
						      (double)versions));
	}
	pace->version = min_version;
	pace->began_ns = at_ns;
}

int64_t step_pace_left_ns(const struct step_pace *pace, uint64_t version,
			  uint64_t lag, int64_t now_ns)
{
	double passed_ns =
		version > pace->version ? 0 : (double)(now_ns - pace->began_ns);
	double step_ns = (double)pace->interval_ns * ((double)lag + 1);
	double left_ns = LOAD_TIME_SHARE * step_ns - passed_ns;

	if (pace->interval_ns <= 0 || passed_ns > STEP_TIMES_MAX * step_ns)
		return -1;
	if (left_ns > (double)LEFT_MAX_NS)
		return LEFT_MAX_NS;
	return left_ns > 0 ? (int64_t)left_ns : 0;
}
