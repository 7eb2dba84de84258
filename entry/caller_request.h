#ifndef ENTRY_CALLER_REQUEST_H
#define ENTRY_CALLER_REQUEST_H

#include <stdint.h>

#include "fleet/server_answer.h"
#include "net/http_head.h"

/*
 * The parsed header fields of a caller's request. Strings point into the
 * request's head.
 */
#define REQUEST_PARTS_MAX 16

/* A part of the prompt that other requests may share. */
struct prompt_part {
	uint64_t id;
	uint32_t tokens;
};

struct caller_request {
	const char *id; /* of this attempt of the caller; NULL: none */
	const char *host;
	const char *secret; /* API key; NULL: none */
	int64_t time_left_ms; /* as the caller sent it; -1: none */
	int64_t wait_ms; /* max wait of a long-polling read; 0: no wait */

	/* Requests that carry tokens. */
	const char *model; /* NULL: none */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	uint32_t length_hint; /* expected output tokens; 0: none */
	struct prompt_part parts[REQUEST_PARTS_MAX];
	uint32_t part_count;
	int64_t last_event_id; /* a stream resumes after it; -1: none */
};

/* Header fields that this system adds to a request that it forwards. */
struct server_request {
	int64_t time_left_ms; /* -1: omitted */
	/* Servers with another id reject the request; NULL: any may run it. */
	const char *server_id;
	const char *team; /* NULL: none */
	int32_t priority; /* 0 (most urgent) to 9; -1: omitted */
	uint64_t expected_version; /* weight version; 0: any */
	int64_t last_event_id; /* -1: forward the caller's */
};

#endif
