#ifndef BATCH_RUNNER_CHOICE_H
#define BATCH_RUNNER_CHOICE_H

#include "batch/batch_runner_private.h"
#include "policy/choice_sample.h"
#include "policy/item_place.h"

/* Maximum number of engines considered in one choice. */
#define CHOICE_ENGINES_MAX CHOICE_SAMPLE_MAX

/*
 * The engines of a service that one scheduling round considers: all of them or,
 * if there are too many, a sample specific to this host in which engines that
 * have the model come first.
 */
struct engine_list {
	const struct entry_service
		*service; /* NULL: not in the configuration */
	struct engine_state *engines[CHOICE_ENGINES_MAX];
	uint32_t count;
	double typical_ns; /* time between events of an attempt; 0: unknown */
};

/* What an item still needs from an engine. */
struct item_need {
	double tokens_left; /* expected */
	double memory_tokens;
};

/* The service that runs the item; NULL if its route no longer exists. */
const char *runner_item_service(const struct batch_runner *runner,
				const struct active_item *item);

/* With `model` "", engines are listed regardless of their models. */
void runner_list_engines(struct batch_runner *runner, const char *service,
			 const char *model, struct engine_list *list);

void runner_item_need(const struct active_item *item,
		      const struct entry_service *service,
		      struct item_need *need);

/* Hash of the last shared part of the item's prompt; 0 if there is none. */
uint64_t runner_item_prefix(const struct active_item *item);

/*
 * Returns the engine for the item, other than `except`, or NULL if no engine
 * has room. Stores the data that the choice was based on in `view`.
 */
struct engine_state *runner_choose_engine(struct batch_runner *runner,
					  const struct active_item *item,
					  const struct engine_list *list,
					  const struct item_need *need,
					  const struct engine_state *except,
					  struct place_engine *view);

/*
 * Whether the item is bound to a single weight version, and no engine of the
 * service that takes new items has the version that made its text any more.
 */
int runner_text_version_is_unavailable(const struct batch_runner *runner,
				       const struct active_item *item,
				       const char *service);

/*
 * Expected time per token at the engine with `running` attempts of this daemon.
 */
double runner_token_ns(const struct batch_runner *runner,
		       const struct engine_list *list,
		       const struct engine_state *engine, uint32_t running);

#endif
