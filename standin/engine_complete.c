#include <civetweb.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/engine.h"
#include "standin/token.h"
#include "base/clock.h"
#include "base/wait.h"

#define FLUSH_BYTES 16384

/* A stream of events on its way out. */
struct stream {
	struct call *call;
	struct strbuf out;
	int failed; /* the caller has gone */
};

static void stream_start(struct stream *stream, struct call *call)
{
	static const char header[] =
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		"Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n"
		"Connection: keep-alive\r\n\r\n";

	stream->call = call;
	stream->failed = 0;
	strbuf_init(&stream->out);
	if (!call->mute)
		mg_write(call->conn, header, sizeof(header) - 1);
}

static void stream_flush(struct stream *stream, size_t at_least)
{
	if (stream->out.len <= at_least || stream->call->mute)
		return;
	if (mg_send_chunk(stream->call->conn, stream->out.buf,
			  (unsigned int)stream->out.len) <= 0)
		stream->failed = 1;
	strbuf_reset(&stream->out);
}

static void add_text(struct strbuf *out, const struct generation *g,
		     uint32_t choice, uint32_t from, uint32_t tokens)
{
	/* An answer with a wrong id is that to another request. */
	uint64_t seed =
		token_seed(g->wrong_id ? "" : g->prompt, g->seed, choice);
	uint32_t i;

	strbuf_addch(out, '"');
	for (i = 0; i < tokens; i++)
		token_add(out, seed, from + i);
	strbuf_addch(out, '"');
}

/* The id as a JSON string. */
static char *id_json(const struct generation *g)
{
	char id[80];
	json_t *value;
	char *text;

	snprintf(id, sizeof(id), "%s%s", g->wrong_id ? "other-" : "", g->id);
	value = json_string(id);
	text = json_dumps(value, JSON_ENCODE_ANY);
	json_decref(value);
	return text;
}

static void add_finish(struct strbuf *out, const struct generation *g)
{
	if (g->cancelled)
		strbuf_addstr(out, "\"cancelled\"");
	else if (g->done >= g->max_tokens)
		strbuf_addstr(out, "\"length\"");
	else
		strbuf_addstr(out, "null");
}

static void add_event(struct strbuf *out, const struct generation *g,
		      const char *id, uint32_t tokens, uint64_t version)
{
	uint32_t i;

	strbuf_addf(out, "data: {\"id\": %s, \"choices\": [", id);
	for (i = 0; i < g->choices; i++) {
		strbuf_addf(out, "%s{\"index\": %u, ", i ? ", " : "", i);
		strbuf_addstr(out, g->chat ? "\"delta\": {\"content\": "
					   : "\"text\": ");
		add_text(out, g, i, g->done - tokens, tokens);
		strbuf_addf(out,
			    "%s, \"tokens\": %u, \"weight_version\": %llu, "
			    "\"finish_reason\": ",
			    g->chat ? "}" : "", tokens,
			    (unsigned long long)version);
		add_finish(out, g);
		strbuf_addch(out, '}');
	}
	strbuf_addstr(out, "]}\n\n");
}

static uint32_t prompt_tokens(const char *prompt)
{
	uint32_t words = 0;
	const char *p;

	for (p = prompt; *p; p++)
		words += *p != ' ' && (p == prompt || p[-1] == ' ');
	return words;
}

static void add_usage(struct strbuf *out, const struct generation *g)
{
	strbuf_addf(out,
		    "\"usage\": {\"prompt_tokens\": %u, "
		    "\"completion_tokens\": %u}",
		    prompt_tokens(g->prompt), g->done * g->choices);
}

static void send_stream(struct engine *engine, struct call *call,
			struct reply *reply, struct generation *g)
{
	uint32_t at_once = engine->options->tokens_per_event;
	size_t keep = engine->options->token_us ? 0 : FLUSH_BYTES;
	struct stream stream;
	char *id = id_json(g);
	uint64_t version = 0;
	uint32_t tokens;

	stream_start(&stream, call);
	while (!stream.failed &&
	       (tokens = engine_step(engine, g, at_once, &version))) {
		add_event(&stream.out, g, id, tokens, version);
		stream_flush(&stream, keep);
	}
	if (g->cancelled)
		add_event(&stream.out, g, id, 0, version);
	engine_leave(engine, g);
	reply->cut = (g->cut_at && g->done >= g->cut_at) || stream.failed;
	if (!reply->cut) {
		strbuf_addf(&stream.out, "data: {\"id\": %s, ", id);
		add_usage(&stream.out, g);
		strbuf_addstr(&stream.out, "}\n\ndata: [DONE]\n\n");
	}
	stream_flush(&stream, 0);
	if (!reply->cut && !call->mute)
		mg_send_chunk(call->conn, "", 0);
	reply->sent = 1;
	strbuf_finish(&stream.out);
	free(id);
}

static void add_choice(struct strbuf *out, const struct generation *g,
		       uint32_t choice, const char *spans)
{
	strbuf_addf(out, "%s{\"index\": %u, ", choice ? ", " : "", choice);
	strbuf_addstr(out, g->chat ? "\"message\": {\"role\": \"assistant\", "
				     "\"content\": "
				   : "\"text\": ");
	add_text(out, g, choice, 0, g->done);
	strbuf_addf(out, "%s, \"weight_versions\": %s, \"finish_reason\": ",
		    g->chat ? "}" : "", spans);
	add_finish(out, g);
	strbuf_addch(out, '}');
}

static void send_whole(struct engine *engine, struct reply *reply,
		       struct generation *g)
{
	json_t *spans_json;
	char *spans;
	char *id = id_json(g);
	uint64_t version;
	uint32_t i;

	while (engine_step(engine, g, engine->options->tokens_per_event,
			   &version))
		;
	spans_json = span_list_json(&g->spans);
	spans = json_dumps(spans_json, 0);
	engine_leave(engine, g);
	reply->cut = g->cut_at && g->done >= g->cut_at;
	reply->status = 200;
	reply->raw_type = "application/json";
	strbuf_addf(&reply->raw, "{\"id\": %s, \"choices\": [", id);
	for (i = 0; i < g->choices; i++)
		add_choice(&reply->raw, g, i, spans);
	strbuf_addstr(&reply->raw, "], ");
	add_usage(&reply->raw, g);
	strbuf_addch(&reply->raw, '}');
	json_decref(spans_json);
	free(spans);
	free(id);
}

/* Lays the messages of a chat one after the other. */
static void join_messages(struct strbuf *prompt, const json_t *messages)
{
	size_t i;
	json_t *message;

	json_array_foreach (messages, i, message) {
		strbuf_addstr(prompt, json_field_text(message, "role", ""));
		strbuf_addstr(prompt, ": ");
		strbuf_addstr(prompt, json_field_text(message, "content", ""));
		strbuf_addch(prompt, '\n');
	}
}

static void take_faults(struct engine *engine, struct generation *g)
{
	struct engine_faults *faults = &engine->faults;
	uint32_t half = (g->max_tokens + 1) / 2;

	pthread_mutex_lock(&engine->lock);
	if (faults->cut_streams) {
		faults->cut_streams--;
		g->cut_at = half;
	}
	if (faults->wrong_id) {
		faults->wrong_id--;
		g->wrong_id = 1;
	}
	if (faults->crash_on[0] && strstr(g->prompt, faults->crash_on))
		g->crash_at = half;
	pthread_mutex_unlock(&engine->lock);
}

static int read_request(struct generation *g, const json_t *body)
{
	uint64_t choices = json_field_u64(body, "n", 1);
	uint64_t tokens = json_field_u64(body, "max_tokens", 16);

	copy_text(g->id, sizeof(g->id),
		  json_field_text(body, "request_id", ""));
	if (!choices || choices > MAX_CHOICES || !tokens || tokens > MAX_TOKENS)
		return -1;
	g->choices = (uint32_t)choices;
	g->max_tokens = (uint32_t)tokens;
	g->priority = json_integer_value(json_object_get(body, "priority"));
	g->stream = json_is_true(json_object_get(body, "stream"));
	g->seed = json_field_u64(body, "seed", 0);
	return 0;
}

static void run_generation(struct engine *engine, struct call *call,
			   struct reply *reply, struct generation *g)
{
	wait_cond_init(&g->woken);
	take_faults(engine, g);
	if (engine_admit(engine, g) < 0) {
		reply_json(reply, 503, json_pack("{s:b}", "not_run", 1));
		reply->retry_after_s = 1;
	} else if (g->stream)
		send_stream(engine, call, reply, g);
	else
		send_whole(engine, reply, g);
	pthread_cond_destroy(&g->woken);
}

void engine_complete(struct engine *engine, struct call *call,
		     struct reply *reply, const json_t *body, int chat)
{
	struct generation g = { .chat = chat };
	struct strbuf prompt;

	if (strcmp(json_field_text(body, "model", ""), engine->options->pool)) {
		reply_error(reply, 404, "this engine serves another model");
		return;
	}
	if (read_request(&g, body) < 0) {
		reply_error(reply, 400,
			    "\"n\" or \"max_tokens\" is out of "
			    "range");
		return;
	}
	strbuf_init(&prompt);
	if (chat)
		join_messages(&prompt, json_object_get(body, "messages"));
	else
		strbuf_addstr(&prompt, json_field_text(body, "prompt", ""));
	g.prompt = prompt.buf;
	run_generation(engine, call, reply, &g);
	strbuf_finish(&prompt);
}
