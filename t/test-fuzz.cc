// Mutated input to parsers of texts from outside, by fixed counts and seeds.
// Statements, settings and frames are mutated in the tests of their own.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <string>
#include <vector>

#include "t/lib-fake-daemon.h"
#include "t/lib-process.h"

extern "C" {
#include "base/rng.h"
#include "lang/table.h"
#include "request/json_body.h"
#include "request/spec.h"
#include "request/sse.h"
#include "request/ticket.h"
}

static const int client_limit_ms = 60000;

// Replaces up to four short pieces of a text.
static std::string mutate(struct rng *rng, std::string text,
			  const std::string &bytes)
{
	for (uint64_t n = 1 + rng_below(rng, 4); n && !text.empty(); n--) {
		size_t at = rng_below(rng, text.size());
		size_t len = rng_below(rng, 6);
		std::string piece(rng_below(rng, 3),
				  bytes[rng_below(rng, bytes.size())]);

		text.replace(at, len, piece);
	}
	return text;
}

static const std::string json_bytes("{}[]\",:.0-e9atru\\\x80\xff\0 \n", 22);

static void check_spec(const struct completion_spec *spec,
		       const std::string &text)
{
	json_t *body;
	char *dump;

	EXPECT_GE(spec->n, 1u) << text;
	EXPECT_LE(spec->n, (uint32_t)SAMPLES_MAX) << text;
	EXPECT_GE(spec->max_tokens, 1u) << text;
	EXPECT_STRNE("", spec->model) << text;
	EXPECT_EQ(spec->has_group != 0, spec->trainer[0] != '\0') << text;
	body = completion_spec_backend_body(spec, "r.0.1", " so far", 9, 1, 10);
	dump = json_dumps(body, JSON_COMPACT);
	EXPECT_NE(nullptr, dump) << text;
	free(dump);
	json_decref(body);
}

// Seed 11: of 20,000 mutated bodies each is whole or refused with a reason.
TEST(Fuzz, CompletionBodies)
{
	const std::string bases[] = {
		R"({"model":"m","prompt":"p","n":4,"max_tokens":16,)"
		R"("stream":true,"seed":3,"stop":["a"],"currant":)"
		R"({"trainer":"t","step":1,"group":2,"max_staleness":1}})",
		R"({"model":"m","messages":[{"role":"user","content":"c"},)"
		R"({"role":"system","content":"\u00e9"}],"n":2})",
	};
	struct rng rng;
	int refused = 0;

	rng_init(&rng, 11);
	for (int i = 0; i < 20000; i++) {
		std::string text = mutate(&rng, bases[i % 2], json_bytes);
		struct completion_spec spec;
		struct error err = ERROR_INIT;

		if (completion_spec_parse(&spec, text.data(), text.size(),
					  i % 2, &err)) {
			refused++;
			EXPECT_STRNE("", err.text) << text;
			continue;
		}
		check_spec(&spec, text);
		completion_spec_finish(&spec);
	}
	EXPECT_GT(refused, 5000);
	EXPECT_LT(refused, 20000);
}

TEST(JsonBody, DepthIsCountedOutsideOfStrings)
{
	const size_t most = JSON_BODY_DEPTH_MAX;
	const std::string open(most, '[');
	const std::string close(most, ']');
	const struct {
		std::string text;
		int deep;
	} cases[] = {
		{ "", 0 },
		{ open + close, 0 },
		{ "[" + open + close + "]", 1 },
		{ "[" + open, 1 },
		{ "[" + open + "\"", 1 },
		{ "\"[" + open + "\"", 0 },
		{ "[\"\\\"" + open + "\"]", 0 },
		{ "[\"\\\\\"," + open + close + "]", 1 },
		{ "[" + open.substr(1) + close.substr(1) + "," +
			  open.substr(1) + close.substr(1) + "]",
		  0 },
		{ "]]]" + open, 0 },
		{ "\"\\", 0 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.deep,
			  json_body_is_deep(c.text.data(), c.text.size()))
			<< c.text;
}

TEST(JsonBody, ValuesAreCountedOutsideOfStrings)
{
	std::string most = "[0", commas(JSON_BODY_VALUES_MAX, ',');
	json_error_t why;

	for (int i = 2; i < JSON_BODY_VALUES_MAX; i++)
		most += ",0";
	const struct {
		std::string text;
		int many;
	} cases[] = {
		{ "", 0 },
		{ most + "]", 0 },
		{ most + ",0]", 1 },
		{ most + ",", 1 },
		{ "{\"a\":" + most + "]}", 1 },
		{ "[\"" + commas + "\"]", 0 },
		{ "[\"\\\"" + commas + "\"]", 0 },
		{ "\"\\", 0 },
	};

	for (const auto &c : cases) {
		json_t *json =
			json_body_parse(c.text.data(), c.text.size(), &why);

		EXPECT_EQ(c.many, json_body_has_many_values(c.text.data(),
							    c.text.size()))
			<< c.text.substr(0, 20);
		EXPECT_TRUE(!c.many || !json);
		EXPECT_EQ(
			c.many != 0,
			strstr(why.text, "more than 65536 names and values") !=
				nullptr);
		json_decref(json);
	}
}

static int collect(void *arg, const char *text, size_t len)
{
	static_cast<std::vector<std::string> *>(arg)->emplace_back(text, len);
	return 0;
}

static std::vector<std::string> feed(struct rng *rng, const std::string &text)
{
	std::vector<std::string> got;
	struct sse_parser parser;

	sse_parser_init(&parser);
	for (size_t at = 0; at < text.size();) {
		size_t len = rng ? 1 + rng_below(rng, 9) : text.size();

		len = std::min(len, text.size() - at);
		EXPECT_EQ(0, sse_parser_feed(&parser, text.data() + at, len,
					     collect, &got));
		at += len;
	}
	sse_parser_finish(&parser);
	return got;
}

// Seed 12: 20,000 mutated streams give the same events however they are cut.
TEST(Fuzz, EventStreams)
{
	const std::string base =
		": note\ndata: one\n\ndata:two\r\n\r\nevent: x\n"
		"data: {\"a\":1}\n\ndata: [DONE]\n\n";
	const std::string bytes("dat: \r\n\0\xff:", 10);
	struct rng rng;

	rng_init(&rng, 12);
	for (int i = 0; i < 20000; i++) {
		std::string text = mutate(&rng, base, bytes);

		ASSERT_EQ(feed(nullptr, text), feed(&rng, text)) << text;
	}
}

// Seed 13: 20,000 mutated tickets; one that is taken is the daemon's own.
TEST(Fuzz, Tickets)
{
	const struct ticket own = { "entry-1", 0xabc, 7 };
	const std::string base = "entry-1:0000000000000abc:7";
	struct rng rng;
	int taken = 0;

	rng_init(&rng, 13);
	for (int i = 0; i < 20000; i++) {
		std::string text = mutate(&rng, base, "entry-109abcf:x \xff");
		struct ticket got;

		if (ticket_judge(&own, text.c_str()) != TICKET_OWN)
			continue;
		taken++;
		ASSERT_EQ(0, ticket_parse(text.c_str(), &got)) << text;
		EXPECT_STREQ(own.daemon, got.daemon) << text;
		EXPECT_EQ(own.incarnation, got.incarnation) << text;
		EXPECT_LE(got.generation, own.generation) << text;
	}
	EXPECT_GT(taken, 0);
	EXPECT_LT(taken, 10000);
}

// Seed 14: of 20,000 mutated tables each is printed or refused with a reason.
TEST(Fuzz, TablesOfAnswers)
{
	const std::string base =
		R"({"kind":"table","columns":["name","n","b"],)"
		R"("rows":[["red",1,true],["blue",-2,false]],)"
		R"("truncated":true})";
	struct rng rng;
	int printed = 0;

	rng_init(&rng, 14);
	for (int i = 0; i < 20000; i++) {
		std::string text = mutate(&rng, base, json_bytes);
		json_t *json = json_loadb(text.data(), text.size(), 0, nullptr);
		struct error err = ERROR_INIT;
		struct strbuf out;

		strbuf_init(&out);
		if (!table_json_print_text(json, &out, &err)) {
			printed++;
			EXPECT_GT(out.len, 0u) << text;
		} else {
			EXPECT_STRNE("", err.text) << text;
		}
		strbuf_finish(&out);
		json_decref(json);
	}
	EXPECT_GT(printed, 100);
	EXPECT_LT(printed, 20000);
}

static std::string run_client(const std::vector<std::string> &arguments,
			      int *status)
{
	std::vector<std::string> all = { built_program("currant") };
	TempDir dir;
	Process process;

	all.insert(all.end(), arguments.begin(), arguments.end());
	EXPECT_TRUE(process.start(all, dir.file("out")));
	*status = process.wait(client_limit_ms);
	return read_file(dir.file("out"));
}

// Seed 15: a file of 2,000 mutated lines is checked to its end.
TEST(Fuzz, FilesOfStatements)
{
	const std::string bases[] = {
		"create team red weight 2 -- note",
		"create route r pool p methods get,post deadline_ms 5;",
		"show samples where trainer = \"t1\" and step >= 5 limit 20",
	};
	const std::string bytes(" \t\"'-;,=<>\0\r\xff"
				"9az/",
				17);
	TempDir dir;
	struct rng rng;
	int status;

	rng_init(&rng, 15);
	{
		std::ofstream file(dir.file("statements"));

		for (int i = 0; i < 2000; i++)
			file << mutate(&rng, bases[i % 3], bytes) << "\n";
		file << "create temas red\n";
	}
	std::string out =
		run_client({ "check", "-f", dir.file("statements") }, &status);
	EXPECT_EQ(1, status);
	EXPECT_NE(std::string::npos, out.find("line 2001, column 8: "));
}

// Answers that no daemon gives leave the client with a status and a reason.
TEST(BadAnswers, EndTheClientWithAStatus)
{
	const char *const bodies[] = {
		"",
		"no JSON",
		"[]",
		"7",
		"\"text\"",
		"null",
		"{}",
		R"({"events":7})",
		R"({"events":[1,"a",null,[]]})",
		R"({"events":[{"lamport":"x","process":1,"part":[]}]})",
		R"({"addresses":7})",
		R"({"addresses":[1,null,{}]})",
		R"({"kind":"change"})",
		R"({"kind":"table","columns":7,"rows":[]})",
		R"({"kind":"table","columns":["a"],"rows":[[1,2]]})",
		R"({"kind":7,"columns":[7],"rows":[[7]]})",
		R"({"name":7,"ready":"x"})",
		R"({"detail":7,"ran":7,"column":"x"})",
	};
	const std::vector<std::string> commands[] = {
		{ "show", "weights" }, { "run", "drop team a" },
		{ "addresses" },       { "timeline" },
		{ "health" },
	};
	FakeDaemon daemon;

	for (const char *body : bodies)
		for (int code : { 200, 400, 503 })
			for (std::vector<std::string> command : commands) {
				int status;

				daemon.answer(code, body);
				command.insert(command.end(),
					       { "-d", daemon.address() });
				std::string out = run_client(command, &status);
				EXPECT_GE(status, 0) << body;
				EXPECT_LE(status, 4) << body << out;
				EXPECT_FALSE(out.empty() && status)
					<< command[0] << " " << code << " "
					<< body;
			}
}
