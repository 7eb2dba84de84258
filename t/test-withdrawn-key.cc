// A withdrawn key works nowhere from the moment that its callers are cut.
#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>

#include "t/lib-change.h"
#include "t/lib-daemon.h"
#include "t/lib-fake-log.h"
#include "t/lib-record.h"
extern "C" {
#include "app/daemon.h"
#include "app/running_keys.h"
#include "app/state_events.h"
#include "base/alloc.h"
}

static const std::string secret =
	"salt=" + std::string(2 * KEY_SALT_BYTES, '5') +
	" hash=" + std::string(2 * KEY_HASH_BYTES, '6');

// The parts of a daemon that read the log and know the keys.
class KeyHost
{
      public:
	KeyHost() : daemon(std::make_unique<struct daemon>()), port(&log)
	{
		struct log_part part = { nullptr, "log" };

		memset(daemon.get(), 0, sizeof(*daemon));
		fake_clock_init(&clock, NS_PER_S);
		timeline_init(&daemon->timeline, "a", 16);
		running_table_init(&daemon->running);
		denial_set_init(&daemon->denials.set);
		log_client_init(&daemon->log_client, port.port(), &clock.base,
				"a", 1, nullptr, nullptr, &part);
		state_events_init(&daemon->state_events, daemon.get());
		log_client_set_observer(&daemon->log_client,
					&daemon->state_events.base);
		log_client_set_listener(&daemon->log_client,
					&daemon->state_events.published);
	}

	~KeyHost()
	{
		log_client_finish(&daemon->log_client);
		denial_set_finish(&daemon->denials.set);
		running_table_finish(&daemon->running);
		timeline_finish(&daemon->timeline);
	}

	// Grants the keys "red-key" and "blue-key" by the commands c1 to c3.
	void grant_keys()
	{
		apply("c1", "create team red");
		apply("c2", "grant key red-key team=red " + secret);
		apply("c3", "grant key blue-key team=red " + secret);
	}

	// Has the log decide on a change, and reads that.
	void apply(const std::string &id, const std::string &words)
	{
		append(id, words);
		read();
	}

	void append(const std::string &id, const std::string &words)
	{
		ChangeText change(words);
		std::string command_id = id;
		Currant__Command command = CURRANT__COMMAND__INIT;
		Currant__Record record = CURRANT__RECORD__INIT;

		command.id = &command_id[0];
		command.change = const_cast<Currant__Change *>(change.get());
		record.body_case = CURRANT__RECORD__BODY_COMMAND;
		record.command = &command;
		log.append(entry_of({ packed(writer, &record) }));
	}

	void read()
	{
		struct error err = ERROR_INIT;

		ASSERT_EQ(1, log_client_read_once(&daemon->log_client, 0, &err))
			<< err.text;
	}

	bool denies(const char *key_id)
	{
		return denial_set_contains(&daemon->denials.set, key_id);
	}

	bool has_withdrawn(const char *key_id)
	{
		const struct config *config =
			log_client_config_begin(&daemon->log_client);
		const struct key *key = config_key(config, key_id);
		bool withdrawn = key && key->withdrawn;

		log_client_config_end(&daemon->log_client);
		return withdrawn;
	}

	std::unique_ptr<struct daemon> daemon;
	FakeLog log;

      private:
	FakeLogPort port;
	struct fake_clock clock;
	Writer writer = { "b", 2, 0 };
};

// A running request that looks at its key when it is cut.
struct Caller {
	Caller(KeyHost *host, const char *key_id) : host(host)
	{
		memset(&request, 0, sizeof(request));
		copy_text(request.key_id, sizeof(request.key_id), key_id);
		request.cancel = on_cancel;
		request.arg = this;
		running_keys_add(host->daemon.get(), &request);
	}

	~Caller()
	{
		running_table_remove(&host->daemon->running, &request);
	}

	static void on_cancel(struct running_request *request,
			      const struct problem *problem)
	{
		Caller *caller = static_cast<Caller *>(request->arg);

		caller->cuts++;
		caller->problem = problem->type;
		caller->refused_then =
			caller->host->denies(request->key_id) ||
			caller->host->has_withdrawn(request->key_id);
	}

	KeyHost *host;
	struct running_request request;
	int cuts = 0;
	bool refused_then = false;
	std::string problem;
};

// Guards against a key that works again between the end of its denial and
// the configuration that has it withdrawn.
TEST(WithdrawnKey, IsRefusedWhenItsCallersAreCut)
{
	const struct {
		const char *name;
		bool denied; // by a peer, before the log was read
	} cases[] = {
		{ "denied before", true },
		{ "known from the log alone", false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		KeyHost host;

		host.grant_keys();
		ASSERT_FALSE(host.has_withdrawn("red-key"));
		Caller caller(&host, "red-key");
		Caller other(&host, "blue-key");
		if (c.denied) {
			ASSERT_EQ(DENIAL_NEW,
				  denial_set_add(&host.daemon->denials.set,
						 "red-key", "c4", nullptr, 0,
						 0));
		}
		host.apply("c4", "withdraw key red-key");
		EXPECT_EQ(1, caller.cuts);
		EXPECT_TRUE(caller.refused_then);
		EXPECT_EQ(0, other.cuts);
		EXPECT_TRUE(host.has_withdrawn("red-key"));
		EXPECT_FALSE(host.denies("red-key"));
	}
}

// Guards against callers whose key was withdrawn by records that this daemon
// never read, since a snapshot stands for them.
TEST(WithdrawnKey, CutsItsCallersWhenASnapshotHoldsIt)
{
	struct log_client_options options = quick_options();
	KeyHost host;

	host.grant_keys();
	Caller caller(&host, "red-key");
	Caller other(&host, "blue-key");
	host.append("c4", "withdraw key red-key");
	options.snapshot_age_ms = 1000;
	Daemon writer(&host.log, "w", 3, options);
	writer.settle();
	fake_clock_advance(&writer.clock, 1500 * NS_PER_MS);
	writer.settle();
	host.log.drop_before(4);
	for (int i = 0; i < 5; i++)
		log_client_read_once(&host.daemon->log_client, 0, nullptr);
	ASSERT_TRUE(log_client_recovered(&host.daemon->log_client));
	EXPECT_TRUE(host.has_withdrawn("red-key"));
	EXPECT_EQ(1, caller.cuts);
	EXPECT_TRUE(caller.refused_then);
	EXPECT_EQ(0, other.cuts);
}

// Guards against a request that is let in just before the cut of its key, and
// runs to its end.
TEST(WithdrawnKey, CutsRequestsThatWereCheckedBefore)
{
	enum { NOTHING, DENY, WITHDRAW, ISOLATE };
	const struct {
		const char *name;
		int meanwhile;
		const char *key_id;
		const char *problem; // "": it runs
	} cases[] = {
		{ "nothing happened", NOTHING, "red-key", "" },
		{ "denied", DENY, "red-key", "key_withdrawn" },
		{ "withdrawn", WITHDRAW, "red-key", "key_withdrawn" },
		{ "isolated", ISOLATE, "red-key", "isolated" },
		{ "another key is denied", DENY, "blue-key", "" },
		{ "another key is withdrawn", WITHDRAW, "blue-key", "" },
		{ "no key, isolated", ISOLATE, "", "" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		KeyHost host;

		host.grant_keys();
		if (c.meanwhile == DENY)
			denial_set_add(&host.daemon->denials.set, "red-key",
				       "c4", nullptr, 0, 0);
		else if (c.meanwhile == WITHDRAW)
			host.apply("c4", "withdraw key red-key");
		else if (c.meanwhile == ISOLATE)
			host.daemon->isolated = 1;
		Caller caller(&host, c.key_id);
		EXPECT_EQ(c.problem, caller.problem);
		EXPECT_EQ(*c.problem ? 1 : 0, caller.cuts);
	}
}
