#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_field.h"
#include "standin/trainer.h"
#include "base/clock.h"
#include "base/wait.h"

/* Newest version that daemons must know of by now; 0 if none. */
static uint64_t known_version(struct trainer *trainer)
{
	int64_t before =
		wait_now_ns() - trainer->options.publish_lag_ms * NS_PER_MS;
	uint64_t version = 0;
	uint32_t i;

	pthread_mutex_lock(&trainer->lock);
	for (i = 0; i < trainer->published_count; i++)
		if (trainer->published[i].at_ns <= before &&
		    trainer->published[i].version > version)
			version = trainer->published[i].version;
	pthread_mutex_unlock(&trainer->lock);
	return version;
}

static uint32_t count_words(const char *text)
{
	uint32_t words = 0;

	for (; *text; text++)
		words += *text == ' ';
	return words;
}

/* Sums the spans of a sample and finds its oldest version. */
static int judge_spans(const json_t *choice, uint32_t *tokens, uint64_t *oldest)
{
	const json_t *spans = json_object_get(choice, "weight_versions");
	const json_t *span;
	size_t i;

	*tokens = 0;
	*oldest = UINT64_MAX;
	json_array_foreach (spans, i, span) {
		uint64_t version = json_field_u64(span, "version", 0);

		if (!version)
			return -1;
		if (version < *oldest)
			*oldest = version;
		*tokens += (uint32_t)json_field_u64(span, "tokens", 0);
	}
	return json_array_size(spans) ? 0 : -1;
}

static void judge_staleness(struct trainer *trainer, uint64_t newest,
			    uint64_t oldest)
{
	uint64_t staleness = newest > oldest ? newest - oldest : 0;

	pthread_mutex_lock(&trainer->lock);
	if (staleness > trainer->options.max_staleness)
		trainer->counts.over_bound++;
	if (staleness > trainer->counts.worst_staleness)
		trainer->counts.worst_staleness = staleness;
	pthread_mutex_unlock(&trainer->lock);
}

static int judge_choice(struct trainer *trainer, const json_t *choice,
			uint64_t newest, struct error *err)
{
	const char *text = json_field_text(choice, "text", NULL);
	const char *finish = json_field_text(choice, "finish_reason", "");
	uint32_t expected = trainer->options.max_tokens;
	uint32_t tokens;
	uint64_t oldest;

	if (!text || judge_spans(choice, &tokens, &oldest) < 0)
		return error_set(err, ERROR_PROTOCOL,
				 "a sample has no text or no versions");
	if (tokens != expected || count_words(text) != expected ||
	    strcmp(finish, "length"))
		return error_set(err, ERROR_PROTOCOL,
				 "a sample is not whole: %u tokens named, %u "
				 "in its text, ended by '%s'",
				 tokens, count_words(text), finish);
	judge_staleness(trainer, newest, oldest);
	return 0;
}

static int judge_identity(struct trainer *trainer, uint32_t group,
			  const json_t *answer, struct error *err)
{
	const json_t *identity = json_object_get(answer, "currant");

	if (!strcmp(json_field_text(identity, "trainer", ""),
		    trainer->options.name) &&
	    json_field_u64(identity, "step", UINT64_MAX) ==
		    trainer->options.step &&
	    json_field_u64(identity, "group", UINT64_MAX) == group)
		return 0;
	return error_set(err, ERROR_PROTOCOL,
			 "an answer for group %u names another one", group);
}

static uint64_t index_of(const json_t *choices, size_t at)
{
	return json_field_u64(json_array_get(choices, at), "index", UINT64_MAX);
}

/* Each index must be there; one that comes twice is a doubled sample. */
static int judge_indexes(struct trainer *trainer, const json_t *choices,
			 struct error *err)
{
	uint32_t samples = trainer->options.samples;
	uint32_t i;
	size_t at;

	for (i = 0; i < samples; i++) {
		uint32_t seen = 0;

		for (at = 0; at < json_array_size(choices); at++)
			seen += index_of(choices, at) == i;
		if (!seen)
			return error_set(err, ERROR_PROTOCOL,
					 "an answer lacks sample %u", i);
		pthread_mutex_lock(&trainer->lock);
		trainer->counts.doubled += seen - 1;
		pthread_mutex_unlock(&trainer->lock);
	}
	if (json_array_size(choices) == samples)
		return 0;
	return error_set(err, ERROR_PROTOCOL,
			 "an answer holds %zu samples where %u were asked for",
			 json_array_size(choices), samples);
}

int trainer_judge(struct trainer *trainer, uint32_t group, const json_t *answer,
		  struct error *err)
{
	const json_t *choices = json_object_get(answer, "choices");
	uint64_t newest = known_version(trainer);
	uint64_t told = json_field_u64(json_object_get(answer, "currant"),
				       "latest_version", 0);
	size_t i;

	if (judge_identity(trainer, group, answer, err) < 0 ||
	    judge_indexes(trainer, choices, err) < 0)
		return -1;
	if (told > newest)
		newest = told;
	for (i = 0; i < json_array_size(choices); i++)
		if (judge_choice(trainer, json_array_get(choices, i), newest,
				 err) < 0)
			return -1;
	pthread_mutex_lock(&trainer->lock);
	trainer->counts.accepted += (uint32_t)json_array_size(choices);
	pthread_mutex_unlock(&trainer->lock);
	return 0;
}
