#include "fleet/cold_limits.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"
#include "fleet/fleet.h"

void cold_limits_init(struct cold_limits *limits, struct fleet *fleet,
		      struct record_log *log, struct counter_set *counters,
		      const char *host)
{
	memset(limits, 0, sizeof(*limits));
	limits->fleet = fleet;
	limits->log = log;
	limits->host = host;
	limits->sent = counter_get(counters, "cold_requests_total");
	limits->reached = counter_get(counters, "cold_limits_reached_total");
	fleet->cold_limits = limits;
}

void cold_limits_finish(struct cold_limits *limits)
{
	struct cold_service *service = limits->first;

	while (service) {
		struct cold_service *next = service->next;

		free(service->senders);
		free(service);
		service = next;
	}
	limits->first = NULL;
}

static struct cold_service *find_service(const struct cold_limits *limits,
					 const char *name)
{
	struct cold_service *service = limits->first;

	while (service && strcmp(service->name, name))
		service = service->next;
	return service;
}

/* Hosts that run items come first, then the order differs by server. */
static uint64_t sender_rank(const struct cold_sender *sender,
			    const char *server)
{
	uint64_t rank = hash_text(sender->name, hash_text(server, 0)) >> 1;

	return sender->runs_items ? rank : rank | UINT64_C(1) << 63;
}

static uint32_t own_rank(const struct cold_service *service, const char *server)
{
	const char *host = service->limits->host;
	const struct cold_sender *own = NULL;
	uint32_t before = 0;

	for (uint32_t i = 0; i < service->sender_count; i++)
		if (!strcmp(service->senders[i].name, host))
			own = &service->senders[i];
	if (!own)
		return service->sender_count;
	for (uint32_t i = 0; i < service->sender_count; i++)
		before += sender_rank(&service->senders[i], server) <
			  sender_rank(own, server);
	return before;
}

static int64_t cold_until_ns(const struct fleet_server *server)
{
	const struct server_entry *entry = &server->entry;
	int64_t until_ns = server->cold.assumed_until_ns;
	int64_t entry_until_ns =
		entry->read_ns + entry->cold_left_ms * NS_PER_MS;

	if (entry->cold_left_ms && entry_until_ns > until_ns)
		until_ns = entry_until_ns;
	return until_ns;
}

/* Ranks are needed, and computed, for cold servers only. */
static void update_rank(struct fleet_server *server)
{
	const struct cold_service *service = server->cold.service;

	if (service && service->per_s > 0 && cold_until_ns(server))
		server->cold.rank = own_rank(service, server->entry.id);
}

static void update_servers(const struct cold_limits *limits,
			   const struct cold_service *service)
{
	for (struct fleet_server *s = limits->fleet->first; s; s = s->next) {
		if (strcmp(s->entry.service, service->name) != 0)
			continue;
		s->cold.service = service;
		update_rank(s);
	}
}

static int senders_are(const struct cold_service *service,
		       const struct cold_sender *senders, uint32_t count)
{
	if (count != service->sender_count)
		return 0;
	for (uint32_t i = 0; i < count; i++)
		if (strcmp(service->senders[i].name, senders[i].name) ||
		    service->senders[i].runs_items != senders[i].runs_items)
			return 0;
	return 1;
}

void cold_limits_set(struct cold_limits *limits, const char *name, double per_s,
		     int64_t cold_ns, struct cold_sender *senders,
		     uint32_t count)
{
	struct cold_service *service = find_service(limits, name);

	if (service && service->per_s == per_s && service->cold_ns == cold_ns &&
	    senders_are(service, senders, count)) {
		free(senders);
		return;
	}
	if (!service) {
		service = xcalloc(1, sizeof(*service));
		copy_text(service->name, sizeof(service->name), name);
		service->limits = limits;
		service->next = limits->first;
		limits->first = service;
	}
	free(service->senders);
	service->per_s = per_s;
	service->cold_ns = cold_ns;
	service->senders = senders;
	service->sender_count = count;
	update_servers(limits, service);
}

void cold_limits_keep(struct cold_limits *limits,
		      int (*is_kept)(const void *arg, const char *service),
		      const void *arg)
{
	for (struct cold_service *s = limits->first; s; s = s->next)
		if (!is_kept(arg, s->name))
			s->per_s = 0;
}

static void log_change(const struct fleet_server *server, const char *event)
{
	const struct cold_service *service = server->cold.service;
	struct record record;

	record_begin(&record, service->limits->log, "servers", event);
	record_text(&record, "server", server->entry.id);
	record_text(&record, "data_centre", server->entry.data_centre);
	record_int(&record, "cold_left_ms", server->entry.cold_left_ms);
	record_int(&record, "per_s", (int64_t)service->per_s);
	record_int(&record, "hosts", service->sender_count);
	record_int(&record, "rank", server->cold.rank);
	record_int(&record, "share",
		   cold_rate_share(service->per_s, service->sender_count,
				   server->cold.rank));
	record_end(&record);
}

void cold_limits_apply(const struct cold_limits *limits,
		       struct fleet_server *server)
{
	struct server_cold *cold = &server->cold;

	cold->service = find_service(limits, server->entry.service);
	if (!cold->service || cold->service->per_s <= 0)
		return;
	update_rank(server);
	if (server->entry.cold_left_ms && !cold->logged_cold)
		log_change(server, "cold");
	else if (!server->entry.cold_left_ms && cold->logged_cold)
		log_change(server, "warm");
	cold->logged_cold = server->entry.cold_left_ms != 0;
}

void fleet_server_assume_cold(struct fleet_server *server, int64_t now_ns)
{
	struct server_cold *cold = &server->cold;

	if (!cold->service || cold->service->per_s <= 0)
		return;
	cold->assumed_until_ns = now_ns + cold->service->cold_ns;
	update_rank(server);
	log_change(server, "assumed_cold");
}

int64_t fleet_server_cold_left_ns(const struct fleet_server *server,
				  int64_t now_ns)
{
	int64_t left_ns = cold_until_ns(server) - now_ns;

	return left_ns > 0 ? left_ns : 0;
}

/* Rate of all hosts together, and of this host alone; 0: any. */
static void current_rates(const struct fleet_server *server, int64_t now_ns,
			  double *all_per_s, double *own_per_s)
{
	const struct server_cold *cold = &server->cold;
	double per_s = cold->service ? cold->service->per_s : 0;

	*all_per_s = cold_rate_at(per_s, cold_until_ns(server), now_ns);
	*own_per_s = cold_rate_at(per_s, cold->suspect_until_ns, now_ns);
}

int fleet_server_is_limited(const struct fleet_server *server, int64_t now_ns)
{
	double all_per_s;
	double own_per_s;

	current_rates(server, now_ns, &all_per_s, &own_per_s);
	return all_per_s > 0 || own_per_s > 0;
}

int fleet_server_cold_allows(const struct fleet_server *server, int64_t now_ns)
{
	const struct server_cold *cold = &server->cold;
	double all_per_s;
	double own_per_s;
	uint32_t share;

	current_rates(server, now_ns, &all_per_s, &own_per_s);
	if (own_per_s > 0) {
		share = cold_rate_share(own_per_s, 1, 0);
		if (!cold_rate_allows(&cold->window, own_per_s, share, now_ns))
			return 0;
	}
	if (all_per_s <= 0)
		return 1;
	share = cold_rate_share(all_per_s, cold->service->sender_count,
				cold->rank);
	return cold_rate_allows(&cold->window, all_per_s, share, now_ns);
}

void fleet_server_note_sent(struct fleet_server *server, int64_t now_ns)
{
	struct server_cold *cold = &server->cold;

	if (!cold->service || cold->service->per_s <= 0)
		return;
	/* A server that failed may have restarted before its entry says so. */
	if (server->circuit.state != CIRCUIT_CLOSED)
		cold->suspect_until_ns = now_ns + cold->service->cold_ns;
	cold_window_add(&cold->window, now_ns);
	if (!fleet_server_is_limited(server, now_ns))
		return;
	counter_add(cold->service->limits->sent, 1);
	if (!fleet_server_cold_allows(server, now_ns))
		counter_add(cold->service->limits->reached, 1);
}
