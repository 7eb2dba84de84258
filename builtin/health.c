#include <stdio.h>

#include "builtin/builtin.h"
#include "builtin/client.h"

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	return client_argp_rest(key, arg, state, state->input);
}

/* Prints "entry-1 127.0.0.1:8002 not ready: draining=true ...". */
static void print_health(const struct client_answer *answer)
{
	const char *name =
		json_string_value(json_object_get(answer->json, "name"));
	const char *key;
	json_t *value;

	printf("%s %s %s", name ? name : "-", answer->daemon,
	       answer->status == 200 ? "ready" : "not ready");
	json_object_foreach (answer->json, key, value) {
		if (json_is_boolean(value))
			printf(" %s=%s", key,
			       json_is_true(value) ? "true" : "false");
		else if (json_is_integer(value))
			printf(" %s=%" JSON_INTEGER_FORMAT, key,
			       json_integer_value(value));
	}
	putchar('\n');
}

static int take(void *arg, const struct client_answer *answer)
{
	const struct client *client = arg;

	if (client->json && answer->json)
		client_print_json(answer->json);
	else
		print_health(answer);
	return answer->status == 200 ? EXIT_DONE : EXIT_REJECTED;
}

int cmd_health(int argc, char **argv)
{
	static const struct argp argp = {
		NULL,
		parse_option,
		NULL,
		"Asks each daemon whether it is ready. The exit status is the "
		"worst of them; 1 stands for not ready." EXIT_STATUS_DOC,
		client_argp_children,
		NULL,
		NULL
	};
	struct client client;
	int status;

	client_init(&client);
	argp_parse(&argp, argc, argv, 0, NULL, &client);
	status = client_ask_each(&client, "/health/ready", take, &client);
	client_finish(&client);
	return status;
}
