#include "membership/heartbeat.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Periods between heartbeats that repeat rarely changing fields. */
#define ADDRESSES_INTERVAL_PERIODS 4
#define SUMMARIES_INTERVAL_PERIODS 4

void heartbeat_sender_init(struct heartbeat_sender *sender,
			   struct membership *membership,
			   struct peer_outbox *outbox,
			   struct heartbeat_source *source)
{
	memset(sender, 0, sizeof(*sender));
	sender->membership = membership;
	sender->outbox = outbox;
	sender->source = source;
	pthread_mutex_init(&sender->lock, NULL);
}

void heartbeat_sender_finish(struct heartbeat_sender *sender)
{
	heartbeat_sender_stop(sender);
	free(sender->members);
	pthread_mutex_destroy(&sender->lock);
}

static void on_timer(void *arg, int64_t now_ns)
{
	heartbeat_sender_tick(arg, now_ns);
}

void heartbeat_sender_start(struct heartbeat_sender *sender,
			    struct timer_service *timers, int64_t period_ns)
{
	sender->timers = timers;
	timer_subscribe(timers, &sender->timer, period_ns, on_timer, sender);
}

void heartbeat_sender_stop(struct heartbeat_sender *sender)
{
	if (sender->timers)
		timer_unsubscribe(sender->timers, &sender->timer);
	sender->timers = NULL;
}

/* Passes the list to the outbox only when it has changed. */
static void set_members(struct heartbeat_sender *sender, int64_t now_ns)
{
	struct peer_member *members;
	uint32_t count =
		membership_choose_peers(sender->membership, now_ns, &members);

	if (count == sender->member_count &&
	    (!count ||
	     !memcmp(members, sender->members, count * sizeof(*members)))) {
		free(members);
		return;
	}
	sender->outbox->vt->set_members(sender->outbox, members, count);
	free(sender->members);
	sender->members = members;
	sender->member_count = count;
}

/* The content of one period's heartbeats that all receivers share. */
struct heartbeat_common {
	Currant__Heartbeat own;
	int with_addresses;
	int with_summaries;
	Currant__DataCentreSummary *summaries; /* the own data centre first */
	Currant__DataCentreSummary **direct; /* for local peers */
	uint32_t direct_count;
};

/* Prepares the own summary and those received directly from their origin. */
static void prepare_summaries(struct heartbeat_common *common,
			      struct data_centre_summary *known, uint32_t count,
			      int64_t now_ns)
{
	common->summaries = xcalloc(count, sizeof(*common->summaries));
	common->direct = xcalloc(count, sizeof(Currant__DataCentreSummary *));
	for (uint32_t i = 0; i < count; i++) {
		summary_to_message(&known[i], now_ns, &common->summaries[i]);
		if (i && known[i].direct)
			common->direct[common->direct_count++] =
				&common->summaries[i];
	}
}

static void send_heartbeat(struct heartbeat_sender *sender,
			   const struct heartbeat_common *common,
			   const struct heartbeat_due *due)
{
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	Currant__Heartbeat heartbeat = common->own;
	Currant__DataCentreSummary *own_summary = &common->summaries[0];
	char empty[] = "";

	heartbeat.hears_receiver = due->hears_receiver;
	heartbeat.expects_answer = due->expects_answer;
	heartbeat.period_ms = due->period_ms;
	if (due->hears_receiver && due->same_data_centre &&
	    !common->with_addresses) {
		heartbeat.data_centre = empty;
		heartbeat.caller_address = empty;
		heartbeat.operator_address = empty;
		heartbeat.latency_address = empty;
	}
	if (!due->same_data_centre) {
		heartbeat.summaries = &own_summary;
		heartbeat.n_summaries = 1;
	} else if (common->with_summaries) {
		heartbeat.summaries = common->direct;
		heartbeat.n_summaries = common->direct_count;
	}
	message.body_case = CURRANT__PEER_MESSAGE__BODY_HEARTBEAT;
	message.heartbeat = &heartbeat;
	sender->outbox->vt->send(sender->outbox, due->name, &message, NULL);
}

static void send_due(struct heartbeat_sender *sender, int64_t now_ns)
{
	struct data_centre_summary *known;
	struct heartbeat_due *due;
	struct heartbeat_common common;
	uint32_t count;

	memset(&common, 0, sizeof(common));
	currant__heartbeat__init(&common.own);
	sender->source->vt->fill(sender->source, &common.own);
	common.with_addresses = sender->beats % ADDRESSES_INTERVAL_PERIODS == 0;
	common.with_summaries = sender->beats % SUMMARIES_INTERVAL_PERIODS == 0;
	sender->beats++;
	count = membership_data_centres(sender->membership, &common.own, now_ns,
					&known);
	prepare_summaries(&common, known, count, now_ns);
	count = membership_heartbeats_due(sender->membership, now_ns, &due);
	for (uint32_t i = 0; i < count; i++)
		send_heartbeat(sender, &common, &due[i]);
	free(due);
	free(known);
	free(common.summaries);
	free(common.direct);
}

void heartbeat_sender_tick(struct heartbeat_sender *sender, int64_t now_ns)
{
	pthread_mutex_lock(&sender->lock);
	membership_tick(sender->membership, now_ns);
	set_members(sender, now_ns);
	send_due(sender, now_ns);
	pthread_mutex_unlock(&sender->lock);
}
