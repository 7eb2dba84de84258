#include "request/transition.h"

/* What is not listed is ruled out. */
static const enum request_state next_state[REQUEST_STATES][REQUEST_EVENTS] = {
	[REQUEST_RECEIVED] = {
		[EVENT_ADMIT] = REQUEST_ADMITTED,
		[EVENT_GIVE_UP] = REQUEST_REFUSED,
	},
	[REQUEST_ADMITTED] = {
		[EVENT_QUEUE] = REQUEST_QUEUED,
		[EVENT_DISPATCH] = REQUEST_DISPATCHED,
		[EVENT_GIVE_UP] = REQUEST_REFUSED,
	},
	[REQUEST_QUEUED] = {
		[EVENT_DISPATCH] = REQUEST_DISPATCHED,
		[EVENT_GIVE_UP] = REQUEST_REFUSED,
	},
	[REQUEST_DISPATCHED] = {
		[EVENT_NOT_SENT] = REQUEST_QUEUED,
		[EVENT_BACKEND_REFUSED] = REQUEST_QUEUED,
		[EVENT_DATA] = REQUEST_STREAMING,
		[EVENT_COMPLETE] = REQUEST_ANSWERED,
		[EVENT_LOST] = REQUEST_QUEUED,
		[EVENT_GIVE_UP] = REQUEST_REFUSED,
	},
	[REQUEST_STREAMING] = {
		[EVENT_DATA] = REQUEST_STREAMING,
		[EVENT_COMPLETE] = REQUEST_ANSWERED,
		[EVENT_LOST] = REQUEST_QUEUED,
		[EVENT_GIVE_UP] = REQUEST_REFUSED,
	},
};

void request_life_init(struct request_life *life, int repeatable)
{
	life->state = REQUEST_RECEIVED;
	life->run = RUN_NOT_RUN;
	life->repeatable = repeatable;
	life->may_have_run = 0;
}

static void update_run(struct request_life *life, enum request_event event,
		       enum run_status before_dispatch)
{
	if (event == EVENT_DISPATCH)
		life->run = RUN_UNKNOWN;
	if (event == EVENT_NOT_SENT || event == EVENT_BACKEND_REFUSED)
		life->run = before_dispatch;
	if (event == EVENT_COMPLETE)
		life->run = RUN_DONE;
}

int request_life_step(struct request_life *life, enum request_event event)
{
	enum request_state next = next_state[life->state][event];

	/*
	 * A call that may have run goes out again only if it is repeatable;
	 * once it was lost, no later refusal makes it "not run".
	 */
	if (event == EVENT_DISPATCH && life->run != RUN_NOT_RUN &&
	    !life->repeatable)
		return -1;
	if (next == REQUEST_NONE)
		return -1;
	if (event == EVENT_LOST)
		life->may_have_run = 1;
	update_run(life, event, life->may_have_run ? RUN_UNKNOWN : RUN_NOT_RUN);
	life->state = next;
	return 0;
}

const char *run_status_name(enum run_status run)
{
	static const char *const names[] = { "not_run", "unknown", "run" };

	return names[run];
}
