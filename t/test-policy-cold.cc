// Limits of cold servers: a data centre that comes back as a whole, with work
// waiting for it at many hosts, is not overrun by what they send together.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "base/rng.h"
#include "policy/cold_rate.h"
}

TEST(ColdRate, EndsInTwoSteps)
{
	const struct {
		const char *name;
		double per_s;
		int64_t cold_until_ms, now_ms;
		double rate;
	} cases[] = {
		{ "never cold", 9, 0, 0, 0 },
		{ "no limit", 0, 5000, 1000, 0 },
		{ "cold", 9, 5000, 1000, 9 },
		{ "cold for a moment more", 9, 5000, 4999, 9 },
		{ "just warm", 9, 5000, 5000, 18 },
		{ "warm for most of a second", 9, 5000, 5999, 18 },
		{ "warm", 9, 5000, 6000, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.rate,
			  cold_rate_at(c.per_s, c.cold_until_ms * NS_PER_MS,
				       c.now_ms * NS_PER_MS));
	}
}

TEST(ColdRate, SharesAddUpToTheRate)
{
	const struct {
		const char *name;
		double per_s;
		uint32_t hosts;
		uint32_t total, first, last; // of all hosts, of two of them
	} cases[] = {
		{ "one host", 9, 1, 9, 9, 9 },
		{ "no host is listed", 9, 0, 0, 0, 0 },
		{ "a few", 9, 4, 9, 3, 2 },
		{ "as many as requests", 9, 9, 9, 1, 1 },
		{ "more than requests", 9, 87, 9, 1, 0 },
		{ "a fraction", 9.9, 2, 9, 5, 4 },
		{ "less than one a second", 0.25, 87, 1, 1, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		uint32_t hosts = std::max(1u, c.hosts);
		uint32_t total = 0;

		for (uint32_t i = 0; i < hosts; i++)
			total += cold_rate_share(c.per_s, c.hosts, i);
		EXPECT_EQ(c.total, total);
		EXPECT_EQ(c.first, cold_rate_share(c.per_s, c.hosts, 0));
		EXPECT_EQ(c.last, cold_rate_share(c.per_s, c.hosts, hosts - 1));
	}
	EXPECT_EQ((uint32_t)COLD_SHARE_MAX, cold_rate_share(1000, 1, 0));
	for (uint32_t hosts : { 0u, 1u, 4u, 9u, 87u })
		EXPECT_EQ(0u, cold_rate_share(9, hosts, hosts))
			<< "not one of " << hosts;
}

TEST(ColdRate, AllowsTheShareInAnyWindow)
{
	const struct {
		const char *name;
		double per_s;
		uint32_t share;
		std::vector<int64_t> sent_ms;
		int64_t now_ms;
		int allowed;
	} cases[] = {
		{ "no share", 9, 0, {}, 5000, 0 },
		{ "nothing sent", 9, 1, {}, 5000, 1 },
		{ "less than the share", 9, 3, { 4000, 4990 }, 5000, 1 },
		{ "the share", 9, 3, { 4000, 4990, 4995 }, 5000, 0 },
		{ "the first is a second old",
		  9,
		  3,
		  { 4000, 4990, 4995 },
		  5050,
		  0 },
		{ "and a margin", 9, 3, { 4000, 4990, 4995 }, 5100, 1 },
		{ "one in four seconds", 0.25, 1, { 1000 }, 5000, 0 },
		{ "after them", 0.25, 1, { 1000 }, 5100, 1 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		struct cold_window window = {};

		for (int64_t ms : c.sent_ms)
			cold_window_add(&window, ms * NS_PER_MS);
		EXPECT_EQ(c.allowed, cold_rate_allows(&window, c.per_s, c.share,
						      c.now_ms * NS_PER_MS));
	}
}

namespace
{

struct Return {
	size_t most; // requests at one engine in a second while it was cold
	int64_t done_ms; // when no work was left
};

// Twelve engines come back at once, cold for three seconds, when each of
// `hosts` hosts has `items` waiting. A host sees six slots that it
// may use, and each item takes 400 ms.
// Requests take up to 50 ms to arrive, and hosts learn of the end up to 800 ms
// late.
Return return_cold(uint32_t hosts, int items, bool is_limited)
{
	const size_t engine_count = 12;
	const double per_s = 9;
	std::vector<std::vector<int64_t>> arrivals(engine_count);
	std::vector<std::vector<std::vector<int64_t>>> ends(
		hosts, std::vector<std::vector<int64_t>>(engine_count));
	std::vector<std::vector<cold_window>> windows(
		hosts, std::vector<cold_window>(engine_count));
	std::vector<int> left(hosts, items);
	Return result = {};
	struct rng rng;

	rng_init(&rng, 1);
	for (int64_t ms = 0; ms < 60000 && !result.done_ms; ms += 10) {
		for (uint32_t n = 0; n < hosts * engine_count; n++) {
			uint32_t h = n % hosts;
			size_t e = (n / hosts + h) % engine_count;
			int64_t until_ms = 3000 + 800 * h / hosts;
			double rate = cold_rate_at(per_s, until_ms * NS_PER_MS,
						   ms * NS_PER_MS);
			uint32_t share = cold_rate_share(
				rate, hosts, (uint32_t)((h + e) % hosts));
			auto &running = ends[h][e];

			running.erase(std::remove_if(running.begin(),
						     running.end(),
						     [ms](int64_t end) {
							     return end <= ms;
						     }),
				      running.end());
			while (left[h] && running.size() < 6 &&
			       (!is_limited || !rate ||
				cold_rate_allows(&windows[h][e], rate, share,
						 ms * NS_PER_MS))) {
				left[h]--;
				running.push_back(ms + 400);
				cold_window_add(&windows[h][e], ms * NS_PER_MS);
				arrivals[e].push_back(
					ms + (int64_t)rng_below(&rng, 50));
			}
		}
		if (!std::count_if(left.begin(), left.end(),
				   [](int l) { return l > 0; }))
			result.done_ms = ms;
	}
	for (auto &times : arrivals) {
		std::sort(times.begin(), times.end());
		for (size_t i = 0; i < times.size(); i++) {
			auto end = std::lower_bound(times.begin(), times.end(),
						    times[i] + 1000);

			if (times[i] < 3000)
				result.most = std::max(
					result.most,
					(size_t)(end - times.begin()) - i);
		}
	}
	return result;
}

} // namespace

// Guards against a data centre that crashes again and again while it returns:
// each host stays within what an engine takes, and all together do not.
TEST(ColdRate, ADataCentreThatReturnsIsNotOverrun)
{
	/* cold_per_s x cold_over + cold_slack of a deployment. */
	const double bound = 9 * 1.5 + 5;

	for (uint32_t hosts : { 1u, 3u, 9u, 24u, 87u }) {
		SCOPED_TRACE(hosts);
		int items = (int)(900 / hosts);
		Return limited = return_cold(hosts, items, true);

		if (hosts > 1) {
			EXPECT_GT((double)return_cold(hosts, items, false).most,
				  bound)
				<< "this load would overrun them";
		}
		EXPECT_LE((double)limited.most, bound);
		EXPECT_GT(limited.done_ms, 0);
		EXPECT_LT(limited.done_ms, 20000);
	}
}
