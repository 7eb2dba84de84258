#ifndef BUILTIN_TIMELINE_MERGE_H
#define BUILTIN_TIMELINE_MERGE_H

#include <jansson.h>

/*
 * Merges the events of several daemons. Sorted by logical time, each cause
 * stands before its effects; events of the same time are independent and
 * go by the name of their process.
 */

/* Adds the events of one daemon's answer to `all`; -1 if it holds none. */
int timeline_merge_add(json_t *all, const json_t *answer);

/* Returns a new array of the events in order; `last` 0 keeps all. */
json_t *timeline_merge_sorted(const json_t *all, size_t last);

#endif
