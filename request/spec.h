#ifndef REQUEST_SPEC_H
#define REQUEST_SPEC_H

#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "state/config.h"

/* What a caller asked for at /v1/completions or /v1/chat/completions. */
#define SAMPLES_MAX 64
#define REQUEST_ID_BYTES 48

struct completion_spec {
	char request_id[REQUEST_ID_BYTES];
	char model[NAME_BYTES]; /* names the route */
	int chat;
	int stream;
	uint32_t n;
	uint32_t max_tokens;
	json_t *prompt; /* string; messages array if `chat` */
	json_t *sampling; /* object of passed-on sampling parameters */
	uint64_t prefix; /* hash of the prompt's head */
	uint64_t fingerprint; /* hash of the whole prompt and route */
	uint32_t prompt_tokens; /* estimate */
	/* extension fields of trainers */
	int has_group;
	char trainer[NAME_BYTES];
	uint64_t step;
	uint64_t group;
	int has_staleness;
	uint32_t max_staleness; /* versions */
};

/* Parses and checks a body; errors name the field. */
int completion_spec_parse(struct completion_spec *spec, const char *body,
			  size_t len, int chat, struct error *err);
void completion_spec_finish(struct completion_spec *spec);

/*
 * Builds the body for a backend server: a whitelist, in which nothing of
 * the caller's identity stands. `done_text` is what an earlier try already
 * generated, to be continued from.
 */
json_t *completion_spec_backend_body(const struct completion_spec *spec,
				     const char *backend_request_id,
				     const char *done_text,
				     uint32_t tokens_left, int stream,
				     int priority);

#endif
