/*
 * A small deployment on loopback addresses for the review's scripts: the
 * platform's store and its API, model engines, daemons as processes, and
 * calls of requesters. One thread for each connection; one lock for all.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <pthread.h>
#include <stdint.h>
#include <sys/types.h>

#define DAEMONS_MAX 4
#define ENGINES_MAX 8
#define STORE_PARTS 12

/* What the store does to the calls that come over one listener. */
enum store_mode {
	STORE_SERVES = 0,
	STORE_RESETS, /* open channels are reset, new ones too */
	STORE_BUSY, /* every call is answered 503 */
	STORE_SILENT, /* open channels stay open, nothing is answered */
};

struct connection;

struct listener {
	char ip[64];
	int port;
	int fd;
	int index; /* of the daemon that uses it, or of the engine */
	enum store_mode mode;
	int64_t delay_ms; /* before each answer of the store */
	int lose_answers; /* so many appends are done and not answered */
	int late_ms; /* if set, those are done so much later */
	const char *lose_topic; /* only appends to this topic; NULL: all */
	void (*serve)(struct listener *listener, struct connection *connection);
};

struct daemon_process {
	char name[32];
	char ip[64];
	pid_t pid;
	int starts;
	struct listener *store;
	char settings[256];
	char output[256];
	int64_t last_batch_append_ms; /* in the topic "batch" */
	uint64_t batch_appends;
};

struct run {
	char id[64];
	int engine;
	int64_t at_ms;
	int last_event; /* as asked; -1: from the start */
	int status; /* 200 whole, 500 and so on, 0 broken off */
	int events; /* sent */
	int planned; /* the status that the engine gives it */
	char tenant[64];
	char path[128];
	uint64_t version; /* at its begin */
};

struct engine {
	char id[32];
	char service[32];
	char zone[32];
	struct listener *listener;
	int is_model; /* else a plain service */
	int slots;
	int listed; /* its entry is written */
	int draining;
	int64_t born_ms;
	uint64_t version; /* of MODEL */
	uint64_t loading; /* version that is being loaded; 0: none */
	int64_t loaded_at_ms;
	int orders;
	uint64_t highest_fence;
	int running;
	uint64_t beats;
	double error_share; /* of its runs are answered 500 */
	double extra_share; /* of its answers come again, late */
	int extras;
	char entry_id[32]; /* under which its entry stands; "": none */
	int64_t last_beat_ms;
	int dark; /* its machine answers nothing */
};

struct answer {
	int status; /* 0: none */
	char *head;
	char *body;
	size_t len;
};

#define MODEL "daka510000"

extern struct daemon_process daemons[DAEMONS_MAX];
extern int daemon_count;
extern struct engine engines[ENGINES_MAX];
extern int engine_count;
extern pthread_mutex_t world_lock;
/* Decides how a run of a model engine ends; NULL: all end whole. */
extern int (*run_policy)(const struct engine *engine, const char *id,
			 const char *path, int attempt);
/* A plain service's engine that begins such a request goes dark. */
extern const char *crashing_path;
extern int64_t dark_ms; /* until it is back, with another id */
extern int event_ms; /* between two events of a run */
extern int output_events; /* of each item */

int64_t now_ms(void); /* since the start */
int64_t wall_ms(void);
void sleep_ms(int64_t ms);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));
void broken(const char *format, ...) __attribute__((format(printf, 1, 2)));
extern int broken_count;
int trouble(void); /* 0 with TROUBLE=0 */

/* Sets up the folder for settings and output; the record goes to `record`. */
void world_init(const char *record);
void add_daemons(int count, const char *zone);
void add_engine(const char *service, int is_model, int slots);
void start_daemon(int index);
int daemon_is_ready(int index);
int wait_all_ready(int64_t timeout_ms);
/* Ends all processes; exits with 2 where the case couldn't run. */
int world_end(void);
void could_not_run(const char *why);

/* Writes a record of a keyed topic as the operator. */
void operator_put(const char *key, const char *value);
void set_store_mode(int daemon, enum store_mode mode);
/* Open channels of the daemon to the store go silent, new ones work. */
void silence_store_channels(int daemon);
/* The daemon that wrote last to the partitions of batches; -1: none. */
int last_batch_writer(void);
/* The runs of an item or a request, in order. */
int runs_of(const char *id, struct run *out, int max);

struct answer call_daemon(int daemon, const char *method, const char *path,
			  const char *fields, const char *body,
			  int64_t timeout_ms);
void answer_free(struct answer *answer);

/* The text of an item's whole output. */
void whole_text(const char *id, char *out, size_t size);
#endif
