// Structured lines: their form, their bound, and that nobody waits for
// whoever reads them.

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <sstream>

#include "t/lib-fake-topics.h"

extern "C" {
#include "base/record_log.h"
}

namespace
{

class RecordLog : public ::testing::Test
{
      protected:
	RecordLog()
	{
		EXPECT_EQ(0, pipe(fds_));
		fcntl(fds_[0], F_SETFL, O_NONBLOCK);
		counter_set_init(&counters_);
		record_log_init(&log_, fds_[1], "entry-1", &time_.timers,
				&counters_);
	}

	~RecordLog()
	{
		record_log_finish(&log_);
		counter_set_finish(&counters_);
		close(fds_[0]);
		close(fds_[1]);
	}

	void write_line(int64_t number, bool essential = false)
	{
		struct record record;

		if (essential)
			record_begin_essential(&record, &log_, "p", "e");
		else
			record_begin(&record, &log_, "p", "e");
		record_int(&record, "n", number);
		record_end(&record);
	}

	// What has come so far.
	std::vector<std::string> lines()
	{
		std::vector<std::string> out;
		std::string text, line;
		char bytes[65536];
		ssize_t len;

		while ((len = read(fds_[0], bytes, sizeof(bytes))) > 0)
			text.append(bytes, len);
		std::istringstream in(text);
		while (std::getline(in, line))
			out.push_back(line);
		return out;
	}

	FakeTime time_;
	struct counter_set counters_;
	struct record_log log_;
	int fds_[2];
};

std::string after_event(const std::string &line)
{
	size_t at = line.find(" event=e");

	return at == std::string::npos ? "" : line.substr(at + 8);
}

} // namespace

TEST_F(RecordLog, LinesHaveOneForm)
{
	const struct {
		void (*add)(struct record *record);
		const char *expected;
	} cases[] = {
		{ [](struct record *r) { record_text(r, "k", "value"); },
		  " k=value" },
		{ [](struct record *r) { record_text(r, "k", nullptr); },
		  " k=-" },
		{ [](struct record *r) { record_text(r, "k", ""); }, " k=-" },
		{ [](struct record *r) { record_text(r, "k", "a b=\"c\"\n"); },
		  " k=a\\x20b\\x3d\\x22c\\x22\\x0a" },
		{ [](struct record *r) { record_text(r, "k", "\xc3\xa6"); },
		  " k=\\xc3\\xa6" },
		{ [](struct record *r) { record_int(r, "k", -7); }, " k=-7" },
		{ [](struct record *r) { record_number(r, "k", 0.25); },
		  " k=0.250" },
		{ [](struct record *r) { record_ms(r, "k", 1234567); },
		  " k=1.2" },
		{ [](struct record *r) { record_ms(r, "k", -1); }, " k=-" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.expected);
		struct record record;

		record_begin(&record, &log_, "p", "e");
		c.add(&record);
		record_end(&record);
		time_.run(200);
		std::vector<std::string> got = lines();
		ASSERT_EQ(1u, got.size());
		EXPECT_EQ(0u, got[0].find("ts="));
		EXPECT_NE(std::string::npos,
			  got[0].find(" host=entry-1 part=p event=e"));
		EXPECT_EQ(c.expected, after_event(got[0]));
	}
}

TEST_F(RecordLog, ALongValueIsCutAndTheLineStays)
{
	std::string text(5000, 'x');
	struct record record;

	record_begin(&record, &log_, "p", "e");
	record_text(&record, "k", text.c_str());
	record_text(&record, "l", text.c_str());
	record_end(&record);
	time_.run(200);
	std::vector<std::string> got = lines();
	ASSERT_EQ(1u, got.size());
	EXPECT_LT(got[0].size(), (size_t)RECORD_LINE_BYTES);
}

// A flood is cut to the bound and says how much is missing; what matters most
// comes through.
TEST_F(RecordLog, AFloodIsBoundedAndCounted)
{
	uint64_t written = 0, missing = 0;
	bool saw_essential = false;

	for (int step = 0; step < 100; step++) {
		for (int i = 0; i < 100; i++)
			write_line(i);
		if (step == 50)
			write_line(123456, true);
		time_.run(100);
		for (const std::string &line : lines()) {
			size_t at = line.find("event=dropped lines=");

			if (at != std::string::npos)
				missing += std::stoull(line.substr(at + 20));
			else
				written++;
			if (line.find(" n=123456") != std::string::npos)
				saw_essential = true;
		}
	}
	EXPECT_TRUE(saw_essential);
	// 400 at once, and 200 a second for ten seconds.
	EXPECT_LE(written, 400u + 200 * 10 + 1);
	EXPECT_GE(written, 200u * 9);
	EXPECT_EQ(10001u, written + missing + log_.dropped);
	EXPECT_EQ(10001 - written, counter_value(log_.dropped_lines));
}

// The other end of the pipe reads nothing: lines are dropped, nobody waits.
TEST_F(RecordLog, AReaderThatIsStuckHoldsNobodyUp)
{
	// Fills the pipe, then what may wait for it.
	for (int round = 0; round < 3; round++) {
		for (int i = 0; i < 20000; i++)
			write_line(i, true);
		time_.run(1000);
	}
	EXPECT_LE(log_.pending.len, 65u * 1024);
	EXPECT_GT(counter_value(log_.dropped_lines), 0u);
	size_t first = lines().size();
	time_.run(1000);
	size_t second = lines().size();
	EXPECT_GT(first, 0u);
	EXPECT_GT(second, 0u);
	write_line(7, true);
	time_.run(1000);
	std::vector<std::string> rest = lines();
	ASSERT_GE(rest.size(), 2u);
	EXPECT_NE(std::string::npos,
		  rest[rest.size() - 2].find("event=dropped lines="));
	EXPECT_EQ(" n=7", after_event(rest.back()));
}
