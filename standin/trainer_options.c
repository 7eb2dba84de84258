#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/trainer.h"

enum trainer_key {
	OPT_ADDRESSES = 0x100,
	OPT_KEYS,
	OPT_VERIFY,
	OPT_WEIGHTS,
	OPT_POOL,
	OPT_ROUTE,
	OPT_TRAINER,
	OPT_REPORT,
	OPT_STEP,
	OPT_GROUPS,
	OPT_SAMPLES,
	OPT_MAX_TOKENS,
	OPT_STALENESS,
	OPT_PUBLISH,
	OPT_THREADS,
	OPT_LIMIT,
	OPT_LAG,
	OPT_ANSWER_LIMIT,
};

static const struct argp_option option_table[] = {
	{ "addresses-url", OPT_ADDRESSES, "URL,...", 0,
	  "Daemons that are asked for addresses", 0 },
	{ "keys", OPT_KEYS, "KEY,...", 0, "Groups take them in turn", 0 },
	{ "verify-engines", OPT_VERIFY, "URL,...", 0,
	  "Compare weight versions with the engines' records", 0 },
	{ "weights-url", OPT_WEIGHTS, "URL", 0, "Weight store", 0 },
	{ "pool", OPT_POOL, "POOL", 0, "Pool that weights are for", 0 },
	{ "route", OPT_ROUTE, "ROUTE", 0, "Route to ask", 0 },
	{ "trainer", OPT_TRAINER, "NAME", 0, "Name of this trainer", 0 },
	{ "report", OPT_REPORT, "FILE", 0, "Write the JSON report here", 0 },
	{ "step", OPT_STEP, "N", 0, "Number of the step", 0 },
	{ "groups", OPT_GROUPS, "N", 0, "Groups of the step", 0 },
	{ "samples", OPT_SAMPLES, "N", 0, "Samples of a group", 0 },
	{ "max-tokens", OPT_MAX_TOKENS, "N", 0, "Tokens of a sample", 0 },
	{ "max-staleness", OPT_STALENESS, "N", 0, "Bound in versions", 0 },
	{ "publish-at", OPT_PUBLISH, "N", 0,
	  "Publish new weights after this many groups", 0 },
	{ "threads", OPT_THREADS, "N", 0, "Groups at once", 0 },
	{ "limit-s", OPT_LIMIT, "S", 0, "Time for the step", 0 },
	{ "answer-limit-ms", OPT_ANSWER_LIMIT, "MS", 0,
	  "Close the connection and ask elsewhere after this time, which "
	  "doubles with each try; 0: never",
	  0 },
	{ "publish-lag-ms", OPT_LAG, "MS", 0,
	  "Time until published weights count for the bound", 0 },
	{ 0 },
};

static void split(struct text_list *list, char *text, struct argp_state *state)
{
	char *save = NULL;
	char *item;

	list->count = 0;
	for (item = strtok_r(text, ",", &save); item;
	     item = strtok_r(NULL, ",", &save)) {
		if (list->count == TRAINER_URLS_MAX)
			argp_error(state, "a list has more than %d items",
				   TRAINER_URLS_MAX);
		list->items[list->count++] = item;
	}
}

static struct text_list *list_field(struct trainer_options *o, int key)
{
	switch (key) {
	case OPT_ADDRESSES:
		return &o->addresses;
	case OPT_KEYS:
		return &o->keys;
	case OPT_VERIFY:
		return &o->engines;
	default:
		return NULL;
	}
}

static const char **text_field(struct trainer_options *o, int key)
{
	switch (key) {
	case OPT_WEIGHTS:
		return &o->weights_url;
	case OPT_POOL:
		return &o->pool;
	case OPT_ROUTE:
		return &o->route;
	case OPT_TRAINER:
		return &o->name;
	case OPT_REPORT:
		return &o->report;
	default:
		return NULL;
	}
}

static uint32_t *number_field(struct trainer_options *o, int key)
{
	switch (key) {
	case OPT_GROUPS:
		return &o->groups;
	case OPT_SAMPLES:
		return &o->samples;
	case OPT_MAX_TOKENS:
		return &o->max_tokens;
	case OPT_STALENESS:
		return &o->max_staleness;
	case OPT_PUBLISH:
		return &o->publish_at;
	case OPT_THREADS:
		return &o->threads;
	case OPT_LIMIT:
		return &o->limit_s;
	case OPT_ANSWER_LIMIT:
		return &o->answer_limit_ms;
	case OPT_LAG:
		return &o->publish_lag_ms;
	default:
		return NULL;
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct trainer_options *o = state->input;
	struct text_list *list = list_field(o, key);
	const char **text = text_field(o, key);
	uint32_t *number = number_field(o, key);

	if (list)
		split(list, arg, state);
	else if (text)
		*text = arg;
	else if (number)
		*number = (uint32_t)strtoul(arg, NULL, 10);
	else if (key == OPT_STEP)
		o->step = strtoull(arg, NULL, 10);
	else if (key == ARGP_KEY_ARG)
		argp_error(state, "unexpected argument '%s'", arg);
	else if (key == ARGP_KEY_END && !o->addresses.count)
		argp_error(state, "--addresses-url is needed");
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

void trainer_options_parse(struct trainer_options *options, int argc,
			   char **argv)
{
	static const struct argp argp = {
		.options = option_table,
		.parser = parse_option,
		.doc = "Runs one training step against the daemons. The exit "
		       "status is 0 only if each sample arrived once, whole, "
		       "within the bound and true to the engines' records.",
	};

	*options = (struct trainer_options){
		.pool = "scenario-lm",
		.route = "rollout",
		.name = "t1",
		.step = 1,
		.groups = 64,
		.samples = 8,
		.max_tokens = 32,
		.max_staleness = 2,
		.threads = 32,
		.limit_s = 120,
		.publish_lag_ms = 2000,
	};
	argp_parse(&argp, argc, argv, 0, NULL, options);
	if (options->threads > options->groups)
		options->threads = options->groups;
}
