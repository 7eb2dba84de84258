#ifndef STANDIN_FAULTS_H
#define STANDIN_FAULTS_H

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>

/*
 * Fault settings that every role shares, as POST /standin/faults sets them:
 * {"down", "delay_ms", "lose_answers", "refuse", "only"}. `only` limits them
 * to paths that begin with it.
 */
struct faults {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int down;
	uint32_t delay_ms;
	uint32_t lose_answers; /* calls left */
	uint32_t refuse; /* calls left */
	char only[128];
	int stopping;
};

struct fault_verdict {
	int refuse; /* answer 503 and do nothing */
	int lose_answer; /* take effect, then cut the connection */
};

void faults_init(struct faults *faults);
void faults_set(struct faults *faults, const json_t *settings);

/* Waits for the set delay and says what is to happen to a call. */
void faults_judge(struct faults *faults, const char *path,
		  struct fault_verdict *verdict);

/* Ends all waits. */
void faults_stop(struct faults *faults);

#endif
