// Shares of models after the host that planned the loads is lost. Its successor
// knew no engine's share and dealt the engines out anew, so most had to load
// another model while the steps of all trainers waited.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "lib-duty-host.h"

extern "C" {
#include "policy/held_weights.h"
}

namespace
{

struct plan_model model(uint64_t named, uint64_t lag = 1, int active = 1)
{
	struct plan_model m = {};

	m.newest_named = named;
	m.lag = lag;
	m.tokens = 100;
	m.is_active = active;
	return m;
}

struct plan_engine holding(std::vector<uint64_t> versions, int32_t share = -1)
{
	struct plan_engine e = {};

	e.share = share;
	e.usable = 1;
	for (size_t i = 0; i < versions.size(); i++)
		e.versions[i] = versions[i];
	return e;
}

struct HeldCase {
	const char *name;
	std::vector<struct plan_model> models;
	std::vector<uint64_t> versions;
	int32_t model;
};

} // namespace

TEST(HeldWeights, BelongToTheModelThatTheyServe)
{
	const HeldCase cases[] = {
		{ "the newest of one", { model(5), model(5) }, { 1, 5 }, 1 },
		{ "old but allowed", { model(5), model(5) }, { 4, 1 }, 0 },
		{ "too old for both", { model(5), model(5) }, { 3, 1 }, -1 },
		{ "ahead of one, behind another",
		  { model(9), model(3) },
		  { 8, 3 },
		  1 },
		{ "a model that begins", { model(9), model(1) }, { 1, 1 }, 1 },
		{ "a new engine", { model(1), model(1) }, { 1, 1 }, -1 },
		{ "the newest of all", { model(6), model(4) }, { 6, 4 }, -1 },
		{ "the model has no batches",
		  { model(5, 1, 0), model(5) },
		  { 5, 1 },
		  -1 },
		{ "not loaded", { model(1), model(1) }, { 1, 0 }, 0 },
		{ "no lag allowed", { model(5, 0), model(5) }, { 4, 4 }, 1 },
	};

	for (const HeldCase &c : cases) {
		SCOPED_TRACE(c.name);
		struct plan_engine engine = holding(c.versions);

		EXPECT_EQ(c.model,
			  held_weights_model(&engine, c.models.data(),
					     (uint32_t)c.models.size()));
	}
}

TEST(HeldWeights, DecideSharesThatAreNotKnown)
{
	std::vector<struct plan_model> models = { model(5), model(7) };
	std::vector<struct plan_engine> engines = {
		holding({ 5, 1 }),
		holding({ 5, 1 }, 1),
		holding({ 1, 7 }),
		holding({ 1, 1 }),
	};
	const int32_t shares[] = { 0, 1, 1, -1 };

	engines.push_back(holding({ 5, 1 }));
	engines.back().usable = 0;
	held_weights_assign(models.data(), 2, engines.data(),
			    (uint32_t)engines.size());
	for (size_t i = 0; i < 4; i++)
		EXPECT_EQ(shares[i], engines[i].share) << i;
	EXPECT_EQ(-1, engines[4].share) << "not usable";
}

// Three trainers, each with a version of its own named every round; after four
// rounds the shares are forgotten.
TEST(HeldWeights, SpareAllLoadsWhenAHolderFollowsAnother)
{
	const uint32_t engine_count = 30;
	std::vector<struct plan_model> models(3, model(1));
	std::vector<struct plan_engine> engines(engine_count,
						holding({ 1, 1, 1 }));
	std::vector<struct plan_load> loads(engine_count);
	uint32_t moved = 0;

	for (uint32_t i = 0; i < engine_count; i++)
		engines[i].share = (int32_t)(i * 3 / engine_count);
	for (uint64_t named = 2; named < 6; named++) {
		uint32_t count;

		for (struct plan_model &m : models)
			m.newest_named = named;
		version_plan_shares(models.data(), 3, engines.data(),
				    engine_count);
		while ((count = version_plan_loads(models.data(), 3,
						   engines.data(), engine_count,
						   { 6, 6 }, loads.data())))
			for (uint32_t i = 0; i < count; i++)
				engines[loads[i].engine]
					.versions[loads[i].model] = named;
	}

	std::vector<struct plan_engine> before = engines;

	for (struct plan_engine &e : engines)
		e.share = -1;
	version_plan_shares(models.data(), 3, engines.data(), engine_count);
	for (uint32_t i = 0; i < engine_count; i++)
		moved += engines[i].share != before[i].share;
	EXPECT_EQ(0u, moved);
	EXPECT_EQ(0u, version_plan_loads(models.data(), 3, engines.data(),
					 engine_count, { 6, 6 }, loads.data()));
}

namespace
{

class Takeover : public ::testing::Test
{
      protected:
	Takeover() : topics_(&time_.timers), platform_(&time_)
	{
		for (int i = 0; i < 8; i++)
			platform_.engines[id(i)].versions = { { "m", 1 },
							      { "n", 1 } };
	}

	static std::string id(int engine)
	{
		return "e" + std::to_string(engine);
	}

	std::unique_ptr<DutyHost> add(const std::string &name,
				      int64_t extra_wait_ms)
	{
		return std::make_unique<DutyHost>(&time_, &topics_, &platform_,
						  name, ++incarnations_,
						  extra_wait_ms);
	}

	// The host reads what the engines say of themselves.
	void read_engines(DutyHost *host)
	{
		for (auto &engine : platform_.engines)
			host->add_engine(engine.first, engine.second.versions);
	}

	void name_versions(DutyHost *host, uint64_t version)
	{
		for (const char *model : { "m", "n" })
			host->name_version(model, version);
	}

	FakeTime time_;
	FakeTopics topics_;
	FakePlatform platform_;
	uint64_t incarnations_ = 0;
};

} // namespace

// The holder is lost between two versions: its successor has nothing to load
// until a step needs newer weights.
TEST_F(Takeover, AfterALossOrdersNoLoadOfAnotherModel)
{
	std::unique_ptr<DutyHost> first = add("a", 0);
	std::unique_ptr<DutyHost> second = add("b", 250);

	read_engines(first.get());
	time_.run(2000);
	ASSERT_TRUE(first->holds());
	for (uint64_t version = 2; version <= 4; version++) {
		name_versions(first.get(), version);
		name_versions(second.get(), version);
		first->publish_need("m", version - 1);
		first->publish_need("n", version - 1);
		time_.run(4000);
		read_engines(first.get());
	}
	std::map<std::string, FakePlatform::Engine> before = platform_.engines;
	size_t calls = platform_.calls.size();

	read_engines(second.get());
	first.reset();
	time_.run(8000);
	ASSERT_TRUE(second->holds());
	for (size_t i = calls; i < platform_.calls.size(); i++) {
		const DutyCall &call = platform_.calls[i];

		if (call.kind == "weights") {
			EXPECT_GE(before[call.engine].versions[call.model], 3u)
				<< call.engine << " had no usable "
				<< call.model;
		}
	}
}

// A host that held the duty before doesn't go by the shares of that time.
TEST_F(Takeover, ForgetsTheSharesOfAnEarlierLease)
{
	std::unique_ptr<DutyHost> host = add("a", 0);
	size_t calls;

	read_engines(host.get());
	time_.run(2000);
	name_versions(host.get(), 2);
	host->publish_need("m", 1);
	host->publish_need("n", 1);
	time_.run(4000);
	topics_.faults = [](const std::string &, const std::string &topic) {
		return topic == "keyed.duty" ? Fault::REFUSED : Fault::NONE;
	};
	time_.run(4000);
	ASSERT_FALSE(host->holds());
	/* Another holder gave each engine to the other model. */
	name_versions(host.get(), 4);
	for (auto &engine : platform_.engines)
		engine.second.versions =
			host->assigned_model(engine.first) == "m"
				? std::map<std::string, uint64_t>{ { "m", 1 },
								   { "n", 4 } }
				: std::map<std::string, uint64_t>{ { "m", 4 },
								   { "n", 1 } };
	read_engines(host.get());
	calls = platform_.calls.size();
	topics_.faults = nullptr;
	time_.run(8000);
	ASSERT_TRUE(host->holds());
	for (size_t i = calls; i < platform_.calls.size(); i++)
		EXPECT_NE("weights", platform_.calls[i].kind)
			<< platform_.calls[i].engine;
}
