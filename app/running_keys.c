#include "app/running_keys.h"

#include "app/daemon.h"
#include "app/identity.h"

static const struct problem problem_withdrawn = {
	.status = 401,
	.type = "key_withdrawn",
	.detail = "the key was withdrawn while the request ran",
	.run = RUN_NOT_RUN,
};

void running_keys_cut(struct daemon *daemon, const char *key_id)
{
	uint32_t count = running_table_cancel_key(&daemon->running, key_id,
						  &problem_withdrawn);

	if (count)
		log_info(&daemon->log_app,
			 "cut %u requests of withdrawn key '%s'", count,
			 key_id);
}

static int is_unusable(void *arg, const char *key_id)
{
	return !identity_key_is_usable(arg, key_id);
}

void running_keys_cut_withdrawn(struct daemon *daemon)
{
	uint32_t count = running_table_cancel_if(&daemon->running, is_unusable,
						 daemon, &problem_withdrawn);

	if (count)
		log_info(&daemon->log_app, "cut %u requests of withdrawn keys",
			 count);
}
