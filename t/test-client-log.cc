// Contract of the log port, for any implementation that a factory makes.
#include <gtest/gtest.h>

#include <memory>
#include <thread>

#include "t/lib-process.h"
#include "t/lib-raw-server.h"

extern "C" {
#include "base/clock.h"
#include "client/log_http.h"
}

enum LogFault { NO_FAULT, DOWN, REFUSED, LOSE_ANSWER, SLOW, OVER_RATE };

class LogUnderTest
{
      public:
	virtual ~LogUnderTest() = default;
	virtual struct log_port *port() = 0;
	virtual void set(LogFault fault) = 0;
	virtual void drop_before(uint64_t offset) = 0;
};

class HttpLog : public LogUnderTest
{
      public:
	HttpLog() : standin_("log", { "--appends-per-s", "20" })
	{
		log_http_init(&log_, standin_.url().c_str(), nullptr);
	}
	~HttpLog() override
	{
		log_.base.vt->finish(&log_.base);
	}
	struct log_port *port() override
	{
		return &log_.base;
	}
	void set(LogFault fault) override
	{
		static const char *const settings[] = {
			"{}",
			"{\"down\": true}",
			"{}",
			"{\"lose_answers\": 1}",
			"{\"delay_ms\": 60000}",
			"{\"over_rate\": true}",
		};

		if (fault == REFUSED) {
			standin_.kill();
			return;
		}
		if (!standin_.running())
			standin_.restart();
		if (fault == OVER_RATE)
			exceed_rate();
		standin_.faults(settings[fault]);
	}
	void drop_before(uint64_t offset) override
	{
		http_post(standin_.address(), "/standin/trim",
			  "{\"first\": " + std::to_string(offset) + "}");
	}

      private:
	// Appends until one is refused; the fault keeps it so.
	void exceed_rate()
	{
		int status = 200;

		for (int i = 0; status == 200 && i < 1000; i++)
			status =
				http_post(standin_.address(), "/v1/append", "x")
					.status;
		EXPECT_EQ(429, status);
	}

	Standin standin_;
	struct log_http log_;
};

typedef std::unique_ptr<LogUnderTest> (*LogFactory)();

static std::unique_ptr<LogUnderTest> make_http()
{
	return std::make_unique<HttpLog>();
}

class LogContract : public testing::TestWithParam<LogFactory>
{
      protected:
	void SetUp() override
	{
		log_ = GetParam()();
	}
	enum error_code append(const std::string &data, uint64_t *offset,
			       int64_t timeout_ms = 10000)
	{
		struct log_port *port = log_->port();
		struct error err = ERROR_INIT;

		port->vt->append(port, data.data(), data.size(),
				 timeout_ms * NS_PER_MS, offset, &err);
		return err.code;
	}
	enum error_code read(uint64_t from, struct log_chunk *chunk,
			     int64_t wait_ms = 0)
	{
		struct log_port *port = log_->port();
		struct error err = ERROR_INIT;

		port->vt->read(port, from, 1000, wait_ms * NS_PER_MS, chunk,
			       &err);
		return err.code;
	}
	int count(const std::string &data)
	{
		struct log_chunk chunk;
		int found = 0;

		EXPECT_EQ(ERROR_NONE, read(0, &chunk));
		for (uint32_t i = 0; i < chunk.entry_count; i++)
			found += std::string((char *)chunk.entries[i].data,
					     chunk.entries[i].len) == data;
		log_chunk_finish(&chunk);
		return found;
	}

	std::unique_ptr<LogUnderTest> log_;
};

INSTANTIATE_TEST_SUITE_P(Http, LogContract, testing::Values(make_http));

TEST_P(LogContract, FaultsOfAppendHaveTrueOutcomes)
{
	static const struct {
		const char *name;
		LogFault fault;
		int timeout_ms;
		enum error_code code;
		int entries; // that the append left; -1: none or one
	} cases[] = {
		{ "none", NO_FAULT, 10000, ERROR_NONE, 1 },
		{ "down", DOWN, 10000, ERROR_UNAVAILABLE, 0 },
		{ "answer lost", LOSE_ANSWER, 10000, ERROR_UNKNOWN_OUTCOME, 1 },
		{ "answer lost again", LOSE_ANSWER, 10000,
		  ERROR_UNKNOWN_OUTCOME, 1 },
		{ "slow", SLOW, 100, ERROR_UNKNOWN_OUTCOME, -1 },
		{ "over the rate", OVER_RATE, 10000, ERROR_FULL, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		uint64_t offset = UINT64_MAX;

		log_->set(c.fault);
		EXPECT_EQ(c.code, append(c.name, &offset, c.timeout_ms));
		log_->set(NO_FAULT);
		if (c.entries >= 0) {
			EXPECT_EQ(c.entries, count(c.name));
		}
	}
}

TEST_P(LogContract, RefusedConnectionsAreUnavailable)
{
	struct log_chunk chunk;
	uint64_t offset;

	ASSERT_EQ(ERROR_NONE, append("kept connection", &offset));
	log_->set(REFUSED);
	// The connection that was kept is dead, and later ones are refused.
	enum error_code first = append("a", &offset);
	EXPECT_TRUE(first == ERROR_UNAVAILABLE ||
		    first == ERROR_UNKNOWN_OUTCOME);
	EXPECT_EQ(ERROR_UNAVAILABLE, append("b", &offset));
	EXPECT_EQ(ERROR_UNAVAILABLE, read(0, &chunk));
}

TEST_P(LogContract, ReadsWhatWasAppendedInOrder)
{
	std::string binary(3001, '\0');
	struct log_chunk chunk;
	uint64_t first;

	for (size_t i = 0; i < binary.size(); i++)
		binary[i] = (char)(i * 7);
	ASSERT_EQ(ERROR_NONE, append("", &first));
	for (size_t len = 1; len < 4; len++) {
		uint64_t offset;

		ASSERT_EQ(ERROR_NONE, append(binary.substr(0, len), &offset));
		EXPECT_EQ(first + len, offset);
	}
	uint64_t last;
	ASSERT_EQ(ERROR_NONE, append(binary, &last));
	ASSERT_EQ(ERROR_NONE, read(first, &chunk));
	ASSERT_EQ(5u, chunk.entry_count);
	EXPECT_EQ(last + 1, chunk.head);
	for (uint32_t i = 0; i < 5; i++) {
		std::string expected = binary.substr(0, i < 4 ? i : 3001);

		EXPECT_EQ(first + i, chunk.entries[i].offset);
		EXPECT_EQ(expected, std::string((char *)chunk.entries[i].data,
						chunk.entries[i].len));
	}
	log_chunk_finish(&chunk);
}

TEST_P(LogContract, ReadWaitsForAnAppend)
{
	struct log_chunk chunk;
	enum error_code code = ERROR_IO;
	uint64_t offset;

	std::thread reader([&] { code = read(0, &chunk, 60000); });
	EXPECT_EQ(ERROR_NONE, append("late", &offset));
	reader.join();
	ASSERT_EQ(ERROR_NONE, code);
	EXPECT_EQ(1u, chunk.entry_count);
	log_chunk_finish(&chunk);
}

TEST_P(LogContract, RetentionLeavesAGapThatIsTold)
{
	struct log_chunk chunk;
	uint64_t offset;

	for (int i = 0; i < 5; i++)
		ASSERT_EQ(ERROR_NONE, append("x", &offset));
	log_->drop_before(3);
	EXPECT_EQ(ERROR_NOT_FOUND, read(2, &chunk));
	EXPECT_EQ(3u, chunk.first);
	EXPECT_EQ(ERROR_NONE, read(3, &chunk));
	EXPECT_EQ(2u, chunk.entry_count);
	log_chunk_finish(&chunk);
}

TEST(LogHttp, BrokenAnswersAreNoSuccess)
{
	static const struct {
		const char *name;
		std::string answer;
		enum error_code append;
		enum error_code read;
	} cases[] = {
		{ "no JSON", raw_answer(200, "offset 3"), ERROR_UNKNOWN_OUTCOME,
		  ERROR_PROTOCOL },
		{ "no offset", raw_answer(200, "{}"), ERROR_UNKNOWN_OUTCOME,
		  ERROR_PROTOCOL },
		{ "bad base64",
		  raw_answer(200, "{\"head\": 1, \"entries\": [{\"offset\": 0, "
				  "\"data\": \"a*==\"}]}"),
		  ERROR_UNKNOWN_OUTCOME, ERROR_PROTOCOL },
		{ "body cut short",
		  "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"offset\": 1",
		  ERROR_UNKNOWN_OUTCOME, ERROR_UNAVAILABLE },
		{ "server error", raw_answer(500, "{}"), ERROR_UNKNOWN_OUTCOME,
		  ERROR_UNKNOWN_OUTCOME },
		{ "client error", raw_answer(400, "{}"), ERROR_PROTOCOL,
		  ERROR_PROTOCOL },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		RawServer server(c.answer);
		struct log_http log;
		struct log_chunk chunk;
		struct error err = ERROR_INIT;
		uint64_t offset;

		log_http_init(&log, server.url().c_str(), nullptr);
		EXPECT_EQ(-1, log.base.vt->append(&log.base, "x", 1, NS_PER_S,
						  &offset, &err));
		EXPECT_EQ(c.append, err.code);
		EXPECT_EQ(-1,
			  log.base.vt->read(&log.base, 0, 10, 0, &chunk, &err));
		EXPECT_EQ(c.read, err.code);
		log.base.vt->finish(&log.base);
	}
}

// Offsets and retention of one stream are none of another's.
TEST(LogHttp, StreamsStandApart)
{
	Standin standin("log");
	struct log_http ports[2];
	struct log_chunk chunk;
	uint64_t offset;

	log_http_init(&ports[0], standin.url().c_str(), nullptr);
	ASSERT_EQ(0, log_http_init_stream(&ports[1], standin.url().c_str(),
					  "side", nullptr));
	for (uint64_t i = 0; i < 6; i++) {
		struct log_port *port = &ports[i % 2].base;
		std::string data = std::to_string(i);

		ASSERT_EQ(0, port->vt->append(port, data.data(), 1, NS_PER_S,
					      &offset, nullptr));
		EXPECT_EQ(i / 2, offset);
	}
	http_post(standin.address(), "/standin/trim?stream=side",
		  "{\"first\": 2}");
	for (uint64_t i = 0; i < 2; i++) {
		struct log_port *port = &ports[i].base;

		EXPECT_EQ(i ? -1 : 0,
			  port->vt->read(port, 0, 10, 0, &chunk, nullptr));
		EXPECT_EQ(i ? 2u : 0u, chunk.first);
		log_chunk_finish(&chunk);
		ASSERT_EQ(0, port->vt->read(port, 2, 10, 0, &chunk, nullptr));
		ASSERT_EQ(1u, chunk.entry_count);
		EXPECT_EQ('4' + (char)i, chunk.entries[0].data[0]);
		log_chunk_finish(&chunk);
		port->vt->finish(port);
	}
}

TEST(LogHttp, RefusesALongStreamName)
{
	struct log_http port;
	struct error err = ERROR_INIT;

	EXPECT_EQ(-1, log_http_init_stream(&port, "http://127.0.0.1:1",
					   std::string(32, 's').c_str(), &err));
	EXPECT_EQ(ERROR_INVALID, err.code);
}
