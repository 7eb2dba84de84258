#ifndef T_LIB_PROCESS_H
#define T_LIB_PROCESS_H

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

// A folder for one test, removed with all that it holds.
class TempDir
{
      public:
	TempDir();
	~TempDir();
	TempDir(const TempDir &) = delete;
	TempDir &operator=(const TempDir &) = delete;

	std::string file(const std::string &name) const;

      private:
	std::string path_;
};

// All of a file; "" if it can't be read.
std::string read_file(const std::string &path);

// Path of a program that the build made, such as "currant-standin".
std::string built_program(const std::string &name);

// Sanitizers keep memory of their own.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
static const bool MEMORY_IS_OWN = false;
#else
static const bool MEMORY_IS_OWN = true;
#endif

// One child process. It is killed when this object goes, or when the thread
// that started it ends; so start it from the test's own thread.
class Process
{
      public:
	Process() = default;
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	// Starts a program; its output goes to a file, or where the test's
	// goes if that is "".
	bool start(const std::vector<std::string> &argv,
		   const std::string &output = "");
	pid_t pid() const;
	bool running(); // false once it has ended
	void signal(int number);
	// Whether the program has a handler for the signal or keeps it pending,
	// which no program does before it runs main().
	bool holds(int number) const;

	int64_t peak_kb() const; // of resident memory; -1 once it has ended
	size_t open_files() const;

	// Waits for the end. Returns the exit status, 128 + N if signal N
	// ended it, or -1 after the limit.
	int wait(int limit_ms);

	int stop(int limit_ms = 10000); // SIGTERM and wait()
	void kill(); // SIGKILL, and gone when it returns
	void pause(); // SIGSTOP, and stopped when it returns
	void resume(); // SIGCONT

	// Waits for a condition while the process lives, with a limit. It is
	// tried again every few milliseconds; false if the process ended or
	// the limit passed first.
	bool wait_until(int limit_ms, const std::function<bool()> &condition);

	// Waits for a file that the process makes, by a rename; returns its
	// first line, or "".
	std::string wait_for_file(const std::string &path, int limit_ms);

      private:
	void reap(int status);

	pid_t pid_ = -1;
	int pidfd_ = -1;
	int status_ = -1;
};

// Waits for a condition that depends on no single process.
bool wait_until(int limit_ms, const std::function<bool()> &condition);

struct HttpAnswer {
	int status = 0; // 0: no answer
	std::string body;
};

// One call to "ip:port"; a body makes it a POST unless `method` is given.
HttpAnswer http_get(const std::string &address, const std::string &path);
HttpAnswer http_post(const std::string &address, const std::string &path,
		     const std::string &body);
HttpAnswer http_send(const std::string &method, const std::string &address,
		     const std::string &path, const std::string &body,
		     const std::string &header = ""); // "Name: value"

// A currant-standin process.
class Standin : public Process
{
      public:
	// Starts a role and waits until it is ready.
	explicit Standin(const std::string &role,
			 const std::vector<std::string> &flags = {});
	~Standin();

	// Starts it again, at the same address, after stop() or kill().
	bool restart();
	const std::string &address() const; // "ip:port", "" if it failed
	std::string url() const;
	void faults(const std::string &json); // POST /standin/faults

      private:
	bool launch(const std::string &listen);

	TempDir dir_;
	std::string role_;
	std::vector<std::string> flags_;
	std::string address_;
	int held_; // so that the port stays this one's while it is down
};

#endif
