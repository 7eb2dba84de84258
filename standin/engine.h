#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include <pthread.h>
#include <stdint.h>

#include "client/http_call.h"
#include "standin/engine_cache.h"
#include "standin/engine_served.h"
#include "standin/fence.h"
#include "standin/server.h"

/*
 * A model engine that batches continuously: up to `capacity` requests run,
 * each gets a token every `token_us` * (1 + 0.05 * (running - 1)), and the
 * others wait by priority and arrival.
 */
#define MAX_CHOICES 128
#define MAX_TOKENS 100000

enum generation_state { GENERATION_WAITING = 0, GENERATION_RUNNING };

/* One request; it belongs to the thread that answers it. */
struct generation {
	char id[64];
	const char *prompt;
	uint64_t seed;
	uint32_t choices;
	uint32_t max_tokens;
	int64_t priority;
	int stream;
	int chat;
	enum generation_state state;
	int cancelled;
	uint32_t cut_at; /* tokens after which it is cut; 0: never */
	uint32_t crash_at; /* tokens after which the process ends; 0: never */
	int wrong_id;
	uint32_t done; /* tokens of each choice */
	struct span_list spans;
	pthread_cond_t woken;
	struct generation *next; /* in engine.first */
};

struct engine_faults {
	uint32_t fail_swaps; /* orders left */
	uint32_t cut_streams; /* requests left */
	uint32_t wrong_id; /* requests left */
	double slow_factor;
	char crash_on[256]; /* "": never */
};

struct engine {
	struct role base;
	const struct standin_options *options;
	uint64_t incarnation;
	pthread_mutex_t lock;
	struct generation *first; /* waiting and running, by priority */
	uint32_t running;
	uint32_t waiting;
	uint64_t generated; /* tokens since the start */
	uint64_t version;
	int draining;
	char role[32];
	struct engine_faults faults;
	struct fence fence;
	struct served served;
	struct engine_cache cache;
	struct http_pool weights;
	pthread_mutex_t swap_lock; /* one swap at a time */
};

/*
 * Waits for a place among the running ones. Returns -1 if the request is
 * refused (never started) or was cancelled while it waited.
 */
int engine_admit(struct engine *engine, struct generation *generation);

/*
 * Waits for up to `max` next tokens and adds them to the spans. Returns how
 * many there are; 0 at the end or when it was cancelled.
 */
uint32_t engine_step(struct engine *engine, struct generation *generation,
		     uint32_t max, uint64_t *version);

/* Leaves the running ones and records what was generated. */
void engine_leave(struct engine *engine, struct generation *generation);

/* Cancels a request by id; returns 1 if it was waiting or running. */
int engine_cancel(struct engine *engine, const char *id);

/* Handles a completion from its parsed body. */
void engine_complete(struct engine *engine, struct call *call,
		     struct reply *reply, const json_t *body, int chat);

/* Handles POST /v1/orders. */
void engine_order(struct engine *engine, struct reply *reply,
		  const json_t *order);

#endif
