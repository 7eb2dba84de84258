#ifndef STATE_CONFIG_RULES_H
#define STATE_CONFIG_RULES_H

#include "state/config_table.h"

/*
 * Rules between objects of the configuration. Each returns -1 with the
 * reason; each is a pure function of its arguments.
 */
int rule_key(const struct config *config, const union config_any *object,
	     struct error *err);
int rule_route(const struct config *config, const union config_any *object,
	       struct error *err);
int rule_bound(const struct config *config, const union config_any *object,
	       struct error *err);
int rule_drop_team(const struct config *config, const union config_any *object,
		   struct error *err);
int rule_drop_route(const struct config *config, const union config_any *object,
		    struct error *err);

#endif
