#include "lang/schema.h"

#include <string.h>

#include "base/alloc.h"
#include "state/config.h"

static const struct attribute_schema team_attributes[] = {
	{ "weight", ATTRIBUTE_UINT, 1, 1000, NULL, 0, 0, "1" },
	{ "max_in_flight", ATTRIBUTE_UINT, 0, 1000000, NULL, 0, 0, "0" },
};

static const struct attribute_schema key_attributes[] = {
	{ "team", ATTRIBUTE_NAME, 1, 0, NULL, 1, 0, NULL },
	{ "salt", ATTRIBUTE_HEX, 0, KEY_SALT_BYTES, NULL, 1, 1, NULL },
	{ "hash", ATTRIBUTE_HEX, 0, KEY_HASH_BYTES, NULL, 1, 1, NULL },
};

static const struct attribute_schema route_attributes[] = {
	{ "kind", ATTRIBUTE_WORD, 0, 0, "engine service", 0, 0, "engine" },
	{ "class", ATTRIBUTE_WORD, 0, 0, "batch latency", 0, 0, "batch" },
	{ "pool", ATTRIBUTE_NAME, 1, 0, NULL, 1, 0, NULL },
	{ "path", ATTRIBUTE_PATH, 0, 0, NULL, 0, 0, NULL },
	{ "team", ATTRIBUTE_NAME, 0, 0, NULL, 0, 0, NULL },
	{ "open", ATTRIBUTE_BOOL, 0, 0, NULL, 0, 0, "false" },
	{ "repeatable", ATTRIBUTE_BOOL, 0, 0, NULL, 0, 0, "false" },
	{ "methods", ATTRIBUTE_WORDS, 0, 0, "get post put delete", 0, 0,
	  "get,post" },
	{ "deadline_ms", ATTRIBUTE_UINT, 1, 86400000, NULL, 0, 0, "600000" },
	{ "max_tokens", ATTRIBUTE_UINT, 1, 1000000, NULL, 0, 0, "4096" },
};

static const struct attribute_schema bound_attributes[] = {
	{ "max_versions", ATTRIBUTE_UINT, 0, 1000000, NULL, 1, 0, NULL },
};

static const struct attribute_schema budget_attributes[] = {
	{ "pool", ATTRIBUTE_NAME, 1, 0, NULL, 1, 0, NULL },
	{ "max_dear", ATTRIBUTE_UINT, 0, 100000, NULL, 0, 0, "0" },
	{ "max_cheap", ATTRIBUTE_UINT, 0, 100000, NULL, 0, 0, "0" },
	{ "max_cents_per_hour", ATTRIBUTE_UINT, 0, 1000000000, NULL, 0, 0,
	  "0" },
};

#define OBJECT(kind, word, attributes)                                         \
	{                                                                      \
		kind, word, attributes, ARRAY_SIZE(attributes)                 \
	}

static const struct object_schema objects[] = {
	OBJECT(CURRANT__OBJECT_KIND__OBJECT_KIND_TEAM, "team", team_attributes),
	OBJECT(CURRANT__OBJECT_KIND__OBJECT_KIND_KEY, "key", key_attributes),
	OBJECT(CURRANT__OBJECT_KIND__OBJECT_KIND_ROUTE, "route",
	       route_attributes),
	OBJECT(CURRANT__OBJECT_KIND__OBJECT_KIND_BOUND, "bound",
	       bound_attributes),
	OBJECT(CURRANT__OBJECT_KIND__OBJECT_KIND_BUDGET, "budget",
	       budget_attributes),
};

const struct object_schema *schema_object(Currant__ObjectKind kind)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(objects); i++)
		if (objects[i].kind == kind)
			return &objects[i];
	return NULL;
}

const struct object_schema *schema_object_by_word(const char *word)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(objects); i++)
		if (!strcmp(objects[i].word, word))
			return &objects[i];
	return NULL;
}

const struct attribute_schema *
schema_attribute(const struct object_schema *object, const char *name)
{
	for (uint32_t i = 0; i < object->attribute_count; i++)
		if (!strcmp(object->attributes[i].name, name))
			return &object->attributes[i];
	return NULL;
}
