// The client as a process: what it sends, prints and exits with.
#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <vector>

#include "t/lib-fake-daemon.h"
#include "t/lib-process.h"

struct Outcome {
	int status;
	std::string output;
};

static const int limit_ms = 20000;

static void write_file(const std::string &path, const std::string &text)
{
	std::ofstream(path) << text;
}

static Outcome run_client(std::vector<std::string> arguments)
{
	TempDir dir;
	Process process;

	arguments.insert(arguments.begin(), built_program("currant"));
	EXPECT_TRUE(process.start(arguments, dir.file("out")));
	int status = process.wait(limit_ms);
	return { status, read_file(dir.file("out")) };
}

static const std::string accepted =
	"{\"kind\":\"change\",\"accepted\":true,\"version\":8193}";
static const std::string columns = "{\"kind\":\"table\",\"columns\":[\"pool\","
				   "\"version\"],\"rows\":[[\"lm\",12]]}";

// Two daemons for all cases, because a port takes long to close.
class Client : public ::testing::Test
{
      protected:
	static void SetUpTestSuite()
	{
		first = new FakeDaemon;
		second = new FakeDaemon;
	}

	static void TearDownTestSuite()
	{
		delete first;
		delete second;
	}

	void SetUp() override
	{
		first->take_calls();
		second->take_calls();
	}

	static FakeDaemon *first;
	static FakeDaemon *second;
};

FakeDaemon *Client::first;
FakeDaemon *Client::second;

TEST_F(Client, AnswersBecomeOutputAndExitStatus)
{
	const struct {
		std::vector<std::string> arguments;
		int status;
		std::string body;
		int exit_status;
		std::string output;
	} cases[] = {
		{ { "run", "drop team red" },
		  200,
		  accepted,
		  0,
		  "accepted, version 8193\n" },
		{ { "run", "grant key k to red" },
		  200,
		  "{\"kind\":\"change\",\"accepted\":true,\"version\":1,"
		  "\"secret\":\"s3\"}",
		  0,
		  "accepted, version 1\nsecret s3 (shown this once)\n" },
		{ { "run", "--json", "drop team red" },
		  200,
		  accepted,
		  0,
		  accepted + "\n" },
		{ { "show", "weights" },
		  200,
		  columns,
		  0,
		  "pool  version\nlm         12\n" },
		{ { "show", "-j", "weights" },
		  200,
		  columns,
		  0,
		  columns + "\n" },
		{ { "run", "drop tem red" },
		  400,
		  "{\"type\":\"statement_invalid\",\"detail\":\"unknown object "
		  "\\\"tem\\\"\",\"column\":6,\"ran\":\"not_run\"}",
		  1,
		  "currant: column 6: unknown object \"tem\"\n"
		  "  drop tem red\n"
		  "       ^\n" },
		{ { "run", "drop team red" },
		  409,
		  "{\"type\":\"change_rejected\",\"detail\":\"team 'red' still "
		  "has key 'k'\",\"ran\":\"not_run\"}",
		  1,
		  "currant: team 'red' still has key 'k'\n" },
		{ { "run", "drop team red" },
		  503,
		  "{\"detail\":\"the log is down\",\"ran\":\"not_run\"}",
		  3,
		  "currant: not run: the log is down\n" },
		{ { "run", "--id", "a1", "drop team red" },
		  504,
		  "{\"detail\":\"the log gave no answer\",\"ran\":"
		  "\"unknown\"}",
		  4,
		  "currant: outcome unknown: the log gave no answer\n"
		  "currant: ask again: currant run --id a1 'drop team red'\n" },
		{ { "run", "--id", "a1", "drop team red" },
		  502,
		  "no JSON",
		  4,
		  "currant: outcome unknown: HTTP status 502 without a reason\n"
		  "currant: ask again: currant run --id a1 'drop team red'\n" },
		{ { "run", "--id", "a1", "drop team red" },
		  200,
		  "no JSON",
		  4,
		  "currant: outcome unknown: HTTP status 200 without a reason\n"
		  "currant: ask again: currant run --id a1 'drop team red'\n" },
		{ { "show", "weights" },
		  500,
		  "no JSON",
		  3,
		  "currant: no answer: HTTP status 500 without a reason\n" },
		{ { "run", "drop team \xff" },
		  200,
		  accepted,
		  2,
		  "currant: the text is not UTF-8\n" },
		{ { "show", "weights" },
		  200,
		  "{\"kind\":\"table\",\"columns\":[],\"rows\":[]}",
		  3,
		  "currant: the answer is no table of equal rows\n" },
		{ { "addresses" },
		  200,
		  "{\"addresses\":[{\"address\":\"10.0.0.1:8000\"},{\"address\":"
		  "\"10.0.0.2:8000\"}],\"keep_ms\":5000}",
		  0,
		  "10.0.0.1:8000\n10.0.0.2:8000\n" },
		{ { "status" },
		  200,
		  "{\"name\":\"e1\",\"ready\":true,\"topics\":[{\"name\":"
		  "\"hosts\",\"failures\":0},{\"name\":\"duties\",\"failures\":"
		  "2}]}",
		  0,
		  "e1 ready=true\n"
		  "e1 topics name=hosts failures=0\n"
		  "e1 topics name=duties failures=2\n" },
		{ { "status", "leases" },
		  200,
		  "{\"name\":\"e1\",\"duty_holder\":\"\",\"partitions\":[]}",
		  0,
		  "e1 duty_holder=- partitions=[]\n" },
		{ { "status", "--json", "hosts" },
		  200,
		  "{\"name\":\"e1\"}",
		  0,
		  "{\"name\":\"e1\"}\n" },
		{ { "addresses" },
		  503,
		  "{\"addresses\":[],\"keep_ms\":5000}",
		  1,
		  "currant: no host can be named now\n" },
	};
	for (const auto &c : cases) {
		std::vector<std::string> arguments = c.arguments;

		arguments.insert(arguments.end(), { "-d", first->address() });
		first->answer(c.status, c.body);
		Outcome outcome = run_client(arguments);
		EXPECT_EQ(c.exit_status, outcome.status) << c.body;
		EXPECT_EQ(c.output, outcome.output);
	}
}

TEST_F(Client, SendsIdTextAndToken)
{
	TempDir dir;

	write_file(dir.file("token"), "t0ken\n");
	first->answer(200, accepted);
	run_client({ "run", "-d", first->address(), "-t", dir.file("token"),
		     "--id", "a1", "drop team red" });
	EXPECT_EQ(
		std::vector<std::string>{
			"POST /v1/statements Bearer t0ken {\"id\":\"a1\","
			"\"text\":\"drop team red\"}" },
		first->take_calls());
	run_client({ "addresses", "-d", first->address(), "--class", "latency",
		     "--group", "g1" });
	EXPECT_EQ(
		std::vector<std::string>{
			"GET /v1/addresses?class=latency&group=g1 - " },
		first->take_calls());
}

TEST_F(Client, StatusAsksEachDaemonForTheSubject)
{
	const struct {
		std::vector<std::string> arguments;
		std::string path;
	} cases[] = {
		{ {}, "/status" },
		{ { "config" }, "/status/config" },
		{ { "batches", "--from", "1000" },
		  "/status/batches?from=1000" },
		{ { "items", "--batch", "b-1" }, "/status/items?batch=b-1" },
		{ { "items", "--batch", "b-1", "--from", "5" },
		  "/status/items?batch=b-1&from=5" },
	};

	second->answer(200, "{\"name\":\"e1\"}");
	first->answer(404, "{\"type\":\"no_such_page\"}");
	for (const auto &c : cases) {
		std::vector<std::string> arguments = c.arguments;

		arguments.insert(arguments.begin(), "status");
		arguments.insert(arguments.end(), { "-d", first->address(),
						    "-d", second->address() });
		Outcome outcome = run_client(arguments);

		EXPECT_EQ(1, outcome.status) << "the first has no such page";
		EXPECT_EQ("currant: " + first->address() +
				  " has nothing to show: status 404\ne1\n",
			  outcome.output);
		for (FakeDaemon *daemon : { first, second })
			EXPECT_EQ(std::vector<std::string>{ "GET " + c.path +
							    " - " },
				  daemon->take_calls());
	}
}

TEST_F(Client, StatusRefusesAWrongCommandLine)
{
	const std::vector<std::string> cases[] = {
		{ "weather" },
		{ "hosts", "engines" },
		{ "items" },
		{ "hosts", "--batch", "b" },
		{ "--from", "x" },
		{ "--from", "-1" },
		{ "items", "--batch", "a&b" },
	};

	for (auto arguments : cases) {
		arguments.insert(arguments.begin(), "status");
		arguments.insert(arguments.end(), { "-d", first->address() });
		EXPECT_EQ(2, run_client(arguments).status) << arguments[1];
	}
	EXPECT_TRUE(first->take_calls().empty());
}

TEST_F(Client, EachStatementHasAnIdOfItsOwn)
{
	first->answer(200, accepted);
	run_client({ "run", "-d", first->address(), "drop team a",
		     "drop team a" });
	std::vector<std::string> calls = first->take_calls();
	ASSERT_EQ(2u, calls.size());
	EXPECT_NE(calls[0], calls[1]);
}

TEST_F(Client, FileStopsAtTheFirstFault)
{
	TempDir dir;
	std::string path = dir.file("statements");

	write_file(path, "-- first\n\ndrop team a;\ndrop team b\n");
	first->answer(404, "{\"detail\":\"team 'a' does not exist\"}");
	Outcome outcome =
		run_client({ "run", "-d", first->address(), "-f", path });
	EXPECT_EQ(1, outcome.status);
	EXPECT_EQ("currant: " + path + ": line 3: team 'a' does not exist\n",
		  outcome.output);
	EXPECT_EQ(1u, first->take_calls().size());
}

TEST_F(Client, CutConnectionLeavesAChangeUnknownAndNotAShow)
{
	first->answer(0, "");
	Outcome change = run_client({ "run", "-d", first->address(), "--id",
				      "a1", "drop team red" });
	EXPECT_EQ(4, change.status);
	EXPECT_NE(std::string::npos,
		  change.output.find("ask again: currant run --id a1 "
				     "'drop team red'"));
	Outcome show =
		run_client({ "show", "-d", first->address(), "weights" });
	EXPECT_EQ(3, show.status);
}

TEST_F(Client, NextDaemonIsTriedOnlyIfNothingWasSent)
{
	const std::string refused = "127.0.0.1:1";

	second->answer(200, accepted);
	EXPECT_EQ(0, run_client({ "run", "-d", refused, "-d", second->address(),
				  "drop team red" })
			     .status);
	EXPECT_EQ(1u, second->take_calls().size());
	first->answer(0, "");
	EXPECT_EQ(4, run_client({ "run", "-d", first->address(), "-d",
				  second->address(), "drop team red" })
			     .status);
	EXPECT_EQ(0u, second->take_calls().size());
	EXPECT_EQ(3,
		  run_client({ "run", "-d", refused, "drop team red" }).status);
}

TEST_F(Client, TimelineMergesByLogicalTime)
{
	first->answer(200, "{\"process\":\"a\",\"events\":["
			   "{\"lamport\":1,\"wall_ms\":900,\"process\":\"a\","
			   "\"part\":\"peer\",\"text\":\"sent\"},"
			   "{\"lamport\":3,\"wall_ms\":901,\"process\":\"a\","
			   "\"part\":\"peer\",\"text\":\"late\"}]}");
	second->answer(200, "{\"process\":\"b\",\"events\":["
			    "{\"lamport\":2,\"wall_ms\":5,\"process\":\"b\","
			    "\"part\":\"peer\",\"text\":\"received\"},"
			    "{\"lamport\":3,\"wall_ms\":6,\"process\":\"b\","
			    "\"part\":\"log\",\"text\":\"other\"}]}");
	Outcome outcome = run_client({ "timeline", "-d", second->address(),
				       "-d", first->address() });
	EXPECT_EQ(0, outcome.status);
	EXPECT_EQ("       1  a             peer          sent\n"
		  "       2  b             peer          received\n"
		  "       3  a             peer          late\n"
		  "       3  b             log           other\n",
		  outcome.output);
	outcome = run_client({ "timeline", "-n", "1", "-d", second->address(),
			       "-d", first->address(), "-d", "127.0.0.1:1" });
	EXPECT_EQ(3, outcome.status);
	EXPECT_NE(std::string::npos,
		  outcome.output.find("       3  b             log           "
				      "other\n"));
}

TEST_F(Client, HealthIsTheWorstOfAll)
{
	first->answer(200, "{\"name\":\"a\",\"ready\":true}");
	second->answer(503, "{\"name\":\"b\",\"ready\":false,\"draining\":true,"
			    "\"log_offset\":4}");
	Outcome outcome = run_client(
		{ "health", "-d", first->address(), "-d", second->address() });
	EXPECT_EQ(1, outcome.status);
	EXPECT_EQ("a " + first->address() + " ready ready=true\nb " +
			  second->address() +
			  " not ready ready=false draining=true log_offset=4\n",
		  outcome.output);
}

TEST_F(Client, WrongUsageIsTwoAndHelpIsZero)
{
	const struct {
		std::vector<std::string> arguments;
		int status;
	} cases[] = {
		{ {}, 2 },
		{ { "fly" }, 2 },
		{ { "show", "-d", "h:1" }, 2 },
		{ { "run", "drop team a" }, 2 },
		{ { "run", "-d", "nowhere", "drop team a" }, 2 },
		{ { "run", "-d", "h:1", "--id", "x", "a", "b" }, 2 },
		{ { "run", "-d", "h:1", "-f", "x", "drop team a" }, 2 },
		{ { "run", "-d", "h:1", "-f", "/nowhere/x" }, 2 },
		{ { "run", "-d", "h:1", "-t", "/nowhere/x" }, 2 },
		{ { "run", "-d", "h:1", "-w", "0", "drop team a" }, 2 },
		{ { "addresses", "-d", "h:1", "--class", "fast" }, 2 },
		{ { "timeline", "-d", "h:1", "-n", "x" }, 2 },
		{ { "--help" }, 0 },
		{ { "run", "--help" }, 0 },
		{ { "show", "--help" }, 0 },
		{ { "check", "--help" }, 0 },
		{ { "addresses", "--help" }, 0 },
		{ { "timeline", "--help" }, 0 },
		{ { "health", "--help" }, 0 },
	};

	for (const auto &c : cases) {
		Outcome outcome = run_client(c.arguments);

		EXPECT_EQ(c.status, outcome.status) << outcome.output;
	}
}

TEST_F(Client, CheckNamesEveryFault)
{
	TempDir dir;
	std::string path = dir.file("statements");

	write_file(path, "create team red\ncreate temas red\n\tshow teas\n");
	Outcome outcome = run_client({ "check", "-f", path });
	EXPECT_EQ(1, outcome.status);
	EXPECT_NE(std::string::npos,
		  outcome.output.find(path +
				      ": line 2, column 8: unknown object "
				      "\"temas\""));
	EXPECT_NE(std::string::npos,
		  outcome.output.find("  \tshow teas\n  \t     ^\n"));
	EXPECT_EQ(0, run_client({ "check", "show teams" }).status);
}
