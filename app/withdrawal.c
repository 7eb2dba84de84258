#include "app/withdrawal.h"

#include <stdlib.h>

#include "app/daemon.h"
#include "app/running_keys.h"
#include "base/alloc.h"

#define APPEND_PERIOD_NS (1 * NS_PER_S)
/* One daemon appends first; the others only if that did not help. */
#define APPEND_AFTER_NS (2 * NS_PER_S)
#define APPEND_OTHERS_AFTER_NS (10 * NS_PER_S)
#define APPEND_AT_ONCE 64

static void on_denied(struct denial_listener *listener, const char *key_id)
{
	struct daemon *daemon = ((struct withdrawals *)listener)->daemon;

	timeline_add(&daemon->timeline, "keys", "key %s denied", key_id);
	running_keys_cut(daemon, key_id);
}

static const struct denial_listener_vtable listener_vtable = {
	.on_denied = on_denied,
};

void withdrawals_init(struct withdrawals *withdrawals, struct daemon *daemon)
{
	withdrawals->base.vt = &listener_vtable;
	withdrawals->daemon = daemon;
	withdrawals->due_ns = 0;
}

int withdrawals_deny(struct withdrawals *withdrawals,
		     const Currant__Command *command, struct error *err)
{
	struct daemon *daemon = withdrawals->daemon;
	size_t len = currant__command__get_packed_size(command);
	uint8_t *packed = xmalloc(len);
	int result;

	currant__command__pack(command, packed);
	result = denial_spread_deny(&daemon->denials, command->change->name,
				    command->id, packed, len,
				    clock_now_ns(&daemon->clock), err);
	free(packed);
	return result;
}

/* Whether the log has decided on a command. */
struct decided_search {
	const char *id;
	int found;
};

static void find_decided(const struct state *state, void *arg)
{
	struct decided_search *search = arg;
	struct verdict verdict;

	search->found = !state_verdict(state, search->id, &verdict);
}

static void append_command(struct daemon *daemon, const struct denial *denial)
{
	Currant__Record record = CURRANT__RECORD__INIT;
	struct decided_search search = { .id = denial->command_id };
	Currant__Command *command;

	log_client_with_state(&daemon->log_client, find_decided, &search);
	if (search.found) {
		denial_set_decide(&daemon->denials.set, denial->command_id);
		return;
	}
	command = currant__command__unpack(NULL, denial->command_len,
					   denial->command);
	if (!command)
		return;
	record.body_case = CURRANT__RECORD__BODY_COMMAND;
	record.command = command;
	log_client_submit(&daemon->log_client, &record, LOG_SUBMIT_URGENT,
			  NULL);
	currant__command__free_unpacked(command, NULL);
}

/*
 * A recovery from a snapshot shows no command, only what came of it: denials
 * of keys that are withdrawn by now are not needed any more.
 */
static void settle(struct daemon *daemon)
{
	const struct config *config;

	if (!denial_set_digest(&daemon->denials.set))
		return;
	config = log_client_config_begin(&daemon->log_client);
	denial_set_settle(&daemon->denials.set, config);
	log_client_config_end(&daemon->log_client);
}

void withdrawals_tick(struct withdrawals *withdrawals, int64_t now_ns)
{
	struct daemon *daemon = withdrawals->daemon;
	struct denial *denials;
	uint32_t count;

	if (now_ns < withdrawals->due_ns ||
	    !log_client_reachable(&daemon->log_client, now_ns))
		return;
	withdrawals->due_ns = now_ns + APPEND_PERIOD_NS;
	settle(daemon);
	count = denial_set_copy(&daemon->denials.set, 0, APPEND_AT_ONCE,
				&denials);
	for (uint32_t i = 0; i < count; i++) {
		int owns = peer_events_owns(&daemon->peer_events,
					    denials[i].command_id);
		int64_t after_ns = owns ? APPEND_AFTER_NS
					: APPEND_OTHERS_AFTER_NS;

		if (denials[i].command &&
		    now_ns - denials[i].denied_ns >= after_ns)
			append_command(daemon, &denials[i]);
	}
	denials_free(denials, count);
}
