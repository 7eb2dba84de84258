#include "membership/membership.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"
#include "membership/membership_private.h"
#include "membership/overlay.h"

/* How long a list of an older generation is treated as a late answer. */
#define LIST_LAG_PERIODS 60

/* A longer gap between two ticks counts as a pause of this process. */
#define PAUSE_PERIODS 3

/* Interval of heartbeats to other data centres ... */
#define REMOTE_INTERVAL_PERIODS 4

/* ... if at least this many others are alive in the own data centre. */
#define REMOTE_INTERVAL_MIN_LOCAL 3

/* Summaries that were not renewed for this long are removed. */
#define SUMMARY_MAX_AGE_PERIODS 80

struct membership *membership_new(const char *own_name, int64_t heartbeat_ns)
{
	struct membership *m = xcalloc(1, sizeof(*m));

	pthread_mutex_init(&m->lock, NULL);
	copy_text(m->own_name, sizeof(m->own_name), own_name);
	m->heartbeat_ns = heartbeat_ns;
	m->last_seen_ns = HEALTH_NEVER;
	m->last_tick_ns = HEALTH_NEVER;
	m->announced_periods = 1;
	summary_table_init(&m->summaries);
	return m;
}

void membership_free(struct membership *m)
{
	summary_table_finish(&m->summaries);
	free(m->records);
	pthread_mutex_destroy(&m->lock);
	free(m);
}

void membership_set_own(struct membership *m, const char *data_centre,
			const char *region)
{
	pthread_mutex_lock(&m->lock);
	copy_text(m->data_centre, sizeof(m->data_centre), data_centre);
	copy_text(m->region, sizeof(m->region), region);
	pthread_mutex_unlock(&m->lock);
}

static struct member_record *find(struct membership *m, const char *name)
{
	for (uint32_t i = 0; i < m->count; i++)
		if (!strcmp(m->records[i].view.name, name))
			return &m->records[i];
	return NULL;
}

int membership_is_local(const struct membership *m,
			const struct member_record *record)
{
	return !strcmp(record->view.data_centre, m->data_centre);
}

static void apply_host(struct membership *m, const struct host *host,
		       int64_t now_ns)
{
	struct member_record *record;
	struct member *view;

	if (!strcmp(host->name, m->own_name)) {
		copy_text(m->data_centre, sizeof(m->data_centre),
			  host->data_centre);
		copy_text(m->region, sizeof(m->region), host->region);
		return;
	}
	record = find(m, host->name);
	if (!record) {
		m->records =
			xrealloc(m->records, (m->count + 1) * sizeof(*record));
		record = &m->records[m->count++];
		memset(record, 0, sizeof(*record));
		member_health_init(&record->health, m->heartbeat_ns);
	}
	view = &record->view;
	copy_text(view->name, sizeof(view->name), host->name);
	copy_text(view->data_centre, sizeof(view->data_centre),
		  host->data_centre);
	copy_text(view->region, sizeof(view->region), host->region);
	copy_text(view->peer_address, sizeof(view->peer_address),
		  host->peer_address);
	/* The address that the daemon itself reports takes precedence. */
	if (!view->caller_address[0])
		copy_text(view->caller_address, sizeof(view->caller_address),
			  host->address);
	record->listed = 1;
	record->health.listed_leaving = host->leaving;
	member_health_tick(&record->health, now_ns);
}

static int compare_records(const void *a, const void *b)
{
	const struct member *left = &((const struct member_record *)a)->view;
	const struct member *right = &((const struct member_record *)b)->view;
	int order = strcmp(left->data_centre, right->data_centre);

	return order ? order : strcmp(left->name, right->name);
}

static void drop_unlisted(struct membership *m)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < m->count; i++)
		if (m->records[i].listed)
			m->records[kept++] = m->records[i];
	m->count = kept;
}

/* A restored platform server may restart its generations. */
static int is_outdated(const struct membership *m, const struct host_list *list,
		       int64_t now_ns)
{
	return list->generation < m->generation &&
	       now_ns - m->listed_at_ns < m->heartbeat_ns * LIST_LAG_PERIODS;
}

int membership_set_list(struct membership *m, const struct host_list *list,
			int64_t now_ns)
{
	pthread_mutex_lock(&m->lock);
	if (is_outdated(m, list, now_ns)) {
		pthread_mutex_unlock(&m->lock);
		return -1;
	}
	m->generation = list->generation;
	m->listed_at_ns = now_ns;
	for (uint32_t i = 0; i < m->count; i++)
		m->records[i].listed = 0;
	for (uint32_t i = 0; i < list->host_count; i++)
		if (list->hosts[i].role == HOST_ENTRY)
			apply_host(m, &list->hosts[i], now_ns);
	drop_unlisted(m);
	if (m->count)
		qsort(m->records, m->count, sizeof(*m->records),
		      compare_records);
	pthread_mutex_unlock(&m->lock);
	return 0;
}

int membership_confirm_list(struct membership *m, uint64_t generation,
			    int64_t now_ns)
{
	int result = -1;

	pthread_mutex_lock(&m->lock);
	if (generation == m->generation) {
		m->listed_at_ns = now_ns;
		result = 0;
	}
	pthread_mutex_unlock(&m->lock);
	return result;
}

static void copy_if_set(char *dst, size_t size, const char *src)
{
	if (src && src[0])
		copy_text(dst, size, src);
}

static void apply_status(struct member *view,
			 const Currant__Heartbeat *heartbeat)
{
	copy_if_set(view->caller_address, sizeof(view->caller_address),
		    heartbeat->caller_address);
	copy_if_set(view->latency_address, sizeof(view->latency_address),
		    heartbeat->latency_address);
	copy_if_set(view->operator_address, sizeof(view->operator_address),
		    heartbeat->operator_address);
	view->log_head = heartbeat->log_head;
	view->log_reachable = heartbeat->log_reachable;
	view->requests_in_flight = heartbeat->requests_in_flight;
	view->request_capacity = heartbeat->request_capacity;
	view->ticket_generation = heartbeat->ticket_generation;
}

static void apply_summaries(struct membership *m,
			    const struct member_record *from,
			    const Currant__Heartbeat *heartbeat, int64_t now_ns)
{
	for (size_t i = 0; i < heartbeat->n_summaries; i++) {
		const Currant__DataCentreSummary *summary =
			heartbeat->summaries[i];
		int direct =
			!strcmp(summary->data_centre, from->view.data_centre);

		if (!strcmp(summary->data_centre, m->data_centre))
			continue;
		if (direct || membership_is_local(m, from))
			summary_table_update(&m->summaries, summary, direct,
					     now_ns);
	}
}

static int is_new_incarnation(const struct member_health *health,
			      uint64_t incarnation)
{
	return health->last_seen_ns == HEALTH_NEVER ||
	       health->incarnation != incarnation;
}

int membership_on_heartbeat(struct membership *m, const char *from,
			    uint64_t incarnation,
			    const Currant__Heartbeat *heartbeat, int64_t now_ns)
{
	struct member_record *record;
	int is_new = 0;

	pthread_mutex_lock(&m->lock);
	record = find(m, from);
	if (record)
		is_new = is_new_incarnation(&record->health, incarnation);
	if (record && member_health_on_heartbeat(&record->health, incarnation,
						 heartbeat, now_ns)) {
		apply_status(&record->view, heartbeat);
		record->expects_answer = heartbeat->expects_answer;
		apply_summaries(m, record, heartbeat, now_ns);
		m->last_seen_ns = now_ns;
	} else {
		is_new = 0;
	}
	pthread_mutex_unlock(&m->lock);
	return is_new;
}

void membership_tick(struct membership *m, int64_t now_ns)
{
	int paused;

	pthread_mutex_lock(&m->lock);
	paused = m->last_tick_ns != HEALTH_NEVER &&
		 now_ns - m->last_tick_ns > m->heartbeat_ns * PAUSE_PERIODS;
	m->last_tick_ns = now_ns;
	for (uint32_t i = 0; i < m->count; i++) {
		if (paused)
			member_health_restart_wait(&m->records[i].health,
						   now_ns);
		member_health_tick(&m->records[i].health, now_ns);
	}
	summary_table_expire(&m->summaries,
			     m->heartbeat_ns * SUMMARY_MAX_AGE_PERIODS, now_ns);
	pthread_mutex_unlock(&m->lock);
}

uint32_t membership_view(struct membership *m, struct member **out)
{
	uint32_t count;

	pthread_mutex_lock(&m->lock);
	count = m->count;
	*out = xcalloc(count ? count : 1, sizeof(**out));
	for (uint32_t i = 0; i < count; i++) {
		const struct member_health *health = &m->records[i].health;
		struct member *view = &(*out)[i];

		*view = m->records[i].view;
		view->state = health->state;
		view->incarnation = health->incarnation;
		view->last_seen_ns = health->last_seen_ns;
		view->listed_leaving = health->listed_leaving;
	}
	pthread_mutex_unlock(&m->lock);
	return count;
}

int64_t membership_last_seen_ns(struct membership *m)
{
	int64_t last_seen_ns;

	pthread_mutex_lock(&m->lock);
	last_seen_ns = m->last_seen_ns;
	pthread_mutex_unlock(&m->lock);
	return last_seen_ns;
}

/* Runs overlay_choose on the sorted records with the own host inserted. */
static void choose(struct membership *m, int64_t now_ns)
{
	struct overlay_host *hosts = xcalloc(m->count + 1, sizeof(*hosts));
	uint32_t own = 0;

	while (own < m->count &&
	       strcmp(m->records[own].view.data_centre, m->data_centre) < 0)
		own++;
	for (uint32_t i = 0; i <= m->count; i++) {
		const struct member_record *record =
			&m->records[i < own ? i : i - 1];

		if (i == own)
			hosts[i] = (struct overlay_host){ m->own_name,
							  m->data_centre, 1,
							  0 };
		else
			hosts[i] = (struct overlay_host){
				record->view.name, record->view.data_centre,
				record->health.state <= MEMBER_ALIVE &&
					!record->health.listed_leaving,
				0
			};
	}
	overlay_choose(hosts, m->count + 1, m->own_name);
	for (uint32_t i = 0; i < m->count; i++) {
		struct member_record *record = &m->records[i];

		record->chosen = hosts[i < own ? i : i + 1].chosen;
		member_health_expect(&record->health, record->chosen, now_ns);
	}
	free(hosts);
}

uint32_t membership_choose_peers(struct membership *m, int64_t now_ns,
				 struct peer_member **out)
{
	uint32_t count;

	pthread_mutex_lock(&m->lock);
	choose(m, now_ns);
	count = m->count;
	*out = xcalloc(count ? count : 1, sizeof(**out));
	for (uint32_t i = 0; i < count; i++) {
		const struct member *view = &m->records[i].view;
		struct peer_member *peer = &(*out)[i];

		copy_text(peer->name, sizeof(peer->name), view->name);
		copy_text(peer->address, sizeof(peer->address),
			  view->peer_address);
		peer->connect = m->records[i].chosen;
	}
	pthread_mutex_unlock(&m->lock);
	return count;
}

/* Number of periods between two heartbeats to another data centre. */
static uint32_t remote_interval(const struct membership *m)
{
	uint32_t local = 0;

	for (uint32_t i = 0; i < m->count; i++)
		local += membership_is_local(m, &m->records[i]) &&
			 m->records[i].health.state == MEMBER_ALIVE;
	return local >= REMOTE_INTERVAL_MIN_LOCAL ? REMOTE_INTERVAL_PERIODS : 1;
}

/* Two members that did not choose each other stop sending heartbeats. */
static int needs_heartbeats(const struct member_record *record, int64_t now_ns)
{
	return record->chosen ||
	       (record->expects_answer &&
		member_health_is_fresh(&record->health, now_ns));
}

uint32_t membership_heartbeats_due(struct membership *m, int64_t now_ns,
				   struct heartbeat_due **out)
{
	uint32_t count = 0;
	uint32_t interval, announced_periods;

	pthread_mutex_lock(&m->lock);
	/* Announce a longer period before applying it. */
	announced_periods = remote_interval(m);
	interval = announced_periods < m->announced_periods
			   ? announced_periods
			   : m->announced_periods;
	m->announced_periods = announced_periods;
	*out = xcalloc(m->count ? m->count : 1, sizeof(**out));
	for (uint32_t i = 0; i < m->count; i++) {
		const struct member_record *record = &m->records[i];
		struct heartbeat_due *due = &(*out)[count];
		int local = membership_is_local(m, record);

		if (!needs_heartbeats(record, now_ns))
			continue;
		if (!local && (m->periods + i) % interval)
			continue;
		copy_text(due->name, sizeof(due->name), record->view.name);
		due->hears_receiver =
			member_health_is_fresh(&record->health, now_ns);
		due->expects_answer = record->chosen;
		due->same_data_centre = local;
		due->period_ms = (uint32_t)(m->heartbeat_ns / NS_PER_MS) *
				 (local ? 1 : announced_periods);
		count++;
	}
	m->periods++;
	pthread_mutex_unlock(&m->lock);
	return count;
}
