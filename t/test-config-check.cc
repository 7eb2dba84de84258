// A check of a configuration before it is sent: it guards against entries that
// daemons take without a word and that can never match, and against limits that
// contradict each other.
#include <gtest/gtest.h>

#include <string>

#include "t/lib-config-check.h"

extern "C" {
#include "entry/config_check.h"
#include "platform/config_fields.h"
}

namespace
{

Lines check(const std::string &text)
{
	Findings findings;
	struct entry_config *config = decode(text);

	platform_config_check_fields(text.data(), text.size(), &findings.list);
	if (config)
		config_check(config, &findings.list);
	entry_config_unref(config);
	return findings.lines();
}

struct Case {
	std::string text; // what a part of the configuration becomes
	Lines findings;
};

template <size_t n>
void expect_findings(const Case (&cases)[n], std::string Parts::*part,
		     bool append)
{
	for (const auto &c : cases) {
		Parts parts;

		parts.*part = append ? parts.*part + c.text : c.text;
		EXPECT_EQ(c.findings, check(parts.text())) << c.text;
	}
}

} // namespace

TEST(ConfigCheck, FieldsOfARoute)
{
	const Case cases[] = {
		{ "", {} },
		{ R"(,"timeout_ms":100,"goal_ms":100,"max_attempts":3)", {} },
		{ R"(,"timeout_ms":100,"goal_ms":101)",
		  { "warning: route 'r': goal_ms 101 is over timeout_ms "
		    "100" } },
		{ R"(,"timeout_ms":0)",
		  { "error: route 'r': timeout_ms is 0, so no request can be "
		    "answered" } },
		{ R"(,"goal_ms":0)",
		  { "warning: route 'r': goal_ms is 0, so no answer has its "
		    "full value" } },
		{ R"(,"max_attempts":0)",
		  { "warning: route 'r': max_attempts 0 is taken as 1" } },
		{ R"(,"timeout_ms":"100")",
		  { "error: route 'r': field 'timeout_ms' must be a whole "
		    "number from 0 to 4294967295" } },
		{ R"(,"priority":4294967296)",
		  { "error: route 'r': field 'priority' must be a whole number "
		    "from 0 to 4294967295" } },
		{ R"(,"public":1,"timeout_ms":null)",
		  { "error: route 'r': field 'public' must be true or "
		    "false" } },
		{ R"(,"retention_s":1e9)",
		  { "error: route 'r': field 'retention_s' must be a number of "
		    "seconds from 0 to 4294967",
		    "warning: route 'r': the retention is ignored, it accepts "
		    "no batches" } },
		{ R"(,"resumable":true)",
		  { "warning: route 'r': resumable is ignored: neither streams "
		    "nor batches go there" } },
		{ R"(,"single_version":true)",
		  { "warning: route 'r': single_version is ignored, it accepts "
		    "no batches" } },
		{ R"(,"sticky":true,"priority":12)",
		  { "warning: route 'r': its requests state tokens, but "
		    "service 'a' is no engine",
		    "warning: route 'r': engines are sent priority 12 as "
		    "9" } },
		{ R"(,"priority":1,"priority":2)",
		  { "error: line 2, column 79: duplicate object key" } },
	};

	expect_findings(cases, &Parts::route, true);
}

TEST(ConfigCheck, KindsAndServicesOfARoute)
{
	const Case cases[] = {
		{ at_r + R"("type":"non_idempotent","service":"a",
		  "max_attempts":3)",
		  {} },
		{ at_r + R"("type":"stream","service":"a","max_attempts":3,
		  "resumable":true)",
		  {} },
		{ at_r + R"("type":"idempotnet","service":"a")",
		  { "warning: route 'r': type 'idempotnet' is unknown: its "
		    "requests run at most once" } },
		{ at_r + R"("service":"a")",
		  { "warning: route 'r' has no type: its requests run at most "
		    "once" } },
		{ at_r + R"("type":"rollout","service":"a")",
		  { "error: route 'r': accepts batches, but service 'a' is no "
		    "engine" } },
		{ at_r + R"("type":"idempotent","split":[
		  {"service":"a","weight":1},{"service":"b","weight":2}])",
		  { "error: route 'r': service 'b' does not exist" } },
		{ at_r + R"("type":"idempotent","service":"b","split":[
		  {"service":"a","weight":1},{"service":"a"},{"weight":4},7])",
		  { "error: route 'r', part 3 of the split is left out: it has "
		    "no service",
		    "error: route 'r', part 4 of the split must be an object",
		    "warning: route 'r': service is ignored beside a split",
		    "warning: route 'r': service 'a' has weight 0 and gets no "
		    "request" } },
		{ at_r + R"("type":"idempotent","split":[
		  {"service":"a","weight":0},{"service":"a","weight":0}])",
		  { "error: route 'r': its weights sum to 0, so each request "
		    "goes to service 'a'" } },
	};

	expect_findings(cases, &Parts::route, false);
}

TEST(ConfigCheck, HostsAndPathPrefixes)
{
	const std::string host = "error: route 'r': host '";
	const std::string path = "error: route 'r': path prefix '";
	const std::string never = "' can never match: ";
	const std::string long_host(256, 'h');
	const Case cases[] = {
		{ to_a + R"("host":"A.Example","path_prefix":"/")", {} },
		{ to_a + R"("host":"a:80","path_prefix":"/")",
		  { host + "a:80" + never +
		    "hosts are compared without the port" } },
		{ to_a + "\"host\":\"" + long_host + "\",\"path_prefix\":\"/\"",
		  { host + long_host + never +
		    "hosts of requests are shorter" } },
		{ to_a + R"("host":"a/b","path_prefix":"/")",
		  { host + "a/b" + never + "no host holds such characters" } },
		{ to_a + R"("host":"a b","path_prefix":"/")",
		  { host + "a b" + never + "no host holds such characters" } },
		{ to_a + R"("host":"","path_prefix":"/")",
		  { "warning: route 'r': the empty host matches only requests "
		    "without a host" } },
		{ to_a + R"("host":"a","path_prefix":"")",
		  { path + never + "it doesn't begin with a slash" } },
		{ to_a + R"("host":"a","path_prefix":"r/")",
		  { path + "r/" + never + "it doesn't begin with a slash" } },
		{ to_a + R"("host":"a","path_prefix":"/r")",
		  { path + "/r" + never + "it doesn't end with a slash" } },
		{ to_a + R"("host":"a","path_prefix":"/r?a=/")",
		  { path + "/r?a=/" + never + "a path ends at '?' and '#'" } },
		{ to_a + R"("host":"a","path_prefix":"/r r/")",
		  { path + "/r r/" + never +
		    "no path holds such characters" } },
	};

	expect_findings(cases, &Parts::route, false);
}

// The same lookup as a daemon's says which of two routes is found.
TEST(ConfigCheck, RouteHiddenByALaterOne)
{
	const std::string second =
		R"(,{"name":"s","type":"idempotent","service":"a",)";
	const std::string hidden =
		"error: route 'r' can never match: route 's' after it has the "
		"same host 'a.example' and path prefix '/r/'";
	const Case cases[] = {
		{ second + R"("host":"A.EXAMPLE","path_prefix":"/r/"})",
		  { hidden } },
		{ second + R"("host":"a.example","path_prefix":"/r/s/"})", {} },
		{ second + R"("host":"b.example","path_prefix":"/r/"})", {} },
		{ R"(,{"name":"r","type":"idempotent","service":"a",
		  "host":"a.example","path_prefix":"/s/"})",
		  { "warning: route 'r': the name is taken by another route "
		    "before it" } },
	};
	Parts parts;

	expect_findings(cases, &Parts::routes, false);
	parts.routes = cases[0].text;
	struct entry_config *config = decode(parts.text());
	EXPECT_STREQ("s",
		     entry_config_route(config, "a.example", "/r/x")->name);
	entry_config_unref(config);
}

TEST(ConfigCheck, Services)
{
	const std::string engine = R"("name":"a","max_conns":9,"engine":)";
	const std::string scaling = R"("name":"a","max_conns":9,"scaling":)";
	std::string prices;

	for (int i = 0; i < 17; i++)
		prices += (i ? ",\"d" : "\"d") + std::to_string(i) + "\":1";

	const Case cases[] = {
		{ engine + R"({"slots":1,"kv_capacity":9,
		  "models":[{"name":"m"}]})",
		  {} },
		{ engine + R"({"models":[{},3]})",
		  { "error: service 'a', model 1 is left out: it has no name",
		    "error: service 'a', model 2 must be an object",
		    "warning: service 'a': an engine with 0 slots",
		    "warning: service 'a': an engine with memory for 0 tokens",
		    "warning: service 'a': an engine without models" } },
		{ R"("name":"a")",
		  { "warning: service 'a': the limit of connections to a "
		    "server is 0" } },
		{ scaling + R"({"min":1,"max":1,"zone_prices":{"x":1.5}})",
		  {} },
		{ scaling + R"({"min":3,"max":2,"zone_prices":{"x":-1}})",
		  { "error: service 'a': the price of 'x' must be a number, "
		    "not negative",
		    "error: service 'a': scaling has min 3 over max 2" } },
		{ scaling + R"({"max":0})",
		  { "warning: service 'a': scaling has max 0, so no server is "
		    "ordered",
		    "warning: service 'a': scaling names no data centre, so no "
		    "server is ordered" } },
		{ scaling + R"({"max":1,"zone_prices":{)" + prices + "}}",
		  { "error: service 'a': scaling names 17 data centres, over "
		    "the limit of 16; no server is ordered" } },
	};
	const Case more[] = {
		{ R"(,{"name":"b","max_conns":1})",
		  { "warning: service 'b': no route uses it" } },
		{ R"(,{"name":"a","max_conns":1})",
		  { "error: service 'a': the name is taken by another service "
		    "before it" } },
		{ R"(,{"name":"","max_conns":1})",
		  { "error: service 2 has an empty name",
		    "warning: service '': no route uses it" } },
	};

	expect_findings(cases, &Parts::service, false);
	expect_findings(more, &Parts::services, false);
}

TEST(ConfigCheck, BatchRoutes)
{
	const Case cases[] = {
		{ R"("due_ms":10,"retention_s":0.01,"single_version":true,
		  "resumable":true)",
		  {} },
		{ R"("due_ms":11,"retention_s":0.01)",
		  { "error: route 'r': due_ms 11 is over the retention of 10 "
		    "ms, after which items may be given up" } },
		{ R"("due_ms":0)",
		  { "error: route 'r': due_ms is 0, so no result can come in "
		    "time" } },
	};

	for (const auto &c : cases) {
		Parts parts;

		parts.route =
			at_r + R"("type":"rollout","service":"a",)" + c.text;
		parts.service += R"(,"engine":{"slots":1,"kv_capacity":9,
			"models":[{"name":"m"}]})";
		EXPECT_EQ(c.findings, check(parts.text())) << c.text;
	}
}

TEST(ConfigCheck, TeamsAndKeysWithoutSecrets)
{
	const Case cases[] = {
		{ R"({"name":"t","api_keys":["k"]},{"name":"u",
		  "api_keys":["k"]})",
		  { "error: team 't': a key can never match: team 'u' after it "
		    "has the same key" } },
		{ R"({"name":"t","api_keys":["k","k"]})",
		  { "warning: team 't': a key is given twice" } },
		{ R"({"name":"t","api_keys":["k",""," l","m\u0007"]})",
		  { "error: team 't': a key is empty",
		    "error: team 't': a key can never match: no field of a "
		    "request has its blanks or control characters",
		    "error: team 't': a key can never match: no field of a "
		    "request has its blanks or control characters" } },
		{ R"({"name":"t","api_keys":["k"]},{"name":"u"})",
		  { "warning: team 'u' has no key" } },
		{ R"({"name":"t","api_keys":["k"]},{"name":"t",
		  "api_keys":["l"]})",
		  { "error: team 't': the name is taken by another team before "
		    "it" } },
		{ R"({"name":"t","api_keys":["k",5]},{"api_keys":["l"]})",
		  { "error: team 't': key 2 is left out: it must be a string",
		    "error: team 2 is left out with its keys: it has no "
		    "name" } },
		{ R"({"name":"t","api_keys":"secret"})",
		  { "error: team 't': field 'api_keys' must be a list",
		    "error: route 'r' requires a key, but no team has one",
		    "warning: team 't' has no key" } },
	};

	expect_findings(cases, &Parts::teams, false);
}

TEST(ConfigCheck, Limits)
{
	const Case cases[] = {
		{ R"("max_header_bytes":1,"max_body_bytes":1,
		  "header_timeout_ms":5,"idle_timeout_ms":5)",
		  {} },
		{ R"("header_timeout_ms":6,"idle_timeout_ms":5)",
		  { "warning: limits: the timeout of heads, 6 ms, is over the "
		    "idle timeout of 5 ms" } },
		{ R"("max_header_bytes":0,"max_body_bytes":0,
		  "header_timeout_ms":0,"idle_timeout_ms":0)",
		  { "error: limits: heads may have 0 bytes, so every request "
		    "is rejected",
		    "warning: limits: bodies may have 0 bytes, so requests "
		    "with a body are rejected",
		    "error: limits: the timeout of heads is 0 ms, so "
		    "connections are closed at once",
		    "error: limits: the idle timeout is 0 ms, so connections "
		    "are closed at once" } },
		{ R"("max_body_bytes":-1)",
		  { "error: limits: field 'max_body_bytes' must be a whole "
		    "number, not negative" } },
	};

	expect_findings(cases, &Parts::limits, false);
}

TEST(ConfigCheck, TextThatIsNoConfiguration)
{
	const Case cases[] = {
		{ "[]", { "error: the configuration is no JSON object" } },
		{ "{\n\"tenants\":[{\"api_keys\":[\"one\" \"two\"]}]}",
		  { "error: line 2, column 35: ']' expected" } },
		{ "{\"routes\":{},\"limits\":[]}",
		  { "error: configuration: field 'routes' must be a list",
		    "error: configuration: field 'limits' must be an "
		    "object" } },
	};

	for (const auto &c : cases) {
		Findings findings;

		platform_config_check_fields(c.text.data(), c.text.size(),
					     &findings.list);
		EXPECT_EQ(c.findings, findings.lines()) << c.text;
	}
	EXPECT_EQ(Lines{ "error: no route: every request is rejected" },
		  check("{\"version\":1}"));
}

TEST(ConfigCheck, LimitsOfAHost)
{
	struct entry_settings settings = {};
	const struct {
		uint64_t memory_bytes;
		int orders_servers;
		Lines findings;
	} cases[] = {
		{ 2000, 1, {} },
		{ 1999,
		  1,
		  { "error: limits: a body may have 1000 bytes, but all bodies "
		    "together 999 in the memory of a host" } },
		{ 2000,
		  0,
		  { "warning: service 'a' has scaling, but the settings order "
		    "no servers" } },
	};
	Parts parts;

	parts.service += R"(,"scaling":{"max":1,"zone_prices":{"x":1}})";
	parts.limits = R"("max_body_bytes":1000)";
	struct entry_config *config = decode(parts.text());
	for (const auto &c : cases) {
		Findings findings;

		settings.memory_bytes = c.memory_bytes;
		settings.orders_servers = c.orders_servers;
		config_check_host(config, &settings, &findings.list);
		EXPECT_EQ(c.findings, findings.lines());
	}
	entry_config_unref(config);
}
