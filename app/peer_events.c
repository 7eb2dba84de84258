#include "app/peer_events.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "app/daemon.h"
#include "app/running_keys.h"
#include "base/alloc.h"
#include "membership/isolation.h"
#include "membership/rank.h"

#define FLUSH_MIN_MS 100
#define FLUSH_MS_PER_DAEMON 5
#define READ_GAP_MS 20

static void on_heartbeat(struct daemon *daemon,
			 const Currant__PeerMessage *message)
{
	const Currant__Heartbeat *heartbeat = message->heartbeat;
	int64_t now_ns = clock_now_ns(&daemon->clock);

	if (membership_on_heartbeat(daemon->membership, message->from,
				    message->incarnation, heartbeat, now_ns))
		blame_events_tell(&daemon->blame, message->from);
	denial_spread_on_heartbeat(&daemon->denials, message->from, heartbeat,
				   now_ns);
	log_client_note_head(&daemon->log_client, heartbeat->log_head);
}

/* Serves a peer that cannot read the log from what was read lately. */
static void send_entries(struct daemon *daemon,
			 const Currant__PeerMessage *request)
{
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	Currant__Entries entries = CURRANT__ENTRIES__INIT;
	Currant__LogEntry list[FEED_MAX_ENTRIES];
	Currant__LogEntry *pointers[FEED_MAX_ENTRIES];
	struct log_chunk chunk;

	log_client_copy_entries(&daemon->log_client,
				request->entries_request->from_offset,
				FEED_MAX_ENTRIES, &chunk);
	for (uint32_t i = 0; i < chunk.entry_count; i++) {
		currant__log_entry__init(&list[i]);
		list[i].offset = chunk.entries[i].offset;
		list[i].data.data = chunk.entries[i].data;
		list[i].data.len = chunk.entries[i].len;
		pointers[i] = &list[i];
	}
	entries.n_entries = chunk.entry_count;
	entries.entries = pointers;
	entries.head = log_client_next_offset(&daemon->log_client);
	message.body_case = CURRANT__PEER_MESSAGE__BODY_ENTRIES;
	message.entries = &entries;
	peer_service_send(&daemon->peers, request->from, &message, NULL);
	log_chunk_finish(&chunk);
}

static void take_entries(struct daemon *daemon, const Currant__Entries *entries)
{
	struct log_entry list[FEED_MAX_ENTRIES];
	struct error err = ERROR_INIT;
	uint32_t count = 0;

	for (size_t i = 0; i < entries->n_entries; i++) {
		if (count == FEED_MAX_ENTRIES)
			break;
		list[count].offset = entries->entries[i]->offset;
		list[count].data = entries->entries[i]->data.data;
		list[count].len = entries->entries[i]->data.len;
		count++;
	}
	if (log_client_feed_entries(&daemon->log_client, list, count, &err))
		log_info(&daemon->log_peer, "entries of a peer: %s", err.text);
}

static void on_message(struct peer_handler *handler,
		       const Currant__PeerMessage *message)
{
	struct daemon *daemon = ((struct peer_events *)handler)->daemon;

	switch (message->body_case) {
	case CURRANT__PEER_MESSAGE__BODY_HEARTBEAT:
		on_heartbeat(daemon, message);
		break;
	case CURRANT__PEER_MESSAGE__BODY_LOAD_DIGEST:
		load_poll_on_digest(&daemon->load_poll, message->load_digest);
		break;
	case CURRANT__PEER_MESSAGE__BODY_DEMAND_SUMMARY:
		team_shares_on_summary(&daemon->shares.shares, message->from,
				       message->demand_summary,
				       clock_now_ns(&daemon->clock));
		break;
	case CURRANT__PEER_MESSAGE__BODY_KEY_DENIAL:
		denial_spread_on_message(&daemon->denials, message->key_denial,
					 clock_now_ns(&daemon->clock));
		break;
	case CURRANT__PEER_MESSAGE__BODY_QUARANTINE_HINT:
		blame_events_on_hint(&daemon->blame, message->quarantine_hint);
		break;
	case CURRANT__PEER_MESSAGE__BODY_ENTRIES_REQUEST:
		send_entries(daemon, message);
		break;
	case CURRANT__PEER_MESSAGE__BODY_ENTRIES:
		take_entries(daemon, message->entries);
		break;
	default:
		break;
	}
}

static const struct peer_handler_vtable handler_vtable = {
	.on_message = on_message,
};

static void fill_heartbeat(struct heartbeat_source *source,
			   Currant__Heartbeat *heartbeat)
{
	struct own_heartbeat *own = (struct own_heartbeat *)source;
	struct daemon *daemon = own->daemon;
	struct ticket ticket;

	daemon_ticket(daemon, &ticket);
	http_server_print_address(&daemon->batch, own->caller_address);
	http_server_print_address(&daemon->latency, own->latency_address);
	http_server_print_address(&daemon->operators, own->operator_address);
	heartbeat->data_centre = daemon->settings.data_centre;
	heartbeat->leaving =
		__atomic_load_n(&daemon->draining, __ATOMIC_ACQUIRE);
	heartbeat->log_head = log_client_next_offset(&daemon->log_client);
	heartbeat->log_reachable = log_client_reachable(
		&daemon->log_client, clock_now_ns(&daemon->clock));
	heartbeat->requests_in_flight = daemon_requests_running(daemon);
	heartbeat->request_capacity = daemon_request_capacity(daemon);
	heartbeat->caller_address = own->caller_address;
	heartbeat->latency_address = own->latency_address;
	heartbeat->operator_address = own->operator_address;
	heartbeat->ticket_generation = ticket.generation;
	heartbeat->denial_digest = denial_set_digest(&daemon->denials.set);
}

static const struct heartbeat_source_vtable heartbeat_vtable = {
	.fill = fill_heartbeat,
};

void peer_events_init(struct peer_events *events, struct daemon *daemon)
{
	memset(events, 0, sizeof(*events));
	events->base.vt = &handler_vtable;
	events->daemon = daemon;
	events->own.base.vt = &heartbeat_vtable;
	events->own.daemon = daemon;
	heartbeat_sender_init(&events->sender, daemon->membership,
			      &daemon->peers.outbox, &events->own.base);
}

void peer_events_start(struct peer_events *events)
{
	struct daemon *daemon = events->daemon;

	heartbeat_sender_start(&events->sender, &daemon->timers,
			       daemon->settings.heartbeat_ms * NS_PER_MS);
}

void peer_events_stop(struct peer_events *events)
{
	heartbeat_sender_stop(&events->sender);
}

uint32_t peer_events_rank(struct peer_events *events, const char *work)
{
	struct daemon *daemon = events->daemon;
	struct member *members;
	uint32_t count = membership_view(daemon->membership, &members);
	uint32_t rank = member_rank(members, count, daemon->settings.name, work,
				    NULL, UINT32_MAX);

	free(members);
	return rank;
}

int peer_events_owns(struct peer_events *events, const char *work)
{
	return peer_events_rank(events, work) == 0;
}

/* Asks a peer that reads the log for what this daemon cannot read. */
static void ask_for_entries(struct peer_events *events)
{
	struct daemon *daemon = events->daemon;
	uint64_t next = log_client_next_offset(&daemon->log_client);
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	Currant__EntriesRequest request = CURRANT__ENTRIES_REQUEST__INIT;
	struct member *members;
	uint32_t count = membership_view(daemon->membership, &members);

	request.from_offset = next;
	request.max_entries = FEED_MAX_ENTRIES;
	message.body_case = CURRANT__PEER_MESSAGE__BODY_ENTRIES_REQUEST;
	message.entries_request = &request;
	for (uint32_t i = 0; i < count; i++) {
		if (members[i].state != MEMBER_ALIVE ||
		    members[i].log_head <= next)
			continue;
		peer_service_send(&daemon->peers, members[i].name, &message,
				  NULL);
		break;
	}
	free(members);
}

static void change_isolation(struct daemon *daemon, enum isolation isolation)
{
	int isolated = !isolation_serves_keyed(isolation);

	if (__atomic_exchange_n(&daemon->isolated, isolated,
				__ATOMIC_ACQ_REL) == isolated)
		return;
	timeline_add(&daemon->timeline, "peers", "isolation: %s",
		     isolation_name(isolation));
	log_warning(&daemon->log_app, "isolation is now %s",
		    isolation_name(isolation));
	if (isolated)
		running_keys_cut_isolated(daemon);
}

/* The log takes several hundred appends a second from all daemons. */
static void set_pace(struct daemon *daemon, uint32_t daemons)
{
	uint32_t flush_ms = daemons * FLUSH_MS_PER_DAEMON;

	if (flush_ms < FLUSH_MIN_MS)
		flush_ms = FLUSH_MIN_MS;
	log_client_set_pace(&daemon->log_client, flush_ms, READ_GAP_MS);
	trace_writer_set_pace(&daemon->traces, 2 * flush_ms);
}

void peer_events_tick(struct peer_events *events, int64_t now_ns)
{
	struct daemon *daemon = events->daemon;
	struct isolation_input input = {
		.log_read_ns = log_client_last_read_ns(&daemon->log_client),
		.peer_last_seen_ns =
			membership_last_seen_ns(daemon->membership),
	};

	membership_reach(daemon->membership, now_ns, &input.reach);
	set_pace(daemon, input.reach.listed + 1);
	change_isolation(
		daemon,
		isolation_evaluate(&input,
				   daemon->settings.isolation_ms * NS_PER_MS,
				   now_ns));
	if (!log_client_reachable(&daemon->log_client, now_ns))
		ask_for_entries(events);
}
