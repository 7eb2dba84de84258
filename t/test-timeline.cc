// The time line: order by logical time, bounds and escaping.
#include <gtest/gtest.h>

#include <jansson.h>

#include <string>

extern "C" {
#include "timeline/timeline.h"
}

static json_t *parse(struct timeline *timeline)
{
	struct strbuf out;

	strbuf_init(&out);
	timeline_print_json(timeline, &out);
	json_t *array = json_loadb(out.buf, out.len, 0, nullptr);
	EXPECT_TRUE(json_is_array(array)) << out.buf;
	strbuf_finish(&out);
	return array;
}

static std::string text_of(json_t *array, size_t index)
{
	return json_string_value(
		json_object_get(json_array_get(array, index), "text"));
}

TEST(Timeline, KeepsTheNewestWithinItsBound)
{
	struct timeline timeline;

	timeline_init(&timeline, "entry-1", 3);
	for (int i = 0; i < 5; i++)
		timeline_add(&timeline, "test", "event %d", i);
	json_t *array = parse(&timeline);
	ASSERT_EQ(3u, json_array_size(array));
	EXPECT_EQ("event 2", text_of(array, 0));
	EXPECT_EQ("event 4", text_of(array, 2));
	json_decref(array);
	timeline_finish(&timeline);
}

TEST(Timeline, PutsACauseBeforeItsEffect)
{
	struct timeline ahead, behind;

	timeline_init(&ahead, "entry-1", 8);
	timeline_init(&behind, "entry-2", 8);
	for (int i = 0; i < 100; i++)
		timeline_add(&ahead, "test", "earlier");
	timeline_add(&ahead, "test", "cause");
	uint64_t cause = ahead.lamport;
	timeline_on_receive(&behind, timeline_on_send(&ahead));
	timeline_add(&behind, "test", "effect");
	EXPECT_GT(behind.lamport, cause);
	/* An older message does not set the clock back. */
	uint64_t before = behind.lamport;
	timeline_on_receive(&behind, 1);
	EXPECT_GT(behind.lamport, before);
	timeline_finish(&ahead);
	timeline_finish(&behind);
}

TEST(Timeline, PrintsWholeJsonWhateverTheText)
{
	struct timeline timeline;
	const char *texts[] = { "quote \" backslash \\", "line\nfeed\ttab",
				"cut \xc3", "" };

	timeline_init(&timeline, "entry-1", 8);
	for (const char *text : texts)
		timeline_add(&timeline, "test", "%s", text);
	timeline_add(&timeline, "test", "%s", std::string(500, 'x').c_str());
	json_t *array = parse(&timeline);
	ASSERT_EQ(5u, json_array_size(array));
	EXPECT_EQ(texts[0], text_of(array, 0));
	EXPECT_EQ(texts[1], text_of(array, 1));
	EXPECT_EQ(TIMELINE_TEXT_BYTES - 1u, text_of(array, 4).size());
	json_decref(array);
	timeline_finish(&timeline);
}
