#ifndef ENTRY_STATUS_CONFIG_H
#define ENTRY_STATUS_CONFIG_H

#include <jansson.h>

#include "entry/entry_config.h"

/*
 * Fills the page of the configuration in force; `config` is NULL if none was
 * read yet. Of keys, the page has only their number for each team.
 */
void status_config(json_t *page, const struct entry_config *config);

#endif
