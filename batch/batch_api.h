#ifndef BATCH_BATCH_API_H
#define BATCH_BATCH_API_H

#include "base/histogram.h"
#include "base/record_log.h"
#include "batch/batch_partition.h"
#include "entry/caller_port.h"
#include "net/reactor.h"

/*
 * The calls about batches, the same at every daemon. A batch is accepted once
 * the log holds it; a read is answered once this daemon has read all that the
 * log held when it was asked.
 */
struct batch_submission;
struct batch_call;

struct batch_api {
	struct batch_port port;
	struct reactor *reactor;
	struct batch_set *set;
	struct topic_log *store;
	struct record_log *log;
	const struct config_holder *config;
	const char *host;
	uint64_t incarnation;
	struct batch_submission *submissions;
	struct batch_call *calls;
	struct counter *accepted;
	struct counter *repeated;
	struct counter *refused;
	struct counter *unknown;
	struct counter *reads;
	struct histogram accept_duration;
};

void batch_api_init(struct batch_api *api, struct reactor *reactor,
		    struct batch_set *set, struct topic_log *store,
		    const struct config_holder *config, struct record_log *log,
		    struct counter_set *counters, const char *host,
		    uint64_t incarnation);
void batch_api_finish(struct batch_api *api);

#endif
