#ifndef POLICY_DUTY_TERM_H
#define POLICY_DUTY_TERM_H

#include <stdint.h>

/*
 * Computes how long a host holds a duty (a lease on a singleton task) and when
 * another host may claim it. Load pattern: hosts freeze, are partitioned, lose
 * responses and stop, one after another, on platforms that check no fencing
 * number: a call of a former holder must not arrive after one of its successor,
 * and a former holder must not act again soon after another one has; until then
 * it rests. A holder counts its term from before it sent its claim, other hosts
 * from after they read it. Pure functions.
 */
struct duty_term {
	int64_t duration_ns; /* of a claim, from when it was sent */
	int64_t renew_ns; /* between two claims of the holder */
	int64_t rest_ns; /* before a former holder may hold it again */
};

/* `lease_ms` is the time within which two holders must not alternate. */
void duty_term_init(struct duty_term *term, uint32_t lease_ms);

/* Until when the holder may act, given a claim that it sent at `sent_ns`. */
int64_t duty_term_held_until(const struct duty_term *term, int64_t sent_ns);

/* Former holders that must not hold the duty again yet. */
#define DUTY_RESTS_MAX 8
#define DUTY_HOST_BYTES 64

struct duty_rest {
	char host[DUTY_HOST_BYTES];
	int64_t until_ns;
};

struct duty_rests {
	struct duty_rest list[DUTY_RESTS_MAX];
	uint32_t count;
};

void duty_rests_clear(struct duty_rests *rests);

/*
 * Adds a rest of the host until `until_ns`, or extends the one that it has.
 * Expired rests are dropped, and if the list is full, so is the one that ends
 * first.
 */
void duty_rests_add(struct duty_rests *rests, const char *host,
		    int64_t until_ns, int64_t now_ns);

/* The newest claim that a host has read. */
struct duty_view {
	char holder[DUTY_HOST_BYTES]; /* "": none */
	int64_t duration_ns;
	int64_t read_ns; /* after the claim was read */
	struct duty_rests rests;
};

/*
 * Earliest time at which the host `name`, which does not hold the duty, may
 * claim it.
 */
int64_t duty_view_claim_at(const struct duty_view *view, const char *name);

/*
 * Before the host `by` claims the duty: adds a rest for the holder, if that is
 * another host.
 */
void duty_view_add_holder_rest(struct duty_view *view,
			       const struct duty_term *term, const char *by,
			       int64_t now_ns);

/* Before the host releases the duty: adds a rest for it. */
void duty_view_add_own_rest(struct duty_view *view,
			    const struct duty_term *term, const char *name,
			    int64_t now_ns);

#endif
