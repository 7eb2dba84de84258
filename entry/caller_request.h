#ifndef ENTRY_CALLER_REQUEST_H
#define ENTRY_CALLER_REQUEST_H

#include <stdint.h>

#include "fleet/server_answer.h"
#include "net/http_head.h"

/*
 * What the fields of a caller's request say. Texts point into the request's
 * head.
 */
#define REQUEST_PARTS_MAX 16

/* A part of the prompt, which other requests may share. */
struct prompt_part {
	uint64_t id;
	uint32_t tokens;
};

struct caller_request {
	const char *id; /* of this try of the caller; NULL: none */
	const char *host;
	const char *secret; /* key; NULL: none */
	int64_t time_left_ms; /* as the caller sent it; -1: none */
	int64_t wait_ms; /* a read may be held this long; 0: not */

	/* Requests that carry tokens. */
	const char *model; /* NULL: none */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	uint32_t length_hint; /* output tokens that are expected; 0: none */
	struct prompt_part parts[REQUEST_PARTS_MAX];
	uint32_t part_count;
	int64_t last_event_id; /* a stream goes on behind it; -1: none */
};

/* What this system adds to a request that it passes on. */
struct server_request {
	int64_t time_left_ms; /* -1: not said */
	const char
		*server_id; /* another server refuses it; NULL: any may run */
	const char *team; /* NULL: none */
	int32_t priority; /* 0 is the most urgent, to 9; -1: not said */
	uint64_t expected_version; /* of the weights; 0: any */
	int64_t last_event_id; /* -1: as the caller sent it */
};

#endif
