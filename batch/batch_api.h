#ifndef BATCH_BATCH_API_H
#define BATCH_BATCH_API_H

#include "base/histogram.h"
#include "base/record_log.h"
#include "batch/batch_partition.h"
#include "entry/caller_port.h"
#include "net/reactor.h"

/*
 * Handles callers' requests about batches; every daemon can serve them. A
 * batch counts as accepted once its record is stored in the log. A read is
 * answered after this daemon has applied all records that the log held when
 * the read arrived.
 */
struct batch_submission;
struct batch_call;

/* Notes the configurations under which batches of a partition were accepted. */
struct acceptance_listener {
	struct batch_table_listener base;
	struct config_holder *config;
};

struct batch_api {
	struct batch_port port;
	struct acceptance_listener *acceptances; /* of each partition */
	struct reactor *reactor;
	struct batch_set *set;
	struct topic_log *store;
	struct record_log *log;
	struct config_holder *config;
	const char *host;
	uint64_t incarnation;
	/* Estimated memory of the submissions in flight; 0: no limit. */
	uint64_t max_draft_bytes;
	uint64_t draft_bytes;
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
		    struct config_holder *config, struct record_log *log,
		    struct counter_set *counters, const char *host,
		    uint64_t incarnation);
void batch_api_finish(struct batch_api *api);

/* Answers the reads that wait for results with what there is. */
void batch_api_answer_waiting(struct batch_api *api);

/*
 * Answers all calls and submissions, as far as their outcome is known; nothing
 * that was refused as not run is sent to the store afterwards.
 */
void batch_api_answer_all(struct batch_api *api);

#endif
