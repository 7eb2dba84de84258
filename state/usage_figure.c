#include "state/usage_figure.h"

#include <string.h>

#include "base/alloc.h"

int usage_figure_same(const struct usage_figure *a,
		      const struct usage_figure *b)
{
	return !strcmp(a->team, b->team) && !strcmp(a->route, b->route) &&
	       !strcmp(a->data_centre, b->data_centre) &&
	       !strcmp(a->backend_class, b->backend_class);
}

void usage_figure_add(struct usage_figure *to, const struct usage_figure *from)
{
	to->requests += from->requests;
	to->prompt_tokens += from->prompt_tokens;
	to->completion_tokens += from->completion_tokens;
	to->backend_us += from->backend_us;
	to->late_requests += from->late_requests;
}

void usage_figure_from_sum(struct usage_figure *figure,
			   const Currant__UsageSum *sum, int late)
{
	memset(figure, 0, sizeof(*figure));
	copy_text(figure->team, sizeof(figure->team), sum->team);
	copy_text(figure->route, sizeof(figure->route), sum->route);
	copy_text(figure->data_centre, sizeof(figure->data_centre),
		  sum->data_centre);
	copy_text(figure->backend_class, sizeof(figure->backend_class),
		  sum->backend_class);
	figure->requests = sum->requests;
	figure->prompt_tokens = sum->prompt_tokens;
	figure->completion_tokens = sum->completion_tokens;
	figure->backend_us = sum->backend_us;
	figure->late_requests = late ? sum->requests : 0;
}

void usage_figure_to_sum(const struct usage_figure *figure,
			 Currant__UsageSum *sum)
{
	currant__usage_sum__init(sum);
	sum->team = (char *)figure->team;
	sum->route = (char *)figure->route;
	sum->data_centre = (char *)figure->data_centre;
	sum->backend_class = (char *)figure->backend_class;
	sum->requests = figure->requests;
	sum->prompt_tokens = figure->prompt_tokens;
	sum->completion_tokens = figure->completion_tokens;
	sum->backend_us = figure->backend_us;
}
