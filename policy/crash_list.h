#ifndef POLICY_CRASH_LIST_H
#define POLICY_CRASH_LIST_H

#include <stdint.h>

/*
 * Requests that may crash the backend servers that run them. Answers this
 * load: a caller sends one such request again and again, at any entry host,
 * one attempt goes to several servers in a row, and each time a server is lost
 * for seconds. A host lists the servers that were lost under a request, by a
 * hash of it; all hosts' lists together decide that it is refused for a while.
 * A request that ran to an answer is cleared, but not by a failure: servers
 * give one without running it. Pure and bounded.
 */
#define CRASH_LIST_MAX 64

/* Crashes after which a request is refused; the platform allows three. */
#define CRASHES_MAX 3
/*
 * How long it is refused: first until the servers are back that it took down,
 * longer by this factor for each crash that came as long after the one before,
 * as one does that ends the try after a refusal. An answer to such a try
 * clears a sound request.
 */
#define CRASH_REFUSAL_FIRST_MS 30000
#define CRASH_REFUSAL_FACTOR 8
#define CRASH_REFUSAL_MAX_MS (16 * 60 * 1000)
/* Longer than three of the longest refusals, so that none starts anew. */
#define CRASH_MEMORY_MS (60 * 60 * 1000)
/*
 * One server that is lost cuts all runs of a request at once. Less than it
 * needs to come back.
 */
#define CRASH_APART_MS 500

/* The `server` of a request that was answered. */
#define CRASH_ANSWERED 0

/* A server was lost while it ran a request, or answered it after all. */
struct crash {
	uint64_t request; /* hash */
	uint64_t server; /* hash of its id, or CRASH_ANSWERED */
	int64_t at_ms; /* wall clock of the host that saw it */
};

struct crash_list {
	struct crash crashes[CRASH_LIST_MAX];
	uint32_t count;
};

void crash_list_init(struct crash_list *list);

/* Who knows which requests others suspect, too. */
struct crash_reporter {
	int (*reports)(const struct crash_reporter *reporter, uint64_t request);
};

/*
 * Returns whether it is a crash of its own. From a full list the oldest crash
 * goes of a request with the fewest crashes there that nobody else reports:
 * the many runs that one lost server cuts must not drive out the request that
 * ends servers. `others` may be NULL.
 */
int crash_list_add(struct crash_list *list, const struct crash *crash,
		   const struct crash_reporter *others);

/* The request ran to an answer; returns whether it was listed. */
int crash_list_clear(struct crash_list *list, uint64_t request);

/* Forgets what no longer counts. */
void crash_list_prune(struct crash_list *list, int64_t now_ms);

/* How many crashes of the request count. */
uint32_t crash_list_count(const struct crash_list *list, uint64_t request,
			  int64_t now_ms);

/* When the newest crash was seen; INT64_MIN if there is none. */
int64_t crash_list_newest_ms(const struct crash_list *list);

/* Crashes of one request by the lists of all hosts; saturates. */
#define CRASH_TALLY_MAX 8

struct crash_tally {
	uint64_t request;
	int64_t now_ms;
	struct crash crashes[CRASH_TALLY_MAX]; /* the newest, oldest first */
	uint32_t count;
	int64_t answered_ms; /* crashes until then mean nothing */
};

void crash_tally_init(struct crash_tally *tally, uint64_t request,
		      int64_t now_ms);
void crash_tally_add(struct crash_tally *tally, const struct crash_list *list);

/* How many crashes there are since the request was answered last. */
uint32_t crash_tally_count(const struct crash_tally *tally);

/* How long the request is still to be refused; 0: it may run. */
int64_t crash_tally_refused_ms(const struct crash_tally *tally);

#endif
