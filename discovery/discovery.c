#include "discovery/discovery.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "proto/topic.pb-c.h"
#include "store/malformed_entry.h"
#include "store/topic_message.h"

#define HOST_TOPIC "keyed.hosts"
#define CRASH_KEY_PREFIX "crashes/"
/*
 * Period of notices. It grows with the number of hosts, so that all notices
 * together take at most a tenth of the load that a current store sustains.
 * Hosts that run partitions always use the minimum: they are at most as many
 * as partitions, and a step is lost unless a dead one is soon replaced.
 */
#define NOTICE_PERIOD_MIN_NS (500 * NS_PER_MS)
#define NOTICE_PERIOD_PER_HOST_NS (8 * NS_PER_MS)
#define WATCH_NS (1500 * NS_PER_MS)
#define TIMEOUT_NS (600 * NS_PER_MS)
/* Periods within which this host reads back its own notice if all is well. */
#define OWN_NOTICE_PERIODS 2
/* Age of the last read if all is well: one pause and one answer. */
#define NORMAL_READ_AGE_NS (500 * NS_PER_MS)
/*
 * Pause of each host between two reads. It grows with the number of hosts up to
 * a bound, as it adds to the time until the death of a partition's owner is
 * detected. At the bound, 350 hosts do 580 reads a second, a thirtieth of what
 * such a store sustains.
 */
#define READ_PAUSE_MIN_NS (150 * NS_PER_MS)
#define READ_PAUSE_PER_HOST_NS (5 * NS_PER_MS)
#define READ_PAUSE_MAX_NS (600 * NS_PER_MS)

static struct discovery *discovery_of(struct keyed_follower *follower)
{
	return (struct discovery *)follower;
}

static int64_t now_ns(const struct discovery *discovery)
{
	return clock_now_ns(discovery->follower.clock);
}

static uint64_t partition_bits(const Currant__Topic__HostNotice *notice)
{
	uint64_t bits = 0;

	for (size_t i = 0; i < notice->n_partitions; i++)
		if (notice->partitions[i] < HOST_PARTITIONS_MAX)
			bits |= UINT64_C(1) << notice->partitions[i];
	return bits;
}

static int read_notice(const Currant__Topic__HostNotice *notice,
		       struct entry_host *host)
{
	memset(host, 0, sizeof(*host));
	host->incarnation = notice->incarnation;
	host->ready = notice->ready;
	host->leaving = notice->leaving;
	host->partitions = partition_bits(notice);
	host->cpu_milli = notice->cpu_milli;
	host->period_ms = notice->period_ms;
	return copy_text(host->name, sizeof(host->name), notice->name) ||
	       copy_text(host->data_centre, sizeof(host->data_centre),
			 notice->data_centre) ||
	       copy_text(host->region, sizeof(host->region), notice->region) ||
	       copy_text(host->caller_address, sizeof(host->caller_address),
			 notice->caller_address);
}

static void log_host(struct discovery *discovery, const char *event,
		     const struct entry_host *host)
{
	struct record record;

	record_begin(&record, discovery->log, "hosts", event);
	record_text(&record, "name", host->name);
	record_text(&record, "data_centre", host->data_centre);
	record_text(&record, "address", host->caller_address);
	record_int(&record, "ready", host->ready);
	record_int(&record, "leaving", host->leaving);
	record_int(&record, "offset", (int64_t)host->offset);
	record_end(&record);
}

static void log_malformed(struct discovery *discovery, const char *key,
			  uint64_t offset)
{
	const struct malformed_entry entry = {
		.part = "hosts",
		.name = "name",
		.key = key,
		.offset = offset,
	};

	malformed_entry_report(&entry, discovery->log, NULL);
}

static int64_t wall_ms(const struct discovery *discovery)
{
	return clock_wall_ms(discovery->follower.clock);
}

/* The host to whose list of crashes the key belongs; NULL: not such a key. */
static const char *crash_host(const char *key)
{
	size_t len = strlen(CRASH_KEY_PREFIX);

	return strncmp(key, CRASH_KEY_PREFIX, len) ? NULL : key + len;
}

static void put_notice(struct discovery *discovery, const char *key,
		       const void *value, size_t len, uint64_t offset)
{
	Currant__Topic__HostNotice *notice =
		currant__topic__host_notice__unpack(NULL, len, value);
	const struct entry_host *current =
		host_table_find(&discovery->hosts, key);
	struct entry_host host;
	int is_changed;

	if (!notice) {
		log_malformed(discovery, key, offset);
		return;
	}
	if (!read_notice(notice, &host)) {
		host.offset = offset;
		is_changed = !current ||
			     current->incarnation != host.incarnation ||
			     current->ready != host.ready ||
			     current->leaving != host.leaving;
		host_table_put(&discovery->hosts, &host, now_ns(discovery));
		if (is_changed)
			log_host(discovery, "notice", &host);
		if (is_changed && discovery->listener)
			discovery->listener->changed(discovery->listener);
	}
	currant__topic__host_notice__free_unpacked(notice, NULL);
}

static void on_put(struct keyed_follower *follower, const char *key,
		   const void *value, size_t len, uint64_t offset)
{
	struct discovery *discovery = discovery_of(follower);
	const char *host = crash_host(key);

	if (!host)
		put_notice(discovery, key, value, len, offset);
	else if (crash_board_put(&discovery->crashes, host,
				 !strcmp(host, discovery->own.name), value, len,
				 offset, wall_ms(discovery)))
		log_malformed(discovery, key, offset);
}

static void on_drop(struct keyed_follower *follower, const char *key,
		    uint64_t offset)
{
	struct discovery *discovery = discovery_of(follower);
	const char *host = crash_host(key);

	if (host)
		crash_board_drop(&discovery->crashes, host, offset);
	else
		host_table_drop(&discovery->hosts, key, offset);
}

static void on_listed(struct keyed_follower *follower, uint64_t offset)
{
	struct discovery *discovery = discovery_of(follower);

	/* A listing says nothing of how old the notices are. */
	host_table_drop_silent(&discovery->hosts, offset);
	discovery->crashes.is_restored = 1;
	if (discovery->crashes_outdated)
		discovery_publish_crashes(discovery);
}

static void on_gap(struct keyed_follower *follower, int64_t outage_ns)
{
	host_table_exclude_outage(&discovery_of(follower)->hosts, outage_ns);
}

static const struct keyed_follower_vtable follower_vtable = {
	.put = on_put,
	.drop = on_drop,
	.listed = on_listed,
	.gap = on_gap,
};

static void add_notice(const struct entry_host *own, struct strbuf *out)
{
	Currant__Topic__HostNotice notice = CURRANT__TOPIC__HOST_NOTICE__INIT;
	uint32_t partitions[HOST_PARTITIONS_MAX];

	notice.name = (char *)own->name;
	notice.data_centre = (char *)own->data_centre;
	notice.region = (char *)own->region;
	notice.caller_address = (char *)own->caller_address;
	notice.incarnation = own->incarnation;
	notice.ready = own->ready;
	notice.leaving = own->leaving;
	notice.cpu_milli = own->cpu_milli;
	notice.period_ms = own->period_ms;
	notice.partitions = partitions;
	for (uint32_t i = 0; i < HOST_PARTITIONS_MAX; i++)
		if (own->partitions >> i & 1)
			partitions[notice.n_partitions++] = i;
	topic_add_keyed_message(out, own->name, &notice.base);
}

static void write_notice(struct discovery *discovery);

static void on_written(struct topic_write *write,
		       enum topic_write_outcome outcome)
{
	struct discovery *discovery = write->arg;

	(void)outcome; /* the next notice replaces a lost one */
	discovery->pending_notice = NULL;
	topic_write_free(write);
	if (discovery->notice_outdated)
		write_notice(discovery);
}

static void write_notice(struct discovery *discovery)
{
	struct topic_write *write;

	discovery->notice_outdated = discovery->pending_notice != NULL;
	if (discovery->pending_notice)
		return;
	write = topic_write_new(on_written, discovery);
	add_notice(&discovery->own, &write->records);
	write->record_count = 1;
	discovery->pending_notice = write;
	topic_writer_add(&discovery->writer, write);
}

static int64_t scale_by_hosts(int64_t min_ns, int64_t per_host_ns,
			      uint32_t hosts)
{
	int64_t scaled_ns = per_host_ns * hosts;

	return scaled_ns > min_ns ? scaled_ns : min_ns;
}

static int64_t notice_period_ns(const struct discovery *discovery)
{
	if (discovery->own.partitions)
		return NOTICE_PERIOD_MIN_NS;
	return scale_by_hosts(NOTICE_PERIOD_MIN_NS, NOTICE_PERIOD_PER_HOST_NS,
			      discovery->hosts.count);
}

static int64_t read_pause_ns(const struct discovery *discovery)
{
	int64_t pause_ns = scale_by_hosts(READ_PAUSE_MIN_NS,
					  READ_PAUSE_PER_HOST_NS,
					  discovery->hosts.count);

	return pause_ns < READ_PAUSE_MAX_NS ? pause_ns : READ_PAUSE_MAX_NS;
}

static void on_timer(void *arg, int64_t at_ns);

static void schedule_notice(struct discovery *discovery)
{
	timer_subscribe_once(discovery->follower.timers, &discovery->timer,
			     notice_period_ns(discovery), on_timer, discovery);
}

/* Writes a notice with the period until the next one. */
static void write_periodic_notice(struct discovery *discovery)
{
	discovery->own.period_ms =
		(uint32_t)(notice_period_ns(discovery) / NS_PER_MS);
	write_notice(discovery);
	schedule_notice(discovery);
}

static void on_timer(void *arg, int64_t at_ns)
{
	struct discovery *discovery = arg;

	host_table_sweep(&discovery->hosts, at_ns);
	if (crash_board_sweep(&discovery->crashes, wall_ms(discovery)))
		discovery_publish_crashes(discovery);
	discovery->follower.pause_ns = read_pause_ns(discovery);
	if (discovery->pending_notice)
		schedule_notice(discovery);
	else
		write_periodic_notice(discovery);
}

void discovery_init(struct discovery *discovery, struct topic_log *log,
		    struct timer_service *timers, const struct entry_host *own,
		    struct record_log *records, struct counter_set *counters)
{
	struct keyed_follower_settings settings = {
		.topic = HOST_TOPIC,
		.pause_ns = READ_PAUSE_MIN_NS,
		.watch_ns = WATCH_NS,
		.timeout_ns = TIMEOUT_NS,
	};
	char writer[TOPIC_NAME_BYTES];

	memset(discovery, 0, sizeof(*discovery));
	keyed_follower_init(&discovery->follower, &follower_vtable, log, timers,
			    &settings, counters);
	host_table_init(&discovery->hosts);
	crash_board_init(&discovery->crashes);
	discovery->own = *own;
	discovery->own.period_ms = NOTICE_PERIOD_MIN_NS / NS_PER_MS;
	discovery->log = records;
	snprintf(writer, sizeof(writer), "%.40s-%016" PRIx64, own->name,
		 own->incarnation);
	topic_writer_init(&discovery->writer, log, timers, HOST_TOPIC, 0,
			  writer, counters);
}

void discovery_finish(struct discovery *discovery)
{
	timer_unsubscribe(discovery->follower.timers, &discovery->timer);
	keyed_follower_finish(&discovery->follower);
	topic_writer_finish(&discovery->writer);
	host_table_finish(&discovery->hosts);
	crash_board_finish(&discovery->crashes);
}

void discovery_start(struct discovery *discovery)
{
	keyed_follower_start(&discovery->follower);
	on_timer(discovery, clock_now_ns(discovery->follower.clock));
}

void discovery_set_ready(struct discovery *discovery, int ready)
{
	if (discovery->own.ready == ready)
		return;
	discovery->own.ready = ready;
	write_notice(discovery);
}

void discovery_set_leaving(struct discovery *discovery)
{
	discovery->own.leaving = 1;
	write_notice(discovery);
}

void discovery_set_partitions(struct discovery *discovery, uint64_t partitions)
{
	if (discovery->own.partitions == partitions)
		return;
	discovery->own.partitions = partitions;
	write_periodic_notice(discovery);
}

static void on_crashes_written(struct topic_write *write,
			       enum topic_write_outcome outcome)
{
	struct discovery *discovery = write->arg;

	(void)outcome; /* a rejected write is retried until it is done */
	discovery->pending_crashes = NULL;
	topic_write_free(write);
	if (discovery->crashes_outdated)
		discovery_publish_crashes(discovery);
}

/* Waits until the own list is read back, as writing it replaces that. */
void discovery_publish_crashes(struct discovery *discovery)
{
	char key[sizeof(CRASH_KEY_PREFIX) + HOST_NAME_BYTES];
	struct topic_write *write;

	discovery->crashes_outdated = discovery->pending_crashes ||
				      !discovery->crashes.is_restored;
	if (discovery->crashes_outdated)
		return;
	snprintf(key, sizeof(key), CRASH_KEY_PREFIX "%s", discovery->own.name);
	write = topic_write_new(on_crashes_written, discovery);
	crash_board_write(&discovery->crashes, key, &write->records);
	write->record_count = 1;
	write->retry_until_done = 1;
	discovery->pending_crashes = write;
	topic_writer_add(&discovery->writer, write);
}

/*
 * Time at which the age of notices is evaluated: not later than the last read
 * and the last own notice allow, so that no host counts as dead while notices
 * cannot be read or written.
 */
static int64_t liveness_time_ns(const struct discovery *discovery)
{
	const struct entry_host *own =
		host_table_find(&discovery->hosts, discovery->own.name);
	int64_t time_ns = now_ns(discovery);
	int64_t read_limit_ns =
		discovery->follower.last_success_ns + NORMAL_READ_AGE_NS;
	int64_t own_limit_ns =
		own ? own->last_seen_ns +
				OWN_NOTICE_PERIODS * own->period_ms * NS_PER_MS
		    : time_ns;

	if (read_limit_ns < time_ns)
		time_ns = read_limit_ns;
	return own_limit_ns < time_ns ? own_limit_ns : time_ns;
}

int discovery_is_alive(const struct discovery *discovery,
		       const struct entry_host *host)
{
	return entry_host_is_alive(host, liveness_time_ns(discovery));
}

int discovery_takes_calls(const struct discovery *discovery,
			  const struct entry_host *host)
{
	return entry_host_takes_calls(host, liveness_time_ns(discovery));
}

uint32_t discovery_candidates(const struct discovery *discovery,
			      struct owner_candidate *out)
{
	int64_t time_ns = liveness_time_ns(discovery);
	uint32_t count = 0;

	for (const struct entry_host *h = discovery->hosts.first;
	     h && count < DISCOVERY_CANDIDATES_MAX; h = h->next) {
		out[count].name = h->name;
		out[count].cpu_milli = h->cpu_milli;
		out[count].takes_calls = entry_host_takes_calls(h, time_ns);
		count++;
	}
	return count;
}

int discovery_is_listed(const struct discovery *discovery)
{
	return discovery->follower.is_listed;
}
