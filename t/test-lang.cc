// The query and command language: what is taken, and where it is refused.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "base/rng.h"
#include "lang/statement.h"
#include "state/config.h"
}

// "" or "column N: reason".
static std::string parse(const std::string &text, struct statement *out)
{
	struct parse_error err = {};

	if (!statement_parse(text.data(), static_cast<uint32_t>(text.size()),
			     out, &err))
		return "";
	return "column " + std::to_string(err.column) + ": " + err.text;
}

static std::string describe(const struct statement &s)
{
	static const char *const comparisons[] = { "=",	 "!=", "<",
						   "<=", ">",  ">=" };
	std::string all;

	if (s.kind == STATEMENT_SHOW) {
		all = "show " + std::to_string(s.subject);
		for (uint32_t i = 0; i < s.condition_count; i++)
			all += std::string(" ") + s.conditions[i].column +
			       comparisons[s.conditions[i].comparison] +
			       s.conditions[i].value;
		return all + " " + std::to_string(s.limit);
	}
	all = std::to_string(s.verb) + " " + std::to_string(s.object) + " " +
	      s.name;
	for (uint32_t i = 0; i < s.attribute_count; i++)
		all += std::string(" ") + s.attributes[i].name + "=" +
		       s.attributes[i].value;
	if (s.has_expected_version)
		all += " @" + std::to_string(s.expected_version);
	return all;
}

TEST(Lang, StatementsAreTaken)
{
	const struct {
		const char *text;
		const char *meaning;
	} cases[] = {
		{ "create team red", "1 1 red" },
		{ "create team \"red\" weight 2 max_in_flight 007;",
		  "1 1 red weight=2 max_in_flight=7" },
		{ "  alter\tteam red weight 3 if version 8193 ; ; -- why",
		  "2 1 red weight=3 @8193" },
		{ "drop team red if version 0", "3 1 red @0" },
		{ "grant key k-1 to red", "4 2 k-1 team=red" },
		{ "withdraw key k--1 -- gone", "5 2 k--1" },
		{ "create route api kind service pool p path /status/road "
		  "methods get , post open true",
		  "1 3 api kind=service pool=p path=/status/road "
		  "methods=get,post open=true" },
		{ "alter route api team \"\"", "2 3 api team=" },
		{ "create bound gen max_versions 2", "1 4 gen max_versions=2" },
		{ "create budget bergen-a pool lm max_dear 4 max_cheap 8",
		  "1 5 bergen-a pool=lm max_dear=4 max_cheap=8" },
		{ "show teams", "show 0 0" },
		{ "show samples where trainer = \"t 1\" and step>=5 and "
		  "staleness != 0 limit 20;",
		  "show 6 trainer=t 1 step>=5 staleness!=0 20" },
		{ "show keys where withdrawn = false",
		  "show 1 withdrawn=false 0" },
		{ "show\nhosts", "show 11 0" },
	};

	for (const auto &c : cases) {
		struct statement out;

		ASSERT_EQ("", parse(c.text, &out)) << c.text;
		EXPECT_EQ(c.meaning, describe(out)) << c.text;
	}
}

TEST(Lang, FaultsNameColumnExpectedAndFound)
{
	const struct {
		std::string text;
		std::string error;
	} cases[] = {
		{ "create temas red",
		  "column 8: unknown object \"temas\", expected team, key, "
		  "route, bound or budget" },
		{ "", "column 1: expected a statement: create, alter, drop, "
		      "grant, withdraw or show, found the end" },
		{ "-- only this",
		  "column 13: expected a statement: create, alter, drop, "
		  "grant, withdraw or show, found the end" },
		{ "Create team red",
		  "column 1: expected a statement: create, alter, drop, "
		  "grant, withdraw or show, found \"Create\"" },
		{ "create", "column 7: expected team, key, route, bound or "
			    "budget, found the end" },
		{ "create key k",
		  "column 8: expected team, route, bound or budget (a key "
		  "has only grant and withdraw), found \"key\"" },
		{ "grant team red", "column 7: expected \"key\", found "
				    "\"team\"" },
		{ "create team", "column 12: expected the name of the team, "
				 "found the end" },
		{ "create team a/b",
		  "column 13: expected the name of the team, a name of 1 to "
		  "63 letters, digits, '-', '_' or '.', found \"a/b\"" },
		{ "create team red wieght 2",
		  "column 17: unknown attribute \"wieght\" of a team, expected "
		  "weight, max_in_flight" },
		{ "create team red weight",
		  "column 23: expected a value of \"weight\", a whole number "
		  "from 1 to 1000, found the end" },
		{ "create team red weight -1",
		  "column 24: expected a value of \"weight\", a whole number "
		  "from 1 to 1000, found \"-1\"" },
		{ "create team red weight 2 weight 3",
		  "column 26: attribute \"weight\" is given twice, expected "
		  "each once" },
		{ "create route gen",
		  "column 17: expected attribute \"pool\", which a route "
		  "needs, found the end" },
		{ "create bound gen if version 3",
		  "column 18: expected attribute \"max_versions\", which a "
		  "bound needs, found \"if\"" },
		{ "create route gen pool p methods get,",
		  "column 37: expected a value of \"methods\", some of get "
		  "post put delete, separated by commas, found the end" },
		{ "create route gen pool p methods head",
		  "column 33: expected a value of \"methods\", some of get "
		  "post put delete, separated by commas, found \"head\"" },
		{ "alter team red", "column 15: expected weight, "
				    "max_in_flight, found the end" },
		{ "drop team red weight 1",
		  "column 15: expected the end of the statement, found "
		  "\"weight\"" },
		{ "grant key k1 red",
		  "column 14: expected \"to\", found \"red\"" },
		{ "grant key k1 to red salt 00",
		  "column 21: expected the end of the statement, found "
		  "\"salt\"" },
		{ "drop team red if 3",
		  "column 18: expected \"version\", found \"3\"" },
		{ "drop team red if version x",
		  "column 26: expected a version, a whole number from 0 to "
		  "999999999999999999, found \"x\"" },
		{ "show teas", "column 6: unknown subject \"teas\", expected "
			       "teams, keys, routes, bounds, budgets, "
			       "configuration, samples, requests, usage, "
			       "weights, backend_servers, hosts, leases" },
		{ "show teams were name = a",
		  "column 12: expected \"where\", \"limit\" or the end, found "
		  "\"were\"" },
		{ "show teams where size = 1",
		  "column 18: unknown column \"size\" of teams, expected name, "
		  "weight, max_in_flight, version" },
		{ "show teams where weight",
		  "column 24: expected =, !=, <, <=, > or >=, found the end" },
		{ "show teams where weight = many",
		  "column 27: expected a whole number for column \"weight\", "
		  "found \"many\"" },
		{ "show keys where withdrawn < true",
		  "column 27: expected = or != for true and false, found "
		  "\"<\"" },
		{ "show teams where name = a or name = b",
		  "column 27: expected \"and\", \"limit\" or the end, found "
		  "\"or\"" },
		{ "show teams limit 0",
		  "column 18: expected a limit, a whole number from 1 to "
		  "1000000, found \"0\"" },
		{ "drop team \"red", "column 11: string without its closing "
				     "quote" },
		{ "drop team \"r\xff\"",
		  "column 13: byte 0xff in a string, expected visible ASCII" },
		{ "drop team (", "column 11: unexpected byte 0x28, expected a "
				 "word, a string or a comparison" },
		{ std::string("drop\0team", 9),
		  "column 5: unexpected byte 0x00, expected a word, a string "
		  "or a comparison" },
		{ "drop team " + std::string(200, 'a'),
		  "column 11: expected the name of the team of at most 127 "
		  "bytes, found 200 bytes" },
		{ "drop team a; drop team b",
		  "column 14: expected the end of the statement, found "
		  "\"drop\"" },
	};

	for (const auto &c : cases) {
		struct statement out;

		EXPECT_EQ(c.error, parse(c.text, &out)) << c.text;
	}
}

TEST(Lang, ConditionsAreBounded)
{
	std::string text = "show teams where weight = 1";
	struct statement out;

	for (int i = 1; i < STATEMENT_CONDITIONS_MAX; i++)
		text += " and weight = 1";
	EXPECT_EQ("", parse(text, &out));
	EXPECT_EQ("column 138: expected at most 8 conditions, found "
		  "\"weight\"",
		  parse(text + " and weight = 1", &out));
}

TEST(Lang, BlankTextIsTold)
{
	const struct {
		const char *text;
		int blank;
	} cases[] = {
		{ "", 1 },     { " \t", 1 }, { "-- no", 1 },  { "; ;", 1 },
		{ "show", 0 }, { "\"", 0 },  { "- drop", 0 },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.blank,
			  statement_is_blank(c.text, static_cast<uint32_t>(
							     strlen(c.text))))
			<< c.text;
}

TEST(Lang, StatementBecomesChange)
{
	struct statement out;

	ASSERT_EQ("", parse("grant key k1 to red if version 3", &out));
	Currant__Change *change = statement_to_change(&out);
	change_add_attribute(change, "salt", "00");
	EXPECT_STREQ("k1", change->name);
	ASSERT_EQ(2u, change->n_attributes);
	EXPECT_STREQ("red", change->attributes[0]->value);
	EXPECT_STREQ("salt", change->attributes[1]->name);
	EXPECT_EQ(3u, change->expected_version);
	currant__change__free_unpacked(change, nullptr);
}

static std::string mutate(struct rng *rng, std::string text)
{
	static const std::vector<std::string> pieces = {
		" ",	" team ", " \"",   "\"", ";",	 "--",	 "if version ",
		" 9 ",	"=",	  " and ", ",",	 "\xc3", "\n",	 " limit 1",
		" to ", "(",	  "x",	   "/",	 "0",	 "key ", " where ",
	};

	for (uint64_t n = rng_below(rng, 4); n; n--) {
		size_t at = rng_below(rng, text.size() + 1);

		text.replace(at, rng_below(rng, 5),
			     pieces[rng_below(rng, pieces.size())]);
	}
	return text;
}

// Seed 3: of 50,000 mutated statements each is applied or refused with a
// column within the text.
TEST(Lang, MutatedStatementsNeverCrash)
{
	const std::vector<std::string> bases = {
		"create team red weight 2 max_in_flight 100",
		"alter team red weight 9 if version 1",
		"alter team red weight 3",
		"drop bound r",
		"grant key k1 to red",
		"withdraw key k1",
		"create route r pool p methods get,post deadline_ms 5",
		"create bound r max_versions 2",
		"create budget bergen-a pool p max_dear 4",
		"show samples where trainer = \"t1\" and step >= 5 limit 20",
	};
	struct config config;
	struct rng rng;
	uint32_t refused = 0, accepted = 0, rejected = 0;

	rng_init(&rng, 3);
	config_init(&config);
	for (uint32_t i = 1; i <= 50000; i++) {
		std::string text =
			mutate(&rng, bases[rng_below(&rng, bases.size())]);
		struct parse_error err = {};
		struct error why = ERROR_INIT;
		struct statement out;

		if (statement_parse(text.data(),
				    static_cast<uint32_t>(text.size()), &out,
				    &err)) {
			refused++;
			ASSERT_GE(err.column, 1u) << text;
			ASSERT_LE(err.column, text.size() + 1) << text;
			ASSERT_STRNE("", err.text) << text;
			continue;
		}
		if (out.kind == STATEMENT_SHOW)
			continue;
		Currant__Change *change = statement_to_change(&out);

		if (change->verb == CURRANT__CHANGE_VERB__CHANGE_VERB_GRANT) {
			change_add_attribute(change, "salt",
					     std::string(32, 'a').c_str());
			change_add_attribute(change, "hash",
					     std::string(64, 'b').c_str());
		}
		if (config_apply(&config, change, i, &why))
			rejected++;
		else
			accepted++;
		currant__change__free_unpacked(change, nullptr);
	}
	EXPECT_GT(refused, 1000u);
	EXPECT_GT(accepted, 1000u);
	EXPECT_GT(rejected, 1000u);
	config_finish(&config);
}
