#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "membership/membership_private.h"

/*
 * An older summary does not show that its data centre is reachable. A summary
 * is delayed until the next heartbeat of a relay and until the next one that
 * carries summaries, up to four periods each.
 */
#define SUMMARY_FRESH_PERIODS 12

static uint32_t fresh_daemons(const struct membership *m,
			      const char *data_centre, int64_t now_ns)
{
	int64_t max_age_ns = m->heartbeat_ns * SUMMARY_FRESH_PERIODS;

	for (uint32_t i = 0; i < m->summaries.count; i++) {
		const struct data_centre_summary *sum =
			&m->summaries.entries[i];

		if (!strcmp(sum->data_centre, data_centre))
			return now_ns - sum->aggregated_ns <= max_age_ns
				       ? sum->daemons
				       : 0;
	}
	return 0;
}

/* Adds the records of one data centre; returns their number. */
static uint32_t add_reach(const struct membership *m, uint32_t first,
			  int64_t now_ns, struct reach *reach)
{
	const char *data_centre = m->records[first].view.data_centre;
	uint32_t heard = 0;
	uint32_t from_summary;
	uint32_t i;

	for (i = first; i < m->count; i++) {
		const struct member_record *record = &m->records[i];

		if (strcmp(record->view.data_centre, data_centre))
			break;
		if (!member_health_is_fresh(&record->health, now_ns))
			continue;
		heard++;
		reach->log_readers += record->view.log_reachable;
	}
	from_summary = fresh_daemons(m, data_centre, now_ns);
	if (from_summary > i - first)
		from_summary = i - first;
	reach->reachable += heard > from_summary ? heard : from_summary;
	return i - first;
}

void membership_reach(struct membership *m, int64_t now_ns, struct reach *reach)
{
	memset(reach, 0, sizeof(*reach));
	pthread_mutex_lock(&m->lock);
	reach->listed = m->count;
	for (uint32_t i = 0; i < m->count;)
		i += add_reach(m, i, now_ns, reach);
	pthread_mutex_unlock(&m->lock);
}

static void add_member(struct data_centre_summary *sum,
		       const struct member_record *record)
{
	sum->daemons++;
	sum->requests_in_flight += record->view.requests_in_flight;
	sum->request_capacity += record->view.request_capacity;
	if (sum->log_head < record->view.log_head)
		sum->log_head = record->view.log_head;
}

uint32_t membership_data_centres(struct membership *m,
				 const Currant__Heartbeat *own, int64_t now_ns,
				 struct data_centre_summary **out)
{
	struct data_centre_summary *sum;
	uint32_t count;

	pthread_mutex_lock(&m->lock);
	count = m->summaries.count + 1;
	*out = xcalloc(count, sizeof(**out));
	sum = &(*out)[0];
	copy_text(sum->data_centre, sizeof(sum->data_centre), m->data_centre);
	sum->daemons = 1;
	sum->requests_in_flight = own->requests_in_flight;
	sum->request_capacity = own->request_capacity;
	sum->log_head = own->log_head;
	sum->aggregated_ns = now_ns;
	sum->direct = 1;
	for (uint32_t i = 0; i < m->count; i++)
		if (membership_is_local(m, &m->records[i]) &&
		    m->records[i].health.state == MEMBER_ALIVE)
			add_member(sum, &m->records[i]);
	if (m->summaries.count)
		memcpy(&(*out)[1], m->summaries.entries,
		       m->summaries.count * sizeof(**out));
	pthread_mutex_unlock(&m->lock);
	return count;
}
