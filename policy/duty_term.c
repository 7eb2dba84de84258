#include "policy/duty_term.h"

#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"

/*
 * Fractions of the rest period: a holder that stops responding and returns has
 * then been replaced for at least that time, and two claims in a row may be
 * lost before the holder's term ends.
 */
#define DURATION_DENOMINATOR 2
#define RENEW_DENOMINATOR 6
/*
 * Minimum for a claim, whatever the platform's setting: two appends to a slow
 * store.
 */
#define DURATION_MIN_NS (500 * NS_PER_MS)
/* Clock drift over a term, and the latency of a call sent at its end. */
#define CLAIM_MARGIN_NS (400 * NS_PER_MS)
/* A holder stops this long before its term ends. */
#define HOLDER_MARGIN_NS (100 * NS_PER_MS)

void duty_term_init(struct duty_term *term, uint32_t lease_ms)
{
	term->rest_ns = lease_ms * NS_PER_MS;
	term->duration_ns = term->rest_ns / DURATION_DENOMINATOR;
	term->renew_ns = term->rest_ns / RENEW_DENOMINATOR;
	if (term->duration_ns < DURATION_MIN_NS)
		term->duration_ns = DURATION_MIN_NS;
}

int64_t duty_term_held_until(const struct duty_term *term, int64_t sent_ns)
{
	return sent_ns + term->duration_ns - HOLDER_MARGIN_NS;
}

void duty_rests_clear(struct duty_rests *rests)
{
	rests->count = 0;
}

static struct duty_rest *find_rest(struct duty_rests *rests, const char *host)
{
	for (uint32_t i = 0; i < rests->count; i++)
		if (!strcmp(rests->list[i].host, host))
			return &rests->list[i];
	return NULL;
}

static void drop_expired(struct duty_rests *rests, int64_t now_ns)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < rests->count; i++)
		if (rests->list[i].until_ns > now_ns)
			rests->list[kept++] = rests->list[i];
	rests->count = kept;
}

/*
 * Returns a slot for a new rest; if none is free, that of the rest which ends
 * first.
 */
static struct duty_rest *take_slot(struct duty_rests *rests)
{
	struct duty_rest *first = &rests->list[0];

	if (rests->count < DUTY_RESTS_MAX)
		return &rests->list[rests->count++];
	for (uint32_t i = 1; i < rests->count; i++)
		if (rests->list[i].until_ns < first->until_ns)
			first = &rests->list[i];
	return first;
}

void duty_rests_add(struct duty_rests *rests, const char *host,
		    int64_t until_ns, int64_t now_ns)
{
	struct duty_rest *rest;

	drop_expired(rests, now_ns);
	if (until_ns <= now_ns)
		return;
	rest = find_rest(rests, host);
	if (rest) {
		if (rest->until_ns < until_ns)
			rest->until_ns = until_ns;
		return;
	}
	rest = take_slot(rests);
	copy_text(rest->host, sizeof(rest->host), host);
	rest->until_ns = until_ns;
}

int64_t duty_view_claim_at(const struct duty_view *view, const char *name)
{
	const struct duty_rest *rest =
		find_rest((struct duty_rests *)&view->rests, name);
	int64_t at_ns = view->read_ns;

	if (view->holder[0])
		at_ns += view->duration_ns + CLAIM_MARGIN_NS;
	return rest && rest->until_ns > at_ns ? rest->until_ns : at_ns;
}

void duty_view_add_holder_rest(struct duty_view *view,
			       const struct duty_term *term, const char *by,
			       int64_t now_ns)
{
	if (!view->holder[0] || !strcmp(view->holder, by))
		return;
	duty_rests_add(&view->rests, view->holder,
		       view->read_ns + view->duration_ns + term->rest_ns,
		       now_ns);
}

void duty_view_add_own_rest(struct duty_view *view,
			    const struct duty_term *term, const char *name,
			    int64_t now_ns)
{
	duty_rests_add(&view->rests, name, now_ns + term->rest_ns, now_ns);
}
