#ifndef BATCH_ENGINE_STATE_H
#define BATCH_ENGINE_STATE_H

#include "fleet/fleet.h"
#include "policy/engine_pace.h"

/*
 * What the scheduler of batches knows of one engine, beside its entry: this
 * daemon's runs there, the weights that answers showed, and how fast it is.
 */
#define ENGINE_MODELS_MAX 16

struct engine_model {
	char name[SERVER_ID_BYTES];
	uint64_t seen_version; /* by an answer; 0: none seen */
	int64_t blocked_until_ns; /* it takes no new runs of the model */
};

struct engine_state {
	struct fleet_server *server; /* held */
	struct engine_model models[ENGINE_MODELS_MAX];
	uint32_t model_count;
	uint32_t running; /* items of this daemon */
	double memory_tokens; /* that these may take */
	struct engine_pace pace;
	int64_t suspect_until_ns; /* it fell silent */
	int starts_over; /* it did not go on with a text of another engine */
	uint64_t prefix; /* last shared part of the prompt it read */
	struct engine_state *next;
};

/* The state of a server, made when it is first asked for. */
struct engine_state *engine_state_get(struct fleet_server *server,
				      struct engine_state **all);

/* Drops the state of a server that left the fleet, once it has no runs. */
void engine_state_drop(struct engine_state *engine, struct engine_state **all);

/* Version of the model's weights as far as known; 0: not there. */
uint64_t engine_state_version(const struct engine_state *engine,
			      const char *model);

/* An answer or an event showed this version. */
void engine_state_saw_version(struct engine_state *engine, const char *model,
			      uint64_t version);

/* The engine refused a run of the model: none is sent before `until_ns`. */
void engine_state_block(struct engine_state *engine, const char *model,
			int64_t until_ns);
int engine_state_is_blocked(const struct engine_state *engine,
			    const char *model, int64_t now_ns);

#endif
