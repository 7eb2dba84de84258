#ifndef BATCH_ENGINE_STATE_H
#define BATCH_ENGINE_STATE_H

#include "fleet/fleet.h"
#include "policy/engine_pace.h"

/*
 * State of one engine for batch scheduling, in addition to its fleet entry:
 * this daemon's attempts there, the weight versions seen in answers, and its
 * speed.
 */
#define ENGINE_MODELS_MAX 16

struct engine_model {
	char name[SERVER_ID_BYTES];
	uint64_t seen_version; /* in an answer; 0: none */
	int64_t blocked_until_ns; /* no attempts of the model are sent before */
};

struct engine_state {
	struct fleet_server *server; /* referenced */
	struct engine_model models[ENGINE_MODELS_MAX];
	uint32_t model_count;
	uint32_t running; /* attempts of this daemon */
	double memory_tokens; /* that these attempts may use */
	struct engine_pace pace;
	int64_t suspect_until_ns; /* no attempts before; it did not respond */
	int starts_over; /* it did not continue a text of another engine */
	uint64_t prefix; /* last shared prompt part that was sent to it */
	struct engine_state *next;
};

/* Returns the state of a server; creates it on first use. */
struct engine_state *engine_state_get(struct fleet_server *server,
				      struct engine_state **all);

/*
 * Removes and frees the state of a server that left the fleet and has no
 * attempts.
 */
void engine_state_remove(struct engine_state *engine,
			 struct engine_state **all);

/*
 * Weight version of the model at the engine; 0 if it is not known to have it.
 */
uint64_t engine_state_version(const struct engine_state *engine,
			      const char *model);

/* Records the weight version seen in an answer or event; 0 is ignored. */
void engine_state_set_seen_version(struct engine_state *engine,
				   const char *model, uint64_t version);

/* Sends the engine no attempts of the model before `until_ns`. */
void engine_state_block(struct engine_state *engine, const char *model,
			int64_t until_ns);
int engine_state_is_blocked(const struct engine_state *engine,
			    const char *model, int64_t now_ns);

#endif
