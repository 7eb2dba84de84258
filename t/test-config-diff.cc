// What a configuration changes in the version in force, and the program that
// prints it with the findings of the check.
#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <vector>

#include "t/lib-config-check.h"
#include "t/lib-process.h"

extern "C" {
#include "entry/config_check.h"
#include "entry/config_diff.h"
}

static const int limit_ms = 20000;

TEST(ConfigDiff, FromTheVersionInForce)
{
	const struct {
		std::string Parts::*part;
		std::string text;
		Lines findings;
	} cases[] = {
		{ &Parts::root, R"("version":7)", {} },
		{ &Parts::root,
		  R"("version":8)",
		  { "changed: configuration: version 7 -> 8" } },
		{ &Parts::route,
		  at_r + R"("type":"stream","goal_ms":90,"public":true,
		  "split":[{"service":"a","weight":9},
		  {"service":"b","weight":1}])",
		  { "changed: route 'r': kind idempotent -> stream",
		    "changed: route 'r': services a:1 -> a:9, b:1",
		    "changed: route 'r': goal_ms 10000 -> 90",
		    "changed: route 'r': public no -> yes" } },
		{ &Parts::route,
		  to_a + R"("host":"b","path_prefix":"/")",
		  { "changed: route 'r': host 'a.example' -> 'b'",
		    "changed: route 'r': path prefix '/r/' -> '/'" } },
		{ &Parts::route,
		  R"("name":"s","host":"a.example","path_prefix":"/r/",
		  "type":"idempotent","service":"a")",
		  { "added: route 's'", "removed: route 'r'" } },
		{ &Parts::service,
		  R"("name":"a","max_conns":8,"engine":{"slots":2,
		  "models":[{"name":"m"},{"name":"n"}]},"scaling":{"max":3,
		  "spot_price":0.5,"zone_prices":{"x":1,"y":0.8}})",
		  { "changed: service 'a': connections to a server 9 -> 8",
		    "changed: service 'a': engine no -> yes",
		    "changed: service 'a': slots 0 -> 2",
		    "changed: service 'a': scaling no -> yes",
		    "changed: service 'a': scaling max 0 -> 3",
		    "changed: service 'a': scaling spot price 0 -> 0.5",
		    "changed: service 'a': models none -> m, n",
		    "changed: service 'a': scaling prices none -> x:1, "
		    "y:0.8" } },
		{ &Parts::teams,
		  R"({"name":"t","priority":1,"api_keys":["key-2","key-3"]})",
		  { "changed: team 't': priority none -> 1",
		    "added: team 't': 2 keys", "removed: team 't': 1 key" } },
		{ &Parts::teams,
		  R"({"name":"u","api_keys":["key-1"]})",
		  { "added: team 'u'", "removed: team 't'",
		    "added: team 'u': 1 key", "removed: team 't': 1 key" } },
		{ &Parts::limits,
		  R"("max_header_bytes":5,"idle_timeout_ms":6)",
		  { "changed: limits: max bytes of a head 16384 -> 5",
		    "changed: limits: idle timeout in ms 15000 -> 6" } },
	};
	struct entry_config *before = decode(Parts().text());

	for (const auto &c : cases) {
		Findings findings;
		Parts parts;

		parts.*c.part = c.text;
		struct entry_config *after = decode(parts.text());
		config_diff(before, after, &findings.list);
		EXPECT_EQ(c.findings, findings.lines()) << c.text;
		entry_config_unref(after);
	}
	entry_config_unref(before);
}

TEST(ConfigDiff, VersionMustGrow)
{
	const struct {
		uint64_t version;
		Lines findings;
	} cases[] = {
		{ 8, {} },
		{ 7,
		  { "error: version 7 is ignored: it is not over version 7, "
		    "which is in force" } },
		{ 6,
		  { "error: version 6 is ignored: it is not over version 7, "
		    "which is in force" } },
	};
	struct entry_config *before = decode(Parts().text());
	struct entry_config *after = decode(Parts().text());

	for (const auto &c : cases) {
		Findings findings;

		after->version = c.version;
		config_check_version(after, before, &findings.list);
		EXPECT_EQ(c.findings, findings.lines());
	}
	entry_config_unref(before);
	entry_config_unref(after);
}

// The program itself: what it prints, and its exit status.
TEST(CheckConfigCommand, OutputAndStatus)
{
	TempDir dir;
	const std::string fine = dir.file("fine"), wrong = dir.file("wrong"),
			  next = dir.file("next"), bad = dir.file("bad");
	Parts parts;

	std::ofstream(fine) << parts.text();
	parts.root = R"("version":8)";
	parts.limits = R"("header_timeout_ms":20000)";
	std::ofstream(next) << parts.text();
	parts.route += R"(,"timeout_ms":0,"goal_ms":0)";
	parts.service = R"("name":"b\nerror: c","max_conns":1)";
	std::ofstream(wrong) << parts.text();
	std::ofstream(bad) << "{\"version\":9,\"routes\":[{}]}";

	const std::string warned =
		"warning: limits: the timeout of heads, 20000 ms, is over the "
		"idle timeout of 15000 ms\n";
	const struct {
		std::vector<std::string> arguments;
		int status;
		std::string output;
	} cases[] = {
		{ { fine }, 0, "" },
		{ { next, "--against", fine },
		  0,
		  warned + "changed: configuration: version 7 -> 8\n"
			   "changed: limits: timeout of a head in ms 3000 -> "
			   "20000\n" },
		{ { wrong },
		  1,
		  "error: route 'r': service 'a' does not exist\n"
		  "error: route 'r': timeout_ms is 0, so no request can be "
		  "answered\n"
		  "warning: service 'b?error: c': no route uses it\n" +
			  warned },
		{ { bad },
		  1,
		  "error: route '?' lacks a name, host, path prefix or "
		  "service\n"
		  "warning: route 1 has no type: its requests run at most "
		  "once\n" },
		{ { fine, "--against", bad },
		  2,
		  "currant: " + bad +
			  ": route '?' lacks a name, host, path prefix or "
			  "service\n" },
		{ { dir.file("none") },
		  2,
		  "currant: cannot open " + dir.file("none") +
			  ": No such file or directory\n" },
		{ { fine, "--settings", dir.file("none") },
		  2,
		  "currant: " + dir.file("none") + ": cannot be opened\n" },
	};

	for (const auto &c : cases) {
		const std::string out =
			dir.file("out-" + std::to_string(&c - cases));
		std::vector<std::string> arguments = c.arguments;
		Process process;

		arguments.insert(arguments.begin(),
				 { built_program("currant"), "check-config" });
		ASSERT_TRUE(process.start(arguments, out));
		EXPECT_EQ(c.status, process.wait(limit_ms)) << c.output;
		EXPECT_EQ(c.output, read_file(out));
	}
}
