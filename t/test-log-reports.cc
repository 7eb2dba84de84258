// Reading the daemons' lines afterwards: fields of a line, the way from an id
// to its cause, and sums over time.

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "t/lib-process.h"

extern "C" {
#include "base/record_line.h"
}

namespace
{

const int limit_ms = 20000;

struct FieldCase {
	const char *line;
	const char *key;
	const char *value; // nullptr: none
};

} // namespace

TEST(RecordLine, FieldsAreFoundByTheirWholeName)
{
	const FieldCase cases[] = {
		{ "ts=5 host=a part=p event=e id=x", "host", "a" },
		{ "ts=5 host=a part=p event=e id=x", "id", "x" },
		{ "ts=5 host=a id=x\n", "id", "x" },
		{ "  1.5 node ts=5 host=a", "host", "a" },
		{ "ts=5 my_id=y id=x", "id", "x" },
		{ "ts=5 my_id=y", "id", nullptr },
		{ "ts=5 id=", "id", "" },
		{ "ts=5 a=b\\x3dc id=x", "b\\x3dc", nullptr },
	};

	for (const FieldCase &c : cases) {
		SCOPED_TRACE(c.line);
		struct record_line line;
		char value[32];
		int result;

		ASSERT_EQ(0, record_line_read(c.line, &line));
		EXPECT_EQ(5, line.ts_ms);
		result = record_line_field(&line, c.key, value, sizeof(value));
		EXPECT_EQ(c.value ? 0 : -1, result);
		if (c.value) {
			EXPECT_STREQ(c.value, value);
		}
	}
}

TEST(RecordLine, OtherLinesAreNoRecords)
{
	for (const char *line :
	     { "", "hello", "ts=", "ts=x host=a", "nots=5 a=b", "ts=5" }) {
		SCOPED_TRACE(line);
		struct record_line out;

		EXPECT_EQ(-1, record_line_read(line, &out));
	}
}

TEST(RecordLine, NumbersAndLongValues)
{
	struct record_line line;
	char small[4];

	ASSERT_EQ(0, record_line_read("ts=5 n=-7 t=abcdef", &line));
	EXPECT_EQ(-7, record_line_int(&line, "n", 1));
	EXPECT_EQ(1, record_line_int(&line, "m", 1));
	EXPECT_EQ(1, record_line_int(&line, "t", 1));
	EXPECT_EQ(0, record_line_field(&line, "t", small, sizeof(small)));
	EXPECT_STREQ("abc", small);
	EXPECT_FALSE(record_line_is(&line, "t", "abc"));
	EXPECT_TRUE(record_line_is(&line, "t", "abcdef"));
}

namespace
{

const char first_host[] = R"(noise
ts=1000 host=a part=daemon event=start
ts=9000 host=a part=store event=lost topic=keyed.op outcome=unknown
ts=10000 host=a part=batch event=refused id=b1 status=503 reason=store_unavailable may_have_run=0
ts=10010 host=a part=forward event=sent id=r1 server=s1
ts=10400 host=a part=forward event=try_cancelled id=r1 server=s1
ts=10400 host=a part=forward event=given_up id=r1 status=504 reason=timeout may_have_run=1
ts=12000 host=a part=store event=regained topic=keyed.op away_ms=3000.0
ts=12500 host=a part=batch event=accepted id=b1 reason=stored items=2
ts=13000 host=a part=items event=run_started batch=b1 item=i1
ts=14000 host=a part=items event=run_ended batch=b1 item=i1 outcome=complete
ts=14000 host=a part=items event=complete batch=b1 item=i1
)";

const char second_host[] =
	R"(ts=9500 host=b part=store event=lost topic=keyed.op outcome=unknown
ts=11000 host=b part=callers event=denied id=r2 status=401 reason=key_invalid config=3
ts=11500 host=b part=forward event=answered id=r3 status=200
)";

struct Outcome {
	int status;
	std::string output;
};

class LogReports : public ::testing::Test
{
      protected:
	LogReports()
	{
		std::ofstream(dir_.file("a")) << first_host;
		std::ofstream(dir_.file("b")) << second_host;
	}

	Outcome run(std::vector<std::string> arguments)
	{
		Process process;

		arguments.insert(arguments.begin(), built_program("currant"));
		std::string file = dir_.file("out" + std::to_string(runs_++));

		EXPECT_TRUE(process.start(arguments, file));
		int status = process.wait(limit_ms);
		return { status, read_file(file) };
	}

	Outcome explain(const std::string &id)
	{
		return run({ "explain", id, dir_.file("a"), dir_.file("b") });
	}

	TempDir dir_;
	int runs_ = 0;
};

size_t place(const Outcome &outcome, const std::string &part)
{
	return outcome.output.find(part);
}

} // namespace

TEST_F(LogReports, AnIdLeadsToItsCause)
{
	const struct {
		const char *id;
		int status;
		std::vector<std::string> parts; // in this order
		const char *missing;
	} cases[] = {
		{ "r1",
		  0,
		  { "event=sent id=r1", "event=try_cancelled", "event=given_up",
		    "its hosts meanwhile", "event=lost", "event=regained",
		    "meaning: no whole answer came in the time" },
		  "host=b" },
		{ "b1",
		  0,
		  { "event=refused", "event=accepted", "item=i1",
		    "event=regained", "meaning: the item was complete" },
		  "host=b" },
		{ "r2",
		  0,
		  { "event=denied", "host=b part=store event=lost",
		    "meaning: its key was not in the configuration" },
		  "host=a" },
		{ "s1", 0, { "event=sent", "event=try_cancelled" }, "b1" },
		{ "none", 1, { "no line names 'none'" }, "ts=" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.id);
		Outcome outcome = explain(c.id);
		size_t at = 0;

		EXPECT_EQ(c.status, outcome.status);
		for (const std::string &part : c.parts) {
			size_t found = outcome.output.find(part, at);

			EXPECT_NE(std::string::npos, found) << part << "\n"
							    << outcome.output;
			at = found == std::string::npos ? at : found;
		}
		EXPECT_EQ(std::string::npos, place(outcome, c.missing))
			<< outcome.output;
	}
}

TEST_F(LogReports, WrongUseIsSaid)
{
	EXPECT_EQ(2, run({ "explain" }).status);
	EXPECT_EQ(2, run({ "explain", "x", dir_.file("none") }).status);
	EXPECT_EQ(2, run({ "report", "--step", "0" }).status);
	EXPECT_EQ(2, run({ "report", dir_.file("none") }).status);
	EXPECT_EQ(2, run({ "report", "--svg", dir_.file("no/where"),
			   dir_.file("a") })
			     .status);
}

TEST_F(LogReports, LinesAreSummedUpOverTime)
{
	Outcome outcome =
		run({ "report", "--json", "--step", "2", "--svg",
		      dir_.file("plot.svg"), dir_.file("a"), dir_.file("b") });
	std::string svg;
	std::vector<std::string> rows;
	std::string row;

	ASSERT_EQ(0, outcome.status) << outcome.output;
	std::istringstream in(outcome.output);
	while (std::getline(in, row, '}'))
		rows.push_back(row);
	// Seconds 0 to 14 in steps of two, and the closing bracket.
	ASSERT_EQ(8u, rows.size()) << outcome.output;
	EXPECT_NE(std::string::npos, rows[4].find("\"unknown\":1"));
	EXPECT_NE(std::string::npos, rows[4].find("\"batch_ref\":1"));
	EXPECT_NE(std::string::npos, rows[4].find("\"no_store\":2"));
	EXPECT_NE(std::string::npos, rows[5].find("\"denied\":1"));
	EXPECT_NE(std::string::npos, rows[5].find("\"answered\":1"));
	EXPECT_NE(std::string::npos, rows[5].find("\"no_store\":1"));
	EXPECT_NE(std::string::npos, rows[5].find("\"batches\":1"));
	EXPECT_NE(std::string::npos, rows[6].find("\"items\":1"));
	EXPECT_NE(std::string::npos, rows[6].find("\"running\":0"));
	svg = read_file(dir_.file("plot.svg"));
	EXPECT_EQ(0u, svg.find("<svg "));
	EXPECT_NE(std::string::npos, svg.find("</svg>"));
}
