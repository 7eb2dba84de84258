#include <stdio.h>
#include <string.h>

#include "base/strbuf.h"
#include "builtin/builtin.h"
#include "builtin/client.h"
#include "state/name.h"

#define OPTION_CLASS 256
#define OPTION_GROUP 257

struct addresses_options {
	struct client client;
	const char *class_;
	const char *group;
};

static const struct argp_option options[] = {
	{ "class", OPTION_CLASS, "CLASS", 0,
	  "Addresses for routes of this class: batch or latency", 0 },
	{ "group", OPTION_GROUP, "NAME", 0,
	  "Addresses for this group of requests, the same ones each time", 0 },
	{ 0 }
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct addresses_options *addresses = state->input;

	switch (key) {
	case OPTION_CLASS:
		if (strcmp(arg, "batch") && strcmp(arg, "latency"))
			argp_error(state,
				   "--class must be batch or latency, not '%s'",
				   arg);
		addresses->class_ = arg;
		return 0;
	case OPTION_GROUP:
		if (!name_is_valid(arg))
			argp_error(state, "--group must be %s", NAME_EXPECTED);
		addresses->group = arg;
		return 0;
	default:
		return client_argp_rest(key, arg, state, &addresses->client);
	}
}

static int print_addresses(const struct client *client, const json_t *json)
{
	const json_t *list = json_object_get(json, "addresses");
	size_t i;
	json_t *entry;

	if (client->json)
		client_print_json(json);
	else
		json_array_foreach (list, i, entry)
			printf("%s\n", json_string_value(json_object_get(
					       entry, "address"))
					       ?: "-");
	if (json_array_size(list))
		return EXIT_DONE;
	client_complain("no host can be named now");
	return EXIT_REJECTED;
}

static int take(void *arg, const struct client_answer *answer)
{
	struct addresses_options *addresses = arg;

	if (json_object_get(answer->json, "addresses"))
		return print_addresses(&addresses->client, answer->json);
	client_complain("%s answered status %d without addresses",
			answer->daemon, answer->status);
	return EXIT_REJECTED;
}

int cmd_addresses(int argc, char **argv)
{
	static const struct argp argp = {
		options,
		parse_option,
		NULL,
		"Prints the addresses that callers should use now, the best "
		"one first." EXIT_STATUS_DOC,
		client_argp_children,
		NULL,
		NULL
	};
	struct addresses_options addresses = { .class_ = "batch" };
	struct strbuf path;
	int status;

	client_init(&addresses.client);
	argp_parse(&argp, argc, argv, 0, NULL, &addresses);
	strbuf_init(&path);
	strbuf_addf(&path, "/v1/addresses?class=%s", addresses.class_);
	if (addresses.group)
		strbuf_addf(&path, "&group=%s", addresses.group);
	status =
		client_ask_first(&addresses.client, path.buf, take, &addresses);
	strbuf_finish(&path);
	client_finish(&addresses.client);
	return status;
}
