#include "request/stream_event.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static const char hex_digits[] = "0123456789abcdef";

static void add_escaped(struct strbuf *out, const char *text, size_t len)
{
	size_t start = 0;

	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c >= ' ' && c != '"' && c != '\\')
			continue;
		strbuf_add(out, text + start, i - start);
		start = i + 1;
		if (c == '"' || c == '\\') {
			strbuf_addch(out, '\\');
			strbuf_addch(out, (char)c);
			continue;
		}
		strbuf_addstr(out, "\\u00");
		strbuf_addch(out, hex_digits[c >> 4]);
		strbuf_addch(out, hex_digits[c & 15]);
	}
	strbuf_add(out, text + start, len - start);
}

static void add_head(struct strbuf *out, const struct job *job,
		     const struct sample *sample)
{
	strbuf_addf(out, "data: {\"id\":\"%s\",\"choices\":[{\"index\":%u,",
		    job->spec.request_id, sample->index);
}

void stream_event_add(struct strbuf *out, const struct job *job,
		      const struct sample *sample, const struct strbuf *added)
{
	const struct version_span *last =
		sample->span_count ? &sample->spans[sample->span_count - 1]
				   : NULL;

	add_head(out, job, sample);
	strbuf_addstr(out, job->spec.chat ? "\"delta\":{\"content\":\""
					  : "\"text\":\"");
	add_escaped(out, added->buf, added->len);
	strbuf_addstr(out, job->spec.chat ? "\"}" : "\"");
	if (last)
		strbuf_addf(out, ",\"weight_version\":%" PRIu64, last->version);
	strbuf_addstr(out, "}]}\n\n");
}

static json_t *spans_json(const struct sample *sample)
{
	json_t *spans = json_array();

	for (uint32_t i = 0; i < sample->span_count; i++)
		json_array_append_new(
			spans, json_pack("{s:I,s:I}", "version",
					 (json_int_t)sample->spans[i].version,
					 "tokens",
					 (json_int_t)sample->spans[i].tokens));
	return spans;
}

void stream_event_add_end(struct strbuf *out, const struct job *job,
			  const struct sample *sample)
{
	json_t *spans = spans_json(sample);
	char *text = json_dumps(spans, JSON_COMPACT);

	add_head(out, job, sample);
	strbuf_addf(out,
		    "%s,\"finish_reason\":\"%s\",\"weight_versions\":%s}]}\n\n",
		    job->spec.chat ? "\"delta\":{}" : "\"text\":\"\"",
		    sample->finish_reason, text);
	free(text);
	json_decref(spans);
}

void stream_event_add_problem(struct strbuf *out, const struct problem *problem)
{
	json_t *json = json_pack("{s:{s:s,s:s,s:s}}", "error", "type",
				 problem->type, "detail", problem->detail,
				 "ran", run_status_name(problem->run));
	char *text = json_dumps(json, JSON_COMPACT);

	strbuf_addf(out, "data: %s\n\n", text);
	free(text);
	json_decref(json);
}

static json_t *choice_json(const struct job *job, const struct sample *sample)
{
	json_t *choice = json_pack("{s:i}", "index", (int)sample->index);
	json_t *text = json_stringn(sample->text.buf, sample->text.len);

	if (job->spec.chat)
		json_object_set_new(choice, "message",
				    json_pack("{s:s,s:o}", "role", "assistant",
					      "content", text));
	else
		json_object_set_new(choice, "text", text);
	json_object_set_new(choice, "finish_reason",
			    json_string(sample->finish_reason));
	json_object_set_new(choice, "weight_versions", spans_json(sample));
	json_object_set_new(choice, "backend_server",
			    json_string(sample->pick.name));
	json_object_set_new(choice, "backend_request_id",
			    json_string(sample->backend_request_id));
	return choice;
}

static json_t *extension_json(const struct job *job, uint64_t latest)
{
	uint64_t oldest = sample_oldest_version(&job->samples[0]);
	json_t *json = json_object();

	for (uint32_t i = 1; i < job->spec.n; i++) {
		uint64_t one = sample_oldest_version(&job->samples[i]);

		if (one < oldest)
			oldest = one;
	}
	if (job->spec.has_group) {
		json_object_set_new(json, "trainer",
				    json_string(job->spec.trainer));
		json_object_set_new(json, "step",
				    json_integer((json_int_t)job->spec.step));
		json_object_set_new(json, "group",
				    json_integer((json_int_t)job->spec.group));
	}
	json_object_set_new(json, "latest_version",
			    json_integer((json_int_t)latest));
	json_object_set_new(json, "staleness",
			    json_integer(latest > oldest
						 ? (json_int_t)(latest - oldest)
						 : 0));
	return json;
}

json_t *answer_json(const struct job *job, uint64_t latest)
{
	json_t *choices = json_array();
	json_int_t prompt_tokens = 0;
	json_int_t tokens = 0;

	for (uint32_t i = 0; i < job->spec.n; i++) {
		json_array_append_new(choices,
				      choice_json(job, &job->samples[i]));
		prompt_tokens += job->samples[i].prompt_tokens;
		tokens += job->samples[i].tokens;
	}
	return json_pack("{s:s,s:s,s:s,s:o,s:{s:I,s:I,s:I},s:o}", "id",
			 job->spec.request_id, "object",
			 job->spec.chat ? "chat.completion" : "text_completion",
			 "model", job->spec.model, "choices", choices, "usage",
			 "prompt_tokens", prompt_tokens, "completion_tokens",
			 tokens, "total_tokens", prompt_tokens + tokens,
			 "currant", extension_json(job, latest));
}
