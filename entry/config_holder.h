#ifndef ENTRY_CONFIG_HOLDER_H
#define ENTRY_CONFIG_HOLDER_H

#include "base/record_log.h"
#include "entry/entry_config.h"
#include "policy/key_trust.h"

/*
 * The configuration in force on this daemon. It is never replaced by an older
 * version, whatever the store returns.
 */
struct config_holder {
	struct entry_config *current; /* NULL: none was read yet */
	int64_t applied_ns;
	struct key_trust trust; /* in the keys of `current` */
	uint64_t known_version; /* newest one named by a record of the store */
	int64_t known_ns; /* when that record was read */
	struct record_log *log;
	void (*changed)(void *arg, const struct entry_config *config);
	void *arg;
};

void config_holder_init(struct config_holder *holder, struct record_log *log);
void config_holder_finish(struct config_holder *holder);

/*
 * Puts `config` into force unless the current version is the same or newer;
 * returns 1 if it did. Takes over the caller's reference in either case.
 */
int config_holder_apply(struct config_holder *holder,
			struct entry_config *config, int64_t now_ns);

/* All versions that the store held at `as_of_ns` were read. */
void config_holder_confirm(struct config_holder *holder, int64_t as_of_ns);

/*
 * Whether the configuration in force is as new as `version`, which a record
 * that was read at `seen_ns` names. Once all that the store held at that time
 * was read, there is nothing to wait for: that version cannot be decoded here.
 */
int config_holder_covers(const struct config_holder *holder, uint64_t version,
			 int64_t seen_ns);

/* A record of the store that was read at `seen_ns` names this version. */
void config_holder_note(struct config_holder *holder, uint64_t version,
			int64_t seen_ns);

/*
 * Whether a newer version is known to be in force that is not covered yet. What
 * the current one does not have may exist, so that nothing is denied for good.
 */
int config_holder_is_behind(const struct config_holder *holder);

#endif
