#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client/http_call.h"
#include "base/json_field.h"
#include "standin/token.h"
#include "standin/trainer.h"

/* What the engines that still run say of all that they served, by id. */
static json_t *fetch_records(const struct text_list *engines)
{
	json_t *records = json_object();
	uint32_t i;

	for (i = 0; i < engines->count; i++) {
		struct http_pool pool;
		struct http_call call;
		json_t *one = NULL;

		http_pool_init(&pool, engines->items[i], NULL);
		http_call_init(&call);
		call.path = "/standin/served";
		if (!http_call_run(&pool, &call, NULL))
			one = json_loadb(call.response.buf, call.response.len,
					 0, NULL);
		if (one)
			json_object_update(records, one);
		json_decref(one);
		http_call_finish(&call);
		http_pool_finish(&pool);
	}
	return records;
}

static uint64_t tokens_of(const json_t *spans)
{
	uint64_t tokens = 0;
	const json_t *span;
	size_t i;

	json_array_foreach (spans, i, span)
		tokens += json_field_u64(span, "tokens", 0);
	return tokens;
}

/* The version that made one token, counted from the end; 0 if none. */
static uint64_t version_from_end(const json_t *spans, uint64_t back)
{
	size_t i = json_array_size(spans);

	while (i--) {
		const json_t *span = json_array_get(spans, i);
		uint64_t tokens = json_field_u64(span, "tokens", 0);

		if (back < tokens)
			return json_field_u64(span, "version", 0);
		back -= tokens;
	}
	return 0;
}

/* Whether the last tokens of a sample are those of the engine's record. */
static int ends_with(const json_t *spans, const json_t *record)
{
	uint64_t tokens = tokens_of(record);
	uint64_t back;

	if (!tokens || tokens > tokens_of(spans))
		return 0;
	for (back = 0; back < tokens; back++)
		if (version_from_end(spans, back) !=
		    version_from_end(record, back))
			return 0;
	return 1;
}

/* Whether a sample that one engine made alone is that of its prompt. */
static int has_own_text(const char *prompt, const json_t *choice,
			uint64_t tokens)
{
	struct strbuf expected;
	uint64_t seed = token_seed(prompt, 0, 0);
	uint32_t i;
	int same;

	strbuf_init(&expected);
	for (i = 0; i < tokens; i++)
		token_add(&expected, seed, i);
	same = !strcmp(expected.buf, json_field_text(choice, "text", ""));
	strbuf_finish(&expected);
	return same;
}

static void verify_text(struct trainer *trainer, const char *prompt,
			const json_t *choice, const json_t *record)
{
	uint64_t tokens = tokens_of(record);

	if (tokens < trainer->options.max_tokens) {
		trainer->counts.resumed++;
		return;
	}
	if (has_own_text(prompt, choice, tokens))
		return;
	trainer->counts.wrong_texts++;
	trainer_fault(trainer, "a sample has the text of another request");
}

static void verify_sample(struct trainer *trainer, const json_t *records,
			  json_t *seen, const char *prompt,
			  const json_t *choice)
{
	const char *id = json_field_text(choice, "backend_request_id", "");
	const json_t *record = json_object_get(records, id);
	const json_t *spans = json_object_get(choice, "weight_versions");
	struct trainer_counts *counts = &trainer->counts;

	if (json_object_get(seen, id)) {
		counts->doubled++;
		trainer_fault(trainer, "two samples are one generation");
	}
	json_object_set_new(seen, id, json_true());
	if (!record)
		counts->unverifiable++;
	else if (!ends_with(spans, record)) {
		char *named = json_dumps(spans, JSON_COMPACT);
		char *made = json_dumps(record, JSON_COMPACT);
		char text[ERROR_TEXT_MAX];

		snprintf(text, sizeof(text), "%s names %s, its engine %s", id,
			 named, made);
		trainer_fault(trainer, text);
		free(named);
		free(made);
		counts->wrong_versions++;
	} else {
		counts->verified++;
		verify_text(trainer, prompt, choice, record);
	}
}

void trainer_verify(struct trainer *trainer)
{
	json_t *records = fetch_records(&trainer->options.engines);
	json_t *seen = json_object();
	uint32_t group;
	size_t i;

	for (group = 0; group < trainer->options.groups; group++) {
		const json_t *choices =
			json_object_get(trainer->answers[group], "choices");

		char *prompt = trainer_prompt(trainer, group);

		for (i = 0; i < json_array_size(choices); i++)
			verify_sample(trainer, records, seen, prompt,
				      json_array_get(choices, i));
		free(prompt);
	}
	json_decref(seen);
	json_decref(records);
}
