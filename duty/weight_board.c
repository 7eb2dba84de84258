#include "duty/weight_board.h"

#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "policy/need_age.h"
#include "proto/topic.pb-c.h"
#include "store/malformed_entry.h"
#include "store/topic_message.h"

#define WEIGHT_TOPIC "keyed.weights"
#define NEED_KEY "need/"
#define LOAD_KEY "load/"
#define READ_MAX_WAIT_NS (1500 * NS_PER_MS)
#define READ_TIMEOUT_NS (600 * NS_PER_MS)
/* Each step of a trainer brings a few records; read them together. */
#define READ_INTERVAL_NS (20 * NS_PER_MS)

static struct weight_board *board_from_follower(struct keyed_follower *follower)
{
	return (struct weight_board *)follower;
}

static int64_t find_reported_ns(const struct weight_board *board,
				int64_t reported_ms)
{
	int64_t now_ns = clock_now_ns(board->clock);
	int64_t unread_ns = board->caught_up_ns ? now_ns - board->caught_up_ns
						: INT64_MAX;

	return now_ns -
	       need_age_ns(reported_ms, clock_wall_ms(board->clock), unread_ns);
}

/* Returns -1 if the message is malformed. */
static int apply_need(struct weight_board *board, const void *value, size_t len)
{
	Currant__Topic__WeightNeed *message =
		currant__topic__weight_need__unpack(NULL, len, value);
	struct weight_need need;
	int64_t reported_ns;
	int fits;

	if (!message)
		return -1;
	memset(&need, 0, sizeof(need));
	need.min_version = message->min_version;
	need.named_version = message->named_version;
	need.tokens = message->tokens;
	need.items = message->items;
	need.single_version = message->single_version;
	reported_ns = find_reported_ns(board, message->reported_ms);
	fits = !copy_text(need.model, sizeof(need.model), message->model) &&
	       !copy_text(need.service, sizeof(need.service), message->service);
	currant__topic__weight_need__free_unpacked(message, NULL);
	if (!fits)
		return -1;
	for (struct weight_board_listener *l = board->listeners; l; l = l->next)
		if (l->need)
			l->need(l, &need, reported_ns);
	return 0;
}

/* Returns -1 if the message is malformed. */
static int apply_load(struct weight_board *board, const void *value, size_t len)
{
	Currant__Topic__WeightLoad *message =
		currant__topic__weight_load__unpack(NULL, len, value);
	struct weight_load load;
	int fits;

	if (!message)
		return -1;
	memset(&load, 0, sizeof(load));
	load.version = message->version;
	load.loaded = message->loaded;
	fits = !copy_text(load.engine, sizeof(load.engine), message->engine) &&
	       !copy_text(load.model, sizeof(load.model), message->model);
	currant__topic__weight_load__free_unpacked(message, NULL);
	if (!fits)
		return -1;
	for (struct weight_board_listener *l = board->listeners; l; l = l->next)
		if (l->load)
			l->load(l, &load);
	return 0;
}

static void report_malformed(struct weight_board *board, const char *key,
			     uint64_t offset)
{
	const struct malformed_entry entry = {
		.part = "weights",
		.name = "key",
		.key = key,
		.offset = offset,
	};

	malformed_entry_report(&entry, board->log, board->malformed);
}

static void on_put(struct keyed_follower *follower, const char *key,
		   const void *value, size_t len, uint64_t offset)
{
	struct weight_board *board = board_from_follower(follower);
	int result = -1;

	if (!strncmp(key, NEED_KEY, strlen(NEED_KEY)))
		result = apply_need(board, value, len);
	else if (!strncmp(key, LOAD_KEY, strlen(LOAD_KEY)))
		result = apply_load(board, value, len);
	if (result)
		report_malformed(board, key, offset);
}

/* Hosts replace entries and never delete them. */
static void on_drop(struct keyed_follower *follower, const char *key,
		    uint64_t offset)
{
	report_malformed(board_from_follower(follower), key, offset);
}

static void on_caught_up(struct keyed_follower *follower, int64_t as_of_ns)
{
	board_from_follower(follower)->caught_up_ns = as_of_ns;
}

static const struct keyed_follower_vtable follower_vtable = {
	.put = on_put,
	.drop = on_drop,
	.caught_up = on_caught_up,
};

void weight_board_init(struct weight_board *board, struct topic_log *log,
		       struct timer_service *timers, const char *writer_name,
		       struct record_log *records, struct counter_set *counters)
{
	struct keyed_follower_settings settings = {
		.topic = WEIGHT_TOPIC,
		.pause_ns = READ_INTERVAL_NS,
		.watch_ns = READ_MAX_WAIT_NS,
		.timeout_ns = READ_TIMEOUT_NS,
	};

	memset(board, 0, sizeof(*board));
	board->clock = timers->clock;
	board->log = records;
	board->malformed =
		counter_get(counters, "weight_entries_malformed_total");
	keyed_follower_init(&board->follower, &follower_vtable, log, timers,
			    &settings, counters);
	topic_writer_init(&board->writer, log, timers, WEIGHT_TOPIC, 0,
			  writer_name, counters);
}

void weight_board_finish(struct weight_board *board)
{
	keyed_follower_finish(&board->follower);
	topic_writer_finish(&board->writer);
}

void weight_board_start(struct weight_board *board)
{
	keyed_follower_start(&board->follower);
}

void weight_board_add_listener(struct weight_board *board,
			       struct weight_board_listener *listener)
{
	listener->next = board->listeners;
	board->listeners = listener;
}

static void on_written(struct topic_write *write,
		       enum topic_write_outcome outcome)
{
	(void)outcome; /* later writes or engines' entries replace it */
	topic_write_free(write);
}

static void append_entry(struct weight_board *board, const char *prefix,
			 const char *name, const ProtobufCMessage *message)
{
	struct topic_write *write = topic_write_new(on_written, NULL);
	char key[sizeof(NEED_KEY) + 2 * WEIGHT_NAME_BYTES];

	snprintf(key, sizeof(key), "%s%s", prefix, name);
	topic_add_keyed_message(&write->records, key, message);
	write->record_count = 1;
	topic_writer_add(&board->writer, write);
}

void weight_board_publish_need(struct weight_board *board,
			       const struct weight_need *need, const char *host)
{
	Currant__Topic__WeightNeed message = CURRANT__TOPIC__WEIGHT_NEED__INIT;
	char name[2 * WEIGHT_NAME_BYTES];

	message.model = (char *)need->model;
	message.service = (char *)need->service;
	message.min_version = need->min_version;
	message.named_version = need->named_version;
	message.tokens = need->tokens;
	message.items = need->items;
	message.single_version = need->single_version;
	message.host = (char *)host;
	message.reported_ms = clock_wall_ms(board->clock);
	snprintf(name, sizeof(name), "%s/%s", need->model, need->service);
	append_entry(board, NEED_KEY, name, &message.base);
}

void weight_board_publish_load(struct weight_board *board,
			       const struct weight_load *load)
{
	Currant__Topic__WeightLoad message = CURRANT__TOPIC__WEIGHT_LOAD__INIT;

	message.engine = (char *)load->engine;
	message.model = (char *)load->model;
	message.version = load->version;
	message.loaded = load->loaded;
	append_entry(board, LOAD_KEY, load->engine, &message.base);
}
