#include <stdlib.h>
#include <string.h>

#include "policy/dispatch_queue.h"

#include "base/alloc.h"
#include "base/bug.h"
#include "base/hash.h"

#define TEAM_HASH_SEED 0

void dispatch_queue_init(struct dispatch_queue *queue, uint32_t max_count)
{
	memset(queue, 0, sizeof(*queue));
	queue->max_count = max_count;
}

void dispatch_queue_finish(struct dispatch_queue *queue)
{
	for (uint32_t c = 0; c < ARRAY_SIZE(queue->classes); c++) {
		struct dispatch_class *class_ = &queue->classes[c];

		for (uint32_t i = 0; i < class_->team_count; i++) {
			free(class_->teams[i]->heap);
			free(class_->teams[i]);
		}
		free(class_->teams);
	}
	memset(queue, 0, sizeof(*queue));
}

int dispatch_entry_queued(const struct dispatch_entry *entry)
{
	return entry->queued_in != NULL;
}

static int is_older(const struct dispatch_entry *a,
		    const struct dispatch_entry *b)
{
	if (a->queued_at_ns != b->queued_at_ns)
		return a->queued_at_ns < b->queued_at_ns;
	return a->arrival < b->arrival;
}

static void heap_put(struct dispatch_team *team, uint32_t slot,
		     struct dispatch_entry *entry)
{
	team->heap[slot] = entry;
	entry->slot = slot;
}

static void heap_up(struct dispatch_team *team, uint32_t slot)
{
	struct dispatch_entry *entry = team->heap[slot];

	while (slot && is_older(entry, team->heap[(slot - 1) / 2])) {
		heap_put(team, slot, team->heap[(slot - 1) / 2]);
		slot = (slot - 1) / 2;
	}
	heap_put(team, slot, entry);
}

static void heap_down(struct dispatch_team *team, uint32_t slot)
{
	struct dispatch_entry *entry = team->heap[slot];
	uint32_t child;

	while ((child = 2 * slot + 1) < team->count) {
		if (child + 1 < team->count &&
		    is_older(team->heap[child + 1], team->heap[child]))
			child++;
		if (!is_older(team->heap[child], entry))
			break;
		heap_put(team, slot, team->heap[child]);
		slot = child;
	}
	heap_put(team, slot, entry);
}

static void heap_add(struct dispatch_team *team, struct dispatch_entry *entry)
{
	if (team->count == team->alloc) {
		team->alloc = team->alloc ? 2 * team->alloc : 8;
		team->heap =
			xrealloc(team->heap,
				 team->alloc * sizeof(struct dispatch_entry *));
	}
	team->heap[team->count] = entry;
	heap_up(team, team->count++);
}

static void heap_remove(struct dispatch_team *team, uint32_t slot)
{
	struct dispatch_entry *last = team->heap[--team->count];

	if (slot == team->count)
		return;
	heap_put(team, slot, last);
	heap_up(team, slot);
	heap_down(team, last->slot);
}

static struct dispatch_class *class_of(struct dispatch_queue *queue,
				       int latency_bound)
{
	if (queue->disabled_parts & DISPATCH_NO_PRIORITIES)
		return &queue->classes[1];
	return &queue->classes[latency_bound ? 0 : 1];
}

static struct dispatch_team *find_team(const struct dispatch_class *class_,
				       const char *name)
{
	uint64_t hash = hash_text(name, TEAM_HASH_SEED);

	for (uint32_t i = 0; i < class_->team_count; i++)
		if (class_->teams[i]->name_hash == hash)
			return class_->teams[i];
	return NULL;
}

/* Without fairness all teams of a class share one queue. */
static const char *queue_name(const struct dispatch_queue *queue,
			      const char *team)
{
	return queue->disabled_parts & DISPATCH_NO_FAIRNESS ? "" : team;
}

static struct dispatch_team *make_team(struct dispatch_class *class_,
				       const char *name)
{
	struct dispatch_team *team = xcalloc(1, sizeof(*team));

	team->name_hash = hash_text(name, TEAM_HASH_SEED);
	copy_text(team->name, sizeof(team->name), name);
	if (class_->team_count == class_->team_alloc) {
		class_->team_alloc = class_->team_alloc ? 2 * class_->team_alloc
							: 8;
		class_->teams = xrealloc(
			class_->teams,
			class_->team_alloc * sizeof(struct dispatch_team *));
	}
	class_->teams[class_->team_count++] = team;
	return team;
}

static void unlink_entry(struct dispatch_queue *queue,
			 struct dispatch_entry *entry)
{
	struct dispatch_team *team = entry->queued_in;

	if (!team)
		BUG("the entry is not queued");
	heap_remove(team, entry->slot);
	team->queued_tokens -= entry->tokens;
	queue->queued_tokens -= entry->tokens;
	if (!team->count)
		team->queued_tokens = 0;
	if (!--queue->count)
		queue->queued_tokens = 0;
	entry->queued_in = NULL;
}

/*
 * The team with the most queued tokens for its weight; of the batch class if
 * any team has requests there.
 */
static struct dispatch_team *most_queued_team(struct dispatch_queue *queue)
{
	struct dispatch_team *worst = NULL;

	for (uint32_t c = ARRAY_SIZE(queue->classes); c-- > 0 && !worst;) {
		struct dispatch_class *class_ = &queue->classes[c];

		for (uint32_t i = 0; i < class_->team_count; i++) {
			struct dispatch_team *team = class_->teams[i];

			if (team->count &&
			    (!worst ||
			     team->queued_tokens / team->weight >
				     worst->queued_tokens / worst->weight))
				worst = team;
		}
	}
	return worst;
}

static struct dispatch_entry *entry_to_reject(struct dispatch_queue *queue)
{
	struct dispatch_team *team = most_queued_team(queue);
	struct dispatch_entry *worst = NULL;

	if (!team)
		return NULL;
	/* The last entry of a heap is among its leaves. */
	for (uint32_t i = team->count / 2; i < team->count; i++)
		if (!worst || is_older(worst, team->heap[i]))
			worst = team->heap[i];
	return worst;
}

struct dispatch_entry *dispatch_queue_push(struct dispatch_queue *queue,
					   struct dispatch_entry *entry)
{
	struct dispatch_class *class_ = class_of(queue, entry->latency_bound);
	const char *name = queue_name(queue, entry->team);
	struct dispatch_team *team = find_team(class_, name);
	struct dispatch_entry *rejected;

	if (!team)
		team = make_team(class_, name);
	team->weight = entry->weight ? entry->weight : 1;
	if (!team->count && team->start_tag < class_->virtual_time)
		team->start_tag = class_->virtual_time;
	entry->arrival = queue->arrivals++;
	entry->queued_in = team;
	heap_add(team, entry);
	team->queued_tokens += entry->tokens;
	queue->queued_tokens += entry->tokens;
	queue->count++;
	if (queue->count <= queue->max_count)
		return NULL;
	rejected = entry_to_reject(queue);
	unlink_entry(queue, rejected);
	return rejected;
}

static struct dispatch_team *next_team(const struct dispatch_class *class_)
{
	struct dispatch_team *next = NULL;

	for (uint32_t i = 0; i < class_->team_count; i++) {
		struct dispatch_team *team = class_->teams[i];

		if (team->count && (!next || team->start_tag < next->start_tag))
			next = team;
	}
	return next;
}

static struct dispatch_entry *serve(struct dispatch_queue *queue,
				    struct dispatch_class *class_,
				    struct dispatch_entry *entry)
{
	struct dispatch_team *team = entry->queued_in;

	if (team->start_tag > class_->virtual_time)
		class_->virtual_time = team->start_tag;
	team->start_tag += entry->tokens / team->weight;
	unlink_entry(queue, entry);
	return entry;
}

struct dispatch_entry *dispatch_queue_peek(const struct dispatch_queue *queue)
{
	for (uint32_t c = 0; c < ARRAY_SIZE(queue->classes); c++) {
		struct dispatch_team *team = next_team(&queue->classes[c]);

		if (team)
			return team->heap[0];
	}
	return NULL;
}

struct dispatch_entry *dispatch_queue_pop(struct dispatch_queue *queue)
{
	return dispatch_queue_pop_allowed(queue, NULL, NULL);
}

struct dispatch_entry *dispatch_queue_pop_allowed(
	struct dispatch_queue *queue,
	int (*allowed)(void *arg, const struct dispatch_entry *entry),
	void *arg)
{
	for (uint32_t c = 0; c < ARRAY_SIZE(queue->classes); c++) {
		struct dispatch_class *class_ = &queue->classes[c];
		struct dispatch_team *next = NULL;

		for (uint32_t i = 0; i < class_->team_count; i++) {
			struct dispatch_team *team = class_->teams[i];

			if (!team->count ||
			    (next && team->start_tag >= next->start_tag))
				continue;
			if (!allowed || allowed(arg, team->heap[0]))
				next = team;
		}
		if (next)
			return serve(queue, class_, next->heap[0]);
	}
	return NULL;
}

void dispatch_queue_remove(struct dispatch_queue *queue,
			   struct dispatch_entry *entry)
{
	unlink_entry(queue, entry);
}

void dispatch_queue_charge(struct dispatch_queue *queue, const char *team,
			   int latency_bound, double more_tokens)
{
	struct dispatch_class *class_ = class_of(queue, latency_bound);
	struct dispatch_team *found =
		find_team(class_, queue_name(queue, team));

	if (found)
		found->start_tag += more_tokens / found->weight;
}

double dispatch_queue_team_tokens(const struct dispatch_queue *queue,
				  const char *team)
{
	const struct dispatch_team *found =
		find_team(&queue->classes[1], queue_name(queue, team));

	return found ? found->queued_tokens : 0;
}
