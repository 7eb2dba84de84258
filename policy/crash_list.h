#ifndef POLICY_CRASH_LIST_H
#define POLICY_CRASH_LIST_H

#include <stdint.h>

#include "base/clock.h"

/*
 * Requests that may crash the backend servers that run them. Answers this
 * load: a caller sends one such request again and again, at any entry host,
 * and each time a server is lost for seconds. A host counts the runs that
 * were cut off without an answer, by a hash of the request; all hosts' counts
 * together decide that it is refused for a while. A request that ran to an
 * answer is cleared, but not by a failure: servers give one without running it. Servers that are lost together cut many requests once:
 * so cuts that follow each other closely count as one. Pure and bounded.
 */
#define CRASH_LIST_MAX 16

/* Crashes after which a request is refused; the platform allows three. */
#define CRASHES_MAX 3
/* A server that crashed is back after seconds; callers wait for less. */
#define CRASH_MEMORY_NS (30 * NS_PER_S)
/* Less than a server needs to come back, more than a request's next tries. */
#define CRASH_APART_NS (500 * NS_PER_MS)

struct crash_suspect {
	uint64_t request; /* hash */
	uint32_t crashes; /* 0: not used */
	int64_t last_ns;
};

struct crash_list {
	struct crash_suspect suspects[CRASH_LIST_MAX];
};

void crash_list_init(struct crash_list *list);

/* A run was cut off; returns whether it counts. The oldest gives way. */
int crash_list_note(struct crash_list *list, uint64_t request, int64_t now_ns);

/* It ran to an answer; returns whether it was listed. */
int crash_list_clear(struct crash_list *list, uint64_t request);

/* The request's entry; NULL if there is none or it is too old. */
const struct crash_suspect *crash_list_find(const struct crash_list *list,
					    uint64_t request, int64_t now_ns);

/* Whether any entry is young enough to count. */
int crash_list_is_empty(const struct crash_list *list, int64_t now_ns);

#endif
