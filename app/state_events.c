#include "app/state_events.h"

#include "app/daemon.h"
#include "app/running_keys.h"
#include "base/container_of.h"

static void on_command(struct daemon *daemon, const Currant__Command *command,
		       int accepted, const struct error *why)
{
	const Currant__Change *change = command->change;

	denial_set_decide(&daemon->denials.set, command->id);
	if (!accepted) {
		timeline_add(&daemon->timeline, "config",
			     "command %.40s rejected: %.80s", command->id,
			     why ? why->text : "");
		return;
	}
	timeline_add(&daemon->timeline, "config", "command %.40s accepted: %s",
		     command->id, change ? change->name : "");
	if (change &&
	    change->verb == CURRANT__CHANGE_VERB__CHANGE_VERB_WITHDRAW)
		daemon->state_events.keys_withdrawn = 1;
}

static void on_lease(struct daemon *daemon, const Currant__LeaseClaim *claim,
		     int accepted)
{
	if (accepted)
		timeline_add(&daemon->timeline, "lease", "%s held by %s",
			     claim->name, claim->holder);
}

static void on_applied(struct state_observer *observer,
		       const Currant__Record *record, uint64_t position,
		       int accepted, const struct error *why)
{
	struct daemon *daemon = ((struct state_events *)observer)->daemon;

	(void)position;
	switch (record->body_case) {
	case CURRANT__RECORD__BODY_COMMAND:
		on_command(daemon, record->command, accepted, why);
		break;
	case CURRANT__RECORD__BODY_LEASE_CLAIM:
		on_lease(daemon, record->lease_claim, accepted);
		break;
	case CURRANT__RECORD__BODY_WEIGHT_PUBLISHED:
		version_table_raise(&daemon->versions,
				    record->weight_published->pool,
				    record->weight_published->version);
		break;
	case CURRANT__RECORD__BODY_QUARANTINE:
		blame_events_on_logged(&daemon->blame,
				       record->quarantine->fingerprint,
				       record->quarantine->until_wall_ms);
		break;
	default:
		break;
	}
}

static void raise_version(void *arg, const char *pool, uint64_t version)
{
	struct daemon *daemon = arg;

	version_table_raise(&daemon->versions, pool, version);
}

static void take_quarantine(void *arg, uint64_t fingerprint,
			    uint64_t until_wall_ms)
{
	struct daemon *daemon = arg;

	blame_events_on_logged(&daemon->blame, fingerprint, until_wall_ms);
}

static void on_restored(struct state_observer *observer,
			const struct state *state)
{
	struct daemon *daemon = ((struct state_events *)observer)->daemon;

	state_each_weight(state, raise_version, daemon);
	state_each_quarantine(state, take_quarantine, daemon);
	daemon->state_events.keys_withdrawn = 1;
}

/*
 * Readers see the withdrawals from here on: what was cut or lifted earlier
 * would let a request in between.
 */
static void on_published(struct publish_listener *listener)
{
	struct state_events *events =
		container_of(listener, struct state_events, published);
	struct daemon *daemon = events->daemon;

	denial_set_lift_decided(&daemon->denials.set);
	if (!events->keys_withdrawn)
		return;
	events->keys_withdrawn = 0;
	running_keys_cut_withdrawn(daemon);
}

void state_events_init(struct state_events *events, struct daemon *daemon)
{
	events->base.applied = on_applied;
	events->base.restored = on_restored;
	events->published.on_published = on_published;
	events->daemon = daemon;
}
