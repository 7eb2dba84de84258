#include "builtin/client.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"
#include "builtin/builtin.h"

#define DEFAULT_TIMEOUT_S 15
#define TIMEOUT_S_MAX 3600
#define BEARER "Authorization: Bearer "

static const struct argp_option options[] = {
	{ "daemon", 'd', "HOST:PORT", 0,
	  "Operators' address of a daemon; may be given several times "
	  "(default: CURRANT_DAEMON, separated by commas)",
	  0 },
	{ "token-file", 't', "FILE", 0,
	  "File that holds the operator's token (default: CURRANT_TOKEN)", 0 },
	{ "timeout", 'w', "SECONDS", 0, "Wait this long for an answer", 0 },
	{ "json", 'j', NULL, 0, "Print answers as JSON, one a line", 0 },
	{ 0 }
};

void client_complain(const char *fmt, ...)
{
	va_list ap;

	fputs("currant: ", stderr);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
}

static int add_daemon(struct client *client, const char *address,
		      struct error *err)
{
	struct client_daemon *daemon = &client->daemons[client->daemon_count];
	char url[HTTP_URL_BYTES + sizeof("http://")];

	if (client->daemon_count == CLIENT_DAEMONS_MAX)
		return error_set(err, ERROR_INVALID,
				 "more than %d daemons are given",
				 CLIENT_DAEMONS_MAX);
	if (!strchr(address, ':') ||
	    copy_text(daemon->address, sizeof(daemon->address), address))
		return error_set(err, ERROR_INVALID,
				 "daemon '%.64s' is no HOST:PORT", address);
	snprintf(url, sizeof(url), "%s%s",
		 strstr(address, "://") ? "" : "http://", address);
	if (http_pool_init(&daemon->pool, url, err))
		return -1;
	client->daemon_count++;
	return 0;
}

static int set_token(struct client *client, const char *token,
		     struct error *err)
{
	size_t len = strcspn(token, "\r\n");

	if (!len || len >= CLIENT_TOKEN_BYTES)
		return error_set(err, ERROR_INVALID,
				 "the token must have 1 to %d bytes",
				 CLIENT_TOKEN_BYTES - 1);
	snprintf(client->authorization, sizeof(client->authorization),
		 BEARER "%.*s", (int)len, token);
	return 0;
}

static int read_token_file(struct client *client, const char *path,
			   struct error *err)
{
	char token[CLIENT_TOKEN_BYTES + 1] = "";
	FILE *file = fopen(path, "re");
	int result;

	if (!file)
		return error_set(err, ERROR_IO, "cannot open token file %s: %m",
				 path);
	if (!fgets(token, sizeof(token), file))
		token[0] = '\0';
	fclose(file);
	result = set_token(client, token, err);
	return result ? error_prefix(err, "%s", path) : 0;
}

static int set_timeout(struct client *client, const char *text,
		       struct error *err)
{
	char *end;
	uint64_t seconds = strtoul(text, &end, 10);

	if (!*text || *end || !seconds || seconds > TIMEOUT_S_MAX)
		return error_set(err, ERROR_INVALID,
				 "--timeout must be 1 to %d seconds, not '%s'",
				 TIMEOUT_S_MAX, text);
	client->timeout_ns = (int64_t)seconds * NS_PER_S;
	return 0;
}

static int read_environment(struct client *client, struct error *err)
{
	const char *daemons = getenv("CURRANT_DAEMON");
	const char *token = getenv("CURRANT_TOKEN");

	if (!client->authorization[0] && token && set_token(client, token, err))
		return -1;
	while (!client->daemon_count && daemons && *daemons) {
		char *list = xstrdup(daemons);
		char *rest = list;
		char *one;
		int result = 0;

		while (!result && (one = strsep(&rest, ",")))
			result = add_daemon(client, one, err);
		free(list);
		if (result)
			return -1;
	}
	return 0;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct client *client = state->input;
	struct error err = ERROR_INIT;
	int result = 0;

	switch (key) {
	case 'd':
		result = add_daemon(client, arg, &err);
		break;
	case 't':
		result = read_token_file(client, arg, &err);
		break;
	case 'w':
		result = set_timeout(client, arg, &err);
		break;
	case 'j':
		client->json = 1;
		break;
	case ARGP_KEY_END:
		result = read_environment(client, &err);
		if (!result && !client->daemon_count)
			result = error_set(&err, ERROR_INVALID,
					   "no daemon is given: use --daemon "
					   "or CURRANT_DAEMON");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	if (result)
		argp_error(state, "%s", err.text);
	return 0;
}

static const struct argp client_argp = { options, parse_option, NULL, NULL,
					 NULL,	  NULL,		NULL };

const struct argp_child client_argp_children[] = { { &client_argp, 0,
						     "Daemons:", 1 },
						   { 0 } };

void client_argp_init(struct argp_state *state, struct client *client)
{
	state->child_inputs[0] = client;
}

error_t client_argp_rest(int key, char *arg, struct argp_state *state,
			 struct client *client)
{
	switch (key) {
	case ARGP_KEY_INIT:
		client_argp_init(state, client);
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "'%s' is one argument too many", arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

void client_init(struct client *client)
{
	memset(client, 0, sizeof(*client));
	client->timeout_ns = DEFAULT_TIMEOUT_S * NS_PER_S;
}

void client_finish(struct client *client)
{
	for (uint32_t i = 0; i < client->daemon_count; i++)
		http_pool_finish(&client->daemons[i].pool);
	client->daemon_count = 0;
}

int client_call_one(struct client *client, uint32_t index, const char *method,
		    const char *path, const json_t *body,
		    struct client_answer *answer, struct error *err)
{
	struct client_daemon *daemon = &client->daemons[index];
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct http_call call;
	int result;

	memset(answer, 0, sizeof(*answer));
	http_call_init(&call);
	call.method = method;
	call.path = path;
	call.body = text;
	call.body_len = text ? strlen(text) : 0;
	call.timeout_ns = client->timeout_ns;
	if (client->authorization[0])
		call.header = client->authorization;
	result = http_call_run(&daemon->pool, &call, err);
	answer->outcome = call.outcome;
	answer->status = call.status;
	answer->daemon = daemon->address;
	if (!result)
		answer->json = json_loadb(call.response.buf, call.response.len,
					  0, NULL);
	http_call_finish(&call);
	free(text);
	return result;
}

int client_call(struct client *client, const char *method, const char *path,
		const json_t *body, struct client_answer *answer,
		struct error *err)
{
	for (uint32_t i = 0;; i++) {
		if (!client_call_one(client, i, method, path, body, answer,
				     err))
			return 0;
		if (answer->outcome != HTTP_NOT_SENT ||
		    i + 1 >= client->daemon_count)
			return -1;
	}
}

void client_answer_finish(struct client_answer *answer)
{
	json_decref(answer->json);
	answer->json = NULL;
}

static int take_and_finish(struct client_answer *answer, int failed,
			   const struct error *err, client_take take, void *arg)
{
	int status;

	if (failed) {
		client_complain("%s", err->text);
		return EXIT_UNREACHABLE;
	}
	status = take(arg, answer);
	client_answer_finish(answer);
	return status;
}

int client_ask_first(struct client *client, const char *path, client_take take,
		     void *arg)
{
	struct client_answer answer;
	struct error err = ERROR_INIT;
	int failed = client_call(client, "GET", path, NULL, &answer, &err);

	return take_and_finish(&answer, failed, &err, take, arg);
}

int client_ask_each(struct client *client, const char *path, client_take take,
		    void *arg)
{
	int worst = EXIT_DONE;

	for (uint32_t i = 0; i < client->daemon_count; i++) {
		struct client_answer answer;
		struct error err = ERROR_INIT;
		int failed = client_call_one(client, i, "GET", path, NULL,
					     &answer, &err);
		int status = take_and_finish(&answer, failed, &err, take, arg);

		if (status > worst)
			worst = status;
	}
	return worst;
}

void client_print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_COMPACT);
	putchar('\n');
}
