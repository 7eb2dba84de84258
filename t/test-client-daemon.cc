// The client against a real daemon, log and host list: the whole way of a
// statement.
#include <gtest/gtest.h>

#include <jansson.h>

#include <fstream>
#include <string>
#include <vector>

#include "t/lib-process.h"

static const int limit_ms = 20000;

// SHA-256 of "operator-token" and of "monitor-token".
static const char *const operator_hash =
	"0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";
static const char *const monitor_hash =
	"5eedb3d3c99217e8d7c733017efdc100256e432c54d56625c3053d530bfd48d7";

struct Outcome {
	int status;
	std::string output;
};

class ClientDaemon : public ::testing::Test
{
      protected:
	ClientDaemon() : log("log"), hosts("hosts")
	{
	}

	void SetUp() override
	{
		std::ofstream(dir.file("settings.json"))
			<< "{\"name\":\"entry-1\",\"data_centre\":\"dc-a\","
			   "\"log_url\":\""
			<< log.url() << "\",\"hosts_url\":\"" << hosts.url()
			<< "\",\"batch\":{\"threads\":4},\"latency\":{"
			   "\"threads\":4},\"operators\":{\"threads\":4},"
			   "\"address_file\":\""
			<< dir.file("addresses")
			<< "\",\"operator_list\":[{\"name\":\"ingrid\","
			   "\"token_sha256\":\""
			<< operator_hash
			<< "\"},{\"name\":\"monitor\",\"token_sha256\":\""
			<< monitor_hash << "\",\"read_only\":true}]}";
		std::ofstream(dir.file("operator")) << "operator-token\n";
		std::ofstream(dir.file("stranger")) << "wrong-token\n";
		std::ofstream(dir.file("monitor")) << "monitor-token\n";
		ASSERT_TRUE(daemon.start({ built_program("currantd"),
					   dir.file("settings.json") },
					 dir.file("log")));
		ASSERT_NE("",
			  daemon.wait_for_file(dir.file("addresses"), limit_ms))
			<< read_file(dir.file("log"));
		json_t *addresses = json_load_file(
			dir.file("addresses").c_str(), 0, nullptr);
		const char *operators = json_string_value(
			json_object_get(addresses, "operators"));
		address = operators ? operators : "";
		json_decref(addresses);
		ASSERT_TRUE(daemon.wait_until(limit_ms, [this] {
			return run({ "health" }).status == 0;
		})) << read_file(dir.file("log"));
	}

	Outcome run(std::vector<std::string> arguments,
		    const std::string &token = "operator")
	{
		Process process;
		TempDir own;

		arguments.insert(arguments.begin(), built_program("currant"));
		arguments.insert(arguments.end(),
				 { "-d", address, "-t", dir.file(token) });
		EXPECT_TRUE(process.start(arguments, own.file("out")));
		int status = process.wait(limit_ms);
		return { status, read_file(own.file("out")) };
	}

	TempDir dir;
	Standin log;
	Standin hosts;
	Process daemon;
	std::string address;
};

static int64_t version_of(const std::string &output)
{
	json_t *json = json_loads(output.c_str(), 0, nullptr);
	int64_t version = json_integer_value(json_object_get(json, "version"));

	json_decref(json);
	return version;
}

TEST_F(ClientDaemon, ChangesAreJudgedAndShown)
{
	Outcome created =
		run({ "run", "-j", "--id", "c1", "create team red weight 2" });
	ASSERT_EQ(0, created.status) << created.output;
	int64_t version = version_of(created.output);
	ASSERT_GT(version, 0);
	std::string at = std::to_string(version);

	const struct {
		std::vector<std::string> arguments;
		int status;
		std::string output;
	} cases[] = {
		{ { "show", "teams" },
		  0,
		  "name  weight  max_in_flight  version\nred        2         "
		  "     0" +
			  std::string(9 - at.size(), ' ') + at + "\n" },
		// The same id is the same change, asked for again.
		{ { "run", "--id", "c1", "create team red weight 2" },
		  0,
		  "accepted, version " + at + "\n" },
		{ { "run", "create team red" },
		  1,
		  "currant: team 'red' exists already\n" },
		{ { "run", "alter team red weight 3 if version 7" },
		  1,
		  "currant: team 'red' is at version " + at + ", not 7\n" },
		{ { "run", "create temas red" },
		  1,
		  "currant: column 8: unknown object \"temas\", expected team, "
		  "key, route, bound or budget\n"
		  "  create temas red\n"
		  "         ^\n" },
		{ { "show", "teams", "where", "size", "=", "1" },
		  1,
		  "currant: column 18: unknown column \"size\" of teams, "
		  "expected name, weight, max_in_flight, version\n"
		  "  show teams where size = 1\n"
		  "                   ^\n" },
	};

	for (const auto &c : cases) {
		Outcome outcome = run(c.arguments);

		EXPECT_EQ(c.status, outcome.status);
		EXPECT_EQ(c.output, outcome.output);
	}
	EXPECT_EQ(0, run({ "run", "alter team red weight 3 if version " + at })
			     .status);
}

TEST_F(ClientDaemon, SecretIsShownOnceAndKeyIsFinal)
{
	ASSERT_EQ(0, run({ "run", "create team red" }).status);
	Outcome granted = run({ "run", "--id", "g1", "grant key k1 to red" });
	EXPECT_EQ(0, granted.status);
	EXPECT_NE(std::string::npos, granted.output.find("secret "));
	Outcome again = run({ "run", "--id", "g1", "grant key k1 to red" });
	EXPECT_EQ(0, again.status);
	EXPECT_EQ(std::string::npos, again.output.find("secret "));
	EXPECT_EQ(0, run({ "run", "withdraw key k1" }).status);
	Outcome regranted = run({ "run", "grant key k1 to red" });
	EXPECT_EQ(1, regranted.status);
	EXPECT_EQ("currant: key 'k1' was withdrawn and cannot be granted "
		  "again\n",
		  regranted.output);
	Outcome keys = run(
		{ "show", "-j", "keys", "where", "withdrawn", "=", "true" });
	EXPECT_NE(std::string::npos,
		  keys.output.find("\"rows\":[[\"k1\",\"red\",true,"));
}

TEST_F(ClientDaemon, MonitorAsksAndChangesNothing)
{
	EXPECT_EQ(1, run({ "run", "create team red" }, "monitor").status);
	Outcome teams = run({ "show", "teams" }, "monitor");
	EXPECT_EQ(0, teams.status);
	EXPECT_EQ("name  weight  max_in_flight  version\n", teams.output);
	EXPECT_EQ(1, run({ "show", "teams" }, "stranger").status);
}

TEST_F(ClientDaemon, EverySubjectAnswers)
{
	const char *const subjects[] = {
		"teams",	   "keys",    "routes",	  "bounds", "budgets",
		"configuration",   "samples", "requests", "usage",  "weights",
		"backend_servers", "hosts",   "leases",
	};

	for (const char *subject : subjects) {
		Outcome outcome = run({ "show", subject });

		EXPECT_EQ(0, outcome.status) << outcome.output;
	}
	EXPECT_EQ(0, run({ "timeline" }).status);
	EXPECT_EQ(0, run({ "addresses" }).status);
}

// The log takes the change, and its answer is lost: the daemon finds the
// change in the log by itself.
TEST_F(ClientDaemon, LostAnswerOfTheLogIsNoLostChange)
{
	log.faults("{\"lose_answers\":1,\"only\":\"/v1/append\"}");
	Outcome created = run({ "run", "-j", "--id", "c1", "create team red" });
	EXPECT_EQ(0, created.status) << created.output;
	Outcome again = run({ "run", "-j", "--id", "c1", "create team red" });
	EXPECT_EQ(0, again.status);
	EXPECT_EQ(version_of(created.output), version_of(again.output));
}

// While the log is down nothing is accepted; asked again by its id, the
// change gets one verdict, whether it had reached the log or not.
TEST_F(ClientDaemon, ChangeDuringAnOutageIsAskedForAgain)
{
	log.faults("{\"down\":true}");
	Outcome created = run({ "run", "--id", "c1", "create team red" });
	EXPECT_TRUE(created.status == 3 || created.status == 4)
		<< created.output;
	Outcome shown = run({ "show", "teams" });
	EXPECT_EQ("name  weight  max_in_flight  version\n", shown.output);
	log.faults("{\"down\":false}");
	ASSERT_TRUE(daemon.wait_until(limit_ms, [this] {
		return run({ "run", "--id", "c1", "create team red" }).status ==
		       0;
	}));
	Outcome twice = run({ "run", "create team red" });
	EXPECT_EQ("currant: team 'red' exists already\n", twice.output);
}
