#ifndef POLICY_DUTY_TERM_H
#define POLICY_DUTY_TERM_H

#include <stdint.h>

/*
 * How long a duty is held and when another host may claim it. Load pattern:
 * hosts freeze, are cut off, lose answers and stop in turn, on platforms that
 * check no fencing number: a call of a former holder must not arrive after one
 * of its successor, and a former holder must not act again soon after another
 * one has. A holder counts its time from before it sent its claim, a rival
 * from after it read it. Pure.
 */
struct duty_term {
	int64_t duration_ns; /* of a claim, from when it was sent */
	int64_t renew_ns; /* between two claims of the holder */
	int64_t rest_ns; /* holders don't take turns within it */
};

/* `lease_ms` is the time within which holders must not take turns. */
void duty_term_init(struct duty_term *term, uint32_t lease_ms);

/* Until when the holder may act, by a claim that it sent then. */
int64_t duty_term_held_until(const struct duty_term *term, int64_t sent_ns);

/* Former holders that must not hold it again yet. */
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
 * The host rests until then, or for longer if it did before. Those that are
 * over are dropped, then the one that ends first.
 */
void duty_rests_add(struct duty_rests *rests, const char *host,
		    int64_t until_ns, int64_t now_ns);

/* The newest claim, as a host has read it. */
struct duty_view {
	char holder[DUTY_HOST_BYTES]; /* "": nobody */
	int64_t duration_ns;
	int64_t read_ns; /* after it was read */
	struct duty_rests rests;
};

/* From when on the host `name`, which does not hold the duty, may claim it. */
int64_t duty_view_claim_at(const struct duty_view *view, const char *name);

/* The host `by` is about to replace the holder, if that is another one. */
void duty_view_replace(struct duty_view *view, const struct duty_term *term,
		       const char *by, int64_t now_ns);

/* The host is about to give the duty up. */
void duty_view_release(struct duty_view *view, const struct duty_term *term,
		       const char *name, int64_t now_ns);

#endif
