#ifndef DUTY_WEIGHT_BOARD_H
#define DUTY_WEIGHT_BOARD_H

#include "base/record_log.h"
#include "store/keyed_follower.h"
#include "store/topic_writer.h"

/*
 * Shares the state of weights between hosts through a topic: what the batches
 * of each model need, and which version an engine loads or has loaded. The
 * engines' own entries show loaded versions a second or two later.
 */
#define WEIGHT_NAME_BYTES 64

struct weight_need {
	char model[WEIGHT_NAME_BYTES];
	char service[WEIGHT_NAME_BYTES];
	uint64_t min_version;
	uint64_t named_version;
	uint64_t tokens;
	uint32_t items;
	int single_version;
};

struct weight_load {
	char engine[WEIGHT_NAME_BYTES];
	char model[WEIGHT_NAME_BYTES];
	uint64_t version;
	int loaded;
};

struct weight_board_listener {
	/* Each may be NULL. `reported_ns` is on this host's clock. */
	void (*need)(struct weight_board_listener *listener,
		     const struct weight_need *need, int64_t reported_ns);
	void (*load)(struct weight_board_listener *listener,
		     const struct weight_load *load);
	struct weight_board_listener *next;
};

struct weight_board {
	struct keyed_follower follower;
	struct topic_writer writer;
	struct weight_board_listener *listeners;
	struct clock *clock;
	struct record_log *log;
	int64_t caught_up_ns; /* all older records were read; 0: never */
	struct counter *malformed;
};

void weight_board_init(struct weight_board *board, struct topic_log *log,
		       struct timer_service *timers, const char *writer_name,
		       struct record_log *records,
		       struct counter_set *counters);
void weight_board_finish(struct weight_board *board);
void weight_board_start(struct weight_board *board);
void weight_board_add_listener(struct weight_board *board,
			       struct weight_board_listener *listener);

void weight_board_publish_need(struct weight_board *board,
			       const struct weight_need *need,
			       const char *host);
void weight_board_publish_load(struct weight_board *board,
			       const struct weight_load *load);

#endif
