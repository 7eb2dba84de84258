#include "t/lib-process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/inotify.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "t/lib-clock.h"
#include "t/lib-listener.h"

extern "C" {
#include "base/clock.h"
#include "client/http_call.h"
}

static const int retry_ms = 2;
static const int start_limit_ms = 20000;

TempDir::TempDir()
{
	char path[] = "/tmp/currant-test-XXXXXX";

	path_ = mkdtemp(path);
}

TempDir::~TempDir()
{
	std::error_code ignored;

	std::filesystem::remove_all(path_, ignored);
}

std::string TempDir::file(const std::string &name) const
{
	return path_ + "/" + name;
}

std::string read_file(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream all;

	all << in.rdbuf();
	return all.str();
}

std::string built_program(const std::string &name)
{
	const char *build = getenv("CURRANT_BUILD");
	const char *root = getenv("CURRANT_ROOT");
	std::string path = std::string(build ? build : "build") + "/" + name;

	if (path[0] != '/' && root)
		path = std::string(root) + "/" + path;
	return path;
}

Process::~Process()
{
	kill();
}

bool Process::start(const std::vector<std::string> &argv,
		    const std::string &output)
{
	std::vector<char *> args;
	pid_t parent = getpid();

	for (const std::string &arg : argv)
		args.push_back(const_cast<char *>(arg.c_str()));
	args.push_back(nullptr);
	kill();
	status_ = -1;
	pid_ = fork();
	if (pid_ == 0) {
		if (!output.empty()) {
			int fd = open(output.c_str(),
				      O_WRONLY | O_CREAT | O_APPEND, 0600);

			dup2(fd, 1);
			dup2(fd, 2);
		}
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(127);
		execv(args[0], args.data());
		_exit(127);
	}
	if (pid_ < 0)
		return false;
	pidfd_ = (int)syscall(SYS_pidfd_open, pid_, 0);
	return pidfd_ >= 0;
}

pid_t Process::pid() const
{
	return pid_;
}

void Process::reap(int status)
{
	status_ = WIFEXITED(status) ? WEXITSTATUS(status)
				    : 128 + WTERMSIG(status);
	close(pidfd_);
	pidfd_ = -1;
	pid_ = -1;
}

bool Process::running()
{
	int status;

	if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_)
		reap(status);
	return pid_ > 0;
}

void Process::signal(int number)
{
	if (running())
		::kill(pid_, number);
}

static uint64_t signal_mask(const std::string &status, const char *name)
{
	size_t at = status.find(name);

	return at == std::string::npos
		       ? 0
		       : strtoull(status.c_str() + at + strlen(name), nullptr,
				  16);
}

bool Process::holds(int number) const
{
	std::string status =
		read_file("/proc/" + std::to_string(pid_) + "/status");
	uint64_t held = signal_mask(status, "SigBlk:") |
			signal_mask(status, "SigCgt:");

	return held >> (number - 1) & 1;
}

int64_t Process::peak_kb() const
{
	std::string status =
		read_file("/proc/" + std::to_string(pid_) + "/status");
	size_t at = status.find("VmHWM:");

	return at == std::string::npos ? -1 : atoll(status.c_str() + at + 6);
}

size_t Process::open_files() const
{
	std::error_code ignored;
	std::filesystem::directory_iterator files(
		"/proc/" + std::to_string(pid_) + "/fd", ignored);

	return (size_t)std::distance(begin(files), end(files));
}

int Process::wait(int limit_ms)
{
	int64_t limit = steady_now_ms() + limit_ms;

	while (running()) {
		struct pollfd pfd = { pidfd_, POLLIN, 0 };
		int64_t left = limit - steady_now_ms();

		if (left <= 0)
			return -1;
		poll(&pfd, 1, (int)left);
	}
	return status_;
}

int Process::stop(int limit_ms)
{
	signal(SIGTERM);
	return wait(limit_ms);
}

void Process::kill()
{
	signal(SIGKILL);
	wait(start_limit_ms);
}

void Process::pause()
{
	siginfo_t info;

	signal(SIGSTOP);
	if (pid_ > 0)
		waitid(P_PID, (id_t)pid_, &info, WSTOPPED | WEXITED | WNOWAIT);
}

void Process::resume()
{
	signal(SIGCONT);
}

bool Process::wait_until(int limit_ms, const std::function<bool()> &condition)
{
	int64_t limit = steady_now_ms() + limit_ms;

	while (!condition()) {
		if (steady_now_ms() >= limit || !running())
			return false;
		struct pollfd pfd = { pidfd_, POLLIN, 0 };
		poll(&pfd, 1, retry_ms);
	}
	return true;
}

std::string Process::wait_for_file(const std::string &path, int limit_ms)
{
	std::string folder = path.substr(0, path.rfind('/'));
	int64_t limit = steady_now_ms() + limit_ms;
	int notify = inotify_init1(IN_CLOEXEC | IN_NONBLOCK);
	std::string line;

	inotify_add_watch(notify, folder.c_str(), IN_MOVED_TO);
	for (;;) {
		std::ifstream file(path);
		struct pollfd pfds[] = { { notify, POLLIN, 0 },
					 { pidfd_, POLLIN, 0 } };
		int64_t left = limit - steady_now_ms();
		char events[4096];

		if (std::getline(file, line) || left <= 0 || !running())
			break;
		poll(pfds, 2, (int)left);
		while (read(notify, events, sizeof(events)) > 0)
			;
	}
	close(notify);
	return line;
}

bool wait_until(int limit_ms, const std::function<bool()> &condition)
{
	int64_t limit = steady_now_ms() + limit_ms;

	while (!condition()) {
		if (steady_now_ms() >= limit)
			return false;
		poll(nullptr, 0, retry_ms);
	}
	return true;
}

HttpAnswer http_send(const std::string &method, const std::string &address,
		     const std::string &path, const std::string &body,
		     const std::string &header)
{
	struct http_pool pool;
	struct http_call call;
	HttpAnswer answer;

	http_pool_init(&pool, ("http://" + address).c_str(), nullptr);
	http_call_init(&call);
	call.method = method.c_str();
	call.path = path.c_str();
	call.header = header.empty() ? nullptr : header.c_str();
	call.timeout_ns = 30 * NS_PER_S;
	if (method == "POST" || method == "PUT") {
		call.body = body.data();
		call.body_len = body.size();
	}
	if (http_call_run(&pool, &call, nullptr) == 0) {
		answer.status = call.status;
		answer.body.assign(call.response.buf, call.response.len);
	}
	http_call_finish(&call);
	http_pool_finish(&pool);
	return answer;
}

HttpAnswer http_get(const std::string &address, const std::string &path)
{
	return http_send("GET", address, path, "");
}

HttpAnswer http_post(const std::string &address, const std::string &path,
		     const std::string &body)
{
	return http_send("POST", address, path, body);
}

Standin::Standin(const std::string &role, const std::vector<std::string> &flags)
    : role_(role), flags_(flags)
{
	int port = 0;

	held_ = hold_on_loopback(&port);
	launch("127.0.0.1:" + std::to_string(port));
}

Standin::~Standin()
{
	close(held_);
}

bool Standin::launch(const std::string &listen)
{
	std::string file = dir_.file("address");
	std::vector<std::string> argv = { built_program("currant-standin"),
					  role_,
					  "--listen",
					  listen,
					  "--address-file",
					  file };

	unlink(file.c_str());
	argv.insert(argv.end(), flags_.begin(), flags_.end());
	if (!start(argv))
		return false;
	address_ = wait_for_file(file, start_limit_ms);
	return !address_.empty();
}

bool Standin::restart()
{
	return launch(std::string(address_));
}

const std::string &Standin::address() const
{
	return address_;
}

std::string Standin::url() const
{
	return "http://" + address_;
}

void Standin::faults(const std::string &json)
{
	http_post(address_, "/standin/faults", json);
}
