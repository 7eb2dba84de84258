// Sample traces: from the daemons' writers through their stream of the log to
// who asks.
#include <gtest/gtest.h>

#include <algorithm>

#include "t/lib-process.h"
#include "t/lib-system.h"

extern "C" {
#include "app/sample_log.h"
#include "app/trace_writer.h"
#include "base/alloc.h"
#include "base/clock.h"
#include "client/log_http.h"
}

static const int LIMIT_MS = 30000;

// One daemon's writer; the log's part of it goes to /dev/null.
class Writer
{
      public:
	Writer(const std::string &url, const std::string &name,
	       uint64_t incarnation)
	{
		out_ = fopen("/dev/null", "w");
		logger_init(&logger_, out_, LOG_ERROR, name.c_str());
		part_ = { &logger_, "log" };
		counter_set_init(&counters_);
		log_http_init_stream(&port_, url.c_str(), TRACE_STREAM,
				     nullptr);
		trace_writer_init(&writer_, &port_.base, name.c_str(),
				  incarnation, &counters_, &part_);
	}
	~Writer()
	{
		stop(0);
		trace_writer_finish(&writer_);
		port_.base.vt->finish(&port_.base);
		counter_set_finish(&counters_);
		logger_finish(&logger_);
		fclose(out_);
	}
	void start()
	{
		ASSERT_EQ(0, trace_writer_start(&writer_, nullptr));
	}
	void stop(uint32_t limit_ms)
	{
		trace_writer_stop(&writer_, limit_ms);
	}
	void set_pace(uint32_t flush_ms)
	{
		trace_writer_set_pace(&writer_, flush_ms);
	}
	// One sample; returns an error code.
	enum error_code submit(uint64_t group, size_t trainer_bytes = 1)
	{
		std::string trainer(trainer_bytes, 't');
		Currant__SampleTrace trace = CURRANT__SAMPLE_TRACE__INIT;
		Currant__SampleTrace *list[] = { &trace };
		Currant__SampleTraces traces = CURRANT__SAMPLE_TRACES__INIT;
		Currant__VersionSpan span = CURRANT__VERSION_SPAN__INIT;
		Currant__VersionSpan *spans[] = { &span };
		struct error err = ERROR_INIT;

		span.version = 3;
		span.tokens = 7;
		trace.trainer = const_cast<char *>(trainer.c_str());
		trace.group = group;
		trace.latest_version = 5;
		trace.n_spans = 1;
		trace.spans = spans;
		traces.n_samples = 1;
		traces.samples = list;
		trace_writer_submit(&writer_, &traces, &err);
		return err.code;
	}
	int64_t counted(const char *name)
	{
		return counter_value(counter_get(&counters_, name));
	}

      private:
	FILE *out_;
	struct logger logger_;
	struct log_part part_;
	struct counter_set counters_;
	struct log_http port_;
	struct trace_writer writer_;
};

// One daemon that answers for samples.
class Reader
{
      public:
	explicit Reader(const std::string &url)
	{
		log_http_init_stream(&port_, url.c_str(), TRACE_STREAM,
				     nullptr);
		sample_log_init(&log_);
	}
	~Reader()
	{
		sample_log_finish(&log_);
		port_.base.vt->finish(&port_.base);
	}
	int refresh()
	{
		return sample_log_refresh(&log_, &port_.base, nullptr);
	}
	// The groups that are known, as they stand.
	std::vector<uint64_t> groups()
	{
		std::vector<uint64_t> list;

		sample_log_each(
			&log_,
			[](void *arg, const struct sample_entry *entry) {
				static_cast<std::vector<uint64_t> *>(arg)
					->push_back(entry->group);
				EXPECT_STREQ("3:7", entry->versions);
				EXPECT_EQ(2u, entry->staleness);
			},
			&list);
		return list;
	}

      private:
	struct log_http port_;
	struct sample_log log_;
};

static std::vector<uint64_t> up_to(uint64_t last)
{
	std::vector<uint64_t> list;

	for (uint64_t i = 1; i <= last; i++)
		list.push_back(i);
	return list;
}

TEST(Trace, EachSampleIsShownOnceUnderFaults)
{
	static const struct {
		const char *name;
		const char *faults;
		int64_t failures; // at least
	} cases[] = {
		{ "none", "{}", 0 },
		{ "refused", "{\"refuse\": 2}", 2 },
		{ "answers lost", "{\"lose_answers\": 2}", 2 },
		{ "down", "{\"down\": true}", 2 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Standin log("log");
		Writer writer(log.url(), "e1", 1);
		Reader reader(log.url());

		log.faults(c.faults);
		writer.start();
		for (uint64_t group = 1; group <= 20; group++)
			ASSERT_EQ(ERROR_NONE, writer.submit(group));
		ASSERT_TRUE(log.wait_until(LIMIT_MS, [&] {
			return writer.counted("trace_append_failures_total") >=
			       c.failures;
		}));
		log.faults("{}");
		EXPECT_TRUE(log.wait_until(LIMIT_MS, [&] {
			return !reader.refresh() &&
			       reader.groups().size() >= 20;
		}));
		writer.submit(21);
		writer.stop(LIMIT_MS);
		EXPECT_EQ(0, reader.refresh());
		EXPECT_EQ(up_to(21), reader.groups());
		EXPECT_EQ(0, writer.counted("sample_traces_lost_total"));
	}
}

// What all daemons read stays as it was.
TEST(Trace, StandsInAStreamOfItsOwn)
{
	Standin log("log");
	Writer writer(log.url(), "e1", 1);
	struct log_http main;
	struct log_chunk chunk;

	writer.start();
	writer.submit(1);
	writer.stop(LIMIT_MS);
	EXPECT_EQ(1, writer.counted("trace_appends_total"));
	log_http_init(&main, log.url().c_str(), nullptr);
	ASSERT_EQ(0, main.base.vt->read(&main.base, 0, 10, 0, &chunk, nullptr));
	EXPECT_EQ(0u, chunk.head);
	EXPECT_EQ(0u, chunk.entry_count);
	log_chunk_finish(&chunk);
	main.base.vt->finish(&main.base);
}

TEST(Trace, WaitsForCompany)
{
	Standin log("log");
	Writer writer(log.url(), "e1", 1);

	writer.set_pace(60000);
	writer.start();
	for (uint64_t group = 1; group <= 100; group++)
		writer.submit(group);
	EXPECT_EQ(0, writer.counted("trace_appends_total"));
	writer.stop(LIMIT_MS);
	EXPECT_EQ(1, writer.counted("trace_appends_total"));
}

TEST(Trace, IsBoundedWhileTheLogIsDown)
{
	Standin log("log");
	Writer writer(log.url(), "e1", 1);
	Reader reader(log.url());
	const size_t big = 10000;
	uint64_t taken = 0;

	log.faults("{\"down\": true}");
	writer.start();
	while (taken < 1000 && writer.submit(taken + 1, big) == ERROR_NONE)
		taken++;
	EXPECT_LE(TRACE_ENTRIES * TRACE_ENTRY_BYTES / (big + 200) -
			  TRACE_ENTRIES,
		  taken);
	EXPECT_GE(TRACE_ENTRIES * TRACE_ENTRY_BYTES / big, taken);
	EXPECT_EQ(1, writer.counted("sample_traces_lost_total"));
	EXPECT_EQ(-1, reader.refresh());
	log.faults("{}");
	writer.stop(LIMIT_MS);
	EXPECT_EQ(0, reader.refresh());
	EXPECT_EQ(up_to(taken), reader.groups());
	EXPECT_EQ(1, writer.counted("sample_traces_lost_total"));
}

TEST(Trace, WhatIsLeftAtTheEndCountsAsLost)
{
	Standin log("log");
	Writer writer(log.url(), "e1", 1);

	log.faults("{\"down\": true}");
	writer.start();
	writer.submit(1);
	writer.submit(2);
	writer.stop(0);
	EXPECT_EQ(2, writer.counted("sample_traces_lost_total"));
}

TEST(Trace, ReadersFollowRetentionAndAStreamThatWasSetBack)
{
	Standin log("log");
	Reader late(log.url()), early(log.url());
	const std::string trim = "/standin/trim?stream=" TRACE_STREAM;

	for (uint64_t group = 1; group <= 4; group++) {
		Writer writer(log.url(), "e1", group);

		writer.start();
		writer.submit(group);
		writer.stop(LIMIT_MS);
		EXPECT_EQ(0, early.refresh());
	}
	http_post(log.address(), trim, "{\"first\": 2}");
	EXPECT_EQ(0, late.refresh());
	EXPECT_EQ((std::vector<uint64_t>{ 3, 4 }), late.groups());
	EXPECT_EQ(0, early.refresh());
	EXPECT_EQ(up_to(4), early.groups());
	http_post(log.address(), trim, "{\"head\": 3}");
	EXPECT_EQ(0, late.refresh());
	EXPECT_EQ((std::vector<uint64_t>{ 3 }), late.groups());
}

TEST(Trace, PassesOverWhatIsNoTrace)
{
	Standin log("log");
	Writer writer(log.url(), "e1", 1);
	Reader reader(log.url());

	http_post(log.address(), "/v1/append?stream=" TRACE_STREAM, "\xff\xff");
	writer.start();
	writer.submit(1);
	writer.stop(LIMIT_MS);
	EXPECT_EQ(0, reader.refresh());
	EXPECT_EQ(up_to(1), reader.groups());
}

static size_t rows(DaemonProcess &daemon, const std::string &condition)
{
	HttpAnswer answer = daemon.statement("show samples where " + condition);
	size_t count = 0, at = 0;

	EXPECT_EQ(200, answer.status) << answer.body;
	while ((at = answer.body.find("\"engine-", at)) != std::string::npos) {
		at++;
		count++;
	}
	return count;
}

// Any daemon answers for the samples of all, one that has just started too.
TEST(Trace, EveryDaemonAnswersForEachSample)
{
	static const size_t samples = 8 * 4;
	SystemOptions options;
	TempDir dir;
	Process trainer;

	options.daemons = 2;
	options.engines = 2;
	System system(options);
	ASSERT_TRUE(system.up());
	system.start_step(trainer, dir.file("report"),
			  { "--groups", "8", "--samples", "4" });
	ASSERT_EQ(0, trainer.wait(LIMIT_MS));
	for (int i = 0; i < 2; i++) {
		EXPECT_TRUE(wait_until(LIMIT_MS, [&] {
			return rows(system.daemon(i), "step >= 0") >= samples;
		})) << rows(system.daemon(i), "step >= 0");
		EXPECT_EQ(samples, rows(system.daemon(i), "step >= 0"));
		EXPECT_EQ(0u, rows(system.daemon(i), "step >= 1000000"));
	}
	system.daemon(1).kill();
	ASSERT_TRUE(system.daemon(1).launch());
	ASSERT_TRUE(
		wait_until(LIMIT_MS, [&] { return system.daemon(1).ready(); }));
	EXPECT_EQ(samples, rows(system.daemon(1), "step >= 0"));
}
