// A log service in memory, with the faults of the real one.
#ifndef T_LIB_FAKE_LOG_H
#define T_LIB_FAKE_LOG_H

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

extern "C" {
#include "port/log_port.h"
}

// The entries that all ports see.
class FakeLog
{
      public:
	uint64_t append(const std::string &data);
	uint64_t head();
	uint64_t first();
	std::string entry(uint64_t offset);
	void drop_before(uint64_t offset); // retention
	void truncate_tail(uint64_t count); // loses the newest entries
	void cut_entry(uint64_t offset, size_t len); // torn bytes
	// Copies entries from `from` on; waits up to `wait_ns` for one.
	int read(uint64_t from, uint32_t max, int64_t wait_ns,
		 struct log_chunk *out);

      private:
	std::mutex lock;
	std::condition_variable grown;
	uint64_t first_offset = 0;
	std::deque<std::string> entries;
};

// One daemon's connection to it, with faults of its own.
class FakeLogPort
{
      public:
	explicit FakeLogPort(FakeLog *log);
	struct log_port *port()
	{
		return &base.port;
	}

	void set_down(bool value); // nothing gets through
	void lose_answers(int count); // they take effect
	void lose_appends(int count); // unknown outcome, no effect
	void refuse(int count); // rate limited
	void hold(int count); // take effect when release() is called
	void release();
	void heal(); // no faults, and what was held takes effect
	int append_count();

      private:
	friend int fake_append(struct log_port *, const void *, size_t, int64_t,
			       uint64_t *, struct error *);
	friend int fake_read(struct log_port *, uint64_t, uint32_t, int64_t,
			     struct log_chunk *, struct error *);
	struct {
		struct log_port port;
		FakeLogPort *self;
	} base;
	FakeLog *log;
	std::mutex lock;
	bool down = false;
	int answers_to_lose = 0;
	int appends_to_lose = 0;
	int to_refuse = 0;
	int to_hold = 0;
	int appends = 0;
	std::vector<std::string> held;
};

#endif
