#ifndef BUILTIN_CLIENT_H
#define BUILTIN_CLIENT_H

#include <argp.h>
#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "client/http_call.h"

/* The daemons that a subcommand speaks to, and how. */
#define CLIENT_DAEMONS_MAX 64
#define CLIENT_TOKEN_BYTES 256

struct client_daemon {
	char address[HTTP_URL_BYTES]; /* as the operator wrote it */
	struct http_pool pool;
};

struct client {
	struct client_daemon daemons[CLIENT_DAEMONS_MAX];
	uint32_t daemon_count;
	char authorization[CLIENT_TOKEN_BYTES + 24]; /* header; "": none */
	int json; /* print answers as JSON */
	int64_t timeout_ns;
};

/* One answer; `json` is NULL if the body is none. */
struct client_answer {
	int status;
	json_t *json;
	const char *daemon; /* that gave it */
	enum http_outcome outcome; /* of a call that failed */
};

/*
 * The shared options --daemon, --token-file, --timeout and --json, as an
 * argp child whose input is the struct client.
 */
extern const struct argp_child client_argp_children[];

/* Hands the client to the child parser; called on ARGP_KEY_INIT. */
void client_argp_init(struct argp_state *state, struct client *client);

/* What a subcommand without arguments does with keys that are not its own. */
error_t client_argp_rest(int key, char *arg, struct argp_state *state,
			 struct client *client);

void client_init(struct client *client);
void client_finish(struct client *client);

/*
 * Calls the first daemon that can be reached; the next one is tried only if
 * nothing was sent. Returns -1 if there is no answer.
 */
int client_call(struct client *client, const char *method, const char *path,
		const json_t *body, struct client_answer *answer,
		struct error *err);

/* Calls one daemon. */
int client_call_one(struct client *client, uint32_t index, const char *method,
		    const char *path, const json_t *body,
		    struct client_answer *answer, struct error *err);
void client_answer_finish(struct client_answer *answer);

/* Prints an answer, or keeps what it holds; returns an exit status. */
typedef int (*client_take)(void *arg, const struct client_answer *answer);

/*
 * Gets `path` from the first daemon that can be reached, or from each of
 * them. Says what failed, and returns the worst exit status.
 */
int client_ask_first(struct client *client, const char *path, client_take take,
		     void *arg);
int client_ask_each(struct client *client, const char *path, client_take take,
		    void *arg);

/* Prints JSON on one line of standard output. */
void client_print_json(const json_t *json);

/* Prints "currant: ..." on standard error. */
__attribute__((format(printf, 1, 2))) void client_complain(const char *fmt,
							   ...);

#endif
