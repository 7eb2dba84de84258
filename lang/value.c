#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lang/schema.h"
#include "state/config.h"
#include "state/name.h"

#define UINT_DIGITS_MAX 18
#define EXPECTED_BYTES 160
#define HELD_BYTES 48

static int uint_is_valid(const struct attribute_schema *attribute,
			 const char *value)
{
	size_t len = strlen(value);
	uint64_t number;

	if (!len || len > UINT_DIGITS_MAX ||
	    strspn(value, "0123456789") != len || (len > 1 && *value == '0'))
		return 0;
	number = strtoull(value, NULL, 10);
	return number >= attribute->min && number <= attribute->max;
}

/* Normal form only, so that a prefix has one spelling. */
static int path_is_valid(const char *value)
{
	if (*value != '/' || strlen(value) >= PATH_BYTES ||
	    strstr(value, "//") || strstr(value, "/."))
		return 0;
	for (; *value; value++)
		if (!name_byte_is_valid(*value) && *value != '/' &&
		    *value != '~')
			return 0;
	return 1;
}

static int hex_is_valid(const struct attribute_schema *attribute,
			const char *value)
{
	size_t len = strlen(value);

	return len == 2 * attribute->max &&
	       strspn(value, "0123456789abcdef") == len;
}

int schema_word_index(const char *words, const char *word, uint32_t len)
{
	int index = 0;

	while (*words) {
		size_t this_len = strcspn(words, " ");

		if (len == this_len && !memcmp(words, word, len))
			return index;
		words += this_len;
		words += *words == ' ';
		index++;
	}
	return -1;
}

uint32_t schema_word_mask(const char *words, const char *value)
{
	uint32_t mask = 0;

	for (;;) {
		size_t len = strcspn(value, ",");
		int index = schema_word_index(words, value, (uint32_t)len);

		if (index < 0)
			return 0;
		mask |= UINT32_C(1) << index;
		if (!value[len])
			return mask;
		value += len + 1;
	}
}

static int value_is_valid(const struct attribute_schema *attribute,
			  const char *value)
{
	switch (attribute->type) {
	case ATTRIBUTE_UINT:
		return uint_is_valid(attribute, value);
	case ATTRIBUTE_BOOL:
		return !strcmp(value, "true") || !strcmp(value, "false");
	case ATTRIBUTE_NAME:
		return (!*value && !attribute->min) || name_is_valid(value);
	case ATTRIBUTE_PATH:
		return (!*value && !attribute->min) || path_is_valid(value);
	case ATTRIBUTE_WORD:
		return schema_word_index(attribute->words, value,
					 (uint32_t)strlen(value)) >= 0;
	case ATTRIBUTE_WORDS:
		return schema_word_mask(attribute->words, value) != 0;
	case ATTRIBUTE_HEX:
		return hex_is_valid(attribute, value);
	}
	return 0;
}

void schema_print_expected(const struct attribute_schema *attribute, char *out,
			   uint32_t size)
{
	const char *or_none = attribute->min ? "" : " (\"\" for none)";

	switch (attribute->type) {
	case ATTRIBUTE_UINT:
		snprintf(out, size,
			 "a whole number from %" PRIu64 " to %" PRIu64,
			 attribute->min, attribute->max);
		break;
	case ATTRIBUTE_BOOL:
		snprintf(out, size, "true or false");
		break;
	case ATTRIBUTE_NAME:
		snprintf(out, size, "%s%s", NAME_EXPECTED, or_none);
		break;
	case ATTRIBUTE_PATH:
		snprintf(out, size, "a path such as /status%s", or_none);
		break;
	case ATTRIBUTE_WORD:
		snprintf(out, size, "one of %s", attribute->words);
		break;
	case ATTRIBUTE_WORDS:
		snprintf(out, size, "some of %s, separated by commas",
			 attribute->words);
		break;
	case ATTRIBUTE_HEX:
		snprintf(out, size, "%" PRIu64 " lower-case hexadecimal digits",
			 2 * attribute->max);
		break;
	}
}

void schema_print_held(const char *text, char *out, uint32_t size)
{
	uint32_t len = 0;

	for (; text[len] && len + 1 < size; len++)
		out[len] = text[len] >= ' ' && text[len] <= '~' ? text[len]
								: '?';
	out[len] = '\0';
	if (text[len] && size > 4)
		memcpy(out + size - 4, "...", 4);
}

int schema_check_value(const struct attribute_schema *attribute,
		       const char *value, struct error *err)
{
	char expected[EXPECTED_BYTES];
	char held[HELD_BYTES];

	if (value_is_valid(attribute, value))
		return 0;
	schema_print_expected(attribute, expected, sizeof(expected));
	schema_print_held(value, held, sizeof(held));
	return error_set(err, ERROR_INVALID,
			 "attribute '%s' must be %s, but is \"%s\"",
			 attribute->name, expected, held);
}
