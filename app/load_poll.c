#include "app/load_poll.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "app/daemon.h"
#include "base/alloc.h"
#include "base/container_of.h"

#define MS_PER_S 1000
/* A process that is ending may still cut a connection before it refuses. */
#define ASK_AGAIN_MAX 50

/* One load report that was asked for. */
struct load_probe {
	struct load_poll *poll;
	struct backend_call call;
	struct strbuf body;
	char pool[NAME_BYTES];
	char name[NAME_BYTES];
	char address[NAME_BYTES];
	int shares; /* the peers are told */
	int after_loss; /* a call was lost there; how often to ask again */
};

static struct load_probe *from_call(struct backend_call *call)
{
	return container_of(call, struct load_probe, call);
}

static uint32_t uint_field(const json_t *root, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(root, name));

	return value < 0 || value > UINT32_MAX ? 0 : (uint32_t)value;
}

static int parse_report(const struct strbuf *body, struct load_report *report)
{
	json_t *root = json_loadb(body->buf, body->len, 0, NULL);

	if (!json_is_object(root)) {
		json_decref(root);
		return -1;
	}
	report->running = uint_field(root, "running");
	report->waiting = uint_field(root, "waiting");
	report->capacity = uint_field(root, "capacity");
	report->tokens_per_s =
		json_number_value(json_object_get(root, "tokens_per_s"));
	report->version = (uint64_t)json_integer_value(
		json_object_get(root, "weight_version"));
	report->incarnation = (uint64_t)json_integer_value(
		json_object_get(root, "incarnation"));
	json_decref(root);
	return 0;
}

static void on_data(struct backend_call *call, const char *data, size_t len)
{
	strbuf_add(&from_call(call)->body, data, len);
}

static void ask_after_loss(struct load_poll *poll, const char *pool,
			   const char *name, const char *address, int tries);

/* Neither an answer nor a refusal: the process may be ending just now. */
static int must_ask_again(const struct load_probe *probe)
{
	return probe->after_loss > 1 && !probe->call.refused &&
	       (probe->call.outcome == CALL_LOST ||
		probe->call.outcome == CALL_NOT_SENT);
}

static void on_done(struct backend_call *call)
{
	struct load_probe *probe = from_call(call);
	struct load_poll *poll = probe->poll;
	struct daemon *daemon = poll->daemon;
	struct load_report report;
	int64_t now_ns = clock_now_ns(&daemon->clock);
	int is_news = 0;
	int lost = 0;

	if (call->outcome == CALL_ANSWERED && call->status == 200 &&
	    !parse_report(&probe->body, &report)) {
		is_news = server_table_on_load(&daemon->servers, probe->pool,
					       probe->name, &report, now_ns);
		lost = is_news;
		if (probe->shares)
			load_share_note(&poll->share, probe->pool, probe->name,
					&report, now_ns);
	} else if (call->refused) {
		is_news = server_table_on_unreachable(&daemon->servers,
						      probe->pool, probe->name);
		lost = is_news || probe->after_loss;
	}
	if (lost)
		blame_events_on_server_lost(&daemon->blame, probe->pool,
					    probe->name, is_news);
	else if (probe->after_loss && call->outcome == CALL_ANSWERED)
		blame_events_on_server_alive(&daemon->blame, probe->name);
	if (must_ask_again(probe))
		ask_after_loss(poll, probe->pool, probe->name, probe->address,
			       probe->after_loss - 1);
	backend_call_finish(&probe->call);
	strbuf_finish(&probe->body);
	free(probe);
	__atomic_sub_fetch(&poll->in_flight, 1, __ATOMIC_ACQ_REL);
}

static const struct backend_call_handler probe_handler = {
	.data = on_data,
	.done = on_done,
};

static struct load_probe *probe_new(struct load_poll *poll, const char *pool,
				    const char *name, const char *address)
{
	struct load_probe *probe = xcalloc(1, sizeof(*probe));

	probe->poll = poll;
	backend_call_init(&probe->call, &probe_handler);
	strbuf_init(&probe->body);
	copy_text(probe->pool, sizeof(probe->pool), pool);
	copy_text(probe->name, sizeof(probe->name), name);
	copy_text(probe->call.method, sizeof(probe->call.method), "GET");
	copy_text(probe->address, sizeof(probe->address), address);
	strbuf_addf(&probe->call.url, "http://%s/v1/load", address);
	probe->call.timeout_ms = LOAD_TIMEOUT_MS;
	return probe;
}

static void submit(struct load_poll *poll, struct load_probe *probe)
{
	__atomic_add_fetch(&poll->in_flight, 1, __ATOMIC_ACQ_REL);
	backend_loop_submit(&poll->daemon->loops[0], &probe->call);
}

static void ask_after_loss(struct load_poll *poll, const char *pool,
			   const char *name, const char *address, int tries)
{
	struct load_probe *probe = probe_new(poll, pool, name, address);

	probe->shares = 1;
	probe->after_loss = tries;
	submit(poll, probe);
}

void load_poll_ask_now(struct load_poll *poll, const char *pool,
		       const char *name, const char *address)
{
	ask_after_loss(poll, pool, name, address, ASK_AGAIN_MAX);
}

static void ask(struct load_poll *poll, const struct watched_server *server)
{
	struct load_probe *probe =
		probe_new(poll, server->pool, server->name, server->address);

	probe->shares = server->shares;
	submit(poll, probe);
}

/* Asks the next servers in turn, each at most once. */
static void ask_some(struct load_poll *poll)
{
	uint32_t left = poll->watch.count;

	poll->askable += (double)LOAD_POLLS_PER_S * LOAD_POLL_MS / MS_PER_S;
	if (poll->askable > LOAD_POLLS_PER_S)
		poll->askable = LOAD_POLLS_PER_S;
	/* Answers of the last round are missing: more would only queue up. */
	if (__atomic_load_n(&poll->in_flight, __ATOMIC_ACQUIRE))
		return;
	while (left-- && poll->askable >= 1) {
		ask(poll, load_watch_next(&poll->watch));
		poll->askable--;
	}
}

static void on_timer(void *arg, int64_t now_ns)
{
	struct load_poll *poll = arg;

	load_watch_refresh(&poll->watch, poll->daemon, now_ns);
	ask_some(poll);
	load_share_tick(&poll->share, now_ns);
}

void load_poll_start(struct load_poll *poll, struct daemon *daemon)
{
	poll->daemon = daemon;
	timer_subscribe(&daemon->timers, &poll->timer, LOAD_POLL_MS * NS_PER_MS,
			on_timer, poll);
}

void load_poll_stop(struct load_poll *poll)
{
	timer_unsubscribe(&poll->daemon->timers, &poll->timer);
}

void load_poll_init(struct load_poll *poll, struct peer_outbox *outbox)
{
	memset(poll, 0, sizeof(*poll));
	load_watch_init(&poll->watch);
	load_share_init(&poll->share, outbox);
}

void load_poll_finish(struct load_poll *poll)
{
	load_watch_finish(&poll->watch);
	load_share_finish(&poll->share);
}

void load_poll_on_digest(struct load_poll *poll,
			 const Currant__LoadDigest *digest)
{
	struct daemon *daemon = poll->daemon;

	for (size_t i = 0; i < digest->n_loads; i++) {
		const Currant__BackendLoad *load = digest->loads[i];
		struct load_report report = {
			.running = load->running,
			.waiting = load->waiting,
			.capacity = load->capacity,
			.tokens_per_s = (double)load->tokens_per_s,
			.version = load->version,
			.incarnation = load->incarnation,
		};

		server_table_on_peer_load(&daemon->servers, load->pool,
					  load->name, &report,
					  clock_now_ns(&daemon->clock));
	}
}
