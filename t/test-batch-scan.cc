// Finding the items of a batch without parsing it. Guards against texts that
// take far more memory as a tree than as text, and against items that are cut
// at a bracket or comma within a string.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "platform/batch_codec.h"
}

namespace
{

std::string repeat(const std::string &text, int count)
{
	std::string out;

	while (count--)
		out += text;
	return out;
}

const std::string ITEM = R"({"id":"a","path":"/p"})";
const std::string OTHER = R"({"id":"b","path":"/p"})";

struct ScanCase {
	const char *name;
	std::string text;
	uint32_t items; // 0: the text is refused
	const char *error; // a substring
};

const ScanCase cases[] = {
	{ "one item", "{\"items\":[" + ITEM + "]}", 1, "" },
	{ "spaces", " { \"items\" : [ " + ITEM + " , " + OTHER + " ] } ", 2,
	  "" },
	{ "items between other members",
	  "{\"step\":1,\"items\":[" + ITEM + "],\"model\":\"m\"}", 1, "" },
	{ "a member of that name in another one",
	  "{\"x\":{\"items\":[1,2]},\"items\":[" + ITEM + "]}", 1, "" },
	{ "a text like a member",
	  R"({"x":"\"items\":[","items":[)" + ITEM + "]}", 1, "" },
	{ "brackets and commas in texts",
	  R"({"items":[{"id":"a]},{","path":"/p\\","group":"\"]"}]})", 1, "" },
	{ "nested values",
	  R"({"items":[{"id":"a","path":"/p","headers":{"X-A":"1,2"}},)" +
		  OTHER + "]}",
	  2, "" },
	{ "two lists of items",
	  "{\"items\":[" + ITEM + "],\"items\":[" + OTHER + "]}", 0,
	  "2 members" },
	{ "a list and another value of that name",
	  "{\"items\":[" + ITEM + "],\"items\":null}", 0, "2 members" },
	{ "no items", "{\"items\":[ ]}", 0, "from 1 to" },
	{ "items that are no list", "{\"items\":{}}", 0, "from 1 to" },
	{ "a comma at the end", "{\"items\":[" + ITEM + ",]}", 0, "item" },
	{ "two values in an item's place", "{\"items\":[" + ITEM + ITEM + "]}",
	  0, "item" },
	{ "a number", "{\"items\":[7]}", 0, "item" },
	{ "cut in an item", "{\"items\":[{\"id\":\"a\"", 0, "JSON" },
	{ "cut in a text", "{\"items\":[{\"id\":\"a", 0, "JSON" },
	{ "cut behind an escape", "{\"items\":[\"\\", 0, "JSON" },
	{ "more behind the object", "{\"items\":[" + ITEM + "]}{}", 0, "JSON" },
	{ "a list", "[" + ITEM + "]", 0, "JSON" },
	{ "nothing", "", 0, "JSON" },
	{ "too many items", "{\"items\":[" + repeat("{},", 100000) + "{}]}", 0,
	  "100000" },
	{ "too many values in an item",
	  "{\"items\":[{\"x\":[" + repeat("0,", 5000) + "0]}]}", 0, "4096" },
	{ "too many values beside the items",
	  "{\"x\":[" + repeat("[],", 5000) + "0],\"items\":[" + ITEM + "]}", 0,
	  "4096" },
	{ "too many values behind the object",
	  "{\"items\":[" + ITEM + "]}" + repeat("[", 5000), 0, "4096" },
};

TEST(BatchScan, FindsTheItems)
{
	for (const ScanCase &c : cases) {
		SCOPED_TRACE(c.name);
		struct error err = ERROR_INIT;
		struct batch_draft draft;
		int result = platform_batch_decode(c.text.data(), c.text.size(),
						   &draft, &err);

		EXPECT_EQ(c.items ? 0 : -1, result) << err.text;
		EXPECT_NE(nullptr, strstr(err.text, c.error)) << err.text;
		if (!result) {
			EXPECT_EQ(c.items, draft.item_count);
			batch_draft_finish(&draft);
		}
	}
}

TEST(BatchScan, EstimatesTheMemory)
{
	std::string text =
		"{\"items\":[" + repeat(ITEM + ",", 999) + OTHER + "]}";

	EXPECT_GE(platform_batch_draft_bytes(text.data(), text.size()),
		  1000 * sizeof(struct draft_item));
	EXPECT_LE(platform_batch_draft_bytes("{}", 2), 2u);
	text = "{\"items\":[{\"body\":\"" + repeat("x", 1000000) + "\"}]}";
	EXPECT_GE(platform_batch_draft_bytes(text.data(), text.size()),
		  4000000u)
		<< "the parser holds it several times";
	text = "{\"items\":[" + repeat(",", 200000) + "]}";
	EXPECT_EQ(0u, platform_batch_draft_bytes(text.data(), text.size()))
		<< "the decoder refuses it before it takes memory";
}

} // namespace
