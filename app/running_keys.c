#include "app/running_keys.h"

#include "app/daemon.h"
#include "app/identity.h"

static const struct problem problem_withdrawn = {
	.status = 401,
	.type = "key_withdrawn",
	.detail = "the key was withdrawn while the request ran",
	.run = RUN_NOT_RUN,
};

static const struct problem problem_isolated = {
	.status = 503,
	.type = "isolated",
	.detail = "this host can no longer know of withdrawn keys",
	.run = RUN_UNKNOWN,
	.retry_after_ns = 2 * NS_PER_S,
};

void running_keys_add(struct daemon *daemon, struct running_request *request)
{
	running_table_add(&daemon->running, request);
	if (!request->key_id[0])
		return;
	/* A cut since the key was checked did not find the request. */
	if (__atomic_load_n(&daemon->isolated, __ATOMIC_ACQUIRE))
		request->cancel(request, &problem_isolated);
	else if (!identity_key_is_usable(daemon, request->key_id))
		request->cancel(request, &problem_withdrawn);
}

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

void running_keys_cut_isolated(struct daemon *daemon)
{
	running_table_cancel_keyed(&daemon->running, &problem_isolated);
}
