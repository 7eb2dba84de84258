#include "fleet/evacuations.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "fleet/fleet.h"

void evacuations_init(struct evacuations *evacuations, struct fleet *fleet,
		      struct record_log *log, struct counter_set *counters)
{
	memset(evacuations, 0, sizeof(*evacuations));
	evacuations->fleet = fleet;
	evacuations->log = log;
	evacuations->begun = counter_get(counters, "evacuations_begun_total");
	evacuations->ended = counter_get(counters, "evacuations_ended_total");
	fleet->evacuations = evacuations;
}

void evacuations_finish(struct evacuations *evacuations)
{
	struct evacuation *evacuation = evacuations->first;

	while (evacuation) {
		struct evacuation *next = evacuation->next;

		free(evacuation);
		evacuation = next;
	}
	evacuations->first = NULL;
}

static struct evacuation **find_link(struct evacuations *evacuations,
				     const char *data_centre)
{
	struct evacuation **at = &evacuations->first;

	while (*at && strcmp((*at)->data_centre, data_centre))
		at = &(*at)->next;
	return at;
}

int evacuations_has(const struct evacuations *evacuations,
		    const char *data_centre)
{
	const struct evacuation *evacuation = evacuations->first;

	while (evacuation && strcmp(evacuation->data_centre, data_centre))
		evacuation = evacuation->next;
	return evacuation != NULL;
}

static void log_change(const struct evacuations *evacuations, const char *event,
		       const struct evacuation *evacuation, uint64_t offset,
		       uint32_t servers, int64_t now_ns)
{
	struct record record;

	record_begin_essential(&record, evacuations->log, "servers", event);
	record_text(&record, "data_centre", evacuation->data_centre);
	record_int(&record, "servers", servers);
	record_int(&record, "offset", (int64_t)offset);
	record_ms(&record, "lasted_ms", now_ns - evacuation->began_ns);
	record_end(&record);
}

int evacuations_begin(struct evacuations *evacuations, const char *data_centre,
		      uint64_t offset, int64_t now_ns)
{
	struct evacuation **at = find_link(evacuations, data_centre);
	struct evacuation *evacuation = *at;

	if (evacuation) {
		if (offset > evacuation->offset)
			evacuation->offset = offset;
		evacuation->listed = 1;
		return 0;
	}
	evacuation = xcalloc(1, sizeof(*evacuation));
	if (!*data_centre ||
	    copy_text(evacuation->data_centre, sizeof(evacuation->data_centre),
		      data_centre)) {
		free(evacuation);
		return -1;
	}
	evacuation->offset = offset;
	evacuation->began_ns = now_ns;
	evacuation->listed = 1;
	*at = evacuation;
	counter_add(evacuations->begun, 1);
	log_change(
		evacuations, "evacuation_began", evacuation, offset,
		fleet_set_evacuated(evacuations->fleet, data_centre, 1, now_ns),
		now_ns);
	return 0;
}

static void lift(struct evacuations *evacuations, struct evacuation **at,
		 uint64_t offset, int64_t now_ns)
{
	struct evacuation *evacuation = *at;

	*at = evacuation->next;
	counter_add(evacuations->ended, 1);
	log_change(evacuations, "evacuation_ended", evacuation, offset,
		   fleet_set_evacuated(evacuations->fleet,
				       evacuation->data_centre, 0, now_ns),
		   now_ns);
	free(evacuation);
}

void evacuations_end(struct evacuations *evacuations, const char *data_centre,
		     uint64_t offset, int64_t now_ns)
{
	struct evacuation **at = find_link(evacuations, data_centre);

	if (*at && offset >= (*at)->offset)
		lift(evacuations, at, offset, now_ns);
}

void evacuations_begin_listing(struct evacuations *evacuations)
{
	for (struct evacuation *e = evacuations->first; e; e = e->next)
		e->listed = 0;
}

void evacuations_end_listing(struct evacuations *evacuations, uint64_t offset,
			     int64_t now_ns)
{
	struct evacuation **at = &evacuations->first;

	while (*at) {
		if (!(*at)->listed && (*at)->offset < offset)
			lift(evacuations, at, offset, now_ns);
		else
			at = &(*at)->next;
	}
}
