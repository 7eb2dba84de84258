#ifndef ENTRY_CONFIG_HOLDER_H
#define ENTRY_CONFIG_HOLDER_H

#include "base/record_log.h"
#include "entry/entry_config.h"
#include "policy/key_trust.h"

/*
 * The configuration that is in force on this daemon. It never goes back to an
 * older version, whatever the store shows.
 */
struct config_holder {
	struct entry_config *current; /* NULL: none is known yet */
	int64_t taken_ns;
	struct key_trust trust; /* in the keys of it */
	struct record_log *log;
	void (*changed)(void *arg, const struct entry_config *config);
	void *arg;
};

void config_holder_init(struct config_holder *holder, struct record_log *log);
void config_holder_finish(struct config_holder *holder);

/*
 * Takes `config`, with its reference, into force, unless a version as new is.
 * Returns 1 if it did.
 */
int config_holder_take(struct config_holder *holder,
		       struct entry_config *config, int64_t now_ns);

#endif
