// The configuration: verdicts on changes and what they leave behind.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "t/lib-change.h"

extern "C" {
#include "base/rng.h"
#include "lang/schema.h"
#include "state/config.h"
#include "state/config_table.h"
}

static const std::string secret =
	" salt=" + std::string(32, '1') + " hash=" + std::string(64, 'f');

class Config : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		config_init(&config);
	}

	void TearDown() override
	{
		config_finish(&config);
	}

	// "" or the reason of the rejection.
	std::string apply(const std::string &words)
	{
		ChangeText change(words);
		struct error err = ERROR_INIT;

		position++;
		if (!config_apply(&config, change.get(), position, &err))
			return "";
		code = err.code;
		return err.text;
	}

	struct config config;
	uint64_t position = 0;
	enum error_code code = ERROR_NONE;
};

struct Step {
	std::string words;
	std::string error;
};

TEST_F(Config, VerdictsInOrder)
{
	const Step steps[] = {
		{ "create team red weight=2", "" },
		{ "create team red", "team 'red' exists already" },
		{ "alter team blue weight=2", "team 'blue' does not exist" },
		{ "drop team blue", "team 'blue' does not exist" },
		{ "create team blue weight=0",
		  "attribute 'weight' must be a whole number from 1 to 1000, "
		  "but is \"0\"" },
		{ "create team blue weight=01",
		  "attribute 'weight' must be a whole number from 1 to 1000, "
		  "but is \"01\"" },
		{ "create team blue weight=1 weight=1",
		  "attribute 'weight' is given twice" },
		{ "create team blue colour=1",
		  "team 'blue' has no attribute 'colour'" },
		{ "create team bl/ue",
		  "a team must have a name of 1 to 63 letters, digits, '-', "
		  "'_' or '.'" },
		{ "alter team red", "no attribute of team 'red' is given" },
		{ "alter team red weight=5 @9",
		  "team 'red' is at version 1, not 9" },
		{ "alter team red weight=5 @1", "" },
		{ "drop team red @1", "team 'red' is at version 12, not 1" },
		{ "drop team red weight=1",
		  "attributes have no meaning when team 'red' goes" },
		{ "create team green @4",
		  "team 'green' is at version 0, not 4" },
		{ "grant team red", "'grant' has no meaning for a team" },
		{ "create key k1", "'create' has no meaning for a key" },
		{ "grant key k1 team=blue" + secret,
		  "team 'blue' does not exist" },
		{ "grant key k1 team=red", "key 'k1' needs attribute 'salt'" },
		{ "grant key k1 team=red salt=zz",
		  "attribute 'salt' must be 32 lower-case hexadecimal digits, "
		  "but is \"zz\"" },
		{ "grant key k1 team=red" + secret, "" },
		{ "grant key k1 team=red" + secret, "key 'k1' exists already" },
		{ "drop team red", "team 'red' still has key 'k1'" },
		{ "withdraw key k2", "key 'k2' does not exist" },
		{ "withdraw key k1", "" },
		{ "withdraw key k1", "key 'k1' is withdrawn already" },
		{ "grant key k1 team=red" + secret,
		  "key 'k1' was withdrawn and cannot be granted again" },
		{ "create route gen", "route 'gen' needs attribute 'pool'" },
		{ "create route gen pool=lm team=blue",
		  "team 'blue' does not exist" },
		{ "create route gen pool=lm open=true team=red",
		  "route 'gen' is open to all and takes no team" },
		{ "create route gen pool=lm path=/x",
		  "route 'gen' leads to engines and takes no path" },
		{ "create route api pool=api kind=service",
		  "route 'api' leads to a service and needs a path" },
		{ "create route gen pool=lm methods=post,head",
		  "attribute 'methods' must be some of get post put delete, "
		  "separated by commas, but is \"post,head\"" },
		{ "create route gen pool=lm team=red", "" },
		{ "drop team red", "team 'red' still has route 'gen'" },
		{ "create route api pool=api kind=service path=/a", "" },
		{ "create route api2 pool=api kind=service path=/a",
		  "route 'api' already has path /a" },
		{ "create route api2 pool=api kind=service path=/a/../b",
		  "attribute 'path' must be a path such as /status (\"\" for "
		  "none), but is \"/a/../b\"" },
		{ "create bound none max_versions=2",
		  "route 'none' does not exist" },
		{ "create bound api max_versions=2",
		  "route 'api' leads to a service, which has no weight "
		  "versions" },
		{ "create bound gen max_versions=2", "" },
		{ "drop route gen", "route 'gen' still has a staleness bound" },
		{ "alter route gen kind=service path=/g",
		  "route 'gen' has a staleness bound and must lead to "
		  "engines" },
		{ "drop bound gen", "" },
		{ "drop route gen", "" },
		{ "create budget bergen-a pool=lm max_dear=4", "" },
		{ "create 9 x", "unknown kind 9 of object" },
		{ "9 team x", "unknown verb 9 of a change" },
		{ "drop team red", "" },
	};

	for (const auto &step : steps)
		EXPECT_EQ(step.error, apply(step.words)) << step.words;
}

TEST_F(Config, CodesTellConflictsFromMistakes)
{
	ASSERT_EQ("", apply("create team red"));
	apply("alter team red weight=2 @7");
	EXPECT_EQ(ERROR_CONFLICT, code);
	apply("alter team blue weight=2");
	EXPECT_EQ(ERROR_NOT_FOUND, code);
	apply("alter team red weight=x");
	EXPECT_EQ(ERROR_INVALID, code);
}

TEST_F(Config, AcceptedChangesAreStored)
{
	ASSERT_EQ("", apply("create team red max_in_flight=7"));
	ASSERT_EQ("", apply("grant key k1 team=red" + secret));
	ASSERT_EQ("", apply("create route gen pool=lm team=red "
			    "methods=post,delete class=latency "
			    "repeatable=true"));
	const struct team *team = config_team(&config, "red");
	const struct key *key = config_key(&config, "k1");
	const struct route *route = config_route(&config, "gen");

	EXPECT_EQ(1u, team->weight);
	EXPECT_EQ(7u, team->max_in_flight);
	EXPECT_EQ(0x11, key->salt[15]);
	EXPECT_EQ(0xff, key->hash[31]);
	EXPECT_FALSE(key->withdrawn);
	EXPECT_EQ(METHOD_POST | METHOD_DELETE, route->methods);
	EXPECT_EQ(ROUTE_LATENCY, route->class_);
	EXPECT_EQ(1, route->repeatable);
	EXPECT_EQ(600000u, route->deadline_ms);
	EXPECT_EQ(3u, config.position);
	EXPECT_EQ("team 'none-yet' does not exist",
		  apply("alter route gen team=none-yet @3"));
	EXPECT_STREQ("red", route->team);
	EXPECT_EQ(3u, config.position);
}

TEST_F(Config, LongestPathPrefixWins)
{
	const struct {
		const char *path;
		const char *route;
	} cases[] = {
		{ "/status", "a" },	   { "/status/9?x=/status/road", "a" },
		{ "/status?x", "a" },	   { "/status/road", "b" },
		{ "/status/road/9", "b" }, { "/status/roads", "a" },
		{ "/statusx", "" },	   { "/", "" },
	};

	ASSERT_EQ("", apply("create route a pool=p kind=service path=/status"));
	ASSERT_EQ("", apply("create route b pool=p kind=service "
			    "path=/status/road"));
	ASSERT_EQ("", apply("create route c pool=p"));
	for (const auto &c : cases) {
		const struct route *route =
			config_route_for_path(&config, c.path);

		EXPECT_STREQ(c.route, route ? route->name : "") << c.path;
	}
}

TEST_F(Config, TablesOfTenThousandKeysAreSearched)
{
	ASSERT_EQ("", apply("create team red"));
	for (int i = 0; i < 10000; i++)
		ASSERT_EQ("", apply("grant key k" +
				    std::to_string(i * 7919 % 10000) +
				    " team=red" + secret));
	for (int i = 0; i < 10000; i++) {
		std::string id = "k" + std::to_string(i);

		ASSERT_STREQ(id.c_str(), config_key(&config, id.c_str())->id);
	}
	EXPECT_EQ(nullptr, config_key(&config, "k10000"));
}

TEST(ConfigTable, MembersStandInTheOrderOfTheSchema)
{
	uint32_t count;
	const struct config_table *tables = config_tables(&count);

	for (uint32_t i = 0; i < count; i++) {
		const struct object_schema *schema =
			schema_object(tables[i].kind);

		ASSERT_EQ(schema->attribute_count, tables[i].member_count);
		for (uint32_t j = 0; j < schema->attribute_count; j++)
			EXPECT_STREQ(schema->attributes[j].name,
				     tables[i].members[j].attribute);
	}
}

// Mostly what suits the kind, now and then what suits another or none.
static std::string random_change(struct rng *rng)
{
	static const std::vector<std::string> attributes[] = {
		{ " odd=1", " max_tokens=0", " @40", " weight=x" },
		{ " weight=3", " weight=4", " max_in_flight=2" },
		{ " team=n1", " team=n2" },
		{ " kind=service", " kind=engine", " path=/n1", " path=/n2",
		  " path=", " open=true", " open=false", " team=n1",
		  " team=", " class=latency", " methods=get" },
		{ " max_versions=1", " max_versions=2" },
		{ " max_dear=2", " max_cheap=1" },
		{ " @1" },
	};
	uint64_t kind = rng_below(rng, 7);
	uint64_t verb = rng_below(rng, 7);
	std::string words = std::to_string(verb) + " " + std::to_string(kind) +
			    " n" + std::to_string(rng_below(rng, 4));

	if (kind == 2 && rng_below(rng, 8))
		words += std::to_string(rng_below(rng, 200)) + " team=n" +
			 std::to_string(rng_below(rng, 4)) + secret;
	else if (verb == 1 && (kind == 3 || kind == 5))
		words += " pool=n1";
	if (verb > 2)
		return words;
	for (uint64_t n = rng_below(rng, 3); n; n--) {
		const auto &of = attributes[rng_below(rng, 10) ? kind : 0];

		words += of[rng_below(rng, of.size())];
	}
	return words;
}

static std::string content(const struct config *config)
{
	std::string all;
	auto add = [&all](const void *data, size_t size) {
		if (size)
			all.append(static_cast<const char *>(data), size);
		all += "|";
	};

	add(config->teams, sizeof(*config->teams) * config->team_count);
	add(config->keys, sizeof(*config->keys) * config->key_count);
	add(config->routes, sizeof(*config->routes) * config->route_count);
	add(config->bounds, sizeof(*config->bounds) * config->bound_count);
	add(config->budgets, sizeof(*config->budgets) * config->budget_count);
	add(&config->position, sizeof(config->position));
	return all;
}

// Seed 2: 30,000 random changes leave two copies and a clone the same, and
// a rejected change leaves no trace.
TEST(ConfigDeterminism, SameChangesSameVerdicts)
{
	struct config first, second;
	struct rng rng;
	uint32_t accepted = 0;

	rng_init(&rng, 2);
	config_init(&first);
	config_init(&second);
	for (uint64_t position = 1; position <= 30000; position++) {
		ChangeText change(random_change(&rng));
		struct error first_err = ERROR_INIT, second_err = ERROR_INIT;
		std::string before = content(&first);
		int verdict = config_apply(&first, change.get(), position,
					   &first_err);

		ASSERT_EQ(verdict, config_apply(&second, change.get(), position,
						&second_err));
		ASSERT_STREQ(first_err.text, second_err.text);
		ASSERT_EQ(content(&first), content(&second));
		if (verdict) {
			ASSERT_EQ(before, content(&first));
		}
		accepted += !verdict;
		if (position % 100)
			continue;
		config_finish(&second);
		config_clone(&second, &first);
	}
	EXPECT_GT(accepted, 1500u);
	EXPECT_LT(accepted, 29000u);
	config_finish(&first);
	config_finish(&second);
}
