#ifndef ENTRY_CONFIG_CHECK_H
#define ENTRY_CONFIG_CHECK_H

#include "entry/config_findings.h"
#include "entry/entry_config.h"
#include "entry/entry_settings.h"

/*
 * Looks for entries of a configuration that can never match and for limits
 * that contradict each other. The configuration is indexed.
 */
void config_check(const struct entry_config *config,
		  struct config_findings *findings);

/* The part of config_check() that is about the routes. */
void config_check_routes(const struct entry_config *config,
			 struct config_findings *findings);

/* Daemons ignore a version that isn't greater than the one in force. */
void config_check_version(const struct entry_config *config,
			  const struct entry_config *in_force,
			  struct config_findings *findings);

/* Looks for limits that a host with these settings can't keep. */
void config_check_host(const struct entry_config *config,
		       const struct entry_settings *settings,
		       struct config_findings *findings);

#endif
