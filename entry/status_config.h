#ifndef ENTRY_STATUS_CONFIG_H
#define ENTRY_STATUS_CONFIG_H

#include <jansson.h>

#include "entry/entry_config.h"

/*
 * Fills the page of the configuration in force; `config` NULL: none is known
 * yet. Of keys it tells how many each team has, and nothing else.
 */
void status_config(json_t *page, const struct entry_config *config);

#endif
