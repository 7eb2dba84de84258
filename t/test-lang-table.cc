// Tables of `show`: filters, limits, both forms of print, configuration.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "t/lib-change.h"

extern "C" {
#include "lang/show_config.h"
#include "lang/table.h"
}

static struct statement parse(const char *text)
{
	struct statement out;
	struct parse_error err = {};

	EXPECT_EQ(0, statement_parse(text, static_cast<uint32_t>(strlen(text)),
				     &out, &err))
		<< err.text;
	return out;
}

class ShowConfig : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		const std::string secret = " salt=" + std::string(32, '1') +
					   " hash=" + std::string(64, 'f');
		const std::string changes[] = {
			"create team red weight=2",
			"create team blue max_in_flight=30",
			"create team green weight=30",
			"grant key k1 team=red" + secret,
			"grant key k2 team=blue" + secret,
			"withdraw key k2",
			"create route gen pool=lm team=red methods=post",
			"create route api kind=service pool=api path=/api "
			"open=true methods=get,put",
			"create bound gen max_versions=3",
			"create budget bergen-a pool=lm max_dear=4",
		};
		uint64_t position = 100;

		config_init(&config);
		for (const auto &words : changes) {
			ChangeText change(words);
			struct error err = ERROR_INIT;

			ASSERT_EQ(0, config_apply(&config, change.get(),
						  position++, &err))
				<< err.text;
		}
	}

	void TearDown() override
	{
		config_finish(&config);
	}

	std::string show(const char *text, bool as_json = false)
	{
		struct statement statement = parse(text);
		struct table table;
		struct strbuf out;

		table_init(&table, &statement);
		EXPECT_EQ(0, show_config(&config, &table));
		strbuf_init(&out);
		if (as_json)
			table_print_json(&table, &out);
		else
			table_print_text(&table, &out);
		std::string result = out.buf;
		strbuf_finish(&out);
		table_finish(&table);
		return result;
	}

	struct config config;
};

TEST_F(ShowConfig, SubjectsWhereAndLimit)
{
	const std::string teams = "name   weight  max_in_flight  version\n";
	const struct {
		const char *text;
		std::string rows;
	} cases[] = {
		{ "show teams",
		  teams + "blue        1             30      101\n"
			  "green      30              0      102\n"
			  "red         2              0      100\n" },
		{ "show teams where weight > 1 and weight <= 2",
		  "name  weight  max_in_flight  version\n"
		  "red        2              0      100\n" },
		{ "show teams where name != red limit 1",
		  "name  weight  max_in_flight  version\n"
		  "blue       1             30      101\n" },
		{ "show teams where name >= green and name < red",
		  teams + "green      30              0      102\n" },
		{ "show teams where name = none",
		  "name  weight  max_in_flight  version\n" },
		{ "show keys", "id  team  withdrawn  version\n"
			       "k1  red   false          103\n"
			       "k2  blue  true           105\n" },
		{ "show keys where withdrawn = false",
		  "id  team  withdrawn  version\n"
		  "k1  red   false          103\n" },
		{ "show bounds", "route  max_versions  version\n"
				 "gen               3      108\n" },
		{ "show budgets where data_centre = bergen-a",
		  "data_centre  pool  max_dear  max_cheap  "
		  "max_cents_per_hour  version\n"
		  "bergen-a     lm           4          0  "
		  "                 0      109\n" },
		{ "show configuration where kind = key",
		  "kind  name  attributes           version\n"
		  "key   k1    team red                 103\n"
		  "key   k2    team blue withdrawn      105\n" },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.rows, show(c.text)) << c.text;
}

TEST_F(ShowConfig, JsonNamesKindColumnsAndRows)
{
	EXPECT_EQ("{\"kind\":\"table\",\"columns\":[\"id\",\"team\","
		  "\"withdrawn\",\"version\"],\"rows\":[[\"k1\",\"red\",false,"
		  "103]]}",
		  show("show keys limit 1", true));
}

TEST_F(ShowConfig, AttributesAreWrittenAsInStatements)
{
	EXPECT_NE(std::string::npos,
		  show("show configuration where name = api")
			  .find("  kind service class batch pool api path /api "
				"open true repeatable false methods get,put "
				"deadline_ms 600000 max_tokens 4096  "));
}

// What show prints of an object creates the same object again.
TEST_F(ShowConfig, AttributesReadBackAsAStatement)
{
	struct statement all = parse("show configuration where kind != key");
	struct config copy;
	struct table table;

	config_init(&copy);
	table_init(&table, &all);
	ASSERT_EQ(0, show_config(&config, &table));
	ASSERT_EQ(7u, table.row_count);
	for (uint32_t i = 0; i < table.row_count; i++) {
		struct error err = ERROR_INIT;
		std::string text = "create";

		for (uint32_t column = 0; column < 3; column++)
			text += std::string(" ") +
				table_cell(&table, i, column)->text;
		struct statement statement = parse(text.c_str());
		Currant__Change *change = statement_to_change(&statement);
		EXPECT_EQ(0, config_apply(
				     &copy, change,
				     static_cast<uint64_t>(
					     table_cell(&table, i, 3)->number),
				     &err))
			<< text << ": " << err.text;
		currant__change__free_unpacked(change, nullptr);
	}
	EXPECT_EQ(0, memcmp(config.teams, copy.teams,
			    sizeof(*copy.teams) * config.team_count));
	EXPECT_EQ(0, memcmp(config.routes, copy.routes,
			    sizeof(*copy.routes) * config.route_count));
	EXPECT_EQ(0, memcmp(config.bounds, copy.bounds,
			    sizeof(*copy.bounds) * config.bound_count));
	EXPECT_EQ(0, memcmp(config.budgets, copy.budgets,
			    sizeof(*copy.budgets) * config.budget_count));
	table_finish(&table);
	config_finish(&copy);
}

TEST_F(ShowConfig, SecretsNeverAppear)
{
	const char *const all[] = { "show keys", "show configuration" };

	for (const char *text : all) {
		EXPECT_EQ(std::string::npos, show(text, true).find("1111"));
		EXPECT_EQ(std::string::npos, show(text, true).find("ffff"));
	}
}

TEST_F(ShowConfig, OtherSubjectsAreNotHeld)
{
	struct statement statement = parse("show hosts");
	struct table table;

	table_init(&table, &statement);
	EXPECT_EQ(-1, show_config(&config, &table));
	table_finish(&table);
}

TEST(Table, RowsWithoutLimitAreBounded)
{
	struct statement statement = parse("show weights where version > 0");
	struct table table;
	uint32_t added = 0;
	int more;

	table_init(&table, &statement);
	do {
		table_add_text(&table, "lm");
		table_add_integer(&table, added++);
		more = table_end_row(&table);
	} while (more);
	EXPECT_EQ(static_cast<uint32_t>(TABLE_ROWS_MAX), table.row_count);
	EXPECT_EQ(TABLE_ROWS_MAX + 2u, added);
	EXPECT_EQ(1, table.truncated);
	EXPECT_EQ(1, table_cell(&table, 0, 1)->number);
	table_finish(&table);
}

TEST(Table, TextOfForeignJsonIsChecked)
{
	const struct {
		const char *json;
		const char *text; // NULL: refused
	} cases[] = {
		{ "{\"columns\":[\"a\"],\"rows\":[[null],[\"x\\ny\"]]}",
		  "a\n-\nx y\n" },
		{ "{\"columns\":[\"a\"],\"rows\":[[1,2]]}", nullptr },
		{ "{\"columns\":[\"a\"],\"rows\":[1]}", nullptr },
		{ "{\"columns\":[],\"rows\":[]}", nullptr },
		{ "{\"rows\":[]}", nullptr },
		{ "{\"columns\":[\"\xc3\xa5\",\"b\"],\"rows\":[[\"x\",true]],"
		  "\"truncated\":true}",
		  "\xc3\xa5  b\nx  true\n(only the first 1 rows)\n" },
	};

	for (const auto &c : cases) {
		json_t *json = json_loads(c.json, 0, nullptr);
		struct error err = ERROR_INIT;
		struct strbuf out;

		strbuf_init(&out);
		EXPECT_EQ(c.text ? 0 : -1,
			  table_json_print_text(json, &out, &err));
		EXPECT_STREQ(c.text ? c.text : "", out.buf) << c.json;
		strbuf_finish(&out);
		json_decref(json);
	}
}
