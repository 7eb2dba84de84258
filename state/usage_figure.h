#ifndef STATE_USAGE_FIGURE_H
#define STATE_USAGE_FIGURE_H

#include "state/state.h"

/* Sums of usage by team, route, data centre and class of backend server. */

/* Whether two figures are of the same team, route, data centre and class. */
int usage_figure_same(const struct usage_figure *a,
		      const struct usage_figure *b);

/* Adds the amounts of `from`, late requests included. */
void usage_figure_add(struct usage_figure *to, const struct usage_figure *from);

/* Reads a sum of a partial; a late one counts its requests as late, too. */
void usage_figure_from_sum(struct usage_figure *figure,
			   const Currant__UsageSum *sum, int late);

/* Fills a sum whose texts stay the figure's. */
void usage_figure_to_sum(const struct usage_figure *figure,
			 Currant__UsageSum *sum);

#endif
