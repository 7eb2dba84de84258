// A log port to a FakeLog in another process, over two socket pairs.
#ifndef T_LIB_LOG_PIPE_H
#define T_LIB_LOG_PIPE_H

#include <thread>

#include "t/lib-fake-log.h"

// Make it, fork, then call serve() in the parent and use port() in the child.
class LogPipe
{
      public:
	explicit LogPipe(FakeLog *log);
	~LogPipe();
	void serve(); // starts the threads that answer
	void become_client(); // closes the serving ends
	struct log_port *port()
	{
		return &base.port;
	}

      private:
	friend int pipe_call(struct log_port *, bool, struct log_call *,
			     std::string *, struct error *);
	void answer(int fd);
	struct {
		struct log_port port;
		LogPipe *self;
	} base;
	FakeLog *log;
	int append_fds[2];
	int read_fds[2];
	std::mutex append_lock, read_lock;
	std::thread append_thread, read_thread;
};

#endif
