// The life of a request, tickets, requests that run at most once, parsing.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "request/once_table.h"
#include "request/sample.h"
#include "request/spec.h"
#include "request/sse.h"
#include "request/ticket.h"
#include "request/transition.h"
}

struct LifeCase {
	const char *name;
	int repeatable;
	std::vector<request_event> events;
	request_state state;
	run_status run;
	int last_result;
};

class Life : public ::testing::TestWithParam<LifeCase>
{
};

TEST_P(Life, SaysOnlyWhatIsTrue)
{
	const LifeCase &c = GetParam();
	struct request_life life;
	int result = 0;

	request_life_init(&life, c.repeatable);
	for (request_event event : c.events)
		result = request_life_step(&life, event);
	EXPECT_EQ(c.state, life.state) << c.name;
	EXPECT_STREQ(run_status_name(c.run), run_status_name(life.run))
		<< c.name;
	EXPECT_EQ(c.last_result, result) << c.name;
}

#define START EVENT_ADMIT, EVENT_QUEUE

static const LifeCase life_cases[] = {
	{ "refused before admission",
	  0,
	  { EVENT_GIVE_UP },
	  REQUEST_REFUSED,
	  RUN_NOT_RUN,
	  0 },
	{ "refused in the queue",
	  0,
	  { START, EVENT_GIVE_UP },
	  REQUEST_REFUSED,
	  RUN_NOT_RUN,
	  0 },
	{ "given up after dispatch",
	  0,
	  { START, EVENT_DISPATCH, EVENT_GIVE_UP },
	  REQUEST_REFUSED,
	  RUN_UNKNOWN,
	  0 },
	{ "no byte was sent",
	  0,
	  { START, EVENT_DISPATCH, EVENT_NOT_SENT, EVENT_GIVE_UP },
	  REQUEST_REFUSED,
	  RUN_NOT_RUN,
	  0 },
	{ "the backend server refused",
	  0,
	  { START, EVENT_DISPATCH, EVENT_BACKEND_REFUSED, EVENT_GIVE_UP },
	  REQUEST_REFUSED,
	  RUN_NOT_RUN,
	  0 },
	{ "lost, not repeatable: no second dispatch",
	  0,
	  { START, EVENT_DISPATCH, EVENT_LOST, EVENT_DISPATCH },
	  REQUEST_QUEUED,
	  RUN_UNKNOWN,
	  -1 },
	{ "lost, then a refusal elsewhere stays unknown",
	  1,
	  { START, EVENT_DISPATCH, EVENT_LOST, EVENT_DISPATCH,
	    EVENT_BACKEND_REFUSED, EVENT_GIVE_UP },
	  REQUEST_REFUSED,
	  RUN_UNKNOWN,
	  0 },
	{ "lost, then not sent elsewhere stays unknown",
	  1,
	  { START, EVENT_DISPATCH, EVENT_LOST, EVENT_DISPATCH, EVENT_NOT_SENT,
	    EVENT_GIVE_UP },
	  REQUEST_REFUSED,
	  RUN_UNKNOWN,
	  0 },
	{ "refused, then run elsewhere",
	  0,
	  { START, EVENT_DISPATCH, EVENT_BACKEND_REFUSED, EVENT_DISPATCH,
	    EVENT_COMPLETE },
	  REQUEST_ANSWERED,
	  RUN_DONE,
	  0 },
	{ "streamed and whole",
	  1,
	  { START, EVENT_DISPATCH, EVENT_DATA, EVENT_DATA, EVENT_COMPLETE },
	  REQUEST_ANSWERED,
	  RUN_DONE,
	  0 },
	{ "a late answer changes nothing",
	  1,
	  { START, EVENT_DISPATCH, EVENT_GIVE_UP, EVENT_COMPLETE },
	  REQUEST_REFUSED,
	  RUN_UNKNOWN,
	  -1 },
	{ "an answer comes once",
	  1,
	  { START, EVENT_DISPATCH, EVENT_COMPLETE, EVENT_COMPLETE },
	  REQUEST_ANSWERED,
	  RUN_DONE,
	  -1 },
	{ "data after which the server says not run is ruled out",
	  1,
	  { START, EVENT_DISPATCH, EVENT_DATA, EVENT_BACKEND_REFUSED },
	  REQUEST_STREAMING,
	  RUN_UNKNOWN,
	  -1 },
};

INSTANTIATE_TEST_SUITE_P(Table, Life, ::testing::ValuesIn(life_cases));

TEST(Ticket, JudgesAgainstTheOwnOne)
{
	struct ticket own = { "entry-1", 0xabc, 7 };
	const struct {
		const char *text;
		enum ticket_verdict verdict;
	} cases[] = {
		{ "entry-1:0000000000000abc:7", TICKET_OWN },
		{ "entry-1:0000000000000abc:6", TICKET_OWN },
		{ "entry-1:0000000000000abc:5", TICKET_EXPIRED },
		{ "entry-1:0000000000000abd:7", TICKET_OTHER },
		{ "entry-2:0000000000000abc:7", TICKET_OTHER },
		{ "entry-1:0000000000000abc:8", TICKET_MALFORMED },
		{ "entry-1:0000000000000abc:-1", TICKET_MALFORMED },
		{ "entry-1:xyz:7", TICKET_MALFORMED },
		{ "entry-1:0abc", TICKET_MALFORMED },
		{ ":0abc:7", TICKET_MALFORMED },
		{ "", TICKET_MALFORMED },
	};
	char text[TICKET_BYTES];

	for (const auto &c : cases)
		EXPECT_EQ(c.verdict, ticket_judge(&own, c.text)) << c.text;
	ticket_print(&own, text, sizeof(text));
	EXPECT_STREQ("entry-1:0000000000000abc:7", text);
}

class Once : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		once_table_init(&table);
		memset(&answer, 0, sizeof(answer));
		strbuf_init(&answer.body);
	}
	void TearDown() override
	{
		strbuf_finish(&answer.body);
		once_table_finish(&table);
	}
	enum once_begin_result begin(const char *key, uint64_t fingerprint,
				     uint64_t generation = 1)
	{
		return once_table_begin(&table, "red status", key, fingerprint,
					generation, &answer);
	}
	void end(const char *key, int status)
	{
		struct once_answer done = {};

		done.status = status;
		strbuf_init(&done.body);
		strbuf_addstr(&done.body, "done");
		once_table_end(&table, "red status", key, &done);
		strbuf_finish(&done.body);
	}
	struct once_table table;
	struct once_answer answer;
};

TEST_F(Once, ReplaysTheFirstAnswer)
{
	EXPECT_EQ(ONCE_BEGUN, begin("k", 1));
	end("k", 201);
	EXPECT_EQ(ONCE_REPLAY, begin("k", 1));
	EXPECT_EQ(201, answer.status);
	EXPECT_STREQ("done", answer.body.buf);
	EXPECT_EQ(ONCE_MISMATCH, begin("k", 2));
}

TEST_F(Once, AnUnknownOutcomeStaysUnknown)
{
	EXPECT_EQ(ONCE_BEGUN, begin("k", 1));
	once_table_end(&table, "red status", "k", NULL);
	EXPECT_EQ(ONCE_LOST, begin("k", 1));
}

TEST_F(Once, WhatDidNotRunMayComeAgain)
{
	EXPECT_EQ(ONCE_BEGUN, begin("k", 1));
	once_table_forget(&table, "red status", "k");
	EXPECT_EQ(ONCE_BEGUN, begin("k", 1));
}

TEST_F(Once, AResendWaitsForTheFirst)
{
	std::thread resend;
	enum once_begin_result result = ONCE_BEGUN;

	EXPECT_EQ(ONCE_BEGUN, begin("k", 1));
	resend = std::thread([&] { result = begin("k", 1); });
	end("k", 200);
	resend.join();
	EXPECT_EQ(ONCE_REPLAY, result);
}

TEST_F(Once, IsBoundedAndExpiresByGeneration)
{
	uint32_t begun = 0;
	uint32_t full = 0;

	for (uint32_t i = 0; i < ONCE_SHARDS * ONCE_PER_SHARD_MAX + 5000; i++) {
		std::string key = "k" + std::to_string(i);

		if (begin(key.c_str(), 1) == ONCE_BEGUN)
			begun++;
		else
			full++;
		end(key.c_str(), 200);
	}
	EXPECT_GT(full, 0u);
	EXPECT_LE(begun, (uint32_t)ONCE_SHARDS * ONCE_PER_SHARD_MAX);
	once_table_expire(&table, 2);
	EXPECT_EQ(ONCE_BEGUN, begin("k0", 1, 2));
}

struct SpecCase {
	const char *body;
	int chat;
	const char *error; /* "": accepted */
};

class Spec : public ::testing::TestWithParam<SpecCase>
{
};

TEST_P(Spec, IsCheckedWhole)
{
	const SpecCase &c = GetParam();
	struct completion_spec spec;
	struct error err = ERROR_INIT;
	int result = completion_spec_parse(&spec, c.body, strlen(c.body),
					   c.chat, &err);

	EXPECT_EQ(*c.error ? -1 : 0, result) << c.body;
	EXPECT_NE(nullptr, strstr(err.text, c.error)) << err.text;
	completion_spec_finish(&spec);
}

static const SpecCase spec_cases[] = {
	{ R"({"model":"m","prompt":"hi"})", 0, "" },
	{ R"({"model":"m","prompt":"hi","n":64,"stream":true})", 0, "" },
	{ R"({"model":"m","messages":[{"role":"user","content":"x"}]})", 1,
	  "" },
	{ R"({"model":"m","prompt":"p","currant":{"trainer":"t","step":1,)"
	  R"("group":2,"max_staleness":0}})",
	  0, "" },
	{ "", 0, "line" },
	{ "{", 0, "line 1" },
	{ "[]", 0, "must be a JSON object" },
	{ "{\"model\":\"m\",\"prompt\":\"\xff\xfe\"}", 0, "decode byte 0xff" },
	{ R"({"model":"m","model":"n","prompt":"p"})", 0, "duplicate" },
	{ R"({"prompt":"p"})", 0, "'model'" },
	{ R"({"model":"","prompt":"p"})", 0, "'model'" },
	{ R"({"model":"m"})", 0, "'prompt'" },
	{ R"({"model":"m","prompt":7})", 0, "'prompt'" },
	{ R"({"model":"m","prompt":"p","n":0})", 0, "'n'" },
	{ R"({"model":"m","prompt":"p","n":1000000000})", 0, "'n'" },
	{ R"({"model":"m","prompt":"p","n":-1})", 0, "'n'" },
	{ R"({"model":"m","prompt":"p","n":1.5})", 0, "'n'" },
	{ R"({"model":"m","prompt":"p","max_tokens":0})", 0, "'max_tokens'" },
	{ R"({"model":"m","prompt":"p","stream":"yes"})", 0, "'stream'" },
	{ R"({"model":"m","prompt":"p","currant":[]})", 0, "'currant'" },
	{ R"({"model":"m","prompt":"p","currant":{"trainer":"t"}})", 0,
	  "'currant.step'" },
	{ R"({"model":"m","messages":[]})", 1, "'messages'" },
	{ R"({"model":"m","messages":[{"role":"user"}]})", 1, "'messages[0]'" },
};

INSTANTIATE_TEST_SUITE_P(Table, Spec, ::testing::ValuesIn(spec_cases));

TEST(SpecBody, HoldsNothingOfTheCaller)
{
	const char *text = R"({"model":"m","prompt":"p","user":"me","seed":3,)"
			   R"("currant":{"trainer":"t","step":1,"group":2}})";
	struct completion_spec spec;
	struct error err = ERROR_INIT;
	json_t *body;
	std::string names;
	const char *name;
	json_t *value;

	ASSERT_EQ(0, completion_spec_parse(&spec, text, strlen(text), 0, &err));
	body = completion_spec_backend_body(&spec, "r.0.1", " so far", 9, 1,
					    10);
	json_object_foreach (body, name, value)
		names += std::string(name) + " ";
	EXPECT_EQ("seed prompt max_tokens n stream priority request_id ",
		  names);
	EXPECT_STREQ("p so far",
		     json_string_value(json_object_get(body, "prompt")));
	json_decref(body);
	completion_spec_finish(&spec);
}

static int collect(void *arg, const char *text, size_t len)
{
	*static_cast<std::string *>(arg) += std::string(text, len) + "|";
	return 0;
}

TEST(Sse, IsTheSameHoweverItIsCut)
{
	const std::string stream = ": note\ndata: one\n\ndata:two\r\n\r\n"
				   "event: x\ndata: {\"a\":1}\n\ndata: [DONE]"
				   "\n\n";

	for (size_t cut = 1; cut < stream.size(); cut++) {
		struct sse_parser parser;
		std::string got;

		sse_parser_init(&parser);
		for (size_t at = 0; at < stream.size(); at += cut)
			ASSERT_EQ(0, sse_parser_feed(
					     &parser, stream.data() + at,
					     std::min(cut, stream.size() - at),
					     collect, &got));
		EXPECT_EQ("one|two|{\"a\":1}|[DONE]|", got) << cut;
		sse_parser_finish(&parser);
	}
}

TEST(Sse, RefusesAnEndlessLine)
{
	struct sse_parser parser;
	std::string piece(64 * 1024, 'x');
	std::string got;
	int result = 0;

	sse_parser_init(&parser);
	for (int i = 0; i < 8 && !result; i++)
		result = sse_parser_feed(&parser, piece.data(), piece.size(),
					 collect, &got);
	EXPECT_EQ(-1, result);
	sse_parser_finish(&parser);
}

class SampleEvents : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		sample_init(&sample, NULL, 0, 1);
		strcpy(sample.backend_request_id, "r.0.1");
		strbuf_init(&added);
	}
	void TearDown() override
	{
		strbuf_finish(&added);
		sample_finish(&sample);
	}
	int take(const std::string &text)
	{
		return sample_take_event(&sample, text.data(), text.size(),
					 &added);
	}
	static std::string event(const char *id, const char *text, int version)
	{
		return std::string("{\"id\":\"") + id +
		       "\",\"choices\":[{\"index\":0,\"tokens\":1,"
		       "\"weight_version\":" +
		       std::to_string(version) + ",\"text\":\"" + text +
		       "\",\"finish_reason\":null}]}";
	}
	struct sample sample;
	struct strbuf added;
};

TEST_F(SampleEvents, NamesTheVersionOfEverySpan)
{
	EXPECT_EQ(1, take(event("r.0.1", "a", 4)));
	EXPECT_EQ(1, take(event("r.0.1", "b", 4)));
	EXPECT_EQ(1, take(event("r.0.1", "c", 5)));
	EXPECT_EQ(0, take("[DONE]"));
	EXPECT_STREQ("abc", sample.text.buf);
	ASSERT_EQ(2u, sample.span_count);
	EXPECT_EQ(2u, sample.spans[0].tokens);
	EXPECT_EQ(5u, sample.spans[1].version);
	EXPECT_EQ(4u, sample_oldest_version(&sample));
	EXPECT_TRUE(sample_is_traced(&sample));
	EXPECT_TRUE(sample.saw_end);
}

TEST_F(SampleEvents, RefusesAnotherRequestsAnswer)
{
	EXPECT_EQ(-1, take(event("r.0.2", "a", 4)));
	EXPECT_EQ(0u, sample.text.len);
}

TEST_F(SampleEvents, RefusesBrokenEvents)
{
	EXPECT_EQ(-1, take("{\"id\":"));
	EXPECT_EQ(-1, take("{}"));
}

TEST_F(SampleEvents, TokensWithoutAVersionAreNotTraced)
{
	EXPECT_EQ(1, take(event("r.0.1", "a", 0)));
	EXPECT_FALSE(sample_is_traced(&sample));
}
