#ifndef ENTRY_CONFIG_DIFF_H
#define ENTRY_CONFIG_DIFF_H

#include "entry/config_findings.h"
#include "entry/entry_config.h"

/*
 * Lists what a configuration adds to, removes from and changes in another one:
 * routes, services and teams by their names, and limits. Of keys only their
 * number in each team is said.
 */
void config_diff(const struct entry_config *before,
		 const struct entry_config *after,
		 struct config_findings *findings);

#endif
