#include "standin/load.h"

#include <argp.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"
#include "base/wait.h"

#define TARGETS 2
#define ROUNDS_MAX 64
#define TAIL_BYTES 16
#define END_MARK "[DONE]"

enum load_option {
	OPT_DIRECT = 0x100,
	OPT_DAEMON,
	OPT_MODEL,
	OPT_ROUTE,
	OPT_KEY,
	OPT_CLIENTS,
	OPT_ROUNDS,
	OPT_ROUND_MS,
	OPT_MAX_TOKENS,
	OPT_STREAM,
	OPT_SCENARIO,
};

static const struct argp_option option_table[] = {
	{ "direct", OPT_DIRECT, "URL", 0, "An engine", 0 },
	{ "daemon", OPT_DAEMON, "URL", 0, "A daemon's port for callers", 0 },
	{ "model", OPT_MODEL, "POOL", 0, "Model of the engine", 0 },
	{ "route", OPT_ROUTE, "NAME", 0, "Route of the daemon", 0 },
	{ "key", OPT_KEY, "KEY", 0, "Caller's key at the daemon", 0 },
	{ "clients", OPT_CLIENTS, "N", 0, "Clients at once", 0 },
	{ "rounds", OPT_ROUNDS, "N", 0, "Rounds for each target", 0 },
	{ "round-ms", OPT_ROUND_MS, "MS", 0, "Duration of a round", 0 },
	{ "max-tokens", OPT_MAX_TOKENS, "N", 0, "Tokens of an answer", 0 },
	{ "stream", OPT_STREAM, NULL, 0, "Ask for streams", 0 },
	{ "scenario", OPT_SCENARIO, "NAME", 0, "Name in the output", 0 },
	{ 0 },
};

struct load_target {
	const char *variant;
	const char *base_url; /* NULL: not measured */
	const char *model;
	const char *key; /* NULL: none is sent */
};

struct load_options {
	struct load_target targets[TARGETS];
	const char *scenario;
	uint32_t clients;
	uint32_t rounds;
	uint32_t round_ms;
	uint32_t max_tokens;
	int stream;
};

/* What one client saw in one round. */
struct load_client {
	const struct load_options *options;
	CURL *easy; /* keeps its connection from round to round */
	struct curl_slist *headers;
	char url[512];
	char body[256];
	char tail[TAIL_BYTES + 1]; /* end of the answer */
	pthread_t thread;
	int64_t end_ns;
	int64_t *took_ns;
	uint32_t count;
	uint32_t alloc;
	uint32_t failed;
};

/* Figures of one target, one value a round. */
struct load_series {
	double p50_us[ROUNDS_MAX];
	double p99_us[ROUNDS_MAX];
	double requests_per_s[ROUNDS_MAX];
	double tokens_per_s[ROUNDS_MAX];
	double failed[ROUNDS_MAX];
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct load_options *o = state->input;

	switch (key) {
	case OPT_DIRECT:
		o->targets[0].base_url = arg;
		return 0;
	case OPT_DAEMON:
		o->targets[1].base_url = arg;
		return 0;
	case OPT_MODEL:
		o->targets[0].model = arg;
		return 0;
	case OPT_ROUTE:
		o->targets[1].model = arg;
		return 0;
	case OPT_KEY:
		o->targets[1].key = arg;
		return 0;
	case OPT_CLIENTS:
		o->clients = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_ROUNDS:
		o->rounds = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_ROUND_MS:
		o->round_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_MAX_TOKENS:
		o->max_tokens = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPT_STREAM:
		o->stream = 1;
		return 0;
	case OPT_SCENARIO:
		o->scenario = arg;
		return 0;
	case ARGP_KEY_END:
		if (!o->clients || !o->rounds || o->rounds > ROUNDS_MAX)
			argp_error(state, "clients or rounds are out of range");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Keeps the last bytes, in which a stream's end mark must be. */
static size_t on_body(char *data, size_t size, size_t count, void *arg)
{
	struct load_client *client = arg;
	size_t len = size * count;
	size_t kept = strlen(client->tail);

	if (len >= TAIL_BYTES) {
		memcpy(client->tail, data + len - TAIL_BYTES, TAIL_BYTES);
		client->tail[TAIL_BYTES] = '\0';
		return len;
	}
	if (kept + len > TAIL_BYTES) {
		size_t drop = kept + len - TAIL_BYTES;

		memmove(client->tail, client->tail + drop, kept - drop);
		kept -= drop;
	}
	memcpy(client->tail + kept, data, len);
	client->tail[kept + len] = '\0';
	return len;
}

static void client_init(struct load_client *client,
			const struct load_options *options,
			const struct load_target *target)
{
	char header[256];

	memset(client, 0, sizeof(*client));
	client->options = options;
	client->easy = curl_easy_init();
	snprintf(client->url, sizeof(client->url), "%s/v1/completions",
		 target->base_url);
	snprintf(client->body, sizeof(client->body),
		 "{\"model\":\"%s\",\"prompt\":\"load on one route\","
		 "\"max_tokens\":%u,\"stream\":%s}",
		 target->model, options->max_tokens,
		 options->stream ? "true" : "false");
	client->headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	if (target->key) {
		snprintf(header, sizeof(header), "Authorization: Bearer %s",
			 target->key);
		client->headers = curl_slist_append(client->headers, header);
	}
	curl_easy_setopt(client->easy, CURLOPT_URL, client->url);
	curl_easy_setopt(client->easy, CURLOPT_POSTFIELDS, client->body);
	curl_easy_setopt(client->easy, CURLOPT_HTTPHEADER, client->headers);
	curl_easy_setopt(client->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(client->easy, CURLOPT_WRITEDATA, client);
	curl_easy_setopt(client->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(client->easy, CURLOPT_NOPROXY, "*");
}

static void client_finish(struct load_client *client)
{
	curl_easy_cleanup(client->easy);
	curl_slist_free_all(client->headers);
	free(client->took_ns);
}

static void client_note(struct load_client *client, int64_t took_ns)
{
	if (client->count == client->alloc) {
		client->alloc = client->alloc * 2 + 256;
		client->took_ns =
			xrealloc(client->took_ns,
				 client->alloc * sizeof(*client->took_ns));
	}
	client->took_ns[client->count++] = took_ns;
}

static void *client_run(void *arg)
{
	struct load_client *client = arg;

	while (wait_now_ns() < client->end_ns) {
		int64_t start_ns = wait_now_ns();
		CURLcode code;
		long status = 0;

		client->tail[0] = '\0';
		code = curl_easy_perform(client->easy);
		curl_easy_getinfo(client->easy, CURLINFO_RESPONSE_CODE,
				  &status);
		if (code != CURLE_OK || status != 200 ||
		    (client->options->stream &&
		     !strstr(client->tail, END_MARK)))
			client->failed++;
		else
			client_note(client, wait_now_ns() - start_ns);
	}
	return NULL;
}

static int compare_ns(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

static int compare_value(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Lays the clients' figures of one round together. */
static void add_round(struct load_series *series, uint32_t round,
		      struct load_client *clients,
		      const struct load_options *options, int64_t took_ns)
{
	double seconds = (double)took_ns / NS_PER_S;
	int64_t *all;
	size_t count = 0;
	size_t at = 0;

	for (uint32_t i = 0; i < options->clients; i++) {
		count += clients[i].count;
		series->failed[round] += clients[i].failed;
	}
	series->requests_per_s[round] = (double)count / seconds;
	series->tokens_per_s[round] =
		(double)count * options->max_tokens / seconds;
	if (!count)
		return;
	all = xmalloc(count * sizeof(*all));
	for (uint32_t i = 0; i < options->clients; i++) {
		if (clients[i].count)
			memcpy(all + at, clients[i].took_ns,
			       clients[i].count * sizeof(*all));
		at += clients[i].count;
	}
	qsort(all, count, sizeof(*all), compare_ns);
	at = count / 2;
	series->p50_us[round] = (double)all[at] / NS_PER_US;
	at = count * 99 / 100;
	series->p99_us[round] = (double)all[at] / NS_PER_US;
	free(all);
}

static void run_round(struct load_series *series, uint32_t round,
		      struct load_client *clients,
		      const struct load_options *options)
{
	int64_t start_ns = wait_now_ns();

	for (uint32_t i = 0; i < options->clients; i++) {
		clients[i].count = 0;
		clients[i].failed = 0;
		clients[i].end_ns = start_ns + options->round_ms * NS_PER_MS;
		pthread_create(&clients[i].thread, NULL, client_run,
			       &clients[i]);
	}
	for (uint32_t i = 0; i < options->clients; i++)
		pthread_join(clients[i].thread, NULL);
	add_round(series, round, clients, options, wait_now_ns() - start_ns);
}

static void print_metric(const struct load_options *options,
			 const char *variant, const char *metric,
			 const char *unit, double *values)
{
	qsort(values, options->rounds, sizeof(*values), compare_value);
	printf("{\"bench\":\"load\",\"scenario\":\"%s\",\"variant\":\"%s\","
	       "\"metric\":\"%s\",\"unit\":\"%s\",\"value\":%.1f,"
	       "\"low\":%.1f,\"high\":%.1f,\"rounds\":%u}\n",
	       options->scenario, variant, metric, unit,
	       values[options->rounds / 2], values[0],
	       values[options->rounds - 1], options->rounds);
}

static void print_series(const struct load_options *options,
			 const char *variant, struct load_series *series)
{
	print_metric(options, variant, "p50", "us", series->p50_us);
	print_metric(options, variant, "p99", "us", series->p99_us);
	print_metric(options, variant, "requests_per_s", "1/s",
		     series->requests_per_s);
	print_metric(options, variant, "tokens_per_s", "1/s",
		     series->tokens_per_s);
	print_metric(options, variant, "failed", "requests", series->failed);
}

/* A round of each target in turn, so that both meet the same host load. */
static void measure(const struct load_options *options)
{
	struct load_client *clients[TARGETS] = { NULL };
	struct load_series *series = xcalloc(TARGETS, sizeof(*series));

	for (uint32_t t = 0; t < TARGETS; t++) {
		if (!options->targets[t].base_url)
			continue;
		clients[t] = xcalloc(options->clients, sizeof(**clients));
		for (uint32_t i = 0; i < options->clients; i++)
			client_init(&clients[t][i], options,
				    &options->targets[t]);
	}
	for (uint32_t round = 0; round < options->rounds; round++)
		for (uint32_t t = 0; t < TARGETS; t++)
			if (clients[t])
				run_round(&series[t], round, clients[t],
					  options);
	for (uint32_t t = 0; t < TARGETS; t++) {
		if (!clients[t])
			continue;
		print_series(options, options->targets[t].variant, &series[t]);
		for (uint32_t i = 0; i < options->clients; i++)
			client_finish(&clients[t][i]);
		free(clients[t]);
	}
	free(series);
}

int load_main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "Measures completions straight to an engine and "
		       "through a daemon, in alternating rounds.",
	};
	struct load_options options = {
		.targets = { { .variant = "direct", .model = "scenario-lm" },
			     { .variant = "daemon", .model = "rollout" } },
		.scenario = "load",
		.clients = 8,
		.rounds = 5,
		.round_ms = 1000,
		.max_tokens = 4,
	};

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	measure(&options);
	curl_global_cleanup();
	return 0;
}
