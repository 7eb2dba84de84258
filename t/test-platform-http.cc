// HTTP calls to the platform and to engines, against a local test server: the
// requests that are sent and the outcome of each answer, malformed ones
// included.

#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/lib-listener.h"
#include "t/lib-raw-server.h"
#include "t/lib-reactor.h"

extern "C" {
#include "platform/duty_calls.h"
#include "platform/store.h"
}

namespace
{

const int64_t TIMEOUT_NS = 300 * NS_PER_MS;
// For tests of what is sent, which a server's thread has to read in time.
const int64_t CONTENT_TIMEOUT_NS = 4 * NS_PER_S;

std::string address_of(const RawServer &server)
{
	return server.url().substr(strlen("http://"));
}

std::string with_records(const std::string &records)
{
	std::string body("\0\0\0\0\0\0\0\x2a\0\0\0\0\0\0\0\x05", 16);

	return raw_answer(200, body + records);
}

template <class T> void mark_done(T *call)
{
	*(bool *)call->arg = true;
}

// A client of a store that sends a fixed answer.
class Store
{
      public:
	explicit Store(const std::string &answer) : server(answer)
	{
		start(address_of(server));
	}

	Store(const std::string &answer, const std::string &address)
	    : server(answer)
	{
		start(address);
	}

	~Store()
	{
		store_finish(&store);
		net_pool_finish(&pool_);
	}

	void append(struct topic_append *call)
	{
		struct strbuf records;

		strbuf_init(&records);
		topic_add_record(&records, "ab", 2);
		topic_add_record(&records, "c", 1);
		call->records = records.buf;
		call->records_len = records.len;
		call->timeout_ns = TIMEOUT_NS;
		call->done = mark_done<struct topic_append>;
		call->arg = &done_;
		store.base.vt->append(&store.base, call);
		wait();
		strbuf_finish(&records);
	}

	void read(struct topic_read *call)
	{
		strbuf_init(&call->records);
		call->timeout_ns = TIMEOUT_NS;
		call->done = mark_done<struct topic_read>;
		call->arg = &done_;
		store.base.vt->read(&store.base, call);
		wait();
	}

	void newest(struct topic_newest *call)
	{
		call->timeout_ns = TIMEOUT_NS;
		call->done = mark_done<struct topic_newest>;
		call->arg = &done_;
		store.base.vt->newest(&store.base, call);
		wait();
	}

	RawServer server;
	struct store store;

      private:
	void start(const std::string &address)
	{
		struct net_pool_settings settings = test_pool_settings();
		struct store_settings store_settings = {};

		snprintf(store_settings.address, sizeof(store_settings.address),
			 "%s", address.c_str());
		store_settings.partitions = 8;
		store_settings.max_record_bytes = 60000;
		store_settings.max_append_bytes = 900000;
		net_pool_init(&pool_, &loop_.reactor, &settings);
		store_init(&store, &loop_.reactor, &pool_, &store_settings);
	}

	void wait()
	{
		done_ = false;
		EXPECT_TRUE(loop_.run_until([&] { return done_; }));
	}

	TestReactor loop_;
	struct net_pool pool_;
	bool done_ = false;
};

struct AppendCase {
	const char *name;
	std::string answer;
	enum topic_outcome outcome;
	uint64_t offset;
	uint64_t end;
	uint64_t next_sequence;
};

// Answers that have the same outcome for every call to the store.
struct CommonCase {
	const char *name;
	std::string answer;
	enum topic_outcome outcome;
};

const CommonCase common_cases[] = {
	{ "busy", raw_answer(503, ""), TOPIC_REFUSED },
	{ "too many calls", raw_answer(429, "", "Retry-After: 1\r\n"),
	  TOPIC_REFUSED },
	{ "misdirected request", raw_answer(421, ""), TOPIC_REFUSED },
	{ "malformed request", raw_answer(400, "{}"), TOPIC_REFUSED },
	{ "full", raw_answer(507, ""), TOPIC_FULL },
	{ "internal error", raw_answer(500, ""), TOPIC_UNKNOWN },
	{ "no answer", "", TOPIC_UNKNOWN },
	{ "not HTTP", "good morning\r\n\r\n", TOPIC_UNKNOWN },
	{ "truncated in the head", "HTTP/1.1 200 O", TOPIC_UNKNOWN },
	{ "truncated in the body",
	  "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"offset\":1",
	  TOPIC_UNKNOWN },
	{ "conflicting lengths",
	  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n"
	  "\r\n{}",
	  TOPIC_UNKNOWN },
	{ "body of another type", raw_answer(200, "[1,2"), TOPIC_UNKNOWN },
};

} // namespace

TEST(PlatformStore, AppendsSayWhereAndByWhom)
{
	Store store(raw_answer(200, "{\"offset\":840,\"end\":842}"));
	struct topic_append append = {};
	std::string request;

	snprintf(append.topic, sizeof(append.topic), "wo rk&x");
	snprintf(append.writer, sizeof(append.writer), "w/1");
	append.partition = 3;
	append.epoch = 7;
	append.sequence = 12;
	append.expected_end = 839;
	store.append(&append);
	EXPECT_EQ(TOPIC_OK, append.outcome);
	EXPECT_EQ(840u, append.offset);
	EXPECT_EQ(842u, append.end);
	ASSERT_EQ(1u, store.server.requests().size());
	request = store.server.requests()[0];
	EXPECT_EQ(0u, request.find("POST /v1/log-append?topic=wo%20rk%26x"
				   "&part=3&at=839&producer=w%2F1&epoch=7"
				   "&seq=12 HTTP/1.1\r\n"))
		<< request;
	EXPECT_NE(std::string::npos, request.find("\r\nContent-Length: 11\r\n"))
		<< request;
	EXPECT_EQ(std::string("\0\0\0\x02"
			      "ab\0\0\0\x01"
			      "c",
			      11),
		  request.substr(request.size() - 11));
}

TEST(PlatformStore, AnAppendIsJudgedByItsAnswer)
{
	const AppendCase cases[] = {
		{ "done", raw_answer(200, "{\"offset\":5,\"end\":7}"), TOPIC_OK,
		  5, 7, 0 },
		{ "new fields",
		  raw_answer(200, "{\"a\":[],\"offset\":5,\"end\":7}"),
		  TOPIC_OK, 5, 7, 0 },
		{ "no offset", raw_answer(200, "{\"end\":7}"), TOPIC_UNKNOWN, 0,
		  0, 0 },
		{ "an offset of another type",
		  raw_answer(200, "{\"offset\":\"5\",\"end\":7}"),
		  TOPIC_UNKNOWN, 0, 0, 0 },
		{ "another end offset", raw_answer(412, "{\"end\":9}"),
		  TOPIC_CONFLICT, 0, 9, 0 },
		{ "out of sequence",
		  raw_answer(409, "{\"why\":\"seq\",\"seq\":31}"),
		  TOPIC_BAD_SEQUENCE, 0, 0, 31 },
		{ "a higher epoch",
		  raw_answer(409, "{\"why\":\"epoch\",\"epoch\":4}"),
		  TOPIC_FENCED, 0, 0, 0 },
	};

	for (const AppendCase &c : cases) {
		SCOPED_TRACE(c.name);
		Store store(c.answer);
		struct topic_append append = {};

		append.expected_end = -1;
		store.append(&append);
		EXPECT_EQ(c.outcome, append.outcome);
		EXPECT_EQ(c.offset, append.offset);
		EXPECT_EQ(c.end, append.end);
		EXPECT_EQ(c.next_sequence, append.next_sequence);
	}
	for (const CommonCase &c : common_cases) {
		SCOPED_TRACE(c.name);
		Store store(c.answer);
		struct topic_append append = {};

		append.expected_end = -1;
		store.append(&append);
		EXPECT_EQ(c.outcome, append.outcome);
	}
}

TEST(PlatformStore, AReadIsJudgedByItsAnswer)
{
	const std::string two("\0\0\0\x02"
			      "ab\0\0\0\x01"
			      "c",
			      11);
	const struct {
		const char *name;
		std::string answer;
		enum topic_outcome outcome;
		uint64_t first;
		uint64_t end;
		std::vector<std::string> records;
	} cases[] = {
		{ "two", with_records(two), TOPIC_OK, 5, 42, { "ab", "c" } },
		{ "none", with_records(""), TOPIC_OK, 5, 42, {} },
		{ "the last one cut short",
		  with_records(two.substr(0, 10)),
		  TOPIC_OK,
		  5,
		  42,
		  { "ab" } },
		{ "a length beyond the end",
		  with_records(std::string("\xff\xff\xff\xff", 4) + "ab"),
		  TOPIC_OK,
		  5,
		  42,
		  {} },
		{ "forgotten",
		  raw_answer(410, "{\"first\":31}"),
		  TOPIC_FORGOTTEN,
		  31,
		  0,
		  {} },
		{ "shorter than its header",
		  raw_answer(200, "1234567890"),
		  TOPIC_UNKNOWN,
		  0,
		  0,
		  {} },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Store store(c.answer);
		struct topic_read read = {};
		std::vector<std::string> records;
		const uint8_t *data;
		size_t at = 0, len;

		snprintf(read.topic, sizeof(read.topic), "work");
		read.partition = 3;
		read.from = 40;
		read.max_bytes = 64 * 1024;
		read.wait_ns = 20 * NS_PER_MS;
		store.read(&read);
		EXPECT_EQ(0u, store.server.requests()[0].find(
				      "GET /v1/log-read?topic=work&part=3"
				      "&from=40&max_kb=64&wait_ms=20 "));
		EXPECT_EQ(c.outcome, read.outcome);
		EXPECT_EQ(c.first, read.first);
		EXPECT_EQ(c.end, read.end);
		while (topic_next_record(&read.records, &at, &data, &len))
			records.emplace_back((const char *)data, len);
		EXPECT_EQ(c.records, records);
		strbuf_finish(&read.records);
	}
	for (const CommonCase &c : common_cases) {
		SCOPED_TRACE(c.name);
		Store store(c.answer);
		struct topic_read read = {};

		store.read(&read);
		EXPECT_EQ(c.outcome, read.outcome);
		strbuf_finish(&read.records);
	}
}

TEST(PlatformStore, APageIsJudgedByItsAnswer)
{
	const struct {
		const char *name;
		std::string body;
		enum topic_outcome outcome;
		std::string listed;
		int has_more;
		std::string after = "k 1"; // of the next page
	} cases[] = {
		{ "one page",
		  "{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"offset\":4},"
		  "{\"key\":\"b\",\"value\":\"\",\"offset\":6}],"
		  "\"has_more\":false,\"end\":9}",
		  TOPIC_OK, "a=x@4 b=@6 ", 0, "b" },
		{ "a key that holds a NUL",
		  "{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"offset\":4},"
		  "{\"key\":\"a\\u0000b\",\"value\":\"\",\"offset\":6}],"
		  "\"has_more\":true,\"end\":9}",
		  TOPIC_OK, "a=x@4 ", 1, std::string("a\0b", 3) },
		{ "one of many",
		  "{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"offset\":4}]"
		  ",\"has_more\":true,\"end\":9}",
		  TOPIC_OK, "a=x@4 ", 1, "a" },
		{ "an empty page with has_more",
		  "{\"items\":[],\"has_more\":true,\"end\":9}", TOPIC_OK, "",
		  0 },
		{ "malformed base64",
		  "{\"items\":[{\"key\":\"a\",\"value\":\"e=\",\"offset\":4}],"
		  "\"end\":9}",
		  TOPIC_UNKNOWN, "", 0 },
		{ "no key", "{\"items\":[{\"value\":\"eA==\"}],\"end\":9}",
		  TOPIC_UNKNOWN, "", 0 },
		{ "no items", "{\"end\":9}", TOPIC_UNKNOWN, "", 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Store store(raw_answer(200, c.body));
		static std::string listed;
		struct topic_newest newest = {};

		listed.clear();
		strbuf_init(&newest.after);
		strbuf_addstr(&newest.after, "k 1");
		newest.each = [](struct topic_newest *, const char *key,
				 const void *value, size_t len,
				 uint64_t offset) {
			listed += std::string(key) + "=" +
				  std::string((const char *)value, len) + "@" +
				  std::to_string(offset) + " ";
		};
		snprintf(newest.topic, sizeof(newest.topic), "keyed.x");
		store.newest(&newest);
		EXPECT_EQ(0u, store.server.requests()[0].find(
				      "GET /v1/log-newest?topic=keyed.x&part=0"
				      "&after=k%201 "));
		EXPECT_EQ(c.outcome, newest.outcome);
		EXPECT_EQ(c.listed, listed);
		EXPECT_EQ(c.has_more, newest.has_more);
		EXPECT_EQ(c.after,
			  std::string(newest.after.buf, newest.after.len));
		strbuf_finish(&newest.after);
	}
}

// The store accepts connections but never answers: the call times out, and its
// connection is closed.
TEST(PlatformStore, SilenceEndsACallAndTheConnection)
{
	int port;
	int listener = listen_on_loopback(16, &port);
	Store store("", "127.0.0.1:" + std::to_string(port));
	struct topic_append append = {};
	int first, second;
	char byte;

	append.expected_end = -1;
	store.append(&append);
	EXPECT_EQ(TOPIC_UNKNOWN, append.outcome);
	store.append(&append);
	EXPECT_EQ(TOPIC_UNKNOWN, append.outcome);
	first = accept(listener, nullptr, nullptr);
	second = accept(listener, nullptr, nullptr);
	ASSERT_GE(first, 0);
	ASSERT_GE(second, 0);
	while (recv(first, &byte, 1, 0) > 0)
		;
	close(first);
	close(second);
	close(listener);
}

TEST(PlatformStore, NobodyThereMeansNotDone)
{
	int port;
	int listener = listen_on_loopback(16, &port);

	close(listener);
	Store store("", "127.0.0.1:" + std::to_string(port));
	struct topic_append append = {};

	append.expected_end = -1;
	store.append(&append);
	EXPECT_EQ(TOPIC_REFUSED, append.outcome);
}

namespace
{

enum class CallKind { USAGE, SERVERS, WEIGHTS, REPORT };

// Sends one duty call to a server that sends a fixed answer.
class Duty
{
      public:
	explicit Duty(const std::string &answer) : server_(answer)
	{
		struct net_pool_settings settings = test_pool_settings();

		net_pool_init(&pool_, &loop_.reactor, &settings);
		duty_calls_init(&calls_, &loop_.reactor, &pool_, &pool_,
				address_of(server_).c_str());
	}

	~Duty()
	{
		net_pool_finish(&pool_);
	}

	enum duty_outcome call(CallKind what)
	{
		const struct duty_port_vtable *vt = calls_.base.vt;
		std::string address = address_of(server_);
		struct team_count counts[2] = { { "a", 412 }, { "b", 7 } };
		struct usage_report usage = {};
		struct server_number servers = {};
		struct weight_order weights = {};

		switch (what) {
		case CallKind::USAGE:
			usage.window = 353445120;
			usage.counts = counts;
			usage.count = 2;
			prepare(&usage.call);
			vt->report_usage(&calls_.base, &usage);
			return finish(&usage.call);
		case CallKind::SERVERS:
			servers.service = "s";
			servers.data_centre = "dc";
			servers.cheap = 1;
			servers.count = 6;
			prepare(&servers.call);
			vt->order_servers(&calls_.base, &servers);
			return finish(&servers.call);
		case CallKind::WEIGHTS:
			weights.server_id = "i-1";
			weights.address = address.c_str();
			weights.model = "m";
			weights.version = 2;
			weights.mode = LOAD_AFTER_RUNS;
			weights.expected_orders = 3;
			prepare(&weights.call);
			vt->order_weights(&calls_.base, &weights);
			return finish(&weights.call);
		case CallKind::REPORT:
			break;
		}
		report = {};
		report.server_id = "i-1";
		report.address = address.c_str();
		report.model = "m";
		prepare(&report.call);
		vt->ask_engine(&calls_.base, &report);
		return finish(&report.call);
	}

	std::string request()
	{
		return server_.requests().at(0);
	}

	std::vector<std::string> requests()
	{
		return server_.requests();
	}

	int64_t timeout_ns = TIMEOUT_NS;
	struct engine_report report;
	int server_leaves = 0; // according to the last answer

      private:
	void prepare(struct duty_call *call)
	{
		call->holder = "h1";
		call->fence = 12;
		call->timeout_ns = timeout_ns;
		call->done = mark_done<struct duty_call>;
		call->arg = &done_;
	}

	enum duty_outcome finish(struct duty_call *call)
	{
		EXPECT_TRUE(loop_.run_until([&] { return done_; }));
		EXPECT_EQ(nullptr, call->running);
		server_leaves = call->server_leaves;
		return call->outcome;
	}

	TestReactor loop_;
	RawServer server_;
	struct net_pool pool_;
	struct duty_calls calls_;
	bool done_ = false;
};

bool ends_with(const std::string &text, const std::string &end)
{
	return text.size() >= end.size() &&
	       text.compare(text.size() - end.size(), end.size(), end) == 0;
}

} // namespace

TEST(PlatformDuties, CallsSayWhatIsAskedAndByWhom)
{
	const struct {
		CallKind what;
		const char *line;
		const char *field;
		const char *body;
	} cases[] = {
		{ CallKind::USAGE, "POST /usage HTTP/1.1\r\n",
		  "\r\nX-Fence-Token: 12\r\n",
		  "{\"window_id\":353445120,\"counts\":{\"a\":412,\"b\":7}}" },
		{ CallKind::SERVERS, "POST /scale HTTP/1.1\r\n",
		  "\r\nX-Holder: h1\r\n",
		  "{\"service\":\"s\",\"zone\":\"dc\",\"target_groups\":6,"
		  "\"spot\":true}" },
		{ CallKind::WEIGHTS, "POST /v1/order HTTP/1.1\r\n",
		  "\r\nX-Expect-Instance: i-1\r\n",
		  "{\"op\":\"version\",\"model\":\"m\",\"version\":2,"
		  "\"mode\":\"await\",\"holder\":\"h1\",\"fence\":12,"
		  "\"expect\":3}" },
		{ CallKind::REPORT, "GET /v1/report HTTP/1.1\r\n",
		  "\r\nX-Expect-Instance: i-1\r\n", "\r\n\r\n" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.line);
		Duty duty(raw_answer(200, "{}"));

		/* A busy machine may run the server's thread late. */
		duty.timeout_ns = CONTENT_TIMEOUT_NS;
		duty.call(c.what);
		ASSERT_FALSE(duty.requests().empty());
		EXPECT_EQ(0u, duty.request().find(c.line));
		EXPECT_NE(std::string::npos, duty.request().find(c.field));
		EXPECT_TRUE(ends_with(duty.request(), c.body))
			<< duty.request();
	}
}

TEST(PlatformDuties, AnAnswerIsJudgedByWhatWasAsked)
{
	struct Case {
		const char *name;
		std::string answer;
		enum duty_outcome usage, servers, weights, report;
	};
	const Case cases[] = {
		{ "done", raw_answer(200, "{}"), DUTY_DONE, DUTY_DONE,
		  DUTY_HOLDS, DUTY_DONE },
		{ "begun", raw_answer(202, ""), DUTY_DONE, DUTY_DONE, DUTY_DONE,
		  DUTY_REFUSED },
		{ "a higher fencing token", raw_answer(409, "{\"fence\":13}"),
		  DUTY_FENCED, DUTY_FENCED, DUTY_CONFLICT, DUTY_REFUSED },
		{ "no servers available", raw_answer(409, "{\"max\":4}"),
		  DUTY_FENCED, DUTY_CONFLICT, DUTY_CONFLICT, DUTY_REFUSED },
		{ "a higher fencing token at an engine", raw_answer(412, "{}"),
		  DUTY_INVALID, DUTY_INVALID, DUTY_FENCED, DUTY_REFUSED },
		{ "rate limited", raw_answer(429, ""), DUTY_REFUSED,
		  DUTY_REFUSED, DUTY_REFUSED, DUTY_REFUSED },
		{ "busy", raw_answer(503, ""), DUTY_REFUSED, DUTY_REFUSED,
		  DUTY_REFUSED, DUTY_REFUSED },
		{ "another engine", raw_answer(421, ""), DUTY_INVALID,
		  DUTY_INVALID, DUTY_INVALID, DUTY_REFUSED },
		{ "not found", raw_answer(404, ""), DUTY_INVALID, DUTY_INVALID,
		  DUTY_INVALID, DUTY_REFUSED },
		{ "internal error", raw_answer(500, ""), DUTY_UNKNOWN,
		  DUTY_UNKNOWN, DUTY_UNKNOWN, DUTY_REFUSED },
		{ "no answer", "", DUTY_UNKNOWN, DUTY_UNKNOWN, DUTY_UNKNOWN,
		  DUTY_UNKNOWN },
		{ "not HTTP", "hello\r\n\r\n", DUTY_UNKNOWN, DUTY_UNKNOWN,
		  DUTY_UNKNOWN, DUTY_UNKNOWN },
		{ "cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
		  DUTY_UNKNOWN, DUTY_UNKNOWN, DUTY_UNKNOWN, DUTY_UNKNOWN },
		{ "longer than the limit",
		  raw_answer(200, std::string(300000, ' ')), DUTY_UNKNOWN,
		  DUTY_UNKNOWN, DUTY_UNKNOWN, DUTY_UNKNOWN },
		{ "body of another type", raw_answer(200, "[1]"), DUTY_DONE,
		  DUTY_DONE, DUTY_HOLDS, DUTY_REFUSED },
	};

	for (const Case &c : cases) {
		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.usage, Duty(c.answer).call(CallKind::USAGE));
		EXPECT_EQ(c.servers, Duty(c.answer).call(CallKind::SERVERS));
		EXPECT_EQ(c.weights, Duty(c.answer).call(CallKind::WEIGHTS));
		EXPECT_EQ(c.report, Duty(c.answer).call(CallKind::REPORT));
	}
}

TEST(PlatformDuties, ReportsOfEnginesAreDecoded)
{
	Duty duty(raw_answer(
		200,
		"{\"stage\":\"both\",\"models\":[{\"name\":\"l\",\"version\":9},"
		"{\"name\":\"m\",\"version\":4}],\"busy\":true,\"seq\":2,"
		"\"waiting\":1,\"running\":12,\"kv_used\":41000}"));

	EXPECT_EQ(DUTY_DONE, duty.call(CallKind::REPORT));
	EXPECT_TRUE(duty.report.is_busy);
	EXPECT_EQ(2u, duty.report.orders);
	EXPECT_EQ(1u, duty.report.waiting);
	EXPECT_EQ(12u, duty.report.running);
	EXPECT_EQ(41000u, duty.report.memory_used);
	EXPECT_EQ(4u, duty.report.version);
}

TEST(PlatformDuties, AnyAnswerOfAnEngineMaySayThatItLeaves)
{
	const struct {
		const char *field;
		int status, leaves;
	} cases[] = {
		{ "Server-Leaving: 1\r\n", 200, 1 },
		{ "Server-Leaving: 1\r\n", 409, 1 },
		{ "Server-Leaving: 0\r\n", 200, 0 },
		{ "", 200, 0 },
	};

	for (const auto &c : cases)
		for (CallKind what : { CallKind::WEIGHTS, CallKind::REPORT }) {
			Duty duty(raw_answer(c.status, "{}", c.field));

			duty.call(what);
			EXPECT_EQ(c.leaves, duty.server_leaves)
				<< c.field << c.status;
		}
}
