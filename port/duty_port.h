#ifndef PORT_DUTY_PORT_H
#define PORT_DUTY_PORT_H

#include <stdint.h>

#include "base/strbuf.h"

/*
 * What one daemon at a time asks of the platform and of engines for all, as
 * a holder with a fencing number. Calls do not block: each is an object of
 * the caller that lives until its done() is called, on the loop's thread and
 * never from within the call itself.
 */
enum duty_outcome {
	DUTY_DONE = 0,
	DUTY_HOLDS, /* it was so already */
	DUTY_FENCED, /* a higher fencing number was seen */
	DUTY_CONFLICT, /* not possible now: none to be had, or another order */
	DUTY_REFUSED, /* not done; may be tried again */
	DUTY_INVALID, /* the other side does not understand or know it */
	DUTY_UNKNOWN, /* no answer: it may have been or may yet be done */
};

const char *duty_outcome_name(enum duty_outcome outcome);

struct duty_call {
	const char *holder;
	uint64_t fence;
	int64_t timeout_ns;
	enum duty_outcome outcome;
	uint16_t status; /* of the answer; 0: none */
	int server_leaves; /* the engine's answer said so */
	char detail[96]; /* of the answer, for logs */
	void (*done)(struct duty_call *call);
	void *arg;
	void *running; /* the port's */
};

/* Requests that began in a window, by team. */
struct team_count {
	char team[64];
	uint64_t requests;
};

struct usage_report {
	struct duty_call call;
	uint64_t window; /* its number */
	const struct team_count *counts;
	uint32_t count;
};

/* How many servers of a service a data centre is to have. */
struct server_number {
	struct duty_call call;
	const char *service;
	const char *data_centre;
	int cheap; /* those that may be taken away */
	uint32_t count;
};

/* Lets an engine load weights. */
enum load_mode {
	LOAD_AFTER_RUNS = 0, /* runs of the model finish first */
	LOAD_CUTS_RUNS, /* their streams are reset */
	LOAD_KEEPS_RUNS, /* they go on with the new weights */
};

struct weight_order {
	struct duty_call call;
	const char *server_id;
	const char *address;
	const char *model;
	uint64_t version;
	enum load_mode mode;
	int64_t expected_orders; /* only if it took so many; -1: any */
};

/* What an engine says of itself now. */
struct engine_report {
	struct duty_call call;
	const char *server_id;
	const char *address;
	int is_busy; /* an order is being carried out */
	uint64_t orders; /* that it took since its start */
	uint32_t running;
	uint32_t waiting;
	uint64_t memory_used;
	const char *model; /* asked for */
	uint64_t version; /* of that model; 0: it has none */
};

struct duty_port;

struct duty_port_vtable {
	void (*report_usage)(struct duty_port *port,
			     struct usage_report *report);
	void (*order_servers)(struct duty_port *port,
			      struct server_number *order);
	void (*order_weights)(struct duty_port *port,
			      struct weight_order *order);
	void (*ask_engine)(struct duty_port *port,
			   struct engine_report *report);
	/* Gives up a running call; its done() is not called. */
	void (*cancel)(struct duty_port *port, struct duty_call *call);
};

struct duty_port {
	const struct duty_port_vtable *vt;
};

#endif
