#include "app/load_watch.h"

#include <stdlib.h>
#include <string.h>

#include "app/daemon.h"
#include "base/alloc.h"
#include "membership/rank.h"

#define WATCH_REFRESH_NS (1 * NS_PER_S)

/* What is looked up for each server. */
struct watch_round {
	struct load_watch *watch;
	const char *own_name;
	const char *own_centre;
	struct member *members; /* the own host left out */
	uint32_t member_count;
	const char **centres; /* of members that are alive */
	uint32_t centre_count;
};

void load_watch_init(struct load_watch *watch)
{
	memset(watch, 0, sizeof(*watch));
}

void load_watch_finish(struct load_watch *watch)
{
	free(watch->servers);
}

static int has_centre(const struct watch_round *round, const char *name)
{
	for (uint32_t i = 0; i < round->centre_count; i++)
		if (!strcmp(round->centres[i], name))
			return 1;
	return 0;
}

static void note_centres(struct watch_round *round)
{
	round->centres =
		xmalloc((round->member_count + 1) * sizeof(*round->centres));
	round->centres[round->centre_count++] = round->own_centre;
	for (uint32_t i = 0; i < round->member_count; i++) {
		const struct member *member = &round->members[i];

		if (member->state == MEMBER_ALIVE &&
		    !has_centre(round, member->data_centre))
			round->centres[round->centre_count++] =
				member->data_centre;
	}
}

static void add_server(struct load_watch *watch, const char *pool,
		       const struct server *server, int shares)
{
	struct watched_server *one;

	if (watch->count == watch->alloc) {
		watch->alloc = watch->alloc * 2 + 16;
		watch->servers = xrealloc(
			watch->servers, watch->alloc * sizeof(*watch->servers));
	}
	one = &watch->servers[watch->count++];
	copy_text(one->pool, sizeof(one->pool), pool);
	copy_text(one->name, sizeof(one->name), server->name);
	copy_text(one->address, sizeof(one->address), server->address);
	one->shares = shares;
}

static void look_at(void *arg, const struct server_pool *pool,
		    const struct server *server, const struct server_view *view)
{
	struct watch_round *round = arg;
	int is_own = !strcmp(view->data_centre, round->own_centre);
	uint32_t rank;

	if (server->role != HOST_ENGINE ||
	    (!is_own && has_centre(round, view->data_centre)))
		return;
	rank = member_rank(round->members, round->member_count, round->own_name,
			   server->name, is_own ? round->own_centre : NULL,
			   LOAD_WATCHERS);
	if (rank < LOAD_WATCHERS)
		add_server(round->watch, pool->name, server, rank == 0);
}

void load_watch_refresh(struct load_watch *watch, struct daemon *daemon,
			int64_t now_ns)
{
	struct watch_round round = {
		.watch = watch,
		.own_name = daemon->settings.name,
		.own_centre = daemon->settings.data_centre,
	};

	if (now_ns < watch->due_ns)
		return;
	watch->due_ns = now_ns + WATCH_REFRESH_NS;
	watch->count = 0;
	round.member_count =
		membership_view(daemon->membership, &round.members);
	note_centres(&round);
	server_table_each(&daemon->servers, look_at, &round);
	free(round.centres);
	free(round.members);
}

const struct watched_server *load_watch_next(struct load_watch *watch)
{
	if (!watch->count)
		return NULL;
	if (watch->next >= watch->count)
		watch->next = 0;
	return &watch->servers[watch->next++];
}
