#include "fleet/fleet.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void fleet_init(struct fleet *fleet)
{
	memset(fleet, 0, sizeof(*fleet));
}

struct fleet_server *fleet_server_hold(struct fleet_server *server)
{
	server->references++;
	return server;
}

void fleet_server_release(struct fleet_server *server)
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

static void tell_changed(struct fleet *fleet, struct fleet_server *server)
{
	for (struct fleet_listener *l = fleet->listeners; l; l = l->next)
		l->changed(l, server);
}

static void take_out(struct fleet *fleet, struct fleet_server **at)
{
	struct fleet_server *server = *at;

	*at = server->next;
	server->next = NULL;
	server->gone = 1;
	fleet->count--;
	for (struct fleet_listener *l = fleet->listeners; l; l = l->next)
		l->removed(l, server);
	fleet_server_release(server);
}

void fleet_finish(struct fleet *fleet)
{
	fleet->listeners = NULL; /* they are finished by now */
	while (fleet->first)
		take_out(fleet, &fleet->first);
}

static struct fleet_server **find_place(struct fleet *fleet, const char *id)
{
	struct fleet_server **at = &fleet->first;

	while (*at && strcmp((*at)->entry.id, id))
		at = &(*at)->next;
	return at;
}

struct fleet_server *fleet_find(struct fleet *fleet, const char *id)
{
	return *find_place(fleet, id);
}

static struct fleet_server *add_server(struct fleet *fleet,
				       struct fleet_server **at)
{
	struct fleet_server *server = xcalloc(1, sizeof(*server));

	server->references = 1;
	circuit_init(&server->circuit);
	*at = server;
	fleet->count++;
	return server;
}

/* A server that started again knows nothing of before. */
static int is_other_process(const struct fleet_server *server,
			    const struct server_entry *entry)
{
	return strcmp(server->entry.address, entry->address) ||
	       strcmp(server->entry.service, entry->service) ||
	       server->entry.born_ms != entry->born_ms;
}

void fleet_put(struct fleet *fleet, struct server_entry *entry, uint64_t offset,
	       int64_t now_ns)
{
	struct fleet_server **at = find_place(fleet, entry->id);
	struct fleet_server *server = *at;

	if (server && offset < server->offset) {
		server->listed = 1;
		server_entry_finish(entry);
		return;
	}
	if (server && is_other_process(server, entry)) {
		take_out(fleet, at);
		at = find_place(fleet, entry->id);
		server = NULL;
	}
	if (!server)
		server = add_server(fleet, at);
	server_entry_finish(&server->entry);
	server->entry = *entry;
	server->offset = offset;
	server->listed = 1;
	server->doomed_ns = 0;
	server->learned_ns = now_ns;
	tell_changed(fleet, server);
}

static void doom(struct fleet *fleet, struct fleet_server **at, int64_t now_ns)
{
	struct fleet_server *server = *at;

	if (now_ns >= fleet->hold_until_ns)
		take_out(fleet, at);
	else if (!server->doomed_ns)
		server->doomed_ns = fleet->hold_until_ns;
}

void fleet_drop(struct fleet *fleet, const char *id, uint64_t offset,
		int64_t now_ns)
{
	struct fleet_server **at = find_place(fleet, id);

	if (*at && offset >= (*at)->offset)
		doom(fleet, at, now_ns);
}

void fleet_begin_listing(struct fleet *fleet)
{
	for (struct fleet_server *s = fleet->first; s; s = s->next)
		s->listed = 0;
}

void fleet_end_listing(struct fleet *fleet, uint64_t offset, int64_t now_ns)
{
	struct fleet_server **at = &fleet->first;

	while (*at) {
		struct fleet_server *server = *at;

		if (!server->listed && server->offset < offset)
			doom(fleet, at, now_ns);
		if (*at == server)
			at = &server->next;
	}
}

void fleet_hold(struct fleet *fleet, int64_t until_ns)
{
	if (until_ns > fleet->hold_until_ns)
		fleet->hold_until_ns = until_ns;
}

void fleet_tick(struct fleet *fleet, int64_t now_ns)
{
	struct fleet_server **at = &fleet->first;

	while (*at) {
		struct fleet_server *server = *at;

		if (server->doomed_ns && now_ns >= server->doomed_ns)
			take_out(fleet, at);
		else
			at = &server->next;
	}
}

int fleet_server_usable(const struct fleet_server *server, int64_t now_ns)
{
	return !server->gone && !server->entry.leaving &&
	       !server->saw_leaving && circuit_allows(&server->circuit, now_ns);
}
