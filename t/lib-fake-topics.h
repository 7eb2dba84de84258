#ifndef T_LIB_FAKE_TOPICS_H
#define T_LIB_FAKE_TOPICS_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "base/timer.h"
#include "port/topic_log.h"
}

// A fake clock with a timer service that follows it.
class FakeTime
{
      public:
	FakeTime();
	~FakeTime();

	// Moves the clock in steps and runs what is due.
	void run(int64_t ms);
	int64_t now_ns() const;

	struct fake_clock clock;
	struct timer_service timers;
};

// What happens to one call.
enum class Fault {
	NONE,
	REFUSED, // answered: nothing was done
	LOST, // done, and the answer is lost
	LATE, // done when the test lets it, and not answered
	SILENT, // neither done nor answered
};

struct FakePartition {
	std::vector<std::string> records;
	uint64_t first = 0; // older ones were dropped
	// By writer: epoch, next sequence and the answers to the last ones.
	struct Writer {
		uint64_t epoch = 0;
		uint64_t next = 0;
		std::map<uint64_t, std::pair<uint64_t, uint64_t>> answers;
	};
	std::map<std::string, Writer> writers;
};

// The log in memory, by the rules of port/topic_log.h. An answer comes after
// `delay_ms`; one that is lost ends the call at its time-out.
class FakeTopics
{
      public:
	explicit FakeTopics(struct timer_service *timers);
	~FakeTopics();

	struct topic_log *log();

	// Decides on each call; `kind` is "append", "read" or "newest".
	std::function<Fault(const std::string &kind, const std::string &topic)>
		faults;
	// The same for appends of one writer.
	std::function<Fault(const std::string &writer)> writer_faults;
	int64_t delay_ms = 4;
	// Reads are told that history is gone which is there.
	bool denies_history = false;
	// Reads show the partition as it was this many records ago.
	uint64_t stale_records = 0;

	FakePartition &partition(const std::string &topic, uint32_t number);
	// Appends as somebody else would.
	void append(const std::string &topic, uint32_t number,
		    const std::string &record);
	void put(const std::string &topic, const std::string &key,
		 const std::string &value);
	// Carries out the calls that were held back, the oldest first.
	void carry_out_late();
	// Forgets records below `first`.
	void forget(const std::string &topic, uint32_t number, uint64_t first);

	int appends = 0; // calls, refused ones too
	int reads = 0;

      private:
	struct Call;
	struct Vtable;
	friend struct Vtable;

	void start(Call *call);
	void finish(Call *call);
	void cancel(Call *call);
	void carry_out(Call *call);
	void do_append(struct topic_append *append);
	void do_read(struct topic_read *read);
	void do_newest(struct topic_newest *newest);
	bool has_news(const struct topic_read *read);
	void wake();
	static void on_timer(void *arg, int64_t now_ns);

	struct Base {
		struct topic_log log;
		FakeTopics *self;
	} base_;
	struct timer_service *timers_;
	std::map<std::pair<std::string, uint32_t>, FakePartition> partitions_;
	std::vector<Call *> calls_;
	std::vector<std::function<void()>> late_;
};

// One record as topic_append takes it.
std::string framed(const std::string &record);

#endif
