/* GET /v1/addresses: which hosts a caller should use, and for how long. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "app/caller_api.h"
#include "base/alloc.h"
#include "membership/addresses.h"

#define NO_ADDRESS_RETRY_NS (1 * NS_PER_S)
#define QUERY_BYTES 128
/* Heartbeats until the other hosts know that one is leaving. */
#define HEARTBEATS_UNAWARE 2
/* Of address_ttl_ms, an answer is kept for at least one part in so many. */
#define KEEP_SHARE_MIN 4

static const struct member *find_member(const struct member *members,
					uint32_t count, const char *name)
{
	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(members[i].name, name))
			return &members[i];
	return NULL;
}

/* This host as the other ones see it. */
static void fill_own(struct daemon *daemon, struct member *own)
{
	struct ticket ticket;
	int leaving = __atomic_load_n(&daemon->draining, __ATOMIC_ACQUIRE) ||
		      !daemon_is_ready(daemon);

	memset(own, 0, sizeof(*own));
	daemon_ticket(daemon, &ticket);
	copy_text(own->name, NAME_BYTES, daemon->settings.name);
	copy_text(own->data_centre, NAME_BYTES, daemon->settings.data_centre);
	copy_text(own->region, NAME_BYTES, daemon->settings.region);
	http_server_print_address(&daemon->batch, own->caller_address);
	http_server_print_address(&daemon->latency, own->latency_address);
	own->state = leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
	own->incarnation = daemon->incarnation;
	own->ticket_generation = ticket.generation;
	own->requests_in_flight = daemon_requests_running(daemon);
	own->request_capacity = daemon_request_capacity(daemon);
}

static json_t *address_json(const struct address *address,
			    const struct member *member)
{
	char text[TICKET_BYTES];
	struct ticket ticket;

	copy_text(ticket.daemon, sizeof(ticket.daemon), member->name);
	ticket.incarnation = member->incarnation;
	ticket.generation = member->ticket_generation;
	ticket_print(&ticket, text, sizeof(text));
	return json_pack("{s:s,s:s}", "address", address->address, "ticket",
			 text);
}

static void send_answer(struct http_exchange *exchange,
			const struct address_answer *answer,
			const struct member *members, uint32_t count)
{
	json_t *addresses = json_array();
	json_t *json;

	for (uint32_t i = 0; i < answer->count; i++) {
		const struct address *address = &answer->addresses[i];

		json_array_append_new(
			addresses,
			address_json(address, find_member(members, count,
							  address->name)));
	}
	json = json_pack("{s:o,s:I}", "addresses", addresses, "keep_ms",
			 (json_int_t)answer->keep_ms);
	http_exchange_send_json(exchange, 200, json);
	json_decref(json);
}

static void send_none(struct http_exchange *exchange, const char *why)
{
	struct problem problem = {
		.status = 503,
		.type = "no_address",
		.detail = why,
		.run = RUN_NOT_RUN,
		.retry_after_ns = NO_ADDRESS_RETRY_NS,
	};

	http_exchange_send_problem(exchange, &problem);
}

/*
 * A stopping host serves for address_ttl_ms more. An answer must run out by
 * then, also one of a host that had not heard of the stop yet, and one whose
 * time was spread upwards.
 */
static uint32_t keep_ms(const struct settings *settings)
{
	uint32_t ttl_ms = settings->address_ttl_ms;
	uint32_t unaware_ms = HEARTBEATS_UNAWARE * settings->heartbeat_ms;
	uint32_t rest_ms = unaware_ms < ttl_ms ? ttl_ms - unaware_ms : 0;

	if (rest_ms < ttl_ms / KEEP_SHARE_MIN)
		rest_ms = ttl_ms / KEEP_SHARE_MIN;
	return rest_ms * 5 / 6;
}

/* The members with this host among them; the caller frees it. */
static struct member *all_members(struct daemon *daemon, uint32_t *count)
{
	struct member *members;
	struct member *all;

	*count = membership_view(daemon->membership, &members);
	all = xcalloc(*count + 1, sizeof(*all));
	if (*count)
		memcpy(all, members, *count * sizeof(*all));
	fill_own(daemon, &all[*count]);
	(*count)++;
	free(members);
	return all;
}

void address_api_handle(struct daemon *daemon, struct http_exchange *exchange)
{
	struct error err = ERROR_INIT;
	struct address_answer answer;
	struct address_request request;
	char class_[16] = "batch";
	char group[QUERY_BYTES] = "";
	struct member *members;
	struct rng rng;
	uint64_t seed;
	uint32_t count;

	http_exchange_query(exchange, "class", class_, sizeof(class_));
	http_exchange_query(exchange, "group", group, sizeof(group));
	random_bytes(&seed, sizeof(seed));
	rng_init(&rng, seed);
	memset(&request, 0, sizeof(request));
	request.data_centre = daemon->settings.data_centre;
	request.region = daemon->settings.region;
	request.group = group;
	request.latency_bound = !strcmp(class_, "latency");
	members = all_members(daemon, &count);
	if (addresses_choose(members, count, &request,
			     keep_ms(&daemon->settings), &rng, &answer, &err))
		send_none(exchange, err.text);
	else
		send_answer(exchange, &answer, members, count);
	free(members);
}
