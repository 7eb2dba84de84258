#include "peer/denial_set.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

/* What readers see: the ids in order, each once or more. */
struct key_list {
	uint32_t count;
	char ids[][NAME_BYTES];
};

static int compare_ids(const void *a, const void *b)
{
	return strcmp(a, b);
}

static struct key_list *key_list_of(const struct denial_set *set)
{
	struct key_list *list =
		xcalloc(1, sizeof(*list) + (size_t)set->count * NAME_BYTES);

	list->count = set->count;
	for (uint32_t i = 0; i < set->count; i++)
		copy_text(list->ids[i], NAME_BYTES, set->denials[i].key_id);
	qsort(list->ids, list->count, NAME_BYTES, compare_ids);
	return list;
}

static uint64_t denial_hash(const char *key_id, const char *command_id)
{
	uint64_t hash = hash_text(key_id, hash_text(command_id, 0));

	return hash ? hash : 1;
}

/* Shows readers and peers what is held now; the lock is held. */
static void publish(struct denial_set *set)
{
	uint64_t digest = 0;

	for (uint32_t i = 0; i < set->count; i++)
		digest += denial_hash(set->denials[i].key_id,
				      set->denials[i].command_id);
	if (set->count && !digest)
		digest = 1;
	__atomic_store_n(&set->digest, digest, __ATOMIC_RELEASE);
	free(published_swap(&set->keys, key_list_of(set)));
}

void denial_set_init(struct denial_set *set)
{
	memset(set, 0, sizeof(*set));
	pthread_mutex_init(&set->lock, NULL);
	published_init(&set->keys, key_list_of(set));
}

void denial_set_finish(struct denial_set *set)
{
	free(published_swap(&set->keys, NULL));
	denials_free(set->denials, set->count);
	set->denials = NULL;
	set->count = 0;
	pthread_mutex_destroy(&set->lock);
}

static int was_decided(const struct denial_set *set, uint64_t hash)
{
	uint64_t count = set->decided_total < DENIAL_SET_DECIDED
				 ? set->decided_total
				 : DENIAL_SET_DECIDED;

	for (uint64_t i = 0; i < count; i++)
		if (set->decided[i] == hash)
			return 1;
	return 0;
}

static int is_held(const struct denial_set *set, const char *key_id,
		   const char *command_id)
{
	for (uint32_t i = 0; i < set->count; i++)
		if (!strcmp(set->denials[i].command_id, command_id) &&
		    !strcmp(set->denials[i].key_id, key_id))
			return 1;
	return 0;
}

static void append(struct denial_set *set, const char *key_id,
		   const char *command_id, const uint8_t *command,
		   size_t command_len, int64_t now_ns)
{
	struct denial *denial;

	set->denials = xrealloc(set->denials,
				(set->count + 1) * sizeof(*set->denials));
	denial = &set->denials[set->count++];
	memset(denial, 0, sizeof(*denial));
	copy_text(denial->key_id, sizeof(denial->key_id), key_id);
	copy_text(denial->command_id, sizeof(denial->command_id), command_id);
	denial->denied_ns = now_ns;
	if (!command_len || command_len > DENIAL_COMMAND_MAX_BYTES)
		return;
	denial->command = xmalloc(command_len);
	memcpy(denial->command, command, command_len);
	denial->command_len = command_len;
}

enum denial_outcome denial_set_add(struct denial_set *set, const char *key_id,
				   const char *command_id,
				   const uint8_t *command, size_t command_len,
				   int64_t now_ns)
{
	enum denial_outcome outcome = DENIAL_KNOWN;

	pthread_mutex_lock(&set->lock);
	if (is_held(set, key_id, command_id) ||
	    was_decided(set, denial_hash(key_id, command_id))) {
		outcome = DENIAL_KNOWN;
	} else if (set->count >= DENIAL_SET_MAX) {
		outcome = DENIAL_FULL;
	} else {
		append(set, key_id, command_id, command, command_len, now_ns);
		publish(set);
		outcome = DENIAL_NEW;
	}
	pthread_mutex_unlock(&set->lock);
	return outcome;
}

int denial_set_contains(struct denial_set *set, const char *key_id)
{
	const struct key_list *list = published_read_begin(&set->keys);
	int found = list->count && bsearch(key_id, list->ids, list->count,
					   NAME_BYTES, compare_ids);

	published_read_end(&set->keys);
	return found;
}

/* Takes denial `i` out and remembers that it was decided. */
static void drop(struct denial_set *set, uint32_t i)
{
	struct denial *denial = &set->denials[i];

	set->decided[set->decided_total++ % DENIAL_SET_DECIDED] =
		denial_hash(denial->key_id, denial->command_id);
	free(denial->command);
	*denial = set->denials[--set->count];
}

/* Drops each denial that `is_over` says yes to. */
static void drop_over(struct denial_set *set,
		      int (*is_over)(const void *arg,
				     const struct denial *denial),
		      const void *arg)
{
	int dropped = 0;

	pthread_mutex_lock(&set->lock);
	for (uint32_t i = set->count; i-- > 0;) {
		if (!is_over(arg, &set->denials[i]))
			continue;
		drop(set, i);
		dropped = 1;
	}
	if (dropped)
		publish(set);
	pthread_mutex_unlock(&set->lock);
}

int denial_set_decide(struct denial_set *set, const char *command_id)
{
	int held = 0;

	pthread_mutex_lock(&set->lock);
	for (uint32_t i = 0; i < set->count; i++) {
		if (strcmp(set->denials[i].command_id, command_id))
			continue;
		set->denials[i].decided = 1;
		held = 1;
	}
	pthread_mutex_unlock(&set->lock);
	return held;
}

static int is_decided(const void *arg, const struct denial *denial)
{
	(void)arg;
	return denial->decided;
}

void denial_set_lift_decided(struct denial_set *set)
{
	if (denial_set_digest(set))
		drop_over(set, is_decided, NULL);
}

static int is_withdrawn(const void *arg, const struct denial *denial)
{
	const struct key *key = config_key(arg, denial->key_id);

	return key && key->withdrawn;
}

void denial_set_settle(struct denial_set *set, const struct config *config)
{
	drop_over(set, is_withdrawn, config);
}

uint64_t denial_set_digest(const struct denial_set *set)
{
	return __atomic_load_n(&set->digest, __ATOMIC_ACQUIRE);
}

uint32_t denial_set_copy(struct denial_set *set, uint32_t first, uint32_t max,
			 struct denial **out)
{
	uint32_t count;

	pthread_mutex_lock(&set->lock);
	count = set->count < max ? set->count : max;
	*out = xcalloc(count ? count : 1, sizeof(**out));
	for (uint32_t i = 0; i < count; i++) {
		struct denial *copy = &(*out)[i];

		*copy = set->denials[(first + i) % set->count];
		if (!copy->command)
			continue;
		copy->command = xmalloc(copy->command_len);
		memcpy(copy->command,
		       set->denials[(first + i) % set->count].command,
		       copy->command_len);
	}
	pthread_mutex_unlock(&set->lock);
	return count;
}

void denials_free(struct denial *denials, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		free(denials[i].command);
	free(denials);
}
