#include "policy/cold_rate.h"

#include "base/clock.h"

/*
 * Requests that left a second apart may arrive closer together: delays to a
 * server differ by less than this.
 */
#define WINDOW_MARGIN_NS (100 * NS_PER_MS)
/* Lower rates count as this one: a request in 12 days. */
#define RATE_MIN 1e-6
/* Work that waited for a server that is warm now arrives over this time. */
#define RAMP_NS NS_PER_S
#define RAMP_FACTOR 2

double cold_rate_at(double per_s, int64_t cold_until_ns, int64_t now_ns)
{
	if (!cold_until_ns || per_s <= 0 || now_ns >= cold_until_ns + RAMP_NS)
		return 0;
	return now_ns < cold_until_ns ? per_s : RAMP_FACTOR * per_s;
}

uint32_t cold_rate_share(double per_s, uint32_t hosts, uint32_t rank)
{
	uint32_t total = 1;
	uint32_t share;

	if (rank >= hosts)
		return 0;
	if (per_s >= UINT32_MAX)
		total = UINT32_MAX;
	else if (per_s >= 1)
		total = (uint32_t)per_s;

	share = total / hosts + (rank < total % hosts);
	return share < COLD_SHARE_MAX ? share : COLD_SHARE_MAX;
}

/* A rate below one a second allows one request in a longer window. */
static int64_t window_ns(double per_s)
{
	if (per_s >= 1)
		return NS_PER_S + WINDOW_MARGIN_NS;
	if (per_s < RATE_MIN)
		per_s = RATE_MIN;
	return (int64_t)((double)NS_PER_S / per_s) + WINDOW_MARGIN_NS;
}

int cold_rate_allows(const struct cold_window *window, double per_s,
		     uint32_t share, int64_t now_ns)
{
	uint64_t oldest;

	if (!share)
		return 0;
	if (window->count < share)
		return 1;
	oldest = (window->count - share) % COLD_SHARE_MAX;
	return now_ns - window->sent_ns[oldest] >= window_ns(per_s);
}

void cold_window_add(struct cold_window *window, int64_t now_ns)
{
	window->sent_ns[window->count++ % COLD_SHARE_MAX] = now_ns;
}
