#include "entry/config_holder.h"

#include <string.h>

void config_holder_init(struct config_holder *holder, struct record_log *log)
{
	memset(holder, 0, sizeof(*holder));
	holder->log = log;
}

void config_holder_finish(struct config_holder *holder)
{
	entry_config_unref(holder->current);
	holder->current = NULL;
}

static void log_version(struct config_holder *holder, const char *event,
			const struct entry_config *config)
{
	const struct entry_config *current = holder->current;
	struct record record;

	record_begin(&record, holder->log, "config", event);
	record_int(&record, "version", (int64_t)config->version);
	record_int(&record, "before", current ? (int64_t)current->version : -1);
	record_int(&record, "routes", config->route_count);
	record_int(&record, "teams", config->team_count);
	record_int(&record, "keys", config->key_count);
	record_end(&record);
}

int config_holder_apply(struct config_holder *holder,
			struct entry_config *config, int64_t now_ns)
{
	if (holder->current && config->version <= holder->current->version) {
		if (config->version < holder->current->version)
			log_version(holder, "older_ignored", config);
		entry_config_unref(config);
		return 0;
	}
	log_version(holder, "in_force", config);
	entry_config_unref(holder->current);
	holder->current = config;
	holder->applied_ns = now_ns;
	if (holder->changed)
		holder->changed(holder->arg, config);
	return 1;
}

void config_holder_confirm(struct config_holder *holder, int64_t as_of_ns)
{
	key_trust_confirm(&holder->trust, as_of_ns);
}

int config_holder_covers(const struct config_holder *holder, uint64_t version,
			 int64_t seen_ns)
{
	if (!holder->current)
		return 0;
	return holder->current->version >= version ||
	       holder->trust.confirmed_ns > seen_ns;
}

void config_holder_note(struct config_holder *holder, uint64_t version,
			int64_t seen_ns)
{
	if (version <= holder->known_version)
		return;
	holder->known_version = version;
	holder->known_ns = seen_ns;
}

int config_holder_is_behind(const struct config_holder *holder)
{
	return !config_holder_covers(holder, holder->known_version,
				     holder->known_ns);
}
