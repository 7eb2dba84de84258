// Circuit breakers of engines that run items. Guards against an engine that
// gets no item for seconds, since the probe of its circuit breaker ended in a
// way that neither closed nor opened it.
#include <gtest/gtest.h>

#include <string>

#include "lib-batches.h"

namespace
{

// A step is due 7.5 s after its submission, and its longest item takes 6.4 s.
const int64_t PLACED_AGAIN_MS = 1000;

struct ProbeCase {
	const char *name;
	ServerReply reply; // to the probe
};

} // namespace

TEST_F(Batches, GoOnAtAnEngineWhoseProbeWasAnsweredInAnyWay)
{
	const ProbeCase cases[] = {
		{ "runs the item", stream_reply(4) },
		{ "can never serve it", status_reply(422) },
		{ "fails", status_reply(500) },
		{ "is full", status_reply(503, true) },
		{ "older weights than allowed", stream_reply(4, 1, 0) },
	};

	for (const ProbeCase &c : cases) {
		SCOPED_TRACE(c.name);
		int calls = 0;
		int64_t probed_ns = 0, next_ns = 0;
		Submission submission;
		BatchHost *host = add_host("a", 1 + (uint64_t)(&c - cases));

		submission.id = "b" + std::to_string(&c - cases);
		add_engine("only", [&](const ServerSaw &saw) {
			if (!calls++) {
				probed_ns = saw.at_ns;
				return c.reply;
			}
			next_ns = next_ns ? next_ns : saw.at_ns;
			return stream_reply(4);
		});
		struct circuit *circuit =
			&fleet_find(&host->fleet, "only")->circuit;

		circuit->state = CIRCUIT_OPEN;
		circuit->failures = CIRCUIT_FAILURES_TO_OPEN;
		ASSERT_EQ(202, host->submit(submission));
		EXPECT_TRUE(loop_.run_until([&] { return next_ns; }, 12000));
		EXPECT_LE((next_ns - probed_ns) / NS_PER_MS, PLACED_AGAIN_MS);
		kill(host);
		engines_.clear();
	}
}
