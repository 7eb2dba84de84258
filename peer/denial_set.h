#ifndef PEER_DENIAL_SET_H
#define PEER_DENIAL_SET_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/published.h"
#include "state/config.h"

/*
 * Keys that are denied before the log says so. A denial belongs to the
 * command that withdraws the key, and is kept until readers see a configuration
 * in which the log has decided on that command. Looking a key up takes no lock.
 */
#define DENIAL_SET_MAX 4096

/* A longer command is not kept; its denial is. */
#define DENIAL_COMMAND_MAX_BYTES 4096

/* Decided denials that are remembered, so that late messages are ignored. */
#define DENIAL_SET_DECIDED 4096

struct denial {
	char key_id[NAME_BYTES];
	char command_id[NAME_BYTES];
	uint8_t *command; /* the packed Command, or NULL */
	size_t command_len;
	int64_t denied_ns;
	int decided; /* by the log; denies until it is lifted */
};

struct denial_set {
	struct published keys; /* sorted ids, for readers */
	pthread_mutex_t lock; /* guards the rest */
	struct denial *denials;
	uint32_t count;
	uint64_t digest; /* atomic; 0: none held */
	uint64_t decided[DENIAL_SET_DECIDED]; /* a ring of hashes */
	uint64_t decided_total;
};

enum denial_outcome {
	DENIAL_FULL = -1,
	DENIAL_KNOWN = 0, /* held, or decided by the log already */
	DENIAL_NEW = 1,
};

void denial_set_init(struct denial_set *set);
void denial_set_finish(struct denial_set *set);

/* Copies the command; it may be NULL, and is left out if over its bound. */
enum denial_outcome denial_set_add(struct denial_set *set, const char *key_id,
				   const char *command_id,
				   const uint8_t *command, size_t command_len,
				   int64_t now_ns);
int denial_set_contains(struct denial_set *set, const char *key_id);

/*
 * Notes that the log has decided on a command, whose denial stays until
 * denial_set_lift_decided(). Returns whether one is held.
 */
int denial_set_decide(struct denial_set *set, const char *command_id);

/*
 * Forgets the denials of decided commands, once the configuration that tells
 * the outcome is published. They are not taken again from a late message.
 */
void denial_set_lift_decided(struct denial_set *set);

/* Forgets the denials of keys that the configuration has as withdrawn. */
void denial_set_settle(struct denial_set *set, const struct config *config);

/* Hash over the denials that are held, in any order; 0 if none. */
uint64_t denial_set_digest(const struct denial_set *set);

/*
 * Copies up to `max` denials, from the index `first` on, round the end;
 * the caller frees them by denials_free().
 */
uint32_t denial_set_copy(struct denial_set *set, uint32_t first, uint32_t max,
			 struct denial **out);
void denials_free(struct denial *denials, uint32_t count);

#endif
