#ifndef BATCH_RUNNER_CHOICE_H
#define BATCH_RUNNER_CHOICE_H

#include "batch/batch_runner_private.h"
#include "policy/choice_sample.h"
#include "policy/item_place.h"

/* Engines that one choice looks at. */
#define CHOICE_ENGINES_MAX CHOICE_SAMPLE_MAX

/*
 * The engines of a service, as one round of choices sees them: all of them,
 * or this host's part of many, first of those that have the model.
 */
struct engine_list {
	const struct entry_service *service; /* NULL: not in the config */
	struct engine_state *engines[CHOICE_ENGINES_MAX];
	uint32_t count;
	double typical_ns; /* between events of a run; 0: unknown */
};

/* What an item still asks of an engine. */
struct item_need {
	double tokens_left; /* expected */
	double memory_tokens;
};

/* The service of an item's route; NULL if there is no such route any more. */
const char *runner_item_service(const struct batch_runner *runner,
				const struct run_item *item);

/* `model` "": any. */
void runner_list_engines(struct batch_runner *runner, const char *service,
			 const char *model, struct engine_list *list);

void runner_item_need(const struct run_item *item,
		      const struct entry_service *service,
		      struct item_need *need);

/* The last shared part of the item's prompt; 0 if there is none. */
uint64_t runner_item_prefix(const struct run_item *item);

/*
 * The engine for the item, other than `except`; NULL if none has room. `view`
 * takes what the choice knew of it.
 */
struct engine_state *runner_choose_engine(struct batch_runner *runner,
					  const struct run_item *item,
					  const struct engine_list *list,
					  const struct item_need *need,
					  const struct engine_state *except,
					  struct place_engine *view);

/*
 * Whether the item must keep to one version of the weights, and no engine of
 * the service has that of its text any more.
 */
int runner_text_is_stranded(const struct batch_runner *runner,
			    const struct run_item *item, const char *service);

/* Time of a token at the engine with so many runs of this daemon. */
double runner_token_ns(const struct batch_runner *runner,
		       const struct engine_list *list,
		       const struct engine_state *engine, uint32_t running);

#endif
