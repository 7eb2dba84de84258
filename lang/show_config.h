#ifndef LANG_SHOW_CONFIG_H
#define LANG_SHOW_CONFIG_H

#include "lang/table.h"
#include "state/config.h"

/*
 * Fills the table of a `show` whose subject is part of the configuration:
 * teams, keys, routes, bounds, budgets or configuration. Salts and hashes
 * of keys never come into a table. Returns -1 for another subject, which
 * the configuration does not hold.
 */
int show_config(const struct config *config, struct table *table);

#endif
