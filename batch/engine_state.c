#include "batch/engine_state.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

struct engine_state *engine_state_get(struct fleet_server *server,
				      struct engine_state **all)
{
	struct engine_state *engine = server->batch_engine;

	if (engine)
		return engine;
	engine = xcalloc(1, sizeof(*engine));
	engine->server = fleet_server_ref(server);
	engine->next = *all;
	*all = engine;
	server->batch_engine = engine;
	return engine;
}

void engine_state_remove(struct engine_state *engine, struct engine_state **all)
{
	while (*all != engine)
		all = &(*all)->next;
	*all = engine->next;
	engine->server->batch_engine = NULL;
	fleet_server_unref(engine->server);
	free(engine);
}

static const struct engine_model *find_model(const struct engine_state *engine,
					     const char *name)
{
	for (uint32_t i = 0; i < engine->model_count; i++)
		if (!strcmp(engine->models[i].name, name))
			return &engine->models[i];
	return NULL;
}

static struct engine_model *get_model(struct engine_state *engine,
				      const char *name)
{
	struct engine_model *model =
		(struct engine_model *)find_model(engine, name);

	if (model)
		return model;
	if (engine->model_count == ENGINE_MODELS_MAX)
		engine->model_count = 0; /* versions are seen again */
	model = &engine->models[engine->model_count++];
	memset(model, 0, sizeof(*model));
	copy_text(model->name, sizeof(model->name), name);
	return model;
}

uint64_t engine_state_version(const struct engine_state *engine,
			      const char *model)
{
	const struct engine_model *seen = find_model(engine, model);
	uint64_t said = server_entry_version(&engine->server->entry, model);

	if (seen && seen->seen_version > said)
		return seen->seen_version;
	return said;
}

void engine_state_set_seen_version(struct engine_state *engine,
				   const char *model, uint64_t version)
{
	if (version)
		get_model(engine, model)->seen_version = version;
}

void engine_state_block(struct engine_state *engine, const char *model,
			int64_t until_ns)
{
	get_model(engine, model)->blocked_until_ns = until_ns;
}

int engine_state_is_blocked(const struct engine_state *engine,
			    const char *model, int64_t now_ns)
{
	const struct engine_model *seen = find_model(engine, model);

	return seen && now_ns < seen->blocked_until_ns;
}
