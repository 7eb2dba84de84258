#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "app/load_share.h"
#include "base/clock.h"
}

namespace
{

constexpr int64_t TICK_NS = 100 * NS_PER_MS;
constexpr uint32_t PEERS = 21;
constexpr uint32_t SERVERS = 34;

struct FakeOutbox {
	struct peer_outbox base;
	uint32_t messages;
	uint32_t loads;
	uint64_t bytes;
	uint64_t last_version;
};

uint32_t broadcast(struct peer_outbox *outbox, Currant__PeerMessage *message)
{
	auto *fake = reinterpret_cast<FakeOutbox *>(outbox);
	const Currant__LoadDigest *digest = message->load_digest;

	fake->messages++;
	fake->loads += static_cast<uint32_t>(digest->n_loads);
	fake->bytes += PEERS * currant__load_digest__get_packed_size(digest);
	fake->last_version = digest->loads[digest->n_loads - 1]->version;
	return PEERS;
}

class LoadShare : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		vtable_.broadcast = broadcast;
		outbox_.base.vt = &vtable_;
		load_share_init(&share_, &outbox_.base);
	}

	void TearDown() override
	{
		load_share_finish(&share_);
	}

	void note(uint32_t server, uint32_t running, uint64_t version)
	{
		struct load_report report = {};

		report.running = running;
		report.capacity = 16;
		report.version = version;
		report.incarnation = ~0ull;
		load_share_note(&share_, "scenario-lm",
				("engine-" + std::to_string(server)).c_str(),
				&report, now_ns_);
	}

	void tick()
	{
		now_ns_ += TICK_NS;
		load_share_tick(&share_, now_ns_);
	}

	struct peer_outbox_vtable vtable_ = {};
	FakeOutbox outbox_ = {};
	struct load_share share_ = {};
	int64_t now_ns_ = NS_PER_S;
};

TEST_F(LoadShare, TellsManyServersInOneMessage)
{
	for (uint32_t i = 0; i < 5; i++)
		note(i, 0, 1);
	tick();
	EXPECT_EQ(outbox_.messages, 1u);
	EXPECT_EQ(outbox_.loads, 5u);
}

TEST_F(LoadShare, TellsChangesAndRepeatsTheRestLater)
{
	const struct {
		const char *name;
		uint32_t running;
		uint64_t version;
		uint32_t ticks_before;
		uint32_t told;
	} table[] = {
		{ "first seen", 4, 1, 0, 1 },
		{ "the same", 4, 1, 0, 0 },
		{ "hardly more", 6, 1, 0, 0 },
		{ "more", 7, 1, 10, 1 },
		{ "new weights", 7, 2, 0, 1 },
		{ "the same again", 7, 2, 9, 0 },
		{ "a second later", 7, 2, 20, 1 },
	};

	for (const auto &row : table) {
		for (uint32_t i = 0; i < row.ticks_before; i++)
			tick();
		outbox_.loads = 0;
		note(1, row.running, row.version);
		tick();
		EXPECT_EQ(outbox_.loads, row.told) << row.name;
	}
}

TEST_F(LoadShare, StaysInItsBytesWhenAllLoadsChange)
{
	constexpr uint32_t SECONDS = 60;

	for (uint32_t i = 0; i < SERVERS; i++)
		note(i, 0, 1);
	for (uint32_t t = 0; t < 200; t++) /* pays for what was first seen */
		tick();
	outbox_.bytes = 0;
	for (uint32_t t = 0; t < SECONDS * 10; t++) {
		for (uint32_t i = 0; i < SERVERS; i++)
			note(i, t % 2 * 16, 1);
		tick();
	}
	EXPECT_GT(outbox_.bytes, 0u);
	/* One message may run into debt, and one second is in store. */
	EXPECT_LT(outbox_.bytes, LOAD_SHARE_BYTES_PER_S * (SECONDS + 1) +
					 PEERS * LOAD_SHARE_MAX * 64);
}

TEST_F(LoadShare, TellsNewWeightsAlsoInDebt)
{
	for (uint32_t i = 0; i < SERVERS; i++)
		note(i, 0, 1);
	tick();
	tick();
	ASSERT_LT(share_.bytes, 0);
	note(3, 0, 2);
	tick();
	EXPECT_EQ(outbox_.last_version, 2u);
}

} // namespace
