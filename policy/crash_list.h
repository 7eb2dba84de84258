#ifndef POLICY_CRASH_LIST_H
#define POLICY_CRASH_LIST_H

#include <stdint.h>

/*
 * Detects requests that crash the backend servers that run them. Load pattern:
 * a caller sends such a request repeatedly, to any entry host; the request is
 * retried at several servers in a row, and each attempt takes down a server for
 * seconds. A host lists the servers that were lost while they ran a request,
 * keyed by a hash of the request; the lists of all hosts together decide
 * whether it is rejected for a while. A successful response clears the request;
 * an error response does not, because servers give one without running the
 * request. After a rejection one attempt is let through at a time, at all hosts
 * together: the loss of its server may be known only seconds later, and until
 * then every further attempt could take down another one. Pure functions with
 * bounded memory.
 */
#define CRASH_LIST_MAX 64

/* Crashes after which a request is rejected; the platform tolerates three. */
#define CRASHES_TO_REJECT 3
/*
 * How long a request is rejected: at first until the servers that it took down
 * are back, then longer by this factor for each crash that came at least that
 * long after the previous one, such as one during the first attempt after a
 * rejection. An answer to such an attempt clears a harmless request.
 */
#define CRASH_REFUSAL_FIRST_MS 30000
#define CRASH_REFUSAL_FACTOR 8
#define CRASH_REFUSAL_MAX_MS (16 * 60 * 1000)
/*
 * Longer than three of the longest rejections, so that none restarts at the
 * first duration.
 */
#define CRASH_RETENTION_MS (60 * 60 * 1000)
/*
 * The loss of one server cuts all attempts of a request there at once. Shorter
 * than a server needs to restart.
 */
#define CRASH_DEDUP_WINDOW_MS 500

/* Longer than it takes until the silent loss of a server is known. */
#define CRASH_PROBE_MS 10000
/* Retry-after meanwhile: the answer may come at once. */
#define CRASH_PROBE_RETRY_MS 500

/* Value of `server` for a request that was answered. */
#define CRASH_ANSWERED 0
/* Likewise, for one that is let through after a rejection. */
#define CRASH_PROBED UINT64_MAX

/*
 * A server was lost while it ran a request, or the request was answered or let
 * through.
 */
struct crash {
	uint64_t request; /* hash of the request */
	/* Hash of the server's id, CRASH_ANSWERED or CRASH_PROBED. */
	uint64_t server;
	int64_t at_ms; /* wall clock of the reporting host */
};

struct crash_list {
	struct crash crashes[CRASH_LIST_MAX];
	uint32_t count;
};

void crash_list_init(struct crash_list *list);

/* Callback that tells whether other hosts report crashes of a request, too. */
struct crash_reporter {
	int (*reports)(const struct crash_reporter *reporter, uint64_t request);
};

/*
 * Returns whether the crash is a new one. From a full list, evicts the oldest
 * crash of a request with the fewest crashes in it that no other host reports:
 * the many attempts that the loss of one server cuts must not evict the request
 * that crashes servers. `others` may be NULL.
 */
int crash_list_add(struct crash_list *list, const struct crash *crash,
		   const struct crash_reporter *others);

/* The request was answered; returns whether it was listed. */
int crash_list_clear(struct crash_list *list, uint64_t request);

/* The attempt let through did not run; returns whether it was listed. */
int crash_list_end_probe(struct crash_list *list, uint64_t request);

/* Removes expired crashes. */
void crash_list_prune(struct crash_list *list, int64_t now_ms);

/* Number of unexpired crashes of the request. */
uint32_t crash_list_count(const struct crash_list *list, uint64_t request,
			  int64_t now_ms);

/* Time of the newest crash; INT64_MIN if there is none. */
int64_t crash_list_newest_ms(const struct crash_list *list);

/* Crashes of one request, merged from the lists of all hosts; bounded. */
#define CRASH_TALLY_MAX 8

struct crash_tally {
	uint64_t request;
	int64_t now_ms;
	struct crash crashes[CRASH_TALLY_MAX]; /* the newest, oldest first */
	uint32_t count;
	int64_t answered_ms; /* crashes up to then are ignored */
	int64_t probed_ms; /* the newest attempt that was let through */
};

void crash_tally_init(struct crash_tally *tally, uint64_t request,
		      int64_t now_ms);
void crash_tally_add(struct crash_tally *tally, const struct crash_list *list);

/* Number of crashes since the request was last answered. */
uint32_t crash_tally_count(const struct crash_tally *tally);

/* Milliseconds for which the request is still rejected; 0: it may run. */
int64_t crash_tally_refused_ms(const struct crash_tally *tally);

#endif
