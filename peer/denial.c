#include "peer/denial.h"

#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

/* A peer is sent the denials again at most this often ... */
#define SYNC_EVERY_NS (1 * NS_PER_S)

/* ... and so many at a time, from another place each time. */
#define SYNC_MAX 64

void denial_spread_init(struct denial_spread *spread,
			struct peer_outbox *outbox,
			struct denial_listener *listener)
{
	memset(spread, 0, sizeof(*spread));
	denial_set_init(&spread->set);
	spread->outbox = outbox;
	spread->listener = listener;
	pthread_mutex_init(&spread->lock, NULL);
	for (uint32_t i = 0; i < DENIAL_SYNC_SLOTS; i++)
		spread->synced_ns[i] = -SYNC_EVERY_NS;
}

void denial_spread_finish(struct denial_spread *spread)
{
	denial_set_finish(&spread->set);
	pthread_mutex_destroy(&spread->lock);
}

static void fill_message(const struct denial *denial,
			 Currant__PeerMessage *message,
			 Currant__KeyDenial *body)
{
	currant__peer_message__init(message);
	currant__key_denial__init(body);
	body->key_id = (char *)denial->key_id;
	body->command_id = (char *)denial->command_id;
	body->command.data = denial->command;
	body->command.len = denial->command_len;
	message->body_case = CURRANT__PEER_MESSAGE__BODY_KEY_DENIAL;
	message->key_denial = body;
}

/* Applies a denial; a new one is sent on and told to the listener. */
static enum denial_outcome take(struct denial_spread *spread,
				const struct denial *denial, int64_t now_ns)
{
	Currant__PeerMessage message;
	Currant__KeyDenial body;
	enum denial_outcome outcome =
		denial_set_add(&spread->set, denial->key_id, denial->command_id,
			       denial->command, denial->command_len, now_ns);

	if (outcome != DENIAL_NEW)
		return outcome;
	if (spread->listener)
		spread->listener->vt->on_denied(spread->listener,
						denial->key_id);
	fill_message(denial, &message, &body);
	spread->outbox->vt->broadcast(spread->outbox, &message);
	return outcome;
}

/* Views the arguments as a denial; -1 if an id is empty or too long. */
static int denial_view(struct denial *denial, const char *key_id,
		       const char *command_id, const uint8_t *command,
		       size_t command_len)
{
	memset(denial, 0, sizeof(*denial));
	if (!key_id[0] || strlen(key_id) >= NAME_BYTES ||
	    strlen(command_id) >= NAME_BYTES)
		return -1;
	memcpy(denial->key_id, key_id, strlen(key_id));
	memcpy(denial->command_id, command_id, strlen(command_id));
	denial->command = (uint8_t *)command;
	denial->command_len = command_len;
	return 0;
}

int denial_spread_deny(struct denial_spread *spread, const char *key_id,
		       const char *command_id, const uint8_t *command,
		       size_t command_len, int64_t now_ns, struct error *err)
{
	struct denial denial;

	if (denial_view(&denial, key_id, command_id, command, command_len))
		return error_set(err, ERROR_INVALID,
				 "key '%s' or command '%s' is no valid id",
				 key_id, command_id);
	if (take(spread, &denial, now_ns) == DENIAL_FULL)
		return error_set(err, ERROR_FULL,
				 "%d withdrawals wait for the log",
				 DENIAL_SET_MAX);
	return 0;
}

void denial_spread_on_message(struct denial_spread *spread,
			      const Currant__KeyDenial *message, int64_t now_ns)
{
	struct denial denial;

	if (!denial_view(&denial, message->key_id, message->command_id,
			 message->command.data, message->command.len))
		take(spread, &denial, now_ns);
}

/* Whether a peer may be sent the denials again now. */
static int is_sync_due(struct denial_spread *spread, const char *name,
		       int64_t now_ns, uint32_t *from)
{
	int64_t *synced_ns =
		&spread->synced_ns[hash_text(name, 0) % DENIAL_SYNC_SLOTS];
	int due;

	pthread_mutex_lock(&spread->lock);
	due = now_ns - *synced_ns >= SYNC_EVERY_NS;
	if (due) {
		*synced_ns = now_ns;
		*from = spread->sync_from;
		spread->sync_from += SYNC_MAX;
	}
	pthread_mutex_unlock(&spread->lock);
	return due;
}

void denial_spread_on_heartbeat(struct denial_spread *spread, const char *from,
				const Currant__Heartbeat *heartbeat,
				int64_t now_ns)
{
	uint64_t own = denial_set_digest(&spread->set);
	struct denial *denials;
	uint32_t first, count;

	if (!own || heartbeat->denial_digest == own ||
	    !is_sync_due(spread, from, now_ns, &first))
		return;
	count = denial_set_copy(&spread->set, first, SYNC_MAX, &denials);
	for (uint32_t i = 0; i < count; i++) {
		Currant__PeerMessage message;
		Currant__KeyDenial body;

		fill_message(&denials[i], &message, &body);
		spread->outbox->vt->send(spread->outbox, from, &message, NULL);
	}
	denials_free(denials, count);
}
