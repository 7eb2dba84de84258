#include "app/share_events.h"

#include <stdlib.h>
#include <string.h>

#include "app/daemon.h"
#include "base/alloc.h"

void share_events_init(struct share_events *events, struct daemon *daemon)
{
	events->daemon = daemon;
	team_shares_init(&events->shares, &daemon->team_slots,
			 &daemon->peers.outbox, &daemon->counters,
			 daemon->settings.name, daemon->settings.data_centre);
}

void share_events_finish(struct share_events *events)
{
	team_shares_finish(&events->shares);
}

static struct team *copy_teams(struct daemon *daemon, uint32_t *count)
{
	const struct config *config =
		log_client_config_begin(&daemon->log_client);
	struct team *teams = xcalloc(config->team_count + 1, sizeof(*teams));

	*count = config->team_count;
	if (config->team_count)
		memcpy(teams, config->teams, *count * sizeof(*teams));
	log_client_config_end(&daemon->log_client);
	return teams;
}

void share_events_tick(struct share_events *events, int64_t now_ns)
{
	struct daemon *daemon = events->daemon;
	struct share_view view;
	struct member *members;
	struct peer_member *peers;
	struct team *teams;

	/* Without the list it cannot be told who else has a part. */
	if (!host_poll_has_list(&daemon->host_poll) ||
	    !team_shares_due(&events->shares, now_ns))
		return;
	teams = copy_teams(daemon, &view.team_count);
	view.member_count = membership_view(daemon->membership, &members);
	view.peer_count =
		membership_choose_peers(daemon->membership, now_ns, &peers);
	view.members = members;
	view.peers = peers;
	view.teams = teams;
	team_shares_step(&events->shares, &view, now_ns);
	free(teams);
	free(members);
	free(peers);
}
