// Appends to and reads from the platform's store under faults: each write takes
// effect once, and reads return all records and no stale end.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "lib-fake-topics.h"

extern "C" {
#include "base/rng.h"
#include "store/keyed_follower.h"
#include "store/topic_follower.h"
#include "store/topic_writer.h"
}

namespace
{

struct Write {
	struct topic_write base;
	int done = 0;
	int dropped = 0;
	enum topic_write_outcome outcome;
};

void on_written(struct topic_write *base, enum topic_write_outcome outcome)
{
	Write *write = (Write *)base->arg;

	write->done++;
	write->outcome = outcome;
}

void on_dropped(struct topic_write *base)
{
	((Write *)base->arg)->dropped++;
	strbuf_finish(&base->records);
}

void init_write(Write *write, const std::string &record, bool persistent)
{
	write->base = {};
	strbuf_init(&write->base.records);
	topic_add_record(&write->base.records, record.data(), record.size());
	write->base.record_count = 1;
	write->base.retry_until_done = persistent;
	write->base.done = on_written;
	write->base.dropped = on_dropped;
	write->base.arg = write;
}

class TopicStore : public ::testing::Test
{
      protected:
	TopicStore() : topics_(&time_.timers)
	{
	}

	void init_writer(const char *name = "w")
	{
		topic_writer_init(&writer_, topics_.log(), &time_.timers, "t",
				  3, name, nullptr);
	}

	const std::vector<std::string> &records()
	{
		return topics_.partition("t", 3).records;
	}

	FakeTime time_;
	FakeTopics topics_;
	struct topic_writer writer_;
};

struct FaultCase {
	const char *name;
	std::vector<Fault> faults; // of the first calls; then none
	bool persistent;
	enum topic_write_outcome outcome;
	bool in_log; // the record is in the log, once
};

} // namespace

TEST_F(TopicStore, AWriteTakesEffectOnceOrIsRefused)
{
	const FaultCase cases[] = {
		{ "no fault", {}, false, TOPIC_WRITE_DONE, true },
		{ "refused",
		  { Fault::REFUSED },
		  false,
		  TOPIC_WRITE_REFUSED,
		  false },
		{ "refused, persistent",
		  { Fault::REFUSED, Fault::REFUSED },
		  true,
		  TOPIC_WRITE_DONE,
		  true },
		{ "answer lost",
		  { Fault::LOST },
		  false,
		  TOPIC_WRITE_DONE,
		  true },
		{ "answers lost again and again",
		  { Fault::LOST, Fault::LOST, Fault::LOST },
		  false,
		  TOPIC_WRITE_DONE,
		  true },
		{ "silent",
		  { Fault::SILENT, Fault::SILENT },
		  false,
		  TOPIC_WRITE_DONE,
		  true },
		{ "carried out late",
		  { Fault::LATE },
		  false,
		  TOPIC_WRITE_DONE,
		  true },
		{ "lost, then refused: the refusal says nothing",
		  { Fault::LOST, Fault::REFUSED, Fault::REFUSED },
		  false,
		  TOPIC_WRITE_DONE,
		  true },
		{ "silent, then refused",
		  { Fault::SILENT, Fault::REFUSED },
		  false,
		  TOPIC_WRITE_DONE,
		  true },
	};

	for (const FaultCase &c : cases) {
		SCOPED_TRACE(c.name);
		FakeTopics topics(&time_.timers);
		std::vector<Fault> faults = c.faults;
		struct topic_writer writer;
		Write write;

		topics.faults = [&](const std::string &, const std::string &) {
			Fault fault = Fault::NONE;

			if (!faults.empty()) {
				fault = faults.front();
				faults.erase(faults.begin());
			}
			return fault;
		};
		topic_writer_init(&writer, topics.log(), &time_.timers, "t", 3,
				  "w", nullptr);
		init_write(&write, "hello", c.persistent);
		topic_writer_add(&writer, &write.base);
		EXPECT_EQ(0, write.done);
		time_.run(10000);
		topics.carry_out_late();
		time_.run(1000);
		EXPECT_EQ(1, write.done);
		EXPECT_EQ(c.outcome, write.outcome);
		EXPECT_EQ(c.in_log ? 1u : 0u,
			  topics.partition("t", 3).records.size());
		EXPECT_TRUE(topic_writer_is_idle(&writer));
		topic_writer_finish(&writer);
		strbuf_finish(&write.base.records);
	}
}

TEST_F(TopicStore, WritesThatComeMeanwhileShareTheNextCall)
{
	Write writes[20];

	init_writer();
	for (int i = 0; i < 20; i++) {
		init_write(&writes[i], std::to_string(i), false);
		topic_writer_add(&writer_, &writes[i].base);
	}
	time_.run(100);
	EXPECT_EQ(2, topics_.appends);
	ASSERT_EQ(20u, records().size());
	for (int i = 0; i < 20; i++) {
		EXPECT_EQ((uint64_t)i, writes[i].base.offset);
		EXPECT_EQ(std::to_string(i), records()[i]);
		strbuf_finish(&writes[i].base.records);
	}
	topic_writer_finish(&writer_);
}

TEST_F(TopicStore, AWriteThatWasNotSentCanBeTakenBack)
{
	Write first, second;

	init_writer();
	init_write(&first, "a", false);
	init_write(&second, "b", false);
	topic_writer_add(&writer_, &first.base);
	topic_writer_add(&writer_, &second.base);
	EXPECT_FALSE(topic_writer_withdraw(&writer_, &first.base));
	EXPECT_TRUE(topic_writer_withdraw(&writer_, &second.base));
	time_.run(100);
	EXPECT_EQ(std::vector<std::string>{ "a" }, records());
	EXPECT_EQ(0, second.done);
	strbuf_finish(&first.base.records);
	strbuf_finish(&second.base.records);
	topic_writer_finish(&writer_);
}

TEST_F(TopicStore, WritesWithoutAnOutcomeAreDroppedWithTheWriter)
{
	Write sent, waiting, done;

	init_writer();
	init_write(&done, "a", false);
	topic_writer_add(&writer_, &done.base);
	time_.run(100);
	topics_.faults = [](const std::string &, const std::string &) {
		return Fault::SILENT;
	};
	init_write(&sent, "b", true);
	topic_writer_add(&writer_, &sent.base);
	init_write(&waiting, "c", false);
	topic_writer_add(&writer_, &waiting.base);
	topic_writer_finish(&writer_);
	time_.run(60000);
	EXPECT_EQ(1, done.done);
	EXPECT_EQ(0, done.dropped);
	EXPECT_EQ(0, sent.done + waiting.done);
	EXPECT_EQ(1, sent.dropped);
	EXPECT_EQ(1, waiting.dropped);
	strbuf_finish(&done.base.records);
}

TEST_F(TopicStore, GoesOnAfterALongOutage)
{
	bool down = true;
	Write kept, dropped, later;

	topics_.faults = [&](const std::string &, const std::string &) {
		return down ? Fault::REFUSED : Fault::NONE;
	};
	init_writer();
	init_write(&dropped, "dropped", false);
	init_write(&kept, "kept", true);
	topic_writer_add(&writer_, &dropped.base);
	topic_writer_add(&writer_, &kept.base);
	time_.run(20000);
	EXPECT_EQ(TOPIC_WRITE_REFUSED, dropped.outcome);
	EXPECT_EQ(0, kept.done);
	down = false;
	time_.run(1000);
	init_write(&later, "later", false);
	topic_writer_add(&writer_, &later.base);
	time_.run(100);
	EXPECT_EQ((std::vector<std::string>{ "kept", "later" }), records());
	for (Write *write : { &kept, &dropped, &later })
		strbuf_finish(&write->base.records);
	topic_writer_finish(&writer_);
}

// Of two processes of one name, the log would take appends of one as repeats of
// the other's sequence numbers.
TEST_F(TopicStore, AWriterOfATakenNameTakesAnother)
{
	Write first, second;
	struct topic_writer other;

	init_writer();
	init_write(&first, "first", false);
	topic_writer_add(&writer_, &first.base);
	time_.run(100);
	topic_writer_init(&other, topics_.log(), &time_.timers, "t", 3, "w",
			  nullptr);
	other.append.sequence = 7;
	init_write(&second, "second", false);
	topic_writer_add(&other, &second.base);
	time_.run(1000);
	EXPECT_EQ(TOPIC_WRITE_DONE, second.outcome);
	EXPECT_EQ((std::vector<std::string>{ "first", "second" }), records());
	topic_writer_finish(&writer_);
	topic_writer_finish(&other);
	strbuf_finish(&first.base.records);
	strbuf_finish(&second.base.records);
}

// Many writes under random faults: each is in the log once, in order.
TEST_F(TopicStore, ManyWritesUnderRandomFaultsStandOnceAndInOrder)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		SCOPED_TRACE(seed);
		FakeTopics topics(&time_.timers);
		struct topic_writer writer;
		std::vector<Write> writes(60);
		struct rng rng;
		int calls = 0;

		rng_init(&rng, seed);
		topics.faults = [&](const std::string &, const std::string &) {
			if (calls++ > 150)
				return Fault::NONE;
			return (Fault)rng_below(&rng, 5);
		};
		topic_writer_init(&writer, topics.log(), &time_.timers, "t", 3,
				  "w", nullptr);
		for (size_t i = 0; i < writes.size(); i++) {
			init_write(&writes[i], std::to_string(i), true);
			topic_writer_add(&writer, &writes[i].base);
			time_.run((int64_t)rng_below(&rng, 300));
			if (!rng_below(&rng, 4))
				topics.carry_out_late();
		}
		time_.run(200000);
		topics.carry_out_late();
		std::vector<std::string> expected;

		for (size_t i = 0; i < writes.size(); i++) {
			expected.push_back(std::to_string(i));
			EXPECT_EQ(1, writes[i].done);
			EXPECT_NE(TOPIC_WRITE_REFUSED, writes[i].outcome);
			strbuf_finish(&writes[i].base.records);
		}
		EXPECT_EQ(expected, topics.partition("t", 3).records);
		topic_writer_finish(&writer);
	}
}

namespace
{

struct Follower {
	struct topic_follower base;
	std::vector<std::string> applied;
	std::vector<uint64_t> offsets;
};

void on_apply(struct topic_follower *base, uint64_t offset, const uint8_t *data,
	      size_t len)
{
	Follower *follower = (Follower *)base;

	follower->applied.emplace_back((const char *)data, len);
	follower->offsets.push_back(offset);
}

const struct topic_follower_vtable follower_vtable = { on_apply, nullptr,
						       nullptr };

struct Refresh {
	struct topic_refresh base;
	int done = 0;
	int ok = 0;
};

void on_refreshed(struct topic_refresh *base, int ok)
{
	Refresh *refresh = (Refresh *)base->arg;

	refresh->done++;
	refresh->ok = ok;
}

void init_refresh(Refresh *refresh)
{
	refresh->base.done = on_refreshed;
	refresh->base.arg = refresh;
}

class Following : public TopicStore
{
      protected:
	void SetUp() override
	{
		topic_follower_init(&follower_.base, &follower_vtable,
				    topics_.log(), &time_.timers, "t", 3,
				    nullptr);
	}

	void TearDown() override
	{
		topic_follower_finish(&follower_.base);
	}

	void add(int from, int to)
	{
		for (int i = from; i < to; i++)
			topics_.append("t", 3, std::to_string(i));
	}

	std::vector<std::string> numbers(int from, int to)
	{
		std::vector<std::string> list;

		for (int i = from; i < to; i++)
			list.push_back(std::to_string(i));
		return list;
	}

	Follower follower_;
};

} // namespace

TEST_F(Following, ARefreshReadsAllThatStoodWhenItWasAsked)
{
	Refresh first, second;

	add(0, 2000);
	init_refresh(&first);
	init_refresh(&second);
	follower_.base.catch_up.max_bytes = 1000;
	topic_follower_refresh(&follower_.base, &first.base);
	add(2000, 2010);
	topic_follower_refresh(&follower_.base, &second.base);
	time_.run(2000);
	EXPECT_TRUE(first.done == 1 && first.ok);
	EXPECT_TRUE(second.done == 1 && second.ok);
	EXPECT_EQ(numbers(0, 2010), follower_.applied);
}

TEST_F(Following, ARefreshFailsWhereTheLogCannotBeRead)
{
	Refresh refresh;

	topics_.faults = [](const std::string &, const std::string &) {
		return Fault::REFUSED;
	};
	init_refresh(&refresh);
	topic_follower_refresh(&follower_.base, &refresh.base);
	time_.run(3000);
	EXPECT_EQ(1, refresh.done);
	EXPECT_FALSE(refresh.ok);
}

// An answer with a lower end than a previous one does not complete a refresh.
TEST_F(Following, AStaleAnswerIsNotTakenForTheEnd)
{
	Refresh fresh, stale;

	add(0, 10);
	init_refresh(&fresh);
	topic_follower_refresh(&follower_.base, &fresh.base);
	time_.run(100);
	follower_.base.known_end = 15; /* as after an own append */
	topics_.stale_records = 5;
	add(10, 15);
	init_refresh(&stale);
	topic_follower_refresh(&follower_.base, &stale.base);
	time_.run(100);
	EXPECT_FALSE(stale.ok);
	topics_.stale_records = 0;
	stale = {};
	init_refresh(&stale);
	topic_follower_refresh(&follower_.base, &stale.base);
	time_.run(100);
	EXPECT_TRUE(stale.ok);
	EXPECT_EQ(numbers(0, 15), follower_.applied);
}

// An answer that contradicts itself counts as a failed read: a refresh fails
// and a watch retries with backoff instead of in a busy loop.
TEST_F(Following, DoesNotAskOnAndOnWhereHistoryIsDenied)
{
	Refresh denied, read;
	int before;

	add(0, 10);
	topics_.denies_history = true;
	before = topics_.reads;
	init_refresh(&denied);
	topic_follower_refresh(&follower_.base, &denied.base);
	time_.run(1000);
	EXPECT_EQ(1, denied.done);
	EXPECT_FALSE(denied.ok);
	EXPECT_LE(topics_.reads - before, 4);
	before = topics_.reads;
	topic_follower_watch_ref(&follower_.base);
	time_.run(2000);
	/* The backoff is 50 to 200 ms. */
	EXPECT_LE(topics_.reads - before, 2000 / 50);
	EXPECT_TRUE(follower_.applied.empty());
	topics_.denies_history = false;
	init_refresh(&read);
	topic_follower_refresh(&follower_.base, &read.base);
	time_.run(1000);
	EXPECT_TRUE(read.ok);
	EXPECT_EQ(numbers(0, 10), follower_.applied);
	topic_follower_watch_unref(&follower_.base);
}

TEST_F(Following, OwnRecordsAreAppliedAtOnceOrAfterWhatIsMissing)
{
	struct strbuf records;
	Refresh refresh;

	strbuf_init(&records);
	topic_add_record(&records, "0", 1);
	topics_.append("t", 3, "0");
	topic_follower_apply_own(&follower_.base, 0, &records);
	EXPECT_EQ(numbers(0, 1), follower_.applied);
	topics_.append("t", 3, "1");
	topics_.append("t", 3, "2");
	topic_follower_apply_own(&follower_.base, 2, &records);
	EXPECT_EQ(numbers(0, 1), follower_.applied);
	time_.run(20);
	EXPECT_EQ(numbers(0, 3), follower_.applied);
	/* The same during a read that started before the append. */
	topics_.append("t", 3, "3");
	init_refresh(&refresh);
	topic_follower_refresh(&follower_.base, &refresh.base);
	topics_.append("t", 3, "4");
	topics_.append("t", 3, "5");
	strbuf_reset(&records);
	topic_add_record(&records, "5", 1);
	topic_follower_apply_own(&follower_.base, 5, &records);
	time_.run(20);
	EXPECT_EQ(numbers(0, 6), follower_.applied);
	EXPECT_TRUE(refresh.ok);
	strbuf_finish(&records);
}

TEST_F(Following, WatchesAndGoesOnAfterFaultsAndForgottenHistory)
{
	bool down = false;

	topics_.faults = [&](const std::string &, const std::string &) {
		return down ? Fault::SILENT : Fault::NONE;
	};
	topic_follower_watch_ref(&follower_.base);
	add(0, 5);
	time_.run(100);
	EXPECT_EQ(numbers(0, 5), follower_.applied);
	down = true;
	time_.run(4000);
	add(5, 10);
	topics_.forget("t", 3, 8);
	down = false;
	time_.run(6000);
	EXPECT_EQ((std::vector<uint64_t>{ 0, 1, 2, 3, 4, 8, 9 }),
		  follower_.offsets);
	topic_follower_watch_unref(&follower_.base);
}

namespace
{

struct Keys {
	struct keyed_follower base;
	std::map<std::string, std::string> values;
	std::set<std::string> listed;
	int listings = 0;
	int lost = 0;
	int regained = 0;
	int64_t as_of_ns = 0;
};

Keys *keys_of(struct keyed_follower *base)
{
	return (Keys *)base;
}

void on_put(struct keyed_follower *base, const char *key, const void *value,
	    size_t len, uint64_t)
{
	keys_of(base)->values[key].assign((const char *)value, len);
	keys_of(base)->listed.insert(key);
}

void on_drop(struct keyed_follower *base, const char *key, uint64_t)
{
	keys_of(base)->values.erase(key);
}

void on_listing(struct keyed_follower *base)
{
	keys_of(base)->listed.clear();
}

void on_listed(struct keyed_follower *base, uint64_t)
{
	Keys *keys = keys_of(base);

	keys->listings++;
	for (auto at = keys->values.begin(); at != keys->values.end();)
		at = keys->listed.count(at->first) ? std::next(at)
						   : keys->values.erase(at);
}

void on_caught_up(struct keyed_follower *base, int64_t as_of_ns)
{
	keys_of(base)->as_of_ns = as_of_ns;
}

void on_lost(struct keyed_follower *base, enum topic_outcome)
{
	keys_of(base)->lost++;
}

void on_regained(struct keyed_follower *base, int64_t)
{
	keys_of(base)->regained++;
}

const struct keyed_follower_vtable keys_vtable = { on_put,	 on_drop,
						   on_listing,	 on_listed,
						   on_caught_up, nullptr,
						   on_lost,	 on_regained };

class KeyedFollowing : public TopicStore
{
      protected:
	void SetUp() override
	{
		struct keyed_follower_settings settings = {};

		settings.topic = "keyed.x";
		settings.watch_ns = 1000 * NS_PER_MS;
		settings.timeout_ns = 500 * NS_PER_MS;
		keyed_follower_init(&keys_.base, &keys_vtable, topics_.log(),
				    &time_.timers, &settings, nullptr);
	}

	void TearDown() override
	{
		keyed_follower_finish(&keys_.base);
	}

	using Values = std::map<std::string, std::string>;
	Keys keys_;
};

} // namespace

TEST_F(KeyedFollowing, ListsInPagesAndThenFollows)
{
	for (int i = 0; i < 7; i++)
		topics_.put("keyed.x", "k" + std::to_string(i), "1");
	keyed_follower_start(&keys_.base);
	time_.run(100);
	EXPECT_EQ(7u, keys_.values.size());
	EXPECT_EQ(1, keys_.listings);
	topics_.put("keyed.x", "k3", "2");
	topics_.put("keyed.x", "k4", "");
	time_.run(100);
	EXPECT_EQ("2", keys_.values["k3"]);
	EXPECT_EQ(6u, keys_.values.size());
}

TEST_F(KeyedFollowing, ListsAnewWhereHistoryIsGone)
{
	bool down = false;

	topics_.faults = [&](const std::string &, const std::string &) {
		return down ? Fault::REFUSED : Fault::NONE;
	};
	topics_.put("keyed.x", "a", "1");
	topics_.put("keyed.x", "b", "1");
	keyed_follower_start(&keys_.base);
	time_.run(100);
	down = true;
	time_.run(3000);
	topics_.put("keyed.x", "a", "2");
	topics_.put("keyed.x", "b", "");
	topics_.put("keyed.x", "c", "1");
	topics_.forget("keyed.x", 0, 5);
	down = false;
	time_.run(2000);
	EXPECT_EQ((Values{ { "a", "2" }, { "c", "1" } }), keys_.values);
	EXPECT_EQ(2, keys_.listings);
	EXPECT_EQ(1, keys_.lost);
	EXPECT_EQ(1, keys_.regained);
}

// Records may be passed late; `as_of_ns` of caught_up() shows how late.
TEST_F(KeyedFollowing, TellsAsOfWhenAllIsTold)
{
	int64_t last;
	int refused = 0;

	topics_.faults = [&](const std::string &kind, const std::string &) {
		return refused && (refused == 2 || kind == "read")
			       ? Fault::REFUSED
			       : Fault::NONE;
	};
	for (int i = 0; i < 7; i++)
		topics_.put("keyed.x", "k" + std::to_string(i), "1");
	keyed_follower_start(&keys_.base);
	time_.run(100);
	EXPECT_EQ(7u, keys_.values.size());
	EXPECT_LE(time_.now_ns() - keys_.as_of_ns, 100 * NS_PER_MS)
		<< "the listing tells";
	time_.run(5000);
	EXPECT_LT(time_.now_ns() - keys_.as_of_ns, 2100 * NS_PER_MS)
		<< "a wait without news, and the one that runs";
	refused = 1;
	time_.run(2000);
	last = keys_.as_of_ns;
	time_.run(5000);
	EXPECT_EQ(last, keys_.as_of_ns) << "nothing was read since";
	refused = 0;
	time_.run(3000);
	EXPECT_LT(time_.now_ns() - keys_.as_of_ns, 2100 * NS_PER_MS);
}

// A connection without answers is detected by the timeout alone.
TEST_F(KeyedFollowing, ASilentCallIsGivenUpInTime)
{
	int calls = 0;

	topics_.faults = [&](const std::string &, const std::string &) {
		return ++calls == 3 ? Fault::SILENT : Fault::NONE;
	};
	topics_.put("keyed.x", "a", "1");
	keyed_follower_start(&keys_.base);
	time_.run(1200);
	topics_.put("keyed.x", "a", "2");
	time_.run(2000);
	EXPECT_EQ("2", keys_.values["a"]);
}
