#ifndef STATE_CONFIG_TABLE_H
#define STATE_CONFIG_TABLE_H

#include <stdint.h>

#include "state/config.h"

/*
 * How each kind of object is laid out in `struct config`: an array sorted
 * by name, whose elements begin with a name and a version, and the place of
 * each attribute in an element.
 */
struct config_member {
	const char *attribute;
	uint32_t offset;
	uint32_t size;
};

/* The begin of every element. */
struct config_object {
	char name[NAME_BYTES];
	uint64_t version;
};

union config_any {
	struct config_object head;
	struct team team;
	struct key key;
	struct route route;
	struct bound bound;
	struct budget budget;
};

struct config_table {
	Currant__ObjectKind kind;
	uint32_t array_offset; /* of the array's pointer in struct config */
	uint32_t count_offset;
	uint32_t element_size;
	const struct config_member *members; /* same order as the schema */
	uint32_t member_count;
	/* Rules between objects; both may be NULL. */
	int (*check)(const struct config *config,
		     const union config_any *object, struct error *err);
	int (*check_drop)(const struct config *config,
			  const union config_any *object, struct error *err);
};

/* NULL for an unknown kind. */
const struct config_table *config_table(Currant__ObjectKind kind);
const struct config_table *config_tables(uint32_t *count);

/*
 * Finds the element called `name`, or NULL; `index` is where it is or where
 * it would be inserted, and may be NULL.
 */
void *config_table_find(const struct config_table *table,
			const struct config *config, const char *name,
			uint32_t *index);

/* The elements in order of their names. */
uint32_t config_table_count(const struct config_table *table,
			    const struct config *config);
const void *config_table_at(const struct config_table *table,
			    const struct config *config, uint32_t index);

void config_table_insert(const struct config_table *table,
			 struct config *config, uint32_t index,
			 const void *element);
void config_table_remove(const struct config_table *table,
			 struct config *config, uint32_t index);

/* Copies the whole array from `src`, replacing that of `dst`. */
void config_table_copy(const struct config_table *table, struct config *dst,
		       const struct config *src);

#endif
