#include "state/config_table.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "state/config_rules.h"

#define MEMBER(type, attribute, field)                                         \
	{                                                                      \
		attribute, (uint32_t)offsetof(struct type, field),             \
			(uint32_t)sizeof(((struct type *)0)->field)            \
	}

static const struct config_member team_members[] = {
	MEMBER(team, "weight", weight),
	MEMBER(team, "max_in_flight", max_in_flight),
};

static const struct config_member key_members[] = {
	MEMBER(key, "team", team),
	MEMBER(key, "salt", salt),
	MEMBER(key, "hash", hash),
};

static const struct config_member route_members[] = {
	MEMBER(route, "kind", kind),
	MEMBER(route, "class", class_),
	MEMBER(route, "pool", pool),
	MEMBER(route, "path", path),
	MEMBER(route, "team", team),
	MEMBER(route, "open", open),
	MEMBER(route, "repeatable", repeatable),
	MEMBER(route, "methods", methods),
	MEMBER(route, "deadline_ms", deadline_ms),
	MEMBER(route, "max_tokens", max_tokens),
};

static const struct config_member bound_members[] = {
	MEMBER(bound, "max_versions", max_versions),
};

static const struct config_member budget_members[] = {
	MEMBER(budget, "pool", pool),
	MEMBER(budget, "max_dear", max_dear),
	MEMBER(budget, "max_cheap", max_cheap),
	MEMBER(budget, "max_cents_per_hour", max_cents_per_hour),
};

#define TABLE(id, type, check, check_drop)                                     \
	{                                                                      \
		CURRANT__OBJECT_KIND__OBJECT_KIND_##id,                        \
			(uint32_t)offsetof(struct config, type##s),            \
			(uint32_t)offsetof(struct config, type##_count),       \
			(uint32_t)sizeof(struct type), type##_members,         \
			ARRAY_SIZE(type##_members), check, check_drop          \
	}

static const struct config_table tables[] = {
	TABLE(TEAM, team, NULL, rule_drop_team),
	TABLE(KEY, key, rule_key, NULL),
	TABLE(ROUTE, route, rule_route, rule_drop_route),
	TABLE(BOUND, bound, rule_bound, NULL),
	TABLE(BUDGET, budget, NULL, NULL),
};

/* Every element begins as struct config_object does. */
_Static_assert(offsetof(struct team, version) ==
		       offsetof(struct config_object, version),
	       "team");
_Static_assert(offsetof(struct key, version) ==
		       offsetof(struct config_object, version),
	       "key");
_Static_assert(offsetof(struct route, version) ==
		       offsetof(struct config_object, version),
	       "route");
_Static_assert(offsetof(struct bound, version) ==
		       offsetof(struct config_object, version),
	       "bound");
_Static_assert(offsetof(struct budget, version) ==
		       offsetof(struct config_object, version),
	       "budget");

const struct config_table *config_tables(uint32_t *count)
{
	*count = ARRAY_SIZE(tables);
	return tables;
}

const struct config_table *config_table(Currant__ObjectKind kind)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(tables); i++)
		if (tables[i].kind == kind)
			return &tables[i];
	return NULL;
}

static void **array_of(const struct config_table *table, struct config *config)
{
	return (void **)(void *)((char *)config + table->array_offset);
}

static const char *elements(const struct config_table *table,
			    const struct config *config)
{
	const char *base = (const char *)config + table->array_offset;

	return *(const char *const *)(const void *)base;
}

static uint32_t *count_of(const struct config_table *table,
			  struct config *config)
{
	return (uint32_t *)(void *)((char *)config + table->count_offset);
}

uint32_t config_table_count(const struct config_table *table,
			    const struct config *config)
{
	const char *base = (const char *)config + table->count_offset;

	return *(const uint32_t *)(const void *)base;
}

const void *config_table_at(const struct config_table *table,
			    const struct config *config, uint32_t index)
{
	return elements(table, config) + (size_t)index * table->element_size;
}

void *config_table_find(const struct config_table *table,
			const struct config *config, const char *name,
			uint32_t *index)
{
	const char *first = elements(table, config);
	uint32_t low = 0;
	uint32_t high = config_table_count(table, config);

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		const char *element =
			first + (size_t)middle * table->element_size;
		int order = strcmp(element, name);

		if (!order) {
			if (index)
				*index = middle;
			return (void *)(uintptr_t)element;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	if (index)
		*index = low;
	return NULL;
}

void config_table_insert(const struct config_table *table,
			 struct config *config, uint32_t index,
			 const void *element)
{
	void **array = array_of(table, config);
	uint32_t *number = count_of(table, config);
	size_t size = table->element_size;
	char *at;

	*array = xrealloc(*array, (*number + 1) * size);
	at = (char *)*array + index * size;
	memmove(at + size, at, (*number - index) * size);
	memcpy(at, element, size);
	(*number)++;
}

void config_table_remove(const struct config_table *table,
			 struct config *config, uint32_t index)
{
	uint32_t *number = count_of(table, config);
	size_t size = table->element_size;
	char *at = (char *)*array_of(table, config) + index * size;

	(*number)--;
	memmove(at, at + size, (*number - index) * size);
}

void config_table_copy(const struct config_table *table, struct config *dst,
		       const struct config *src)
{
	size_t bytes =
		(size_t)config_table_count(table, src) * table->element_size;
	void **array = array_of(table, dst);

	free(*array);
	*array = NULL;
	*count_of(table, dst) = config_table_count(table, src);
	if (!bytes)
		return;
	*array = xmalloc(bytes);
	memcpy(*array, elements(table, src), bytes);
}
