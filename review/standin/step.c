#define _GNU_SOURCE
#include "step.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_EVERY_MS 500
#define TENTHS_MAX 1300 /* of seconds; a script runs for 120 s */

/* What the engines and the trainer know of an item of the present step. */
struct item {
	int begun; /* runs */
	int running;
	int over; /* an engine has finished or failed it */
	int64_t left_ms; /* when it was last at an engine; 0: never */
	int listed;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char step_id[32];
static struct item items[STEP_ITEMS_MAX];
static int running; /* items at engines */
/* Most items at engines at once, by tenths of a second. */
static int most_running[TENTHS_MAX];
static int64_t began_ms;
static int was_whole;
static unsigned int seed = 1;

int step_item(const char *id)
{
	size_t len = strlen(step_id);
	int number;

	if (!len || strncmp(id, step_id, len) || id[len] != 'i')
		return -1;
	number = atoi(id + len + 1);
	return number >= 0 && number < STEP_ITEMS_MAX ? number : -1;
}

/* Counts the items at engines, also for the time since the last change. */
static void note_running(int by)
{
	static int64_t counted; /* tenths */
	int64_t tenth;

	if (!began_ms)
		began_ms = now_ms();
	tenth = (now_ms() - began_ms) / 100;
	if (tenth >= TENTHS_MAX)
		tenth = TENTHS_MAX - 1;
	for (int64_t t = counted; t <= tenth; t++)
		if (running > most_running[t])
			most_running[t] = running;
	counted = tenth;
	running += by;
	if (running > most_running[tenth])
		most_running[tenth] = running;
}

void step_run_begins(const char *id)
{
	int number;

	pthread_mutex_lock(&lock);
	number = step_item(id);
	if (number >= 0) {
		items[number].begun++;
		items[number].running++;
	}
	note_running(1);
	pthread_mutex_unlock(&lock);
}

void step_run_ends(const char *id, int is_over)
{
	int number;

	pthread_mutex_lock(&lock);
	number = step_item(id);
	if (number >= 0) {
		items[number].running--;
		items[number].left_ms = now_ms();
		items[number].over |= is_over;
	}
	note_running(-1);
	pthread_mutex_unlock(&lock);
}

int step_was_whole(void)
{
	return was_whole;
}

/* The directory no longer names daemons that stop. */
static const char *any_front(const struct steps *steps)
{
	unsigned int number;

	do
		number = (unsigned int)rand_r(&seed) %
			 (unsigned int)steps->daemons;
	while (daemons[number].stopping);
	return daemons[number].front;
}

static int group_count(const struct steps *steps)
{
	return steps->shape.items / steps->shape.group_size;
}

static int whole_groups(const struct steps *steps)
{
	int count = 0;

	for (int g = 0; g < group_count(steps); g++) {
		int listed = 0;

		for (int i = 0; i < steps->shape.group_size; i++)
			listed += items[g * steps->shape.group_size + i].listed;
		count += listed == steps->shape.group_size;
	}
	return count;
}

/* Reads from a position; returns the position after it. */
static int read_more(const struct steps *steps, int position)
{
	int status;
	json_t *body =
		batch_read(any_front(steps), step_id, position, 0, &status);
	json_t *results = json_object_get(body, "results");
	size_t index;
	json_t *result;

	if (status != 200)
		note("trainer: read after=%d: %d", position, status);
	json_array_foreach (results, index, result) {
		const char *id =
			json_string_value(json_object_get(result, "id"));
		int number = id ? step_item(id) : -1;

		position++;
		if (number >= 0)
			items[number].listed = 1;
	}
	json_decref(body);
	return position;
}

/* The last time at which half of the places of engines were taken. */
static int64_t last_half_full(int places, int64_t end_ms)
{
	for (int64_t t = (end_ms - began_ms) / 100; t >= 0; t--)
		if (t < TENTHS_MAX && 2 * most_running[t] >= places)
			return began_ms + (t + 1) * 100;
	return began_ms;
}

/* Places of the engines that take work. */
static int places(const struct steps *steps)
{
	int count = 0;

	for (size_t i = 0; i < steps->engine_count; i++)
		if (steps->engines[i].listener.fd &&
		    !atomic_load(&steps->engines[i].draining) &&
		    !atomic_load(&steps->engines[i].gone))
			count += steps->engines[i].slots;
	return count;
}

/*
 * Items that had been at no engine for 5 s when the step ran out of time, by
 * the rule's own conditions. One model is trained.
 */
static int count_lost(const struct steps *steps, int64_t named_ms,
		      int64_t accepted_ms, int64_t end_ms)
{
	int64_t since_ms;
	int begun = 0;
	int lost = 0;

	note_running(0);
	since_ms = last_half_full(places(steps), end_ms);
	if (since_ms < named_ms + STEP_AFTER_NAMING_MS)
		since_ms = named_ms + STEP_AFTER_NAMING_MS;
	for (int i = 0; i < steps->shape.items; i++)
		begun += items[i].begun > 0;
	for (int i = 0; i < steps->shape.items; i++) {
		int64_t from_ms = items[i].left_ms ? items[i].left_ms
						   : accepted_ms;

		if (from_ms < since_ms)
			from_ms = since_ms;
		lost += begun > (items[i].begun > 0) && !items[i].over &&
			!items[i].running &&
			end_ms - from_ms >= STEP_AT_NO_ENGINE_MS &&
			(!items[i].left_ms ||
			 end_ms - items[i].left_ms > STEP_ENDS_SOON_MS);
	}
	note("step %s: %d of %d items had begun; for the last %.1f s of its "
	     "time no version was named, nor in the 6 s before, and the "
	     "engines were under half full; %d items were at no engine in the "
	     "last %.1f s of them",
	     step_id, begun, steps->shape.items,
	     (double)(end_ms - since_ms) / 1000, lost,
	     (double)STEP_AT_NO_ENGINE_MS / 1000);
	return lost;
}

int step_play(const struct steps *steps, int version, void (*during)(void),
	      int64_t after_ms)
{
	struct batch_shape shape = steps->shape;
	int64_t named_ms, accepted_ms, end_ms;
	int position = 0;
	int lost = 0;

	pthread_mutex_lock(&lock);
	snprintf(step_id, sizeof(step_id), "7c41e09b52d6%04x", version);
	memset(items, 0, sizeof(items));
	pthread_mutex_unlock(&lock);
	shape.id = step_id;
	shape.step = version;
	shape.min_version = version;
	if (!steps->newest_only && version > 1)
		shape.min_version--;
	name_version(shape.model, version);
	named_ms = now_ms();
	if (batch_submit(any_front(steps), &shape) != 202)
		give_up("the batch submission is not accepted");
	accepted_ms = now_ms();
	end_ms = accepted_ms + steps->budget_ms;
	while (whole_groups(steps) < steps->target_groups &&
	       now_ms() < end_ms) {
		if (during && now_ms() >= accepted_ms + after_ms) {
			during();
			during = NULL;
		}
		sleep_ms(during ? 50 : READ_EVERY_MS);
		position = read_more(steps, position);
	}
	pthread_mutex_lock(&lock);
	was_whole = whole_groups(steps) >= steps->target_groups;
	note("trainer: %d of %d results of step %d, %d of %d groups whole "
	     "after %.1f s",
	     position, shape.items, version, whole_groups(steps),
	     group_count(steps), (double)(now_ms() - accepted_ms) / 1000);
	if (!was_whole)
		lost = count_lost(steps, named_ms, accepted_ms, end_ms);
	pthread_mutex_unlock(&lock);
	batch_end(any_front(steps), step_id);
	return lost;
}
