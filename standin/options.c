#include <argp.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/options.h"

#define DEFAULT_THREADS 64
/* Queued requests hold a thread each. */
#if defined(__SANITIZE_THREAD__) && defined(__aarch64__)
/* GCC 12's thread sanitizer aborts a process of 512 threads on arm64. */
#define DEFAULT_ENGINE_THREADS 400
#else
#define DEFAULT_ENGINE_THREADS 512
#endif

enum option_key {
	OPT_LISTEN = 0x100,
	OPT_ADDRESS_FILE,
	OPT_THREADS,
	OPT_RETAIN,
	OPT_APPENDS_PER_S,
	OPT_LAG_MS,
	OPT_NAME,
	OPT_POOL,
	OPT_CAPACITY,
	OPT_MAX_WAITING,
	OPT_TOKEN_US,
	OPT_TOKENS_PER_EVENT,
	OPT_VERSION,
	OPT_WEIGHTS_URL,
	OPT_LOAD_MS,
	OPT_CRASH_ON,
	OPT_CHECKS_FENCING,
	OPT_WORK_MS,
	OPT_BOOT_MS,
	OPT_FETCHES_PER_S,
	OPT_WEIGHT_BYTES,
};

static const struct argp_option option_table[] = {
	{ "listen", OPT_LISTEN, "IP:PORT", 0, "Address; port 0: a free one",
	  0 },
	{ "address-file", OPT_ADDRESS_FILE, "FILE", 0,
	  "Write the bound address here when ready", 0 },
	{ "threads", OPT_THREADS, "N", 0, "Worker threads", 0 },
	{ "retain", OPT_RETAIN, "N", 0, "log: entries that are kept", 1 },
	{ "appends-per-s", OPT_APPENDS_PER_S, "N", 0, "log: append rate", 1 },
	{ "lag-ms", OPT_LAG_MS, "MS", 0, "hosts: age of the list", 2 },
	{ "name", OPT_NAME, "NAME", 0, "engine, service: host name", 3 },
	{ "pool", OPT_POOL, "POOL", 0, "engine: model that it serves", 3 },
	{ "capacity", OPT_CAPACITY, "N", 0, "engine: running requests", 3 },
	{ "max-waiting", OPT_MAX_WAITING, "N", 0, "engine: queued requests",
	  3 },
	{ "token-us", OPT_TOKEN_US, "US", 0, "engine: time of a token", 3 },
	{ "tokens-per-event", OPT_TOKENS_PER_EVENT, "N", 0,
	  "engine: tokens in a stream event", 3 },
	{ "version", OPT_VERSION, "N", 0, "engine: first weight version", 3 },
	{ "weights-url", OPT_WEIGHTS_URL, "URL", 0, "engine: weight store", 3 },
	{ "load-ms", OPT_LOAD_MS, "MS", 0, "engine: duration of a swap", 3 },
	{ "crash-on", OPT_CRASH_ON, "TEXT", 0, "engine: prompt that ends it",
	  3 },
	{ "checks-fencing", OPT_CHECKS_FENCING, "0|1", 0,
	  "engine, orders: refuse an older fencing number", 3 },
	{ "work-ms", OPT_WORK_MS, "MS", 0, "service: duration of a call", 4 },
	{ "boot-ms", OPT_BOOT_MS, "MS", 0, "orders: time to boot", 5 },
	{ "fetches-per-s", OPT_FETCHES_PER_S, "N", 0, "weights: fetch rate",
	  6 },
	{ "weight-bytes", OPT_WEIGHT_BYTES, "N", 0, "weights: size", 6 },
	{ 0 },
};

static uint64_t number(const char *text, struct argp_state *state)
{
	char *end;
	uint64_t value;

	errno = 0;
	value = strtoull(text, &end, 10);
	if (errno || end == text || *end || *text == '-')
		argp_error(state, "'%s' is no whole number", text);
	return value;
}

/* The place of a 32-bit number, or NULL if `key` takes something else. */
static uint32_t *number_field(struct standin_options *o, int key)
{
	switch (key) {
	case OPT_THREADS:
		return &o->threads;
	case OPT_RETAIN:
		return &o->retain;
	case OPT_APPENDS_PER_S:
		return &o->appends_per_s;
	case OPT_LAG_MS:
		return &o->lag_ms;
	case OPT_CAPACITY:
		return &o->capacity;
	case OPT_MAX_WAITING:
		return &o->max_waiting;
	case OPT_TOKEN_US:
		return &o->token_us;
	case OPT_TOKENS_PER_EVENT:
		return &o->tokens_per_event;
	case OPT_LOAD_MS:
		return &o->load_ms;
	case OPT_WORK_MS:
		return &o->work_ms;
	case OPT_BOOT_MS:
		return &o->boot_ms;
	case OPT_FETCHES_PER_S:
		return &o->fetches_per_s;
	case OPT_WEIGHT_BYTES:
		return &o->weight_bytes;
	default:
		return NULL;
	}
}

static const char **text_field(struct standin_options *o, int key)
{
	switch (key) {
	case OPT_LISTEN:
		return &o->listen;
	case OPT_ADDRESS_FILE:
		return &o->address_file;
	case OPT_NAME:
		return &o->name;
	case OPT_POOL:
		return &o->pool;
	case OPT_WEIGHTS_URL:
		return &o->weights_url;
	case OPT_CRASH_ON:
		return &o->crash_on;
	default:
		return NULL;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct standin_options *o = state->input;
	uint32_t *number_at = number_field(o, key);
	const char **text_at = text_field(o, key);

	if (number_at) {
		*number_at = (uint32_t)number(arg, state);
		return 0;
	}
	if (text_at) {
		*text_at = arg;
		return 0;
	}
	switch (key) {
	case OPT_VERSION:
		o->version = number(arg, state);
		return 0;
	case OPT_CHECKS_FENCING:
		o->checks_fencing = number(arg, state) != 0;
		return 0;
	case ARGP_KEY_ARG:
		if (o->role)
			argp_error(state, "unexpected argument '%s'", arg);
		o->role = arg;
		return 0;
	case ARGP_KEY_END:
		if (!o->role)
			argp_error(state, "no role given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

void standin_options_parse(struct standin_options *options, int argc,
			   char **argv)
{
	static const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.args_doc = "ROLE",
		.doc = "Plays one outside system in tests and the demo. ROLE "
		       "is log, hosts, engine, service, orders, usage or "
		       "weights; 'trainer', 'call' and 'load' have options of their own.",
	};

	*options = (struct standin_options){
		.listen = "127.0.0.1:0",
		.retain = 100000,
		.appends_per_s = 400,
		.name = "",
		.pool = "scenario-lm",
		.capacity = 8,
		.max_waiting = 4096,
		.token_us = 1000,
		.tokens_per_event = 1,
		.version = 1,
		.checks_fencing = 1,
		.fetches_per_s = 100,
		.weight_bytes = 4096,
	};
	argp_parse(&argp, argc, argv, 0, NULL, options);
	if (!options->threads)
		options->threads = strcmp(options->role, "engine")
					   ? DEFAULT_THREADS
					   : DEFAULT_ENGINE_THREADS;
}
