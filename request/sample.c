#include "request/sample.h"

#include <string.h>

#include "base/alloc.h"

#define END_OF_STREAM "[DONE]"

void sample_init(struct sample *sample, struct job *job, uint32_t index,
		 int repeatable)
{
	memset(sample, 0, sizeof(*sample));
	sample->job = job;
	sample->index = index;
	request_life_init(&sample->life, repeatable);
	sse_parser_init(&sample->sse);
	strbuf_init(&sample->raw);
	strbuf_init(&sample->text);
	strbuf_init(&sample->call.body);
}

void sample_finish(struct sample *sample)
{
	sse_parser_finish(&sample->sse);
	strbuf_finish(&sample->raw);
	strbuf_finish(&sample->text);
	backend_call_finish(&sample->call);
}

void sample_restart(struct sample *sample)
{
	strbuf_reset(&sample->text);
	sample->span_count = 0;
	sample->tokens = 0;
	sample->finish_reason[0] = '\0';
}

/* Adds tokens to the last span, or opens one if the version changed. */
static int add_span(struct sample *sample, uint64_t version, uint32_t tokens)
{
	struct version_span *last =
		sample->span_count ? &sample->spans[sample->span_count - 1]
				   : NULL;

	if (!tokens)
		return 0;
	sample->tokens += tokens;
	if (last && last->version == version) {
		last->tokens += tokens;
		return 0;
	}
	if (sample->span_count == SAMPLE_SPANS_MAX)
		return -1;
	sample->spans[sample->span_count].version = version;
	sample->spans[sample->span_count].tokens = tokens;
	sample->span_count++;
	return 0;
}

static int is_own_answer(const struct sample *sample, const json_t *root)
{
	const char *id = json_string_value(json_object_get(root, "id"));

	return id && !strcmp(id, sample->backend_request_id);
}

static void take_usage(struct sample *sample, const json_t *root)
{
	const json_t *usage = json_object_get(root, "usage");
	const json_t *prompt = json_object_get(usage, "prompt_tokens");

	if (json_is_integer(prompt))
		sample->prompt_tokens = (uint32_t)json_integer_value(prompt);
}

static void take_finish(struct sample *sample, const json_t *choice)
{
	const char *reason =
		json_string_value(json_object_get(choice, "finish_reason"));

	if (reason)
		copy_text(sample->finish_reason, sizeof(sample->finish_reason),
			  reason);
}

/* Text of a choice in any of the four places that the form has for it. */
static const char *choice_text(const json_t *choice)
{
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (!text)
		text = json_string_value(json_object_get(
			json_object_get(choice, "delta"), "content"));
	if (!text)
		text = json_string_value(json_object_get(
			json_object_get(choice, "message"), "content"));
	return text ? text : "";
}

static int take_choice(struct sample *sample, const json_t *choice,
		       struct strbuf *added)
{
	const char *text = choice_text(choice);
	json_int_t tokens =
		json_integer_value(json_object_get(choice, "tokens"));
	json_int_t version =
		json_integer_value(json_object_get(choice, "weight_version"));

	if (tokens < 0 || tokens > UINT32_MAX || version < 0)
		return -1;
	if (add_span(sample, (uint64_t)version, (uint32_t)tokens))
		return -1;
	strbuf_addstr(&sample->text, text);
	strbuf_addstr(added, text);
	take_finish(sample, choice);
	return *text || tokens ? 1 : 0;
}

int sample_take_event(struct sample *sample, const char *text, size_t len,
		      struct strbuf *added)
{
	const json_t *choice;
	json_t *root;
	int result;

	if (len == strlen(END_OF_STREAM) && !memcmp(text, END_OF_STREAM, len)) {
		sample->saw_end = 1;
		return 0;
	}
	root = json_loadb(text, len, 0, NULL);
	if (!root || !is_own_answer(sample, root)) {
		json_decref(root);
		return -1;
	}
	take_usage(sample, root);
	choice = json_array_get(json_object_get(root, "choices"), 0);
	result = choice ? take_choice(sample, choice, added) : 0;
	json_decref(root);
	return result;
}

static int take_versions(struct sample *sample, const json_t *choice)
{
	const json_t *versions = json_object_get(choice, "weight_versions");
	size_t i;
	json_t *span;

	json_array_foreach (versions, i, span) {
		json_int_t version =
			json_integer_value(json_object_get(span, "version"));
		json_int_t tokens =
			json_integer_value(json_object_get(span, "tokens"));

		if (version < 0 || tokens < 0 || tokens > UINT32_MAX ||
		    add_span(sample, (uint64_t)version, (uint32_t)tokens))
			return -1;
	}
	return 0;
}

int sample_take_answer(struct sample *sample, const char *text, size_t len)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	const json_t *choice =
		json_array_get(json_object_get(root, "choices"), 0);
	int result = -1;

	if (root && choice && is_own_answer(sample, root)) {
		take_usage(sample, root);
		take_finish(sample, choice);
		strbuf_addstr(&sample->text, choice_text(choice));
		result = take_versions(sample, choice);
		sample->saw_end = 1;
	}
	json_decref(root);
	return result;
}

uint64_t sample_oldest_version(const struct sample *sample)
{
	uint64_t oldest = sample->span_count ? sample->spans[0].version : 0;

	for (uint32_t i = 1; i < sample->span_count; i++)
		if (sample->spans[i].version < oldest)
			oldest = sample->spans[i].version;
	return oldest;
}

int sample_is_traced(const struct sample *sample)
{
	uint32_t tokens = 0;

	for (uint32_t i = 0; i < sample->span_count; i++) {
		if (!sample->spans[i].version)
			return 0;
		tokens += sample->spans[i].tokens;
	}
	return tokens == sample->tokens;
}
