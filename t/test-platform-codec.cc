// Decoding and encoding of the platform's messages: tables of inputs that are
// accepted or rejected, and random changes of valid ones.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/rng.h"
#include "batch/batch_draft.h"
#include "entry/entry_config.h"
#include "net/http_reader.h"
#include "platform/base64.h"
#include "platform/batch_codec.h"
#include "platform/calls.h"
#include "platform/config_decode.h"
#include "platform/messages.h"
#include "platform/server_decode.h"
#include "platform/settings_decode.h"
}

namespace
{

const char settings_text[] = R"({
  "node": "front-a-1", "zone": "a", "region": "r", "first_start": true,
  "new_field": {"x": 1},
  "listen": {"front": "10.1.0.7:8405", "ready": "10.1.0.7:8406",
    "directory": "10.1.0.7:8404"},
  "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 280,
    "max_fds": 8200},
  "bounds": {"grace_s": 8, "lease_ms": 3000, "report_window_s": 5,
    "usage_late_s": 10, "ttl_max_s": 5, "status_s": 120},
  "platform": {"addr": "10.200.1.7:8408", "parts": 12,
    "record_bytes": 262144, "call_bytes": 2097152},
  "cloud": {"addr": "10.200.0.60:8408", "duties": ["metering"]}
})";

std::string replaced(const std::string &from, const std::string &to)
{
	std::string text = settings_text;
	size_t at = text.find(from);

	EXPECT_NE(std::string::npos, at) << from;
	return text.replace(at, from.size(), to);
}

struct SettingsCase {
	const char *name;
	std::string text;
	const char *error; // a substring of the text
};

} // namespace

TEST(PlatformSettings, AreReadWhole)
{
	struct entry_settings s;
	struct error err = ERROR_INIT;

	ASSERT_EQ(0, platform_settings_decode(settings_text,
					      strlen(settings_text), &s, &err))
		<< err.text;
	EXPECT_STREQ("front-a-1", s.name);
	EXPECT_STREQ("a", s.data_centre);
	EXPECT_STREQ("10.1.0.7:8404", s.addresses);
	EXPECT_STREQ("", s.metrics);
	EXPECT_EQ(1, s.first_start);
	EXPECT_EQ(12u, s.store_partitions);
	EXPECT_EQ(UINT64_C(280) * 1024 * 1024, s.memory_bytes);
	EXPECT_DOUBLE_EQ(0.5, s.cpu_share);
	EXPECT_EQ(8000u, s.grace_ms);
	EXPECT_EQ(5000u, s.address_ttl_max_ms);
	EXPECT_EQ(120000u, s.results_keep_ms);
	EXPECT_EQ(3000u, s.lease_ms);
	EXPECT_EQ(1, s.reports_usage);
	EXPECT_EQ(0, s.orders_servers);
	EXPECT_EQ(4000u, s.ack_ms) << "left out";
}

// The platform's documentation does not define these fields and allows them to
// be empty.
TEST(PlatformSettings, KeysExpireOnlyWhereThePlatformSaysSo)
{
	const struct {
		const char *fields;
		uint32_t expiry_ms;
	} cases[] = {
		{ "", 0 },
		{ "\"revoke_ms\": 5000, ", 0 },
		{ "\"fail_closed\": false, \"revoke_ms\": 5000, ", 0 },
		{ "\"fail_closed\": null, ", 0 },
		{ "\"fail_closed\": \"\", \"revoke_ms\": \"\", ", 0 },
		{ "\"fail_closed\": true, \"revoke_ms\": 3000, ", 3000 },
		{ "\"fail_closed\": true, ", 5000 },
		{ "\"fail_closed\": true, \"revoke_ms\": null, ", 5000 },
	};

	for (const auto &c : cases) {
		std::string text =
			replaced("\"bounds\": {",
				 std::string("\"bounds\": {") + c.fields);
		struct entry_settings s;
		struct error err = ERROR_INIT;

		ASSERT_EQ(0, platform_settings_decode(text.c_str(), text.size(),
						      &s, &err))
			<< err.text;
		EXPECT_EQ(c.expiry_ms, s.key_expiry_ms) << c.fields;
	}
}

TEST(PlatformSettings, AreRefusedWithTheFieldThatIsWrong)
{
	const SettingsCase cases[] = {
		{ "no JSON", "{", "line" },
		{ "no object", "[]", "not a JSON object" },
		{ "no name", replaced("\"node\": \"front-a-1\", ", ""),
		  "'node' is missing" },
		{ "empty name", replaced("\"front-a-1\"", "\"\""), "'node'" },
		{ "address without a port",
		  replaced("10.1.0.7:8405", "10.1.0.7"), "'listen.front'" },
		{ "string for a number",
		  replaced("\"parts\": 12", "\"parts\": \"12\""),
		  "'platform.parts' is invalid; expected a whole number" },
		{ "negative", replaced("280", "-1"), "'limits.memory_mb'" },
		{ "no partitions", replaced("\"parts\": 12", "\"parts\": 0"),
		  "'platform'" },
		{ "no window",
		  replaced("\"report_window_s\": 5", "\"report_window_s\": 0"),
		  "report_window_s" },
		{ "no flag", replaced("true", "7"), "'first_start'" },
	};

	for (const SettingsCase &c : cases) {
		SCOPED_TRACE(c.name);
		struct entry_settings s;
		struct error err = ERROR_INIT;

		EXPECT_EQ(-1, platform_settings_decode(
				      c.text.data(), c.text.size(), &s, &err));
		EXPECT_NE(std::string::npos,
			  std::string(err.text).find(c.error))
			<< err.text;
	}
}

namespace
{

const char config_text[] = R"({"version":7,"routes":[
 {"name":"r1","host":"Ficu95.example","path_prefix":"/l/","type":"idempotent",
  "timeout_ms":800,"goal_ms":150,"priority":2,"max_attempts":2,
  "split":[{"service":"a","weight":90},{"service":"b","weight":10}]},
 {"name":"r2","host":"ficu95.example","path_prefix":"/l/deep/",
  "type":"non_idempotent","service":"a","public":true},
 {"name":"r3","host":"ficu95.example","path_prefix":"/s/","type":"stream",
  "service":"e","resumable":true,"sticky":true},
 {"name":"r4","host":"ficu95.example","path_prefix":"/t/","type":"stream",
  "service":"e"},
 {"name":"r5","host":"ficu95.example","path_prefix":"/b/","type":"rollout",
  "service":"e","retention_s":40.5,"due_ms":7500,"single_version":true},
 {"name":"r6","host":"other.example","path_prefix":"/","type":"keyed",
  "service":"a"}],
 "services":[{"name":"e","max_conns":150,"engine":{"slots":12,
  "kv_capacity":31960,"stride":43,"models":[{"name":"m0"},{"name":"m1"}]},
  "scaling":{"min":1,"max":6,"boot_s":4.5,"spot_price":0.18,
  "zone_prices":{"x":1.0,"y":0.8}}},{"name":"a","max_conns":100}],
 "limits":{"max_header_bytes":1000,"max_body_bytes":2000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},
  {"name":"t2","api_keys":["k3"]}]})";

struct entry_config *decode(const std::string &text, struct error *err)
{
	return platform_config_decode(text.data(), text.size(), err);
}

struct RouteCase {
	const char *host;
	const char *target;
	const char *route; // NULL: none
};

} // namespace

TEST(PlatformConfig, IsDecodedIntoRoutesTeamsAndServices)
{
	struct error err = ERROR_INIT;
	struct entry_config *config = decode(config_text, &err);
	const struct entry_service *engines;

	ASSERT_NE(nullptr, config) << err.text;
	EXPECT_EQ(7u, config->version);
	ASSERT_EQ(6u, config->route_count);
	EXPECT_EQ(REQUEST_IDEMPOTENT, config->routes[0].kind);
	EXPECT_EQ(2u, config->routes[0].target_count);
	EXPECT_EQ(REQUEST_ONCE, config->routes[1].kind);
	EXPECT_EQ(1, config->routes[1].is_public);
	EXPECT_EQ(REQUEST_RESUMABLE, config->routes[2].kind);
	EXPECT_EQ(REQUEST_STREAM, config->routes[3].kind);
	EXPECT_EQ(REQUEST_BATCH, config->routes[4].kind);
	EXPECT_EQ(40500u, config->routes[4].retention_ms);
	EXPECT_EQ(1, config->routes[4].single_version);
	EXPECT_EQ(REQUEST_ONCE, config->routes[5].kind) << "not known";
	engines = entry_config_service(config, "e");
	ASSERT_NE(nullptr, engines);
	EXPECT_EQ(1, engines->is_engine);
	EXPECT_EQ(2u, engines->model_count);
	EXPECT_EQ(43u, engines->tokens_per_event);
	EXPECT_EQ(1, engines->scaling.allowed);
	EXPECT_EQ(4500u, engines->scaling.boot_ms);
	EXPECT_EQ(2u, engines->scaling.data_centre_count);
	EXPECT_EQ(0, entry_config_service(config, "a")->scaling.allowed);
	EXPECT_STREQ("t1", entry_config_team(config, "k2")->name);
	EXPECT_STREQ("t2", entry_config_team(config, "k3")->name);
	EXPECT_EQ(nullptr, entry_config_team(config, "k4"));
	EXPECT_EQ(1000u, config->limits.max_head_bytes);
	entry_config_unref(config);
}

TEST(PlatformConfig, TheLongestPrefixOfTheHostDecides)
{
	const RouteCase cases[] = {
		{ "ficu95.example", "/l/2f", "r1" },
		{ "FICU95.example:80", "/l/2f?x=/l/deep/", "r1" },
		{ "ficu95.example", "/l/", "r1" },
		{ "ficu95.example", "/l", nullptr },
		{ "ficu95.example", "/l/deep/er/2", "r2" },
		{ "ficu95.example", "/l/deep", "r1" },
		{ "ficu95.example", "/x/", nullptr },
		{ "ficu95.example", "/", nullptr },
		{ "other.example", "/anything", "r6" },
		{ "none.example", "/l/2f", nullptr },
		{ "", "/l/2f", nullptr },
	};
	struct error err = ERROR_INIT;
	struct entry_config *config = decode(config_text, &err);

	ASSERT_NE(nullptr, config) << err.text;
	for (const RouteCase &c : cases) {
		SCOPED_TRACE(std::string(c.host) + c.target);
		const struct entry_route *route =
			entry_config_route(config, c.host, c.target);

		if (c.route)
			EXPECT_STREQ(c.route, route ? route->name : "none");
		else
			EXPECT_EQ(nullptr, route);
	}
	EXPECT_STREQ("a", entry_route_service(&config->routes[0], 0.5));
	EXPECT_STREQ("b", entry_route_service(&config->routes[0], 0.95));
	entry_config_unref(config);
}

TEST(PlatformConfig, IsRefusedWholeIfAPartCannotBeRead)
{
	const std::vector<std::string> malformed = {
		"",
		"[]",
		"{}",
		R"({"version":"7"})",
		R"({"version":7,"routes":[{"name":"r"}]})",
		R"({"version":7,"routes":[{"name":"r","host":"h",)"
		R"("path_prefix":"/","split":[]}]})",
		R"({"version":7,"services":[{}]})",
	};

	for (const std::string &text : malformed) {
		SCOPED_TRACE(text);
		struct error err = ERROR_INIT;

		EXPECT_EQ(nullptr, decode(text, &err));
		EXPECT_NE('\0', err.text[0]);
	}
}

namespace
{

const char server_text[] = R"({"service":"s","addr":"10.128.0.9:8080",
 "zone":"a","version":"v1","slots":12,"state":"ready","cold_left_ms":0,
 "stage":"both","models":[{"name":"m","version":3,"adapters":[]}],"seq":4,
 "born":1769344716005})";

struct ServerCase {
	const char *name;
	std::string from, to;
	bool valid;
};

} // namespace

// Other writers may store anything under a server's key.
TEST(PlatformServer, IsReadOnlyIfItNamesAServerToUse)
{
	const ServerCase cases[] = {
		{ "as it is", "", "", true },
		{ "leaving", "\"ready\"", "\"draining\"", true },
		{ "unknown state", "\"ready\"", "\"resting\"", false },
		{ "no state", "\"state\":\"ready\",", "", false },
		{ "no service", "\"service\":\"s\",", "", false },
		{ "service is a number", "\"s\"", "1", false },
		{ "no address", "\"addr\":\"10.128.0.9:8080\",", "", false },
		{ "address without a port", ":8080", "", false },
		{ "address is a name", "10.128.0.9", "host", false },
		{ "port 0", ":8080", ":0", false },
		{ "slots are a string", "12", "\"12\"", false },
		{ "no slots", "\"slots\":12,", "", false },
		{ "negative slots", "12", "-1", false },
		{ "count is a string", "\"seq\":4", "\"seq\":\"4\"", false },
		{ "models are a string",
		  R"([{"name":"m","version":3,"adapters":[]}])", "\"m\"",
		  false },
		{ "a model without a version", "\"version\":3,", "", false },
		{ "cut", "\"born\":1769344716005}", "", false },
		{ "no start time", ",\n \"born\":1769344716005", "", true },
	};

	for (const ServerCase &c : cases) {
		SCOPED_TRACE(c.name);
		std::string text = server_text;
		struct error err = ERROR_INIT;
		struct server_entry entry;
		size_t at = text.find(c.from);

		if (at != std::string::npos)
			text.replace(at, c.from.size(), c.to);
		EXPECT_EQ(c.valid ? 0 : -1,
			  platform_server_decode("i-1", text.data(),
						 text.size(), &entry, &err));
		if (!c.valid) {
			EXPECT_NE('\0', err.text[0]);
			continue;
		}
		EXPECT_EQ(3u, server_entry_version(&entry, "m"));
		EXPECT_EQ(0u, server_entry_version(&entry, "n"));
		server_entry_finish(&entry);
	}
}

// A report that differs only in its count is not decoded again.
TEST(PlatformServer, TheCountAloneDoesNotChangeTheHash)
{
	const struct {
		const char *from, *to;
		bool same;
	} cases[] = {
		{ "\"seq\":4", "\"seq\":5", true },
		{ "\"seq\":4", "\"seq\": 4000000", true },
		{ "\"seq\":4", "\"seq\":-4", false },
		{ "\"seq\":4", "\"seq\":4.5", false },
		{ "\"ready\"", "\"draining\"", false },
		{ "\"version\":3", "\"version\":4", false },
		{ "\"cold_left_ms\":0", "\"cold_left_ms\":9", false },
		{ "1769344716005", "1769344716006", false },
		{ "\"slots\":12", "\"slots\":13", false },
	};
	std::string text = server_text;
	uint64_t hash = platform_server_hash(text.data(), text.size());

	EXPECT_NE(0u, hash);
	for (const auto &c : cases) {
		SCOPED_TRACE(c.to);
		std::string other = text;

		other.replace(other.find(c.from), strlen(c.from), c.to);
		EXPECT_EQ(c.same, hash == platform_server_hash(other.data(),
							       other.size()));
	}
	EXPECT_EQ(0u, platform_server_hash("{}", 2));
	EXPECT_EQ(0u, platform_server_hash("", 0));
}

namespace
{

struct ReadHead {
	struct http_reader reader;
};

int keep_head(struct http_reader *)
{
	return 0;
}

int keep_body(struct http_reader *, const char *, size_t)
{
	return 0;
}

const struct http_reader_vtable head_vtable = { keep_head, keep_body };

// The head of an HTTP message, parsed from its text.
class Head
{
      public:
	explicit Head(const std::string &text, bool is_response = false)
	{
		size_t used;

		http_reader_init(&reader_, &head_vtable, is_response, 65536);
		http_reader_feed(&reader_, text.data(), text.size(), &used);
	}

	~Head()
	{
		http_reader_finish(&reader_);
	}

	const struct http_head *get() const
	{
		return &reader_.head;
	}

      private:
	struct http_reader reader_;
};

struct RequestCase {
	const char *name;
	const char *fields;
	int result;
};

} // namespace

TEST(PlatformMessages, RequestsAreReadFromTheirFields)
{
	Head head("POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c41\r\n"
		  "X-Deadline-Ms: 800\r\nApi-Key: secret\r\nX-Model: m\r\n"
		  "X-Token-Count: 540,400\r\n"
		  "X-Prompt-Prefix: 9c2e41:300,5d07b8:240\r\n"
		  "X-Length-Hint: 120\r\nLast-Event-Id: 7\r\n\r\n");
	struct caller_request r;

	ASSERT_EQ(0, platform_read_request(head.get(), &r));
	EXPECT_STREQ("9c41", r.id);
	EXPECT_STREQ("secret", r.secret);
	EXPECT_EQ(800, r.time_left_ms);
	EXPECT_EQ(540u, r.prompt_tokens);
	EXPECT_EQ(400u, r.max_output_tokens);
	EXPECT_EQ(120u, r.length_hint);
	EXPECT_EQ(7, r.last_event_id);
	ASSERT_EQ(2u, r.part_count);
	EXPECT_EQ(UINT64_C(0x9c2e41), r.parts[0].id);
	EXPECT_EQ(240u, r.parts[1].tokens);
}

TEST(PlatformMessages, MalformedFieldsAreRefused)
{
	const RequestCase cases[] = {
		{ "no fields", "", 0 },
		{ "time is not a number", "X-Deadline-Ms: soon\r\n", -1 },
		{ "time is negative", "X-Deadline-Ms: -1\r\n", -1 },
		{ "time is huge", "X-Deadline-Ms: 99999999999999999999\r\n",
		  0 },
		{ "two ids", "X-Attempt-Id: a\r\nX-Attempt-Id: b\r\n", -1 },
		{ "two keys", "Api-Key: a\r\nApi-Key: b\r\n", -1 },
		{ "two hosts", "Host: a\r\nHost: b\r\n", -1 },
		{ "incomplete token count", "X-Token-Count: 540\r\n", -1 },
		{ "malformed prefix", "X-Prompt-Prefix: zz,1\r\n", 0 },
	};

	for (const RequestCase &c : cases) {
		SCOPED_TRACE(c.name);
		Head head(std::string("GET /x HTTP/1.1\r\n") + c.fields +
			  "\r\n");
		struct caller_request r;

		EXPECT_EQ(c.result, platform_read_request(head.get(), &r));
	}
}

TEST(PlatformMessages, PassedOnRequestsCarryNeitherKeyNorOwnClaims)
{
	Head head("POST /x?y=%20z HTTP/1.1\r\nHost: h\r\nApi-Key: secret\r\n"
		  "X-Tenant: forged\r\nX-Expect-Instance: forged\r\n"
		  "X-Deadline-Ms: 99999\r\nX-Other: kept\r\n"
		  "X-Request-Priority: 0\r\nConnection: X-Gone, close\r\n"
		  "X-Gone: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	struct server_request request = {};
	struct strbuf out;

	request.time_left_ms = 700;
	request.server_id = "i-1";
	request.team = "t1";
	request.priority = -1;
	request.last_event_id = -1;
	strbuf_init(&out);
	platform_write_request(&out, head.get(), &request, 3);
	EXPECT_STREQ("POST /x?y=%20z HTTP/1.1\r\nHost: h\r\nX-Other: kept\r\n"
		     "X-Deadline-Ms: 700\r\nX-Expect-Instance: i-1\r\n"
		     "X-Tenant: t1\r\nContent-Length: 3\r\n\r\n",
		     out.buf);
	strbuf_finish(&out);
}

namespace
{

struct AnswerCase {
	const char *name;
	const char *status;
	const char *fields;
	bool not_run, other_server, other_version, other_request, receipt;
	bool leaving;
};

} // namespace

TEST(PlatformMessages, AnswersSayWhetherTheRequestRan)
{
	const AnswerCase cases[] = {
		{ "whole", "200 OK",
		  "X-Attempt-Id: 9c\r\nX-Response-Stamp: s\r\n", false, false,
		  false, false, true, false },
		{ "complete, from a leaving server", "200 OK",
		  "Server-Leaving: 1\r\nX-Response-Stamp: s\r\n", false, false,
		  false, false, true, true },
		{ "at capacity and leaving", "503 Full",
		  "server-leaving: 1\r\nX-Not-Run: 1\r\n", true, false, false,
		  false, false, true },
		{ "not leaving", "503 Full",
		  "Server-Leaving: 0\r\nX-Not-Run: 1\r\n", true, false, false,
		  false, false, false },
		{ "for another request", "200 OK",
		  "X-Attempt-Id: other\r\nX-Response-Stamp: s\r\n", false,
		  false, false, true, true, false },
		{ "full", "503 Full", "X-Not-Run: 1\r\n", true, false, false,
		  false, false, false },
		{ "failed", "500 Oops", "X-Attempt-Id: 9c\r\n", false, false,
		  false, false, false, false },
		{ "another server", "421 Misdirected", "X-Instance-Id: i-2\r\n",
		  true, true, false, false, false, false },
		{ "another version", "421 Misdirected", "X-Not-Run: 1\r\n",
		  true, false, true, false, false, false },
	};

	for (const AnswerCase &c : cases) {
		SCOPED_TRACE(c.name);
		Head head(std::string("HTTP/1.1 ") + c.status + "\r\n" +
				  c.fields + "Content-Length: 0\r\n\r\n",
			  true);
		struct server_answer answer;

		platform_read_answer(head.get(), "9c", &answer);
		EXPECT_EQ(c.not_run, answer.not_run != 0);
		EXPECT_EQ(c.other_server, answer.other_server != 0);
		EXPECT_EQ(c.other_version, answer.other_version != 0);
		EXPECT_EQ(c.other_request, answer.other_request != 0);
		EXPECT_EQ(c.receipt, answer.has_receipt != 0);
		EXPECT_EQ(c.leaving, answer.leaving != 0);
	}
}

namespace
{

struct LoadCase {
	const char *name;
	const char *text;
	int has_load;
	uint32_t running, waiting, slots, slowdown_percent;
};

} // namespace

// A report is bytes from outside: what is no report is ignored, and no figure
// is too large to be added to others.
TEST(PlatformMessages, LoadsAreReadWithinBounds)
{
	const LoadCase cases[] = {
		{ "three figures", "3,1,8", 1, 3, 1, 8, 0 },
		{ "four figures", "3,1,8,250", 1, 3, 1, 8, 250 },
		{ "with spaces", " 3, 1, 8, 250", 1, 3, 1, 8, 250 },
		{ "a fraction", "3,1,8,99.7", 1, 3, 1, 8, 99 },
		{ "a slowdown of zero", "3,1,8,0", 1, 3, 1, 8, 0 },
		{ "a negative slowdown", "3,1,8,-100", 1, 3, 1, 8, 0 },
		{ "no number as slowdown", "3,1,8,slow", 1, 3, 1, 8, 0 },
		{ "an empty slowdown", "3,1,8,", 1, 3, 1, 8, 0 },
		{ "more figures", "3,1,8,120,7", 1, 3, 1, 8, 120 },
		{ "huge figures",
		  "99999999999999999999,4294967295,4294967296,"
		  "99999999999999999999",
		  1, 1000000, 1000000, 1000000, 10000 },
		{ "two figures", "3,1", 0, 0, 0, 0, 0 },
		{ "negative requests", "-1,0,8,100", 0, 0, 0, 0, 0 },
		{ "no numbers", "a,b,c,d", 0, 0, 0, 0, 0 },
		{ "an empty figure", "3,,8,100", 0, 0, 0, 0, 0 },
		{ "empty", "", 0, 0, 0, 0, 0 },
	};

	for (const LoadCase &c : cases) {
		SCOPED_TRACE(c.name);
		Head head(std::string("HTTP/1.1 200 OK\r\nX-Server-Load: ") +
				  c.text + "\r\nContent-Length: 0\r\n\r\n",
			  true);
		struct server_answer answer;

		platform_read_answer(head.get(), "9c", &answer);
		EXPECT_EQ(c.has_load, answer.has_load);
		EXPECT_EQ(c.running, answer.running);
		EXPECT_EQ(c.waiting, answer.waiting);
		EXPECT_EQ(c.slots, answer.slots);
		EXPECT_EQ(c.slowdown_percent, answer.slowdown_percent);
	}
}

TEST(PlatformMessages, EventsAreReadLineByLine)
{
	struct server_event event;

	strbuf_init(&event.data);
	std::string two_lines = "x-weight-versions: 4\nid: 12\n"
				"data: one\r\ndata: two\n\n";

	EXPECT_EQ(0, platform_read_event(two_lines.data(), two_lines.size(),
					 &event));
	EXPECT_EQ(12, event.id);
	EXPECT_EQ(4u, event.weight_version);
	EXPECT_STREQ("one\ntwo", event.data.buf);
	EXPECT_EQ(0, platform_read_event(": note\n\n", 8, &event));
	EXPECT_EQ(-1, event.id);
	EXPECT_EQ(-1, platform_read_event("id: x\n\n", 7, &event));
	strbuf_finish(&event.data);
}

namespace
{

struct CallCase {
	const char *line;
	int result;
	enum caller_call_kind kind;
	const char *batch;
	const char *item;
	uint32_t after;
};

} // namespace

TEST(PlatformCalls, AreToldFromRequestsThatAreRouted)
{
	const CallCase cases[] = {
		{ "GET /v1/lots/ab12?after=12", 0, CALL_BATCH_READ, "ab12", "",
		  12 },
		{ "GET /v1/lots/ab12", 0, CALL_BATCH_READ, "ab12", "", 0 },
		{ "GET /v1/lots/ab12?after=x", -1, CALL_BATCH_READ, "", "", 0 },
		{ "GET /v1/lots/", -1, CALL_BATCH_READ, "", "", 0 },
		{ "GET /v1/lots/a/b", -1, CALL_BATCH_READ, "", "", 0 },
		{ "GET /v1/lots/%61b", 0, CALL_BATCH_READ, "ab", "", 0 },
		{ "GET /v1/lots/%6", -1, CALL_BATCH_READ, "", "", 0 },
		{ "DELETE /v1/lots/ab12", 0, CALL_BATCH_END, "ab12", "", 0 },
		{ "GET /v1/items/ab12?id=e5", 0, CALL_ITEM_BODY, "ab12", "e5",
		  0 },
		{ "GET /v1/items/ab12", -1, CALL_ITEM_BODY, "", "", 0 },
		{ "GET /v1/ready", 0, CALL_READY, "", "", 0 },
		{ "GET /v1/readyness", 0, CALL_FORWARD, "", "", 0 },
		{ "GET /v1/resolve?name=h&region=r&zone=z", 0, CALL_ADDRESSES,
		  "", "", 0 },
		{ "POST /v1/lots/ab12", 0, CALL_FORWARD, "", "", 0 },
		{ "GET /lohu930/2f", 0, CALL_FORWARD, "", "", 0 },
	};

	for (const CallCase &c : cases) {
		SCOPED_TRACE(c.line);
		Head head(std::string(c.line) + " HTTP/1.1\r\n\r\n");
		struct caller_call call;

		ASSERT_EQ(c.result, platform_read_call(head.get(), &call));
		EXPECT_EQ(c.kind, call.kind);
		if (c.result)
			continue;
		EXPECT_STREQ(c.batch, call.batch);
		EXPECT_STREQ(c.item, call.item);
		EXPECT_EQ(c.after, call.after);
	}
}

namespace
{

const char batch_text[] = R"({"step":7,"model":"m","min_version":6,
 "target_groups":12,"items":[{"id":"e5","path":"/p/3/91",
 "headers":{"X-Model":"m","X-Token-Count":"540,400",
 "X-Prompt-Prefix":"9c:300,5d:240","X-Length-Hint":"77","X-Tenant":"forged",
 "Content-Length":"9","Host":"forged"},"body":"q83vEjRWeJA=","tokens":940,
 "group":"g1"},{"id":"e6","path":"/p/3/92","body":"",
 "scorer":{"id":"s6","host":"h.example","path":"/r/5","body":"3q2+7w=="}}]})";

struct BatchCase {
	const char *name;
	std::string from, to;
	bool valid;
	const char *names; // a substring of the error text
};

} // namespace

TEST(PlatformBatch, IsDecodedWithWhatItsItemsSay)
{
	struct error err = ERROR_INIT;
	struct batch_draft draft;

	ASSERT_EQ(0, platform_batch_decode(batch_text, strlen(batch_text),
					   &draft, &err))
		<< err.text;
	ASSERT_EQ(2u, draft.item_count);
	EXPECT_EQ(7u, draft.step);
	EXPECT_EQ(6u, draft.min_version);
	EXPECT_EQ(8u, draft.items[0].body.len);
	EXPECT_EQ(540u, draft.items[0].prompt_tokens);
	EXPECT_EQ(77u, draft.items[0].length_hint);
	EXPECT_STREQ("X-Model: m\r\nX-Token-Count: 540,400\r\n"
		     "X-Prompt-Prefix: 9c:300,5d:240\r\nX-Length-Hint: 77\r\n",
		     draft.items[0].fields.buf);
	EXPECT_STREQ("", draft.items[1].model);
	EXPECT_EQ(nullptr, draft.items[0].reward.id);
	EXPECT_STREQ("s6", draft.items[1].reward.id);
	EXPECT_STREQ("h.example", draft.items[1].reward.host);
	EXPECT_STREQ("/r/5", draft.items[1].reward.path);
	EXPECT_EQ(4u, draft.items[1].reward.body.len);
	batch_draft_finish(&draft);
}

// The hint is only an estimate, so an item with a malformed one is accepted.
TEST(PlatformBatch, AHintThatCannotBeReadIsNone)
{
	for (const char *hint : { "-5", "many", "7 7", "" }) {
		std::string text = batch_text;
		struct error err = ERROR_INIT;
		struct batch_draft draft;

		text.replace(text.find("\"77\""), 4,
			     std::string("\"") + hint + "\"");
		ASSERT_EQ(0, platform_batch_decode(text.c_str(), text.size(),
						   &draft, &err))
			<< err.text;
		EXPECT_EQ(0u, draft.items[0].length_hint) << hint;
		batch_draft_finish(&draft);
	}
}

TEST(PlatformMessages, NumbersAreReadWholeOrNotAtAll)
{
	const struct {
		const char *text;
		int64_t value;
	} cases[] = {
		{ "0", 0 },	  { "77", 77 },
		{ "077", 77 },	  { "1000", 1000 },
		{ "1001", 1000 }, { "99999999999999999999999", 1000 },
		{ "", -1 },	  { "-1", -1 },
		{ "+1", -1 },	  { " 1", -1 },
		{ "1 ", -1 },	  { "1.5", -1 },
		{ "0x10", -1 },	  { "many", -1 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.value, platform_read_number(c.text, 1000))
			<< c.text;
}

TEST(PlatformBatch, IsRefusedIfAnItemIsMalformed)
{
	const BatchCase cases[] = {
		{ "as it is", "", "", true, "" },
		{ "cut", "]}", "", false, "JSON" },
		{ "no items", "\"items\"", "\"others\"", false, "items" },
		{ "an id twice", "\"e6\"", "\"e5\"", false, "'e5'" },
		{ "no id", "\"id\":\"e6\",", "", false, "id" },
		{ "id with a line end", "\"e6\"", "\"e\\r\\n6\"", false, "id" },
		{ "path without a slash", "/p/3/92", "p", false, "path" },
		{ "path with a space", "/p/3/92", "/p 3", false, "path" },
		{ "malformed base64", "q83vEjRWeJA=", "q83vEjRWeJA", false,
		  "'e5'" },
		{ "header with a line end", "\"77\"", "\"7\\r\\nX: 7\"", false,
		  "'e5'" },
		{ "header that is a number", "\"77\"", "77", false, "'e5'" },
		{ "header name with a colon", "X-Length-Hint", "X:", false,
		  "'e5'" },
		{ "incomplete token count", "540,400", "540", false, "'e5'" },
		{ "scorer that is null", "{\"id\":\"s6\",", "null,\"x\":{",
		  true, "" },
		{ "scorer that is a string", "{\"id\":\"s6\",",
		  "\"s6\",\"x\":{", false, "'scorer' of item 'e6'" },
		{ "scorer without an id", "\"id\":\"s6\",", "", false,
		  "'scorer.id' of item 'e6'" },
		{ "scorer's id with a line end", "\"s6\"", "\"s\\n6\"", false,
		  "'scorer.id' of item 'e6'" },
		{ "scorer's id is an item's", "\"s6\"", "\"e5\"", false,
		  "'e5'" },
		{ "scorer without a host", "\"host\":\"h.example\",", "", false,
		  "'scorer.host' of item 'e6'" },
		{ "scorer's host with a space", "h.example", "h example", false,
		  "'scorer.host' of item 'e6'" },
		{ "scorer without a path", "\"path\":\"/r/5\",", "", false,
		  "'scorer.path' of item 'e6'" },
		{ "scorer's path without a slash", "/r/5", "r/5", false,
		  "'scorer.path' of item 'e6'" },
		{ "scorer without a body", ",\"body\":\"3q2+7w==\"", "", false,
		  "'scorer.body' of item 'e6'" },
		{ "scorer's body is not base64", "3q2+7w==", "3q2+7w=", false,
		  "'scorer.body' of item 'e6'" },
	};

	for (const BatchCase &c : cases) {
		SCOPED_TRACE(c.name);
		std::string text = batch_text;
		struct error err = ERROR_INIT;
		struct batch_draft draft;
		size_t at = text.find(c.from);

		ASSERT_NE(std::string::npos, at);
		text.replace(at, c.from.size(), c.to);
		EXPECT_EQ(c.valid ? 0 : -1,
			  platform_batch_decode(text.data(), text.size(),
						&draft, &err));
		EXPECT_NE(nullptr, strstr(err.text, c.names)) << err.text;
		if (c.valid)
			batch_draft_finish(&draft);
	}
}

TEST(PlatformBatch, ResultsAreWrittenWithTheirVersions)
{
	uint64_t versions[] = { 6, 7 };
	struct batch_result_view views[2] = {};
	struct strbuf out;

	views[0].id = "e5";
	views[0].is_complete = 1;
	views[0].text = "a\n\"b\"";
	views[0].text_len = 5;
	views[0].versions = versions;
	views[0].version_count = 2;
	views[0].score = "st.\"1";
	views[1].id = "e6";
	views[1].text = "";
	strbuf_init(&out);
	ASSERT_EQ(0, platform_batch_write_results(&out, 40, 12, views, 2));
	EXPECT_STREQ(
		"{\"total\":40,\"next_token\":14,\"results\":["
		"{\"id\":\"e5\",\"state\":\"complete\","
		"\"text\":\"a\\n\\\"b\\\"\",\"versions\":[6,7],\"score\":\"st.\\\"1\"},"
		"{\"id\":\"e6\",\"state\":\"dead_letter\",\"text\":\"\","
		"\"versions\":[]}]}",
		out.buf);
	strbuf_finish(&out);
}

// A stored text or score that is not UTF-8 made the whole answer fail.
TEST(PlatformBatch, ResultsThatAreNotUtf8BecomeDeadLetters)
{
	const struct {
		const char *name, *text, *score, *expected;
		int unreadable;
	} cases[] = {
		{ "sound", "ab", "s",
		  "\"complete\",\"text\":\"ab\",\"versions\":[],"
		  "\"score\":\"s\"}",
		  0 },
		{ "text", "a\xff", "s",
		  "\"dead_letter\",\"text\":\"\",\"versions\":[]}", 1 },
		{ "score", "ab", "\xfe",
		  "\"dead_letter\",\"text\":\"\",\"versions\":[]}", 1 },
	};

	for (const auto &c : cases) {
		struct batch_result_view views[2] = {};
		struct strbuf out;

		SCOPED_TRACE(c.name);
		strbuf_init(&out);
		views[0].id = "a";
		views[0].is_complete = views[1].is_complete = 1;
		views[0].text = c.text;
		views[0].text_len = strlen(c.text);
		views[0].score = c.score;
		views[1].id = "b";
		views[1].text = "sound";
		views[1].text_len = 5;
		EXPECT_EQ(c.unreadable,
			  platform_batch_write_results(&out, 2, 0, views, 2));
		EXPECT_EQ("{\"total\":2,\"next_token\":2,\"results\":["
			  "{\"id\":\"a\",\"state\":" +
				  std::string(c.expected) +
				  ",{\"id\":\"b\",\"state\":\"complete\","
				  "\"text\":\"sound\",\"versions\":[]}]}",
			  out.buf);
		strbuf_finish(&out);
	}
}

// The size computed in advance equals the number of bytes written.
TEST(PlatformBatch, TextsTakeTheBytesThatWereCounted)
{
	const std::string texts[] = {
		"",
		"plain",
		"a\nb\nc",
		"\"quoted\" \\ / \t\r\b\f",
		"\x01\x1f",
		std::string("\0zero", 5),
		"gr\xc3\xbc\xc3\x9f \xe2\x82\xac",
	};

	for (const std::string &text : texts) {
		struct batch_result_view empty = {}, view = {};
		struct strbuf without, with;

		strbuf_init(&without);
		strbuf_init(&with);
		empty.id = view.id = "i";
		empty.text = "";
		view.text = text.data();
		view.text_len = text.size();
		ASSERT_EQ(0, platform_batch_write_results(&without, 1, 0,
							  &empty, 1));
		ASSERT_EQ(0,
			  platform_batch_write_results(&with, 1, 0, &view, 1));
		EXPECT_EQ(with.len - without.len,
			  platform_batch_text_bytes(text.data(), text.size()))
			<< with.buf;
		strbuf_finish(&without);
		strbuf_finish(&with);
	}
}

TEST(PlatformBase64, RoundTripsAndRefusesOddTexts)
{
	struct strbuf text, bytes;

	strbuf_init(&text);
	strbuf_init(&bytes);
	for (size_t len = 0; len < 20; len++) {
		std::string data(len, '\xfe');

		strbuf_reset(&text);
		strbuf_reset(&bytes);
		encode_base64(data.data(), len, &text);
		EXPECT_EQ(0, decode_base64(text.buf, &bytes));
		EXPECT_EQ(data, std::string(bytes.buf, bytes.len));
	}
	for (const char *odd : { "a", "ab", "abc", "a===", "ab=c", "!abc" }) {
		SCOPED_TRACE(odd);
		strbuf_reset(&bytes);
		EXPECT_EQ(-1, decode_base64(odd, &bytes));
		EXPECT_EQ(0u, bytes.len);
	}
	strbuf_finish(&text);
	strbuf_finish(&bytes);
}

namespace
{

// Inserts, removes, duplicates and overwrites bytes of a valid text at random.
std::string mutated(const std::string &text, struct rng *rng)
{
	std::string out = text;
	uint64_t changes = 1 + rng_below(rng, 4);

	while (changes--) {
		size_t at = (size_t)rng_below(rng, out.size() + 1);

		switch (rng_below(rng, 4)) {
		case 0:
			out.insert(at, 1, (char)rng_below(rng, 256));
			break;
		case 1:
			out.erase(at, (size_t)rng_below(rng, 12));
			break;
		case 2:
			out.insert(at, out.substr(at, 20));
			break;
		default:
			if (at < out.size())
				out[at] = (char)rng_below(rng, 256);
			break;
		}
	}
	return out;
}

} // namespace

// Decoders must not crash on any input, and what they allocate is released.
TEST(PlatformFuzz, ReadersBearAnyBytes)
{
	struct rng rng;

	rng_init(&rng, 20261204);
	for (int i = 0; i < 3000; i++) {
		std::string text = mutated(config_text, &rng);
		struct error err = ERROR_INIT;
		struct entry_settings settings;
		struct server_entry entry;
		struct batch_draft draft;

		entry_config_unref(decode(text, &err));
		text = mutated(server_text, &rng);
		if (!platform_server_decode("i", text.data(), text.size(),
					    &entry, &err))
			server_entry_finish(&entry);
		text = mutated(batch_text, &rng);
		if (!platform_batch_decode(text.data(), text.size(), &draft,
					   &err))
			batch_draft_finish(&draft);
		text = mutated(settings_text, &rng);
		platform_settings_decode(text.data(), text.size(), &settings,
					 &err);
	}
}

TEST(PlatformFuzz, HeadsBearAnyBytes)
{
	const std::string request =
		"POST /v1/lots/ab?after=1 HTTP/1.1\r\nHost: h\r\n"
		"X-Attempt-Id: 9c\r\nX-Token-Count: 1,2\r\n"
		"X-Prompt-Prefix: 9c2e41:300,5d07b8:240\r\n"
		"Content-Length: 3\r\n\r\nabc";
	const std::string answer =
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c\r\n"
		"X-Server-Load: 3,0,8,140\r\nX-Weight-Versions: 4\r\n"
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
	struct rng rng;

	rng_init(&rng, 7);
	for (int i = 0; i < 3000; i++) {
		Head head(mutated(request, &rng));
		Head reply(mutated(answer, &rng), true);
		struct caller_request caller;
		struct server_answer out;
		struct caller_call call;

		if (!platform_read_request(head.get(), &caller))
			platform_read_call(head.get(), &call);
		platform_read_answer(reply.get(), "9c", &out);
	}
}
