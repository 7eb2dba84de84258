// Commands under random faults of three daemons, with restarts, cuts,
// retention and snapshots: what was told of each is true, and nothing that is
// in force reverts.
#include <gtest/gtest.h>

#include <list>
#include <map>
#include <memory>

#include "t/lib-daemon.h"

namespace
{

// With 27, 192 and 383 a snapshot once hid what had taken effect.
const uint64_t SEEDS[] = { 21, 22, 23, 24, 25, 26, 27, 45, 60, 192, 383 };
// A command on its way through a daemon.
struct Attempt {
	std::string id;
	std::string team;
	int owner; // index of the daemon; -1: over
	struct log_waiter waiter = {};
	enum { OPEN, ACCEPTED_THERE, REJECTED_THERE, UNKNOWN, SURELY_NOT } told;
};

// Three daemons under random faults, with restarts, moved by steps.
class RandomRun
{
      public:
	explicit RandomRun(uint64_t seed)
	{
		rng_init(&rng, seed);
		options = quick_options();
		options.snapshot_entries = 30;
		options.max_queued = 2000;
		for (int i = 0; i < 3; i++)
			restart(i);
	}

	void step()
	{
		int i = static_cast<int>(rng_below(&rng, 3));
		Daemon *daemon = daemons[i].get();

		switch (rng_below(&rng, 16)) {
		case 0:
			daemon->port.lose_answers(
				static_cast<int>(rng_below(&rng, 3)));
			break;
		case 1:
			daemon->port.lose_appends(
				static_cast<int>(rng_below(&rng, 3)));
			break;
		case 2:
			daemon->port.hold(static_cast<int>(rng_below(&rng, 2)));
			break;
		case 3:
			daemon->port.release();
			break;
		case 4:
			daemon->port.set_down(rng_below(&rng, 3) == 0);
			break;
		case 5:
			give_up(i);
			break;
		case 6:
			if (rng_below(&rng, 6) == 0)
				restart(i);
			break;
		case 7:
			feed(i);
			break;
		case 8:
			drop_old_entries(daemon);
			break;
		case 9:
		case 10:
			command(i);
			break;
		default:
			daemon->append();
			daemon->read();
		}
		poll();
		for (int j = 0; j < 3; j++)
			check_position(j);
	}

	void settle()
	{
		for (auto &daemon : daemons)
			daemon->port.heal();
		for (int round = 0; round < 3; round++) {
			for (auto &daemon : daemons)
				daemon->settle();
			poll();
		}
	}

	void check()
	{
		for (const Attempt &attempt : attempts) {
			Verdict verdict =
				verdict_on(daemons[0].get(), attempt.id);

			told[attempt.told]++;
			for (auto &daemon : daemons)
				EXPECT_EQ(verdict,
					  verdict_on(daemon.get(), attempt.id));
			EXPECT_TRUE(is_true(attempt.told, verdict))
				<< attempt.id;
			EXPECT_NE(Attempt::OPEN, attempt.told) << attempt.id;
			if (verdict != ACCEPTED)
				continue;
			for (auto &daemon : daemons)
				EXPECT_TRUE(
					daemon->has_team(attempt.team.c_str()));
		}
		EXPECT_EQ(daemons[0]->pack(), daemons[1]->pack());
		EXPECT_EQ(daemons[0]->pack(), daemons[2]->pack());
	}

	std::map<int, int> told;
	uint64_t restarts = 0;
	uint64_t fed = 0;
	uint64_t dropped = 0;

      private:
	static bool is_true(int told, Verdict verdict)
	{
		switch (told) {
		case Attempt::ACCEPTED_THERE:
			return verdict == ACCEPTED;
		case Attempt::REJECTED_THERE:
			return verdict == REJECTED;
		case Attempt::SURELY_NOT:
			return verdict == ABSENT;
		default:
			return true;
		}
	}

	void restart(int i)
	{
		give_up(i);
		// What was held in the network may yet take effect.
		if (daemons[i])
			daemons[i]->port.release();
		daemons[i].reset(new Daemon(&log, std::string(1, 'a' + i),
					    ++incarnation, options));
		positions[i] = 0;
		restarts++;
	}

	// Team names are the ids: each command makes a team of its own, and
	// each third one a team that exists.
	void command(int i)
	{
		std::string id = "t" + std::to_string(attempts.size());
		std::string team = id;

		if (attempts.size() % 3 == 2)
			team = attempts.front().team;
		attempts.push_back({ id, team, i, {}, Attempt::OPEN });
		Attempt *attempt = &attempts.back();
		with_create_team(id, team, "1", [&](const Currant__Record *r) {
			if (log_client_begin(&daemons[i]->client, r, 0,
					     &attempt->waiter, nullptr)) {
				attempt->owner = -1;
				attempt->told = Attempt::SURELY_NOT;
			}
		});
	}

	void poll()
	{
		for (Attempt &attempt : attempts) {
			if (attempt.owner < 0 ||
			    !log_client_poll(&daemons[attempt.owner]->client,
					     &attempt.waiter))
				continue;
			attempt.owner = -1;
			if (attempt.waiter.result.why.code ==
			    ERROR_UNKNOWN_OUTCOME) {
				attempt.told = Attempt::UNKNOWN;
				continue;
			}
			attempt.told = attempt.waiter.result.accepted
					       ? Attempt::ACCEPTED_THERE
					       : Attempt::REJECTED_THERE;
		}
	}

	void give_up(int i)
	{
		for (Attempt &attempt : attempts) {
			if (attempt.owner != i)
				continue;
			attempt.owner = -1;
			attempt.told = log_client_give_up(&daemons[i]->client,
							  &attempt.waiter)
					       ? Attempt::UNKNOWN
					       : Attempt::SURELY_NOT;
		}
	}

	// A peer gives what it has to one that cannot read the log.
	void feed(int i)
	{
		struct log_client *to = &daemons[i]->client;
		struct log_chunk chunk;

		log_client_copy_entries(&daemons[(i + 1) % 3]->client,
					log_client_next_offset(to), 20, &chunk);
		fed += chunk.entry_count;
		log_client_feed_entries(to, chunk.entries, chunk.entry_count,
					nullptr);
		log_chunk_finish(&chunk);
	}

	void drop_old_entries(Daemon *daemon)
	{
		uint64_t taken = daemon->client.snapshots.newest_taken_at;
		uint64_t before = log.first();

		if (taken)
			log.drop_before(position_offset(taken) + 1);
		dropped += log.first() - before;
	}

	// What is in force never reverts.
	void check_position(int i)
	{
		const struct config *config =
			log_client_config_begin(&daemons[i]->client);

		EXPECT_GE(config->position, positions[i]);
		positions[i] = config->position;
		log_client_config_end(&daemons[i]->client);
	}

	struct rng rng;
	struct log_client_options options;
	FakeLog log;
	std::unique_ptr<Daemon> daemons[3];
	uint64_t positions[3] = { 0, 0, 0 };
	uint64_t incarnation = 0;
	std::list<Attempt> attempts;
};

} // namespace

TEST(ProofCommandsRandom, FaultsAndRestartsRevertNothing)
{
	std::map<int, int> told;
	uint64_t restarts = 0, fed = 0, dropped = 0;

	for (uint64_t seed : SEEDS) {
		SCOPED_TRACE(seed);
		RandomRun run(seed);

		for (int i = 0; i < 6000; i++)
			run.step();
		run.settle();
		run.check();
		for (const auto &count : run.told)
			told[count.first] += count.second;
		restarts += run.restarts;
		fed += run.fed;
		dropped += run.dropped;
	}
	printf("accepted %d, rejected %d, unknown %d, surely not %d; "
	       "%lu restarts, %lu entries fed, %lu dropped\n",
	       told[Attempt::ACCEPTED_THERE], told[Attempt::REJECTED_THERE],
	       told[Attempt::UNKNOWN], told[Attempt::SURELY_NOT], restarts, fed,
	       dropped);
	EXPECT_GT(told[Attempt::ACCEPTED_THERE], 1000);
	EXPECT_GT(told[Attempt::REJECTED_THERE], 500);
	EXPECT_GT(told[Attempt::UNKNOWN], 300);
	EXPECT_GT(told[Attempt::SURELY_NOT], 1000);
	EXPECT_GT(dropped, 1000u);
}
