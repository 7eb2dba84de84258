#ifndef POLICY_CRASH_LIST_H
#define POLICY_CRASH_LIST_H

#include <stdint.h>

#include "base/clock.h"

/*
 * Requests that may crash the backend servers that run them. Answers this
 * load: a caller sends one such request again and again, at any entry host,
 * one attempt goes to several servers in a row, and each time a server is lost
 * for seconds. A host counts the servers that were lost under a request, by a
 * hash of it; all hosts' counts together decide that it is refused for a
 * while. A request that ran to an answer is cleared, but not by a failure:
 * servers give one without running it. Pure and bounded.
 */
#define CRASH_LIST_MAX 16

/* Crashes after which a request is refused; the platform allows three. */
#define CRASHES_MAX 3
/* A server that crashed is back after seconds; callers wait for less. */
#define CRASH_MEMORY_NS (30 * NS_PER_S)
/*
 * One server that is lost cuts all runs of a request at once. Less than it
 * needs to come back.
 */
#define CRASH_APART_NS (500 * NS_PER_MS)

struct crash_suspect {
	uint64_t request; /* hash */
	uint32_t crashes; /* 0: not used */
	uint64_t server; /* hash of the last one's id */
	int64_t last_ns;
};

struct crash_list {
	struct crash_suspect suspects[CRASH_LIST_MAX];
};

void crash_list_init(struct crash_list *list);

/*
 * A run was cut off at the server (a hash); returns whether it counts. The
 * oldest gives way.
 */
int crash_list_note(struct crash_list *list, uint64_t request, uint64_t server,
		    int64_t now_ns);

/* It ran to an answer; returns whether it was listed. */
int crash_list_clear(struct crash_list *list, uint64_t request);

/* The request's entry; NULL if there is none or it is too old. */
const struct crash_suspect *crash_list_find(const struct crash_list *list,
					    uint64_t request, int64_t now_ns);

/* Whether any entry is young enough to count. */
int crash_list_is_empty(const struct crash_list *list, int64_t now_ns);

#endif
