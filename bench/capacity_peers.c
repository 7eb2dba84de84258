#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "bench/slope.h"

#include "base/alloc.h"
#include "base/clock.h"
#include "membership/heartbeat.h"
#include "membership/membership.h"
#include "peer/frame.h"

/*
 * Heartbeats of one daemon among many: the real membership and its sender,
 * with an outbox that only packs and counts.
 */

#define PERIOD_NS (NS_PER_S / 2)
#define PERIODS 120
#define MAX_MEMBERS 512
#define MAX_DATA_CENTRES 64

struct counting_outbox {
	struct peer_outbox base;
	double messages;
	double bytes; /* frames; without TLS, TCP and IP */
	struct peer_member members[MAX_MEMBERS];
	uint32_t member_count;
	uint32_t connections;
};

static int count_send(struct peer_outbox *outbox, const char *name,
		      Currant__PeerMessage *message, struct error *err)
{
	struct counting_outbox *counting = (struct counting_outbox *)outbox;

	(void)name;
	(void)err;
	message->from = "entry-bergen-a-1";
	message->incarnation = UINT64_C(0x1234567890abcdef);
	message->sequence = 100000;
	message->lamport = 100000000;
	counting->messages++;
	counting->bytes +=
		(double)currant__peer_message__get_packed_size(message) +
		FRAME_HEADER_BYTES;
	return 0;
}

static uint32_t count_broadcast(struct peer_outbox *outbox,
				Currant__PeerMessage *message)
{
	count_send(outbox, "", message, NULL);
	return 1;
}

static void count_members(struct peer_outbox *outbox,
			  const struct peer_member *members, uint32_t count)
{
	struct counting_outbox *counting = (struct counting_outbox *)outbox;

	counting->connections = 0;
	counting->member_count = count < MAX_MEMBERS ? count : MAX_MEMBERS;
	for (uint32_t i = 0; i < counting->member_count; i++) {
		counting->members[i] = members[i];
		counting->connections += members[i].connect != 0;
	}
}

static const struct peer_outbox_vtable counting_vtable = {
	.send = count_send,
	.broadcast = count_broadcast,
	.set_members = count_members,
};

static void fill(struct heartbeat_source *source, Currant__Heartbeat *heartbeat)
{
	(void)source;
	heartbeat->data_centre = "bergen-a-0";
	heartbeat->log_head = 100000000;
	heartbeat->log_reachable = 1;
	heartbeat->requests_in_flight = 53;
	heartbeat->request_capacity = 500;
	heartbeat->caller_address = "10.11.12.13:8001";
	heartbeat->operator_address = "10.11.12.13:8002";
	heartbeat->latency_address = "10.11.12.13:8003";
}

static const struct heartbeat_source_vtable source_vtable = { .fill = fill };

static void make_hosts(struct host_list *list, uint32_t daemons,
		       uint32_t data_centres)
{
	list->generation = 1;
	list->host_count = daemons;
	list->skipped = 0;
	list->hosts = xcalloc(daemons, sizeof(*list->hosts));
	for (uint32_t i = 0; i < daemons; i++) {
		struct host *host = &list->hosts[i];
		uint32_t dc = i * data_centres / daemons;

		snprintf(host->name, sizeof(host->name), "entry-%u", i);
		snprintf(host->data_centre, sizeof(host->data_centre),
			 "bergen-a-%u", dc);
		snprintf(host->region, sizeof(host->region), "region-%u",
			 dc * 10 / data_centres);
		snprintf(host->address, sizeof(host->address),
			 "10.11.12.%u:8001", i % 250);
		snprintf(host->peer_address, sizeof(host->peer_address),
			 "10.11.12.%u:9001", i % 250);
	}
}

static int is_connected(const struct counting_outbox *outbox, const char *name)
{
	for (uint32_t i = 0; i < outbox->member_count; i++)
		if (!strcmp(outbox->members[i].name, name))
			return outbox->members[i].connect;
	return 0;
}

/*
 * What connected peers say in one period: a daemon of the own data centre
 * passes on the summaries of all, another tells of its own. Returns the
 * processor time of taking it over.
 */
static double hear_others(struct membership *membership,
			  const struct counting_outbox *outbox,
			  const struct host_list *list, uint32_t own,
			  uint32_t data_centres, int64_t now_ns)
{
	Currant__DataCentreSummary summaries[MAX_DATA_CENTRES];
	Currant__DataCentreSummary *pointers[MAX_DATA_CENTRES];
	char names[MAX_DATA_CENTRES][32];
	Currant__Heartbeat heartbeat = CURRANT__HEARTBEAT__INIT;
	double ns = 0;

	for (uint32_t i = 0; i < data_centres; i++) {
		currant__data_centre_summary__init(&summaries[i]);
		snprintf(names[i], sizeof(names[i]), "bergen-a-%u", i);
		summaries[i].data_centre = names[i];
		summaries[i].daemons = 11;
		summaries[i].requests_in_flight = 580;
		summaries[i].request_capacity = 5500;
		summaries[i].log_head = 100000000;
		pointers[i] = &summaries[i];
	}
	fill(NULL, &heartbeat);
	heartbeat.hears_receiver = 1;
	heartbeat.expects_answer = 1;
	heartbeat.period_ms = 500;
	for (uint32_t i = 0; i < list->host_count; i++) {
		const struct host *host = &list->hosts[i];
		uint32_t dc = i * data_centres / list->host_count;
		int64_t start;

		if (i == own || !is_connected(outbox, host->name))
			continue;
		heartbeat.data_centre = names[dc];
		heartbeat.summaries = dc ? &pointers[dc] : pointers;
		heartbeat.n_summaries = dc ? 1 : data_centres;
		start = thread_cpu_ns();
		membership_on_heartbeat(membership, host->name, 1, &heartbeat,
					now_ns);
		ns += (double)(thread_cpu_ns() - start);
	}
	return ns;
}

struct peer_figures {
	double connections;
	double messages_per_s;
	double bytes_per_s;
	double cpu_ns_per_s;
	double heap;
};

static void run_daemon(const struct host_list *list, uint32_t own,
		       uint32_t data_centres, struct peer_figures *figures)
{
	struct counting_outbox *outbox = xcalloc(1, sizeof(*outbox));
	double before = heap_bytes();
	struct membership *membership =
		membership_new(list->hosts[own].name, PERIOD_NS);
	struct heartbeat_source source = { &source_vtable };
	struct heartbeat_sender sender;
	double ns = 0;
	int64_t start;

	outbox->base.vt = &counting_vtable;
	membership_set_own(membership, list->hosts[own].data_centre,
			   list->hosts[own].region);
	membership_set_list(membership, list, 0);
	heartbeat_sender_init(&sender, membership, &outbox->base, &source);
	for (uint32_t i = 1; i <= PERIODS; i++) {
		ns += hear_others(membership, outbox, list, own, data_centres,
				  i * PERIOD_NS);
		start = thread_cpu_ns();
		heartbeat_sender_tick(&sender, i * PERIOD_NS);
		ns += (double)(thread_cpu_ns() - start);
	}
	figures->cpu_ns_per_s = ns * 2 / PERIODS;
	figures->connections = outbox->connections;
	figures->messages_per_s = outbox->messages * 2 / PERIODS;
	figures->bytes_per_s = outbox->bytes * 2 / PERIODS;
	figures->heap = heap_bytes() - before;
	heartbeat_sender_finish(&sender);
	membership_free(membership);
	free(outbox);
}

/* The busiest of the daemons of the first data centre. */
static void measure_size(uint32_t daemons, uint32_t data_centres,
			 struct peer_figures *most)
{
	struct host_list list;
	char name[64];

	memset(most, 0, sizeof(*most));
	make_hosts(&list, daemons, data_centres);
	for (uint32_t i = 0; i < daemons / data_centres; i++) {
		struct peer_figures figures;

		run_daemon(&list, i, data_centres, &figures);
		if (figures.bytes_per_s > most->bytes_per_s)
			*most = figures;
	}
	snprintf(name, sizeof(name), "%u daemons, %u data centres", daemons,
		 data_centres);
	print_figure("heartbeats", name, "connections", "count",
		     most->connections);
	print_figure("heartbeats", name, "sent", "messages/s",
		     most->messages_per_s);
	print_figure("heartbeats", name, "sent", "bytes/s", most->bytes_per_s);
	print_figure("heartbeats", name, "processor_time", "ns/s",
		     most->cpu_ns_per_s);
	print_figure("heartbeats", name, "memory", "bytes", most->heap);
	free(list.hosts);
}

/* One frame with a digest of `count` servers, as it goes to each peer. */
static double digest_bytes(uint32_t count)
{
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	Currant__LoadDigest digest = CURRANT__LOAD_DIGEST__INIT;
	Currant__BackendLoad load = CURRANT__BACKEND_LOAD__INIT;
	Currant__BackendLoad *loads[128];
	struct counting_outbox *outbox = xcalloc(1, sizeof(*outbox));
	double bytes;

	load.name = "engine-bergen-a-117";
	load.pool = "scenario-lm";
	load.running = 14;
	load.waiting = 2;
	load.capacity = 16;
	load.tokens_per_s = 50;
	load.version = 1000;
	load.age_ms = 400;
	load.incarnation = UINT64_C(0x1234567890abcdef);
	for (uint32_t i = 0; i < count; i++)
		loads[i] = &load;
	digest.loads = loads;
	digest.n_loads = count;
	message.body_case = CURRANT__PEER_MESSAGE__BODY_LOAD_DIGEST;
	message.load_digest = &digest;
	count_send(&outbox->base, "", &message, NULL);
	bytes = outbox->bytes;
	free(outbox);
	return bytes;
}

static double demand_bytes(uint32_t teams)
{
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	Currant__DemandSummary summary = CURRANT__DEMAND_SUMMARY__INIT;
	Currant__TeamDemand demand = CURRANT__TEAM_DEMAND__INIT;
	Currant__TeamDemand *demands[128];
	struct counting_outbox *outbox = xcalloc(1, sizeof(*outbox));
	double bytes;

	demand.team = "forecast-team-1";
	demand.in_flight = 40;
	demand.queued = 12;
	demand.granted = 40;
	for (uint32_t i = 0; i < teams; i++)
		demands[i] = &demand;
	summary.teams = demands;
	summary.n_teams = teams;
	summary.round = 100000;
	summary.data_centre = "centre-1";
	message.body_case = CURRANT__PEER_MESSAGE__BODY_DEMAND_SUMMARY;
	message.demand_summary = &summary;
	count_send(&outbox->base, "", &message, NULL);
	bytes = outbox->bytes;
	free(outbox);
	return bytes;
}

static void print_messages(void)
{
	static const uint32_t counts[] = { 1, 17, 34, 68 };
	struct slope digest, demand;

	slope_init(&digest, "load_digest", "bytes/server");
	slope_init(&demand, "demand_summary", "bytes/team");
	for (uint32_t i = 0; i < ARRAY_SIZE(counts); i++) {
		slope_add(&digest, counts[i], digest_bytes(counts[i]));
		slope_add(&demand, counts[i], demand_bytes(counts[i]));
	}
	slope_print(&digest);
	slope_print(&demand);
}

void bench_capacity_peers(void)
{
	static const struct {
		uint32_t daemons;
		uint32_t data_centres;
	} sizes[] = { { 12, 4 }, { 48, 8 }, { 144, 16 }, { 352, 32 } };
	struct peer_figures figures;
	struct slope bytes, time, memory;

	slope_init(&bytes, "heartbeat_bytes", "bytes/s/connection");
	slope_init(&time, "heartbeat_time", "ns/s/connection");
	slope_init(&memory, "membership_memory", "bytes/member");
	for (uint32_t i = 0; i < ARRAY_SIZE(sizes); i++) {
		measure_size(sizes[i].daemons, sizes[i].data_centres, &figures);
		slope_add(&bytes, figures.connections, figures.bytes_per_s);
		slope_add(&time, figures.connections, figures.cpu_ns_per_s);
		slope_add(&memory, sizes[i].daemons, figures.heap);
	}
	slope_print(&bytes);
	slope_print(&time);
	slope_print(&memory);
	print_messages();
}
