#ifndef REQUEST_TRANSITION_H
#define REQUEST_TRANSITION_H

/*
 * The life of one call to a backend server as a table. `handed_over` is the
 * whole basis of what a refusal may say: "not run" is only true while no
 * byte of the call was handed to a backend server, or when the backend
 * server itself refused before it started.
 */
enum request_state {
	REQUEST_NONE = 0, /* in the table: the event is ruled out */
	REQUEST_RECEIVED,
	REQUEST_ADMITTED,
	REQUEST_QUEUED,
	REQUEST_DISPATCHED, /* handed to a backend server, no answer yet */
	REQUEST_STREAMING, /* part of the answer is here */
	REQUEST_ANSWERED,
	REQUEST_REFUSED,
	REQUEST_STATES,
};

enum request_event {
	EVENT_ADMIT = 0,
	EVENT_QUEUE,
	EVENT_DISPATCH,
	EVENT_NOT_SENT, /* no byte left this host */
	EVENT_BACKEND_REFUSED, /* it says that it did not run the call */
	EVENT_DATA,
	EVENT_COMPLETE, /* the whole answer is here */
	EVENT_LOST, /* cut, timed out or broken after dispatch */
	EVENT_GIVE_UP, /* deadline, cancel, withdrawal, overload */
	REQUEST_EVENTS,
};

/* What a refusal says about whether the call ran. */
enum run_status {
	RUN_NOT_RUN = 0,
	RUN_UNKNOWN,
	RUN_DONE,
};

struct request_life {
	enum request_state state;
	enum run_status run;
	int repeatable; /* may run more than once */
	int may_have_run; /* an earlier try was lost */
};

void request_life_init(struct request_life *life, int repeatable);

/*
 * Applies an event. Returns 0, or -1 if the table rules it out in this
 * state, which leaves everything as it was. EVENT_DISPATCH is ruled out for a
 * call that is not repeatable and may have run.
 */
int request_life_step(struct request_life *life, enum request_event event);

/* "not_run", "unknown" or "run". */
const char *run_status_name(enum run_status run);

#endif
