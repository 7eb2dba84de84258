#include "request/json_body.h"

#include <stdint.h>
#include <stdio.h>
#include <string.h>

/* What the parser would make of a text. */
struct json_size {
	uint32_t depth; /* of arrays and objects */
	uint32_t values; /* and names, at most */
};

/* Each value but the first comes behind one of these. */
static int precedes_value(char c)
{
	return c == ',' || c == '[' || c == '{' || c == ':';
}

static struct json_size measure(const char *text, size_t len)
{
	struct json_size size = { .values = 1 };
	uint32_t depth = 0;
	int in_string = 0;

	for (size_t i = 0; i < len; i++) {
		if (in_string) {
			if (text[i] == '\\')
				i++;
			else if (text[i] == '"')
				in_string = 0;
			continue;
		}
		in_string = text[i] == '"';
		size.values += precedes_value(text[i]);
		if (text[i] == '[' || text[i] == '{')
			depth++;
		else if ((text[i] == ']' || text[i] == '}') && depth)
			depth--;
		if (depth > size.depth)
			size.depth = depth;
	}
	return size;
}

int json_body_is_deep(const char *text, size_t len)
{
	return measure(text, len).depth > JSON_BODY_DEPTH_MAX;
}

int json_body_has_many_values(const char *text, size_t len)
{
	return measure(text, len).values > JSON_BODY_VALUES_MAX;
}

json_t *json_body_parse(const char *text, size_t len, json_error_t *why)
{
	struct json_size size = measure(text, len);
	int is_deep = size.depth > JSON_BODY_DEPTH_MAX;

	if (!is_deep && size.values <= JSON_BODY_VALUES_MAX)
		return json_loadb(text, len, JSON_REJECT_DUPLICATES, why);
	memset(why, 0, sizeof(*why));
	why->line = 1;
	if (is_deep)
		snprintf(why->text, sizeof(why->text),
			 "arrays and objects are nested deeper than %d levels",
			 JSON_BODY_DEPTH_MAX);
	else
		snprintf(why->text, sizeof(why->text),
			 "there are more than %d names and values",
			 JSON_BODY_VALUES_MAX);
	return NULL;
}
