/*
 * A small deployment on loopback for the scripts of this review: the
 * platform's store and API, engines and requesters as threads of one process,
 * and the project's daemons as processes of their own.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

/* Exit statuses of a script. */
enum verdict { RULE_HELD = 0, RULE_BROKEN = 1, CANNOT_RUN = 2 };

/* Whether the disruption is part of this run: TROUBLE=0 leaves it out. */
extern int trouble;

/* Creates record.txt in `folder`, and the addresses of this run. */
void world_init(const char *folder);
/* Kills what is left of the daemons and returns the exit status. */
int world_end(enum verdict verdict);
/* Ends the script as one that could not run. */
__attribute__((noreturn, format(printf, 1, 2))) void give_up(const char *fmt,
							     ...);

/* A line of record.txt, with the time since the start. */
__attribute__((format(printf, 1, 2))) void note(const char *fmt, ...);
int64_t now_ms(void); /* steady */
int64_t wall_ms(void);
void sleep_ms(int64_t ms);
/* Waits until `condition` returns non-zero; 0 after the limit. */
int wait_for(int (*condition)(void *arg), void *arg, int64_t limit_ms);

/* A request as it arrives at a stand-in, or an answer at a requester. */
struct message {
	char *head; /* start line and fields, NUL-terminated */
	char *body;
	size_t body_len;
	int status; /* of an answer; 0: none came, or it is not whole */
	int channel_closed; /* without a whole answer */
};

/* Value of a field, copied to `out`; NULL if the message lacks it. */
const char *message_field(const struct message *message, const char *name,
			  char *out, size_t size);
const char *message_path(const struct message *message, char *out, size_t size);
void message_free(struct message *message);

/* A connection of a stand-in that serves HTTP. */
struct channel {
	int fd;
	int close_after;
	int64_t opened_ms;
	int number; /* of its listener, from 0 */
};

struct listener {
	char address[48]; /* ip:port */
	int fd;
	void (*handle)(struct channel *channel, const struct message *request,
		       void *arg);
	void *arg;
	atomic_int open;
};

void listener_start(struct listener *listener, const char *ip,
		    void (*handle)(struct channel *, const struct message *,
				   void *),
		    void *arg);
/* Writes all bytes; -1 if the peer has gone. */
int channel_write(struct channel *channel, const void *data, size_t len);
/* Whether the peer has closed or reset the channel. */
int channel_is_closed(const struct channel *channel);
/* A whole answer; `fields` are further header lines, each with CRLF. */
int channel_answer(struct channel *channel, int status, const char *fields,
		   const void *body, size_t len);
/* The head of an answer in chunks, a chunk, and the end. */
int channel_begin(struct channel *channel, int status, const char *fields);
int channel_chunk(struct channel *channel, const void *data, size_t len);
int channel_finish(struct channel *channel);

/* A requester's connection; kept until client_close(). */
struct client {
	int fd;
	char address[48];
};

int client_open(struct client *client, const char *address);
void client_close(struct client *client);
/* Sends a request; -1 if the channel is closed. */
int client_send(struct client *client, const char *method, const char *path,
		const char *fields, const void *body, size_t len);
/* Waits for the whole answer to the oldest request without one. */
void client_receive(struct client *client, int64_t until_ms,
		    struct message *answer);
/* Sends a request and waits for the whole answer. */
void client_call(struct client *client, const char *method, const char *path,
		 const char *fields, const void *body, size_t len,
		 int64_t limit_ms, struct message *answer);
/* The same on a new channel. */
void call_once(const char *address, const char *method, const char *path,
	       const char *fields, const void *body, size_t len,
	       int64_t limit_ms, struct message *answer);

/*
 * The platform's store and its API for duties. Each daemon has an address of
 * the store of its own.
 */
void store_start(void);
/*
 * Set before the start: how long the store keeps a record, and the bound
 * `status_s`. Both stand in the settings of the daemons.
 */
extern int store_retention_s;
extern int bound_status_s;
/* The first ones stand in zone bergen-a, the others in bergen-b; 0: all in a.
 */
extern int daemons_per_zone;
/* Number of windows whose usage was reported, and the last one's holder. */
int usage_reported(char *holder, size_t size);
/* Number of windows for which reports with different counts were accepted. */
int usage_conflicts(void);
/* Address of the store for one daemon. */
const char *store_address(int daemon);
/*
 * The open channel on which a daemon waits for records of a topic goes silent
 * for good; new ones work.
 */
void store_silence(int daemon, const char *topic);
/*
 * The daemon that appended last to any partition of a topic; -1: none. Results
 * are appended by the daemon that runs the batch.
 */
int store_last_appender(const char *topic);
/* Writes a record of a keyed topic as the operator or an engine does. */
void store_put(const char *topic, const char *key, const char *value);
/* The same with a key and a value of any bytes. */
void store_put_bytes(const char *topic, const void *key, size_t key_len,
		     const void *value, size_t value_len);
#define ENGINE_MORE_MODELS 3

/* An engine that enters itself into the store and reports there. */
struct engine {
	char id[32];
	const char *service;
	const char
		*models; /* JSON list; of engines whose weights change: NULL */
	/* Weights of engines that take orders: the model, and its version. */
	const char *model; /* NULL: no order is taken */
	atomic_int version;
	/* Further models whose weights change; NULL ends the list. */
	const char *more_models[ENGINE_MORE_MODELS];
	atomic_int more_versions[ENGINE_MORE_MODELS];
	int slots;
	/*
	 * Handles a request that names this engine. Health, reports and orders
	 * are answered before.
	 */
	void (*run)(struct engine *engine, struct channel *channel,
		    const struct message *request, const char *id);
	struct listener listener;
	int64_t born_ms;
	atomic_int seq;
	atomic_int orders;
	atomic_int draining; /* its entry says so */
	atomic_int gone; /* it has left: no entry, and no answer */
	atomic_int is_dark; /* it has crashed, and is silent */
	atomic_int life; /* number of crashes */
	/* By orders, under a lock of the stand-ins. */
	int runs; /* in progress */
	int loading; /* version that is being loaded; 0: none */
	const char *loading_model;
	int awaits_runs; /* the load waits until the runs are over */
	long long fence; /* highest one seen */
};

/* The trainer names a version, from which on engines take orders to load it. */
void name_version(const char *model, int version);
void engine_start(struct engine *engine);
/*
 * It crashes and is silent for that long; then it starts again under its id,
 * and the channels of before are reset.
 */
void engine_crash(struct engine *engine, int64_t dark_ms);
/*
 * Whether it has crashed since its life had that number. Waits for its next
 * start then; the caller only returns.
 */
int engine_has_crashed(struct engine *engine, int life,
		       struct channel *channel);
/* Its entry says `draining`; it goes on serving until engine_leave(). */
void engine_drain(struct engine *engine);
/* Its entry is removed, and it answers no more. */
void engine_leave(struct engine *engine);
/* Version of a model at the engine; 0: the engine doesn't have it. */
int engine_version(struct engine *engine, const char *model);

/* A daemon of the project, started with the command of the deploy file. */
#define MAX_DAEMONS 12
struct daemon_process {
	int number;
	char name[32];
	char front[48]; /* addresses */
	char ready[48];
	char directory[48];
	pid_t pid; /* 0: not running */
	int stopping; /* it got SIGTERM */
	int frozen;
	int starts;
	int own_ends; /* ends that this script did not cause */
};

extern struct daemon_process daemons[MAX_DAEMONS];

void daemon_start(int number);
void daemon_wait_ready(int number);
/* Sends SIGTERM. */
void daemon_stop(int number);
void daemon_freeze(int number);
void daemon_thaw(int number);
/* Sends SIGKILL and waits for the end. */
void daemon_kill(int number);
/* Number of the daemon of this name; -1: none. */
int daemon_named(const char *name);
/* Notes whether a daemon has ended; returns 1 if it has. */
int daemon_has_ended(struct daemon_process *daemon);

/* Base64 of a text, in a buffer that the caller frees. */
char *base64(const void *data, size_t len);

#endif
