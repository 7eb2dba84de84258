// The daemon's command line, and the client's prompt on a terminal.
#include <gtest/gtest.h>

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <string>
#include <vector>

#include "t/lib-fake-daemon.h"
#include "t/lib-process.h"

static const int limit_ms = 20000;

struct Outcome {
	int status;
	std::string output;
};

static Outcome run_daemon(std::vector<std::string> arguments)
{
	TempDir dir;
	Process process;

	arguments.insert(arguments.begin(), built_program("currantd"));
	EXPECT_TRUE(process.start(arguments, dir.file("out")));
	int status = process.wait(limit_ms);
	return { status, read_file(dir.file("out")) };
}

TEST(DaemonCommandLine, StatusAndReason)
{
	const std::string fine =
		"\"name\":\"e\",\"data_centre\":\"b\",\"log_url\":\"http://127.0.0.1:1\","
		"\"hosts_url\":\"http://127.0.0.1:2\"";
	TempDir dir;
	const std::string file = dir.file("settings.json");
	const struct {
		std::vector<std::string> arguments;
		std::string settings;
		int status;
		std::string part;
	} cases[] = {
		{ {}, "", 2, "Usage: currantd" },
		{ { "a", "b" }, "", 2, "Usage: currantd" },
		{ { "--fly" }, "", 2, "--help" },
		{ { "--help" }, "", 0, "Exit status:" },
		{ { "--check", dir.file("none") }, "", 2, "cannot open" },
		{ { "--check", file }, "{", 2, "line 1, column " },
		{ { "--check", file }, "[]", 2, "one JSON object" },
		{ { "--check", file }, "{}", 2, "field 'name' is missing" },
		{ { "--check", file },
		  "{" + fine + ",\"nam\":1}",
		  2,
		  "unknown field 'nam' holds 1; expected one of name" },
		{ { "--check", file },
		  "{" + fine + ",\"latency\":{\"tls\":{}}}",
		  2,
		  "field 'latency.tls' must be left out: the packaged "
		  "CivetWeb has no TLS" },
		{ { "--check", file },
		  "{" + fine +
			  ",\"peer\":{\"tls\":{\"certificate\":\"/none/c\","
			  "\"private_key\":\"k\",\"authority\":\"a\"}}}",
		  2,
		  "field 'peer.tls.certificate': cannot read /none/c" },
		{ { "--check", file }, "{" + fine + "}", 0, "are valid" },
		{ { file },
		  "{" + fine + ",\"batch\":{\"address\":\"192.0.2.1:1\"}}",
		  1,
		  "cannot listen on '192.0.2.1:1'" },
	};

	for (const auto &c : cases) {
		std::ofstream(file) << c.settings;
		Outcome outcome = run_daemon(c.arguments);
		EXPECT_EQ(c.status, outcome.status) << c.part << outcome.output;
		EXPECT_NE(std::string::npos, outcome.output.find(c.part))
			<< c.part << "\n"
			<< outcome.output;
	}
}

// The client on a terminal.
class Prompt
{
      public:
	explicit Prompt(const std::string &daemon)
	    : master_(posix_openpt(O_RDWR | O_NOCTTY | O_CLOEXEC))
	{
		grantpt(master_);
		unlockpt(master_);
		const std::string program = built_program("currant");
		const std::string terminal = ptsname(master_);

		pid_ = fork();
		if (pid_)
			return;
		int fd = open(terminal.c_str(), O_RDWR | O_NOCTTY);

		for (int to : { 0, 1, 2 })
			dup2(fd, to);
		execl(program.c_str(), "currant", "run", "-d", daemon.c_str(),
		      nullptr);
		_exit(127);
	}

	~Prompt()
	{
		if (pid_ > 0) {
			::kill(pid_, SIGKILL);
			waitpid(pid_, nullptr, 0);
		}
		close(master_);
	}

	// Reads up to the text, or up to the end; returns what came.
	std::string read_to(const std::string &text)
	{
		std::string out;
		char byte;
		struct pollfd pfd = { master_, POLLIN, 0 };

		while (out.size() < text.size() ||
		       out.compare(out.size() - text.size(), text.size(),
				   text)) {
			if (poll(&pfd, 1, limit_ms) <= 0 ||
			    read(master_, &byte, 1) <= 0)
				break;
			out += byte;
		}
		return out;
	}

	void type(const std::string &text)
	{
		EXPECT_EQ((ssize_t)text.size(),
			  write(master_, text.data(), text.size()));
	}

	int status()
	{
		int status = 0;

		read_to("no such text");
		waitpid(pid_, &status, 0);
		pid_ = -1;
		return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}

      private:
	int master_;
	pid_t pid_;
};

TEST(ClientPrompt, GoesOnAfterARefusalAndEndsAsTold)
{
	const std::string prompt = "currant> ";

	for (const char *farewell : { "quit\n", "exit\n", "\004" }) {
		FakeDaemon daemon;
		Prompt session(daemon.address());

		session.read_to(prompt);
		daemon.answer(404, "{\"detail\":\"no such team\","
				   "\"ran\":\"not_run\"}");
		session.type("drop team a\n");
		std::string got = session.read_to(prompt);
		EXPECT_NE(std::string::npos, got.find("no such team")) << got;
		session.type("-- nothing to run\n");
		session.read_to(prompt);
		daemon.answer(200, "{\"kind\":\"change\",\"accepted\":true,"
				   "\"version\":4097}");
		session.type("create team a\n");
		got = session.read_to(prompt);
		EXPECT_NE(std::string::npos, got.find("accepted, version 4097"))
			<< got;
		session.type(farewell);
		EXPECT_EQ(0, session.status());
		EXPECT_EQ(2u, daemon.take_calls().size());
	}
}
