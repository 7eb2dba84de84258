#include <string.h>

#include "policy/admission.h"

#include "base/clock.h"

#define RATE_WINDOW_S 4.0
#define RATE_EWMA_WEIGHT 0.3
#define MIN_RETRY_MS 100
#define MAX_RETRY_MS 600000
#define JITTER_FRACTION 0.1
#define DEFAULT_RESERVATION_GRACE_S 2.0

void admission_init(struct admission *admission, double tokens_per_s,
		    int64_t now_ns)
{
	memset(admission, 0, sizeof(*admission));
	admission->tokens_per_s = tokens_per_s > 0 ? tokens_per_s : 1;
	admission->window_start_ns = now_ns;
	admission->grace_s = DEFAULT_RESERVATION_GRACE_S;
}

void admission_finished(struct admission *admission, double tokens, int busy,
			int64_t now_ns)
{
	double elapsed_s =
		(double)(now_ns - admission->window_start_ns) / NS_PER_S;
	double rate;

	admission->window_tokens += tokens;
	if (elapsed_s < RATE_WINDOW_S)
		return;
	rate = admission->window_tokens / elapsed_s;
	admission->window_tokens = 0;
	admission->window_start_ns = now_ns;
	if (!busy && rate < admission->tokens_per_s)
		return;
	admission->tokens_per_s +=
		RATE_EWMA_WEIGHT * (rate - admission->tokens_per_s);
	if (admission->tokens_per_s < 1)
		admission->tokens_per_s = 1;
}

static int64_t seconds_ns(double seconds)
{
	return (int64_t)(seconds * NS_PER_S);
}

/* Seconds of reserved work whose callers have not yet returned. */
static double reserved_s(const struct admission *admission, int64_t now_ns)
{
	int64_t left_ns = admission->reserved_until_ns - now_ns;

	return left_ns > 0 ? (double)left_ns / NS_PER_S : 0;
}

static uint32_t retry_ms(double delay_s, struct rng *rng)
{
	double ms = delay_s * 1000 * (1 + JITTER_FRACTION * rng_unit(rng));

	if (ms < MIN_RETRY_MS)
		return MIN_RETRY_MS;
	return ms > MAX_RETRY_MS ? MAX_RETRY_MS : (uint32_t)ms;
}

/* Reserves the earliest time at which the request would meet its deadline. */
static uint32_t reserve(struct admission *admission,
			const struct admission_request *request,
			double excess_s, struct rng *rng, int64_t now_ns)
{
	double length_s = request->tokens / admission->tokens_per_s;
	int64_t start_ns = now_ns + seconds_ns(excess_s);

	if (start_ns < admission->reserved_until_ns)
		start_ns = admission->reserved_until_ns;
	admission->reserved_until_ns = start_ns + seconds_ns(length_s);
	return retry_ms((double)(start_ns - now_ns) / NS_PER_S, rng);
}

static int has_reservation(const struct admission *admission,
			   const struct admission_request *request,
			   int64_t now_ns)
{
	return request->reserved_at_ns && now_ns >= request->reserved_at_ns &&
	       now_ns <=
		       request->reserved_at_ns + seconds_ns(admission->grace_s);
}

struct admission_verdict
admission_decide(struct admission *admission,
		 const struct admission_request *request, double tokens_ahead,
		 struct rng *rng, int64_t now_ns)
{
	struct admission_verdict verdict = { 1, 0, 0 };
	double allowed_s;
	double queue_s = tokens_ahead / admission->tokens_per_s;

	verdict.wait_s = queue_s;
	if (!request->deadline_ns)
		return verdict;
	allowed_s = (double)(request->deadline_ns - now_ns) / NS_PER_S -
		    request->service_s;
	if (!has_reservation(admission, request, now_ns))
		verdict.wait_s += reserved_s(admission, now_ns);
	if (verdict.wait_s <= allowed_s)
		return verdict;
	verdict.admitted = 0;
	verdict.retry_after_ms = reserve(
		admission, request,
		allowed_s > 0 ? queue_s - allowed_s : queue_s, rng, now_ns);
	return verdict;
}
