#include "fleet/fleet.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

void fleet_init(struct fleet *fleet)
{
	memset(fleet, 0, sizeof(*fleet));
}

struct fleet_server *fleet_server_ref(struct fleet_server *server)
{
	server->references++;
	return server;
}

void fleet_server_unref(struct fleet_server *server)
{
	if (--server->references)
		return;
	server_entry_finish(&server->entry);
	free(server);
}

void fleet_add_listener(struct fleet *fleet, struct fleet_listener *listener)
{
	listener->next = fleet->listeners;
	fleet->listeners = listener;
}

void fleet_remove_listener(struct fleet *fleet, struct fleet_listener *listener)
{
	struct fleet_listener **at = &fleet->listeners;

	while (*at && *at != listener)
		at = &(*at)->next;
	if (*at)
		*at = listener->next;
}

static void notify_changed(struct fleet *fleet, struct fleet_server *server)
{
	for (struct fleet_listener *l = fleet->listeners; l; l = l->next)
		if (l->changed)
			l->changed(l, server);
}

static struct fleet_server **bucket_of(struct fleet *fleet, const char *id)
{
	return &fleet->buckets[hash_text(id, 0) % FLEET_BUCKETS];
}

static void unlink_from_bucket(struct fleet *fleet, struct fleet_server *server)
{
	struct fleet_server **at = bucket_of(fleet, server->entry.id);

	while (*at != server)
		at = &(*at)->next_in_bucket;
	*at = server->next_in_bucket;
}

static void remove_server(struct fleet *fleet, struct fleet_server *server)
{
	if (server->prev)
		server->prev->next = server->next;
	else
		fleet->first = server->next;
	if (server->next)
		server->next->prev = server->prev;
	else
		fleet->last = server->prev;
	unlink_from_bucket(fleet, server);
	server->next = NULL;
	server->removed = 1;
	fleet->count--;
	for (struct fleet_listener *l = fleet->listeners; l; l = l->next)
		l->removed(l, server);
	fleet_server_unref(server);
}

void fleet_finish(struct fleet *fleet)
{
	fleet->listeners = NULL; /* already freed by their owners */
	while (fleet->first)
		remove_server(fleet, fleet->first);
}

struct fleet_server *fleet_find(struct fleet *fleet, const char *id)
{
	struct fleet_server *server = *bucket_of(fleet, id);

	while (server && strcmp(server->entry.id, id))
		server = server->next_in_bucket;
	return server;
}

static struct fleet_server *add_server(struct fleet *fleet, const char *id)
{
	struct fleet_server *server = xcalloc(1, sizeof(*server));
	struct fleet_server **bucket = bucket_of(fleet, id);

	server->references = 1;
	circuit_init(&server->circuit);
	if (fleet->last)
		fleet->last->next = server;
	else
		fleet->first = server;
	server->prev = fleet->last;
	fleet->last = server;
	server->next_in_bucket = *bucket;
	*bucket = server;
	fleet->count++;
	return server;
}

/* A restarted server has lost its state, and counts as a new server. */
static int is_other_process(const struct fleet_server *server,
			    const struct server_entry *entry)
{
	return strcmp(server->entry.address, entry->address) ||
	       strcmp(server->entry.service, entry->service) ||
	       server->entry.started_ms != entry->started_ms;
}

void fleet_put(struct fleet *fleet, struct server_entry *entry, uint64_t offset)
{
	struct fleet_server *server = fleet_find(fleet, entry->id);

	if (server && offset < server->offset) {
		server->listed = 1;
		server_entry_finish(entry);
		return;
	}
	if (server && is_other_process(server, entry)) {
		remove_server(fleet, server);
		server = NULL;
	}
	if (!server)
		server = add_server(fleet, entry->id);
	server_entry_finish(&server->entry);
	server->entry = *entry;
	server->offset = offset;
	server->listed = 1;
	server->remove_at_ns = 0;
	server->evacuated =
		fleet->evacuations &&
		evacuations_has(fleet->evacuations, server->entry.data_centre);
	if (fleet->cold_limits)
		cold_limits_apply(fleet->cold_limits, server);
	notify_changed(fleet, server);
}

int fleet_renew(struct fleet *fleet, const char *id, uint64_t text_hash,
		uint64_t offset)
{
	struct fleet_server *server = fleet_find(fleet, id);

	if (!server || !text_hash || server->text_hash != text_hash)
		return 0;
	/* The time that the entry leaves counts from this report. */
	if (server->entry.cold_left_ms)
		return 0;
	server->listed = 1;
	if (offset < server->offset)
		return 1;
	server->offset = offset;
	server->remove_at_ns = 0;
	return 1;
}

static void remove_or_defer(struct fleet *fleet, struct fleet_server *server,
			    int64_t now_ns)
{
	if (now_ns >= fleet->defer_removals_until_ns)
		remove_server(fleet, server);
	else if (!server->remove_at_ns)
		server->remove_at_ns = fleet->defer_removals_until_ns;
}

void fleet_drop(struct fleet *fleet, const char *id, uint64_t offset,
		int64_t now_ns)
{
	struct fleet_server *server = fleet_find(fleet, id);

	if (server && offset >= server->offset)
		remove_or_defer(fleet, server, now_ns);
}

void fleet_begin_listing(struct fleet *fleet)
{
	for (struct fleet_server *s = fleet->first; s; s = s->next)
		s->listed = 0;
}

void fleet_end_listing(struct fleet *fleet, uint64_t offset, int64_t now_ns)
{
	struct fleet_server *server = fleet->first;

	while (server) {
		struct fleet_server *next = server->next;

		if (!server->listed && server->offset < offset)
			remove_or_defer(fleet, server, now_ns);
		server = next;
	}
}

void fleet_defer_removals(struct fleet *fleet, int64_t until_ns)
{
	if (until_ns > fleet->defer_removals_until_ns)
		fleet->defer_removals_until_ns = until_ns;
}

void fleet_remove_due(struct fleet *fleet, int64_t now_ns)
{
	struct fleet_server *server = fleet->first;

	while (server) {
		struct fleet_server *next = server->next;

		if (server->remove_at_ns && now_ns >= server->remove_at_ns)
			remove_server(fleet, server);
		server = next;
	}
}

void fleet_server_begin(struct fleet_server *server, int64_t now_ns)
{
	server->running++;
	load_estimate_sent(&server->load.estimate, now_ns);
	fleet_server_note_sent(server, now_ns);
}

void fleet_server_end(struct fleet_server *server)
{
	server->running--;
}

static void apply_load(struct fleet_server *server,
		       const struct server_answer *answer, int64_t now_ns)
{
	struct load_report report = {
		.running = answer->running,
		.waiting = answer->waiting,
		.slowdown_percent = answer->slowdown_percent,
		.own = server->running,
	};

	server->load.running = answer->running;
	server->load.waiting = answer->waiting;
	server->load.slots = answer->slots;
	server->load.received_ns = now_ns;
	if (answer->slowdown_percent)
		load_estimate_report(&server->load.estimate, &report, now_ns);
}

void fleet_server_apply_answer(struct fleet_server *server,
			       const struct server_answer *answer,
			       int64_t now_ns)
{
	/* Another server has the address now; its load is not this server's. */
	if (answer->other_server) {
		server->saw_leaving = 1;
		return;
	}
	if (answer->leaving)
		server->saw_leaving = 1;
	if (answer->has_load)
		apply_load(server, answer, now_ns);
}

uint32_t fleet_set_evacuated(struct fleet *fleet, const char *data_centre,
			     int evacuated, int64_t now_ns)
{
	uint32_t count = 0;

	for (struct fleet_server *s = fleet->first; s; s = s->next) {
		if (strcmp(s->entry.data_centre, data_centre) != 0)
			continue;
		s->evacuated = evacuated;
		if (!evacuated)
			fleet_server_assume_cold(s, now_ns);
		notify_changed(fleet, s);
		count++;
	}
	return count;
}

int fleet_server_is_open(const struct fleet_server *server)
{
	return !server->removed && !server->entry.leaving &&
	       !server->saw_leaving && !server->evacuated;
}

int fleet_server_is_available(const struct fleet_server *server, int64_t now_ns)
{
	return fleet_server_is_open(server) &&
	       circuit_allows(&server->circuit, now_ns);
}

int fleet_server_usable(const struct fleet_server *server, int64_t now_ns)
{
	return fleet_server_usable_as(server, now_ns, 0);
}

int fleet_server_usable_as(const struct fleet_server *server, int64_t now_ns,
			   int last_resort)
{
	const struct circuit *circuit = &server->circuit;

	if (!fleet_server_is_open(server) ||
	    !fleet_server_cold_allows(server, now_ns))
		return 0;
	return last_resort ? circuit_allows_last_resort(circuit, now_ns)
			   : circuit_allows(circuit, now_ns);
}
