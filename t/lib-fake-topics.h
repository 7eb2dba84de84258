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

// A fake clock with a timer service that runs on it.
class FakeTime
{
      public:
	FakeTime();
	~FakeTime();

	// Advances the clock from timer to timer and runs those that are due.
	void run(int64_t ms);
	int64_t now_ns() const;

	struct fake_clock clock;
	struct timer_service timers;
};

// The fault that is injected into one call.
enum class Fault {
	NONE,
	REFUSED, // rejected without effect
	LOST, // executed, but not answered
	LATE, // executed by carry_out_late(), and not answered
	SILENT, // neither executed nor answered
};

struct FakePartition {
	std::vector<std::string> records;
	uint64_t first = 0; // offset of the oldest record that is kept
	// Of each writer: epoch, next sequence number and the last answers.
	struct Writer {
		uint64_t epoch = 0;
		uint64_t next = 0;
		std::map<uint64_t, std::pair<uint64_t, uint64_t>> answers;
	};
	std::map<std::string, Writer> writers;
};

// An in-memory log with the semantics of port/topic_log.h. Calls are
// answered after `delay_ms`; a call that is not answered ends at its timeout.
// An append over the limits of the log is rejected.
class FakeTopics
{
      public:
	explicit FakeTopics(struct timer_service *timers);
	~FakeTopics();

	struct topic_log *log();

	// Selects the fault of each call; `kind` is "append", "read" or
	// "newest".
	std::function<Fault(const std::string &kind, const std::string &topic)>
		faults;
	void set_fault(Fault fault); // of all calls
	// Selects the fault of appends by writer, where `faults` gave none.
	std::function<Fault(const std::string &writer)> writer_faults;
	int64_t delay_ms = 4;
	// Reads are answered that records were dropped which still exist.
	bool denies_history = false;
	// Reads return the partition without its last records, so many.
	uint64_t stale_records = 0;

	FakePartition &partition(const std::string &topic, uint32_t number);
	// Append a record as another writer.
	void append(const std::string &topic, uint32_t number,
		    const std::string &record);
	// An empty value drops the key.
	void put(const std::string &topic, const std::string &key,
		 const std::string &value);
	// Executes the calls with Fault::LATE, the oldest first.
	void carry_out_late();
	// Drops the records before `first`.
	void forget(const std::string &topic, uint32_t number, uint64_t first);

	int appends = 0; // calls, including rejected ones
	int reads = 0;

      private:
	struct Call;
	struct Vtable;
	friend struct Vtable;

	void start(Call *call);
	void finish(Call *call);
	void cancel(Call *call);
	void execute(Call *call);
	bool is_too_large(const struct topic_append *append) const;
	void do_append(struct topic_append *append);
	void do_read(struct topic_read *read);
	void do_newest(struct topic_newest *newest);
	bool has_records(const struct topic_read *read);
	void answer_waiting_reads();
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

// One record, encoded as in topic_append.records.
std::string framed(const std::string &record);

#endif
