#ifndef STANDIN_TRAINER_H
#define STANDIN_TRAINER_H

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>

#include "base/error.h"

/*
 * A trainer that runs one step: it asks the daemons for all groups of
 * samples, obeys refusals, reconnects elsewhere after a cut with the same
 * identity, and judges what it was given.
 */
#define TRAINER_KEYS_MAX 16
#define TRAINER_URLS_MAX 64
#define TRAINER_PUBLISHED_MAX 64

/* A comma-separated list. */
struct text_list {
	char *items[TRAINER_URLS_MAX];
	uint32_t count;
};

struct trainer_options {
	struct text_list addresses; /* daemons that are asked for addresses */
	struct text_list keys; /* groups take them in turn; empty: no key */
	struct text_list engines; /* whose record the answers must agree with */
	const char *weights_url; /* NULL: nothing is published */
	const char *pool;
	const char *route;
	const char *name;
	const char *report; /* file; NULL: standard output */
	uint64_t step;
	uint32_t groups;
	uint32_t samples; /* in each group */
	uint32_t max_tokens;
	uint32_t max_staleness;
	uint32_t publish_at; /* groups after which weights come; 0: never */
	uint32_t threads; /* groups at once */
	uint32_t limit_s; /* time for the whole step */
	uint32_t publish_lag_ms; /* until a version counts for the bound */
	uint32_t answer_limit_ms; /* of the first try; 0: none */
};

struct published {
	uint64_t version;
	int64_t at_ns;
};

/* What is wrong or notable, summed over the step. */
struct trainer_counts {
	uint32_t accepted; /* samples */
	uint32_t doubled;
	uint32_t over_bound;
	uint32_t malformed; /* answers that are not whole or not ours */
	uint32_t refusals;
	uint32_t refusals_without_time;
	uint32_t reconnects;
	uint32_t fatal; /* groups that were refused for good */
	uint32_t verified; /* samples that agree with the engine's record */
	uint32_t resumed; /* of these, begun at another engine */
	uint32_t unverifiable; /* the engine that made them is gone */
	uint32_t wrong_versions; /* contradict the engine's record */
	uint32_t wrong_texts; /* not the text of their own prompt */
	uint64_t worst_staleness;
};

struct trainer {
	struct trainer_options options;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int64_t end_ns;
	uint32_t next_group;
	uint32_t groups_done;
	json_t **answers; /* by group; NULL: none accepted */
	struct published published[TRAINER_PUBLISHED_MAX];
	uint32_t published_count;
	struct trainer_counts counts;
	char first_fault[ERROR_TEXT_MAX]; /* "": none */
};

/* The stand-in's role `trainer`; returns the exit status. */
int trainer_main(int argc, char **argv);

/* Reads the command line; prints usage and exits if it is wrong. */
void trainer_options_parse(struct trainer_options *options, int argc,
			   char **argv);

/* The prompt of a group's samples; the caller frees it. */
char *trainer_prompt(const struct trainer *trainer, uint32_t group);

/* Runs one group until its answer is accepted or the step's time is over. */
void trainer_run_group(struct trainer *trainer, uint32_t group);

/*
 * Checks an answer: identity, each sample once and whole, weight versions
 * that account for all tokens, staleness. Returns -1 if it cannot be used.
 */
int trainer_judge(struct trainer *trainer, uint32_t group, const json_t *answer,
		  struct error *err);

/* Compares all accepted samples with the engines' own records. */
void trainer_verify(struct trainer *trainer);

/* Asks for the newest version and publishes the next one. */
int trainer_publish(struct trainer *trainer, struct error *err);

/* The report of a step that took `seconds`; the caller frees it. */
json_t *trainer_report(const struct trainer *trainer, double seconds);
int trainer_all_right(const struct trainer *trainer);

/* Writes the report; a file appears whole or not at all. */
int trainer_report_write(const json_t *report, const char *path);

/* Keeps the first thing that went wrong, for the report. */
void trainer_fault(struct trainer *trainer, const char *text);

#endif
