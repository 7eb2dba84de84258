#ifndef ENTRY_NAMED_LIST_H
#define ENTRY_NAMED_LIST_H

#include <stddef.h>
#include <stdint.h>

/*
 * A view of an array of structs whose first member is `char *name`: the
 * routes, services or teams of a configuration.
 */
struct named_list {
	const void *things;
	size_t size; /* of one, in bytes */
	uint32_t count;
};

const void *named_list_at(const struct named_list *list, uint32_t index);

/* Returns the name of a thing of such a list. */
const char *thing_name(const void *thing);

/* Returns the first thing of this name, or NULL. */
const void *named_list_find(const struct named_list *list, const char *name);

struct entry_config;

struct named_list named_routes(const struct entry_config *config);
struct named_list named_services(const struct entry_config *config);
struct named_list named_teams(const struct entry_config *config);

#endif
