// The daemon of an entry host as a program: command line, readiness and status
// ports, while the platform's store cannot be reached.
#include <gtest/gtest.h>

#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "t/lib-process.h"

extern "C" {
#include "entry/entry_daemon.h"
}

static const int wait_timeout_ms = 20000;

// A loopback address specific to this process, so that fixed ports are free.
static std::string own_ip()
{
	std::ostringstream ip;

	ip << "127." << 1 + getpid() / 250 % 250 << "." << 1 + getpid() % 250
	   << ".1";
	return ip.str();
}

static std::string settings_json(const std::string &more_listen)
{
	const std::string ip = own_ip();

	return "{\"node\":\"e1\",\"zone\":\"z\",\"region\":\"r\","
	       "\"first_start\":false,\"heartbeat_ms\":1200,"
	       "\"listen\":{\"front\":\"" +
	       ip + ":8405\",\"ready\":\"" + ip + ":8406\"" + more_listen +
	       "},\"limits\":{\"cpu_share\":1,\"cores\":1,\"memory_mb\":280,"
	       "\"max_fds\":4000},"
	       "\"bounds\":{\"grace_s\":3,\"lease_ms\":1500,"
	       "\"report_window_s\":2,\"usage_late_s\":4,\"ttl_max_s\":5,"
	       "\"status_s\":120,\"settle_ms\":1000,\"cancel_ms\":3000,"
	       "\"ack_ms\":4000},"
	       "\"platform\":{\"addr\":\"127.0.0.1:1\",\"form\":\"log\","
	       "\"writes_per_s\":800,\"reads_per_s\":2000,\"parts\":12,"
	       "\"record_bytes\":262144,\"call_bytes\":2097152,"
	       "\"retention_s\":300}}";
}

struct Program {
	explicit Program(const std::string &text,
			 const std::vector<std::string> &flags = {})
	{
		std::vector<std::string> argv = { built_program(
			"currant-entryd") };

		std::ofstream(dir.file("settings.json")) << text;
		argv.insert(argv.end(), flags.begin(), flags.end());
		argv.push_back(dir.file("settings.json"));
		EXPECT_TRUE(process.start(argv, dir.file("out")));
	}

	std::string output() const
	{
		return read_file(dir.file("out"));
	}

	bool serves_status(const std::string &address)
	{
		return http_get(address, "/status").status == 200;
	}

	TempDir dir;
	Process process;
};

TEST(EntryProgram, ServesOperatorsWhereItIsTold)
{
	const std::string ip = own_ip();
	const std::string control = ",\"control\":\"" + ip + ":8407\"";
	static const struct {
		const char *name;
		bool has_control;
		std::vector<std::string> flags;
		bool serves_control, serves_flag;
	} cases[] = {
		{ "the settings", true, {}, true, false },
		{ "the flag",
		  false,
		  { "--metrics-port", "9464" },
		  false,
		  true },
		{ "the flag first",
		  true,
		  { "--metrics-port", "9464" },
		  false,
		  true },
		{ "neither", false, {}, false, false },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Program program(settings_json(c.has_control ? control : ""),
				c.flags);

		ASSERT_TRUE(program.process.wait_until(wait_timeout_ms, [&] {
			return http_get(ip + ":8406", "/v1/ready").status ==
			       503;
		})) << program.output();
		EXPECT_EQ(c.serves_control,
			  program.serves_status(ip + ":8407"));
		EXPECT_EQ(c.serves_flag, program.serves_status(ip + ":9464"));
	}
}

// Operators see what a daemon that has just started has not read yet.
TEST(EntryProgram, ShowsThatTheStoreIsAway)
{
	const std::string ip = own_ip();
	Program program(settings_json(",\"control\":\"" + ip + ":8407\""));
	TempDir dir;
	Process client;
	std::string shown;

	ASSERT_TRUE(program.process.wait_until(wait_timeout_ms, [&] {
		return program.serves_status(ip + ":8407");
	}));
	ASSERT_TRUE(client.start(
		{ built_program("currant"), "status", "-d", ip + ":8407" },
		dir.file("out")));
	EXPECT_EQ(0, client.wait(wait_timeout_ms));
	shown = read_file(dir.file("out"));
	for (const char *part : { "e1 config_version=-1", "ready=false",
				  "store_address=127.0.0.1:1",
				  "e1 topics name=operators listed=false" })
		EXPECT_NE(std::string::npos, shown.find(part)) << shown;
	EXPECT_EQ(0, program.process.stop());
}

// SIGHUP before the settings are read must not end the program.
TEST(EntryProgram, KeepsASignalToReloadThatComesFirst)
{
	const std::string ip = own_ip();
	TempDir dir;
	const std::string path = dir.file("settings.json");
	Process process;

	ASSERT_EQ(0, mkfifo(path.c_str(), 0600));
	ASSERT_TRUE(process.start({ built_program("currant-entryd"), path },
				  dir.file("out")));
	{
		// Blocks until the program opens the FIFO for reading.
		std::ofstream first(path);

		std::ofstream(dir.file("again.json")) << settings_json("");
		ASSERT_EQ(0,
			  rename(dir.file("again.json").c_str(), path.c_str()));
		process.signal(SIGHUP);
		first << settings_json("");
	}
	EXPECT_TRUE(process.wait_until(wait_timeout_ms, [&] {
		return read_file(dir.file("out")).find("event=reloaded") !=
		       std::string::npos;
	})) << read_file(dir.file("out"));
}

static void finish_daemon_then_raise(const std::string &path, int number)
{
	static struct entry_daemon daemon;
	struct error err = ERROR_INIT;

	if (entry_daemon_init(&daemon, path.c_str(), 0, &err)) {
		fprintf(stderr, "%s\n", err.text);
		_exit(EXIT_FAILURE);
	}
	entry_daemon_finish(&daemon);
	raise(number);
	_exit(EXIT_SUCCESS);
}

// Signals after the daemon removed its handlers must not end the process.
TEST(EntryProgram, OutlivesSignalsAfterItsHandlers)
{
	TempDir dir;
	const std::string path = dir.file("settings.json");

	std::ofstream(path) << settings_json("");
	for (int number : { SIGHUP, SIGTERM, SIGINT })
		EXPECT_EXIT(finish_daemon_then_raise(path, number),
			    testing::ExitedWithCode(EXIT_SUCCESS), "")
			<< number;
}

// Signals while the program ends must not change its exit status.
TEST(EntryProgram, EndsWithItsStatusWhateverSignalsCome)
{
	const std::string ip = own_ip();

	for (int number : { SIGHUP, SIGTERM, SIGINT }) {
		SCOPED_TRACE(number);
		TempDir dir;
		const std::string out = dir.file("out");
		const std::string path = dir.file("settings.json");
		std::string line;
		Process process;

		std::ofstream(path) << settings_json("");
		ASSERT_EQ(0, mkfifo(out.c_str(), 0600));
		ASSERT_TRUE(process.start(
			{ built_program("currant-entryd"), path }, out));
		std::ifstream lines(out);
		ASSERT_TRUE(process.wait_until(wait_timeout_ms, [&] {
			return http_get(ip + ":8406", "/v1/ready").status ==
			       503;
		}));
		process.signal(SIGTERM);
		process.signal(number);
		while (std::getline(lines, line) &&
		       line.find("event=stopped") == std::string::npos)
			;
		while (process.running())
			process.signal(number);
		EXPECT_EQ(0, process.wait(wait_timeout_ms));
	}
}

TEST(EntryProgram, CommandLine)
{
	static const struct {
		std::vector<std::string> flags;
		std::string settings_json;
		int status;
		const char *part;
	} cases[] = {
		{ { "--check" }, settings_json(""), 0, "are valid" },
		{ { "--check" }, "{", 2, "line 1" },
		{ { "--check" }, "{}", 2, "currant-entryd:" },
		{ {}, "{}", 2, "currant-entryd:" },
		{ { "--metrics-port", "0" },
		  settings_json(""),
		  2,
		  "'0' is no port" },
		{ { "--metrics-port", "65536" },
		  settings_json(""),
		  2,
		  "is no port" },
		{ { "--metrics-port", "9x" },
		  settings_json(""),
		  2,
		  "is no port" },
		{ { "--fly" }, settings_json(""), 2, "--help" },
		{ { "one" }, settings_json(""), 2, "Usage: currant-entryd" },
		{ { "--help" }, settings_json(""), 0, "Exit status:" },
	};

	for (const auto &c : cases) {
		Program program(c.settings_json, c.flags);

		EXPECT_EQ(c.status, program.process.wait(wait_timeout_ms))
			<< c.part;
		EXPECT_NE(std::string::npos, program.output().find(c.part))
			<< c.part << "\n"
			<< program.output();
	}
}
