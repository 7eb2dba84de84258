// Two faults together: a data centre's eviction, all its engines at once, in
// the middle of a weight swap. No sample is lost, doubled or named after
// weights that did not make it, and nobody is blamed. Real processes; no
// seed: the faults strike at events.
#include <gtest/gtest.h>

#include <jansson.h>
#include <signal.h>

#include "t/lib-system.h"

static const int limit_ms = 20000;
static const int second_limit_ms = 3000;
static const int engines = 6;
static const int groups = 36;
static const int samples = 4;
static const int daemons = 3;

static json_int_t field(json_t *report, const char *name)
{
	return json_integer_value(json_object_get(report, name));
}

class ProofDaemonEviction : public testing::Test
{
      protected:
	ProofDaemonEviction() : system(options())
	{
	}

	static SystemOptions options()
	{
		SystemOptions options;

		options.engines = engines;
		options.engine_centres = { "forde", "forde",	"voss",
					   "voss",  "bergen-a", "bergen-a" };
		options.engine_flags = { "--token-us", "8000",
					 "--capacity", "8",
					 "--load-ms",  "200" };
		return options;
	}

	double sum(const char *counter)
	{
		double total = 0;

		for (int i = 0; i < daemons; i++)
			total += system.daemon(i).counter(counter);
		return total;
	}

	// Engines of one data centre that generate now.
	bool works(int first, int second)
	{
		return system.engine_field(first, "running") > 0 ||
		       system.engine_field(second, "running") > 0;
	}

	void evict(int first, int second)
	{
		system.engine(first).signal(SIGKILL);
		system.engine(second).signal(SIGKILL);
		system.engine(first).kill();
		system.engine(second).kill();
	}

	System system;
};

TEST_F(ProofDaemonEviction, InAWeightSwapLosesNothingAndBlamesNobody)
{
	TempDir dir;
	Process trainer;

	ASSERT_TRUE(system.up()) << system.daemon(0).output();
	system.start_step(trainer, dir.file("report"),
			  { "--groups", std::to_string(groups), "--samples",
			    std::to_string(samples), "--max-tokens", "100",
			    "--publish-at", "6", "--limit-s", "50" });
	ASSERT_TRUE(trainer.wait_until(
		limit_ms, [&] { return system.published() == 2; }));
	ASSERT_TRUE(trainer.wait_until(limit_ms, [&] { return works(0, 1); }));
	// The swap takes 200 ms; the engines vanish meanwhile.
	for (int i = 0; i < engines; i++)
		EXPECT_EQ(202, system.order(i, 2).status);
	evict(0, 1);
	// What ran there runs elsewhere, and a second data centre goes; in
	// most runs while some of it is there.
	ASSERT_TRUE(trainer.wait_until(limit_ms, [&] {
		return sum("retries_total") > 0;
	})) << system.daemon(0).timeline();
	trainer.wait_until(second_limit_ms, [&] { return works(2, 3); });
	evict(2, 3);
	int status = trainer.wait(limit_ms);

	json_t *report = json_load_file(dir.file("report").c_str(), 0, nullptr);
	EXPECT_EQ(0, status);
	EXPECT_EQ(groups * samples, field(report, "accepted"));
	for (const char *name : { "lost", "doubled", "over_bound",
				  "wrong_versions", "wrong_texts" })
		EXPECT_EQ(0, field(report, name)) << name;
	json_t *versions = json_object_get(report, "tokens_by_version");
	EXPECT_TRUE(json_object_get(versions, "1"));
	EXPECT_TRUE(json_object_get(versions, "2"));
	EXPECT_EQ(0, sum("requests_quarantined_total"));
	for (int i = 0; i < daemons; i++)
		EXPECT_EQ(std::string::npos,
			  system.daemon(i).timeline().find("is refused"))
			<< system.daemon(i).timeline();
	printf("%g requests retried, %lld samples\n", sum("retries_total"),
	       (long long)field(report, "accepted"));
	json_decref(report);
}
