#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "client/http_call.h"
#include "base/json_field.h"
#include "standin/trainer.h"
#include "base/clock.h"
#include "base/wait.h"

#define ADDRESS_BYTES 64
#define ADDRESSES_MAX 16
#define ADDRESS_TIMEOUT_NS (5 * NS_PER_S)
#define PAUSE_MS 100 /* where a refusal names no time */
#define KEY_HEADER_BYTES 256

/* Where one group may be sent, in the order to be tried. */
struct address_list {
	char items[ADDRESSES_MAX][ADDRESS_BYTES];
	uint32_t count;
	uint32_t next;
	int64_t keep_until_ns;
};

static void pause_ms(struct trainer *trainer, int64_t ms)
{
	int64_t due = wait_now_ns() + ms * NS_PER_MS;

	pthread_mutex_lock(&trainer->lock);
	while (!wait_until(&trainer->changed, &trainer->lock, due))
		;
	pthread_mutex_unlock(&trainer->lock);
}

static void count(struct trainer *trainer, uint32_t *counter)
{
	pthread_mutex_lock(&trainer->lock);
	(*counter)++;
	pthread_mutex_unlock(&trainer->lock);
}

/* One call over a connection of its own, closed before this returns. */
static int call_once(const char *base_url, struct http_call *call,
		     struct error *err)
{
	struct http_pool pool;
	int result;

	if (http_pool_init(&pool, base_url, err) < 0)
		return -1;
	call->fresh_connection = 1;
	result = http_call_run(&pool, call, err);
	http_pool_finish(&pool);
	return result;
}

static void take_addresses(struct address_list *list, const json_t *answer)
{
	const json_t *array = json_object_get(answer, "addresses");
	size_t i;

	list->count = 0;
	list->next = 0;
	for (i = 0; i < json_array_size(array) && i < ADDRESSES_MAX; i++)
		if (!json_field_copy(json_array_get(array, i), "address",
				     list->items[list->count], ADDRESS_BYTES))
			list->count++;
	list->keep_until_ns =
		wait_now_ns() +
		(int64_t)json_field_u64(answer, "keep_ms", 1000) * NS_PER_MS;
}

/* Asks a daemon for addresses; returns -1 if it gives none. */
static int ask_addresses(struct trainer *trainer, struct address_list *list,
			 uint32_t group, const char *base_url)
{
	struct http_call call;
	json_t *answer = NULL;
	char path[128];

	snprintf(path, sizeof(path), "/v1/addresses?group=%s-%llu-%u",
		 trainer->options.name,
		 (unsigned long long)trainer->options.step, group);
	http_call_init(&call);
	call.path = path;
	call.timeout_ns = ADDRESS_TIMEOUT_NS;
	list->count = 0;
	if (!call_once(base_url, &call, NULL) && call.status == 200) {
		answer = json_loadb(call.response.buf, call.response.len, 0,
				    NULL);
		take_addresses(list, answer);
	}
	json_decref(answer);
	http_call_finish(&call);
	return list->count ? 0 : -1;
}

/* Keeps the last list while it is valid and has untried addresses. */
static int refresh_addresses(struct trainer *trainer, struct address_list *list,
			     uint32_t group)
{
	const struct text_list *urls = &trainer->options.addresses;
	uint32_t i;

	if (list->next < list->count && wait_now_ns() < list->keep_until_ns)
		return 0;
	for (i = 0; i < urls->count; i++)
		if (!ask_addresses(trainer, list, group,
				   urls->items[(group + i) % urls->count]))
			return 0;
	return -1;
}

char *trainer_prompt(const struct trainer *trainer, uint32_t group)
{
	struct strbuf prompt;

	strbuf_init(&prompt);
	strbuf_addf(&prompt,
		    "Road forecast scenario for the county, by sensor readings "
		    "of the last hour; trainer %s, step %llu, group %u:",
		    trainer->options.name,
		    (unsigned long long)trainer->options.step, group);
	return strbuf_detach(&prompt, NULL);
}

static char *request_body(const struct trainer *trainer, uint32_t group)
{
	const struct trainer_options *o = &trainer->options;
	char *prompt = trainer_prompt(trainer, group);
	json_t *body;
	char *text;

	body = json_pack("{s:s, s:s, s:i, s:i, s:{s:s, s:I, s:i, s:i}}",
			 "model", o->route, "prompt", prompt, "n",
			 (int)o->samples, "max_tokens", (int)o->max_tokens,
			 "currant", "trainer", o->name, "step",
			 (json_int_t)o->step, "group", (int)group,
			 "max_staleness", (int)o->max_staleness);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	free(prompt);
	return text;
}

enum try_result { TRY_AGAIN = 0, TRY_ACCEPTED, TRY_FATAL };

static enum try_result take_answer(struct trainer *trainer, uint32_t group,
				   const struct http_call *call)
{
	struct error err = ERROR_INIT;
	json_t *answer =
		json_loadb(call->response.buf, call->response.len, 0, NULL);

	if (trainer_judge(trainer, group, answer, &err) < 0) {
		trainer_fault(trainer, err.text);
		count(trainer, &trainer->counts.malformed);
		json_decref(answer);
		return TRY_FATAL;
	}
	pthread_mutex_lock(&trainer->lock);
	trainer->answers[group] = answer;
	pthread_mutex_unlock(&trainer->lock);
	return TRY_ACCEPTED;
}

static enum try_result take_refusal(struct trainer *trainer,
				    const struct http_call *call)
{
	int may_return = call->status == 429 || call->status == 409 ||
			 call->status >= 500;

	if (!may_return) {
		char text[ERROR_TEXT_MAX];

		snprintf(text, sizeof(text), "status %d: %.200s", call->status,
			 call->response.buf);
		trainer_fault(trainer, text);
		count(trainer, &trainer->counts.fatal);
		return TRY_FATAL;
	}
	count(trainer, &trainer->counts.refusals);
	if (call->retry_after_s) {
		pause_ms(trainer, (int64_t)call->retry_after_s * 1000);
		return TRY_AGAIN;
	}
	count(trainer, &trainer->counts.refusals_without_time);
	pause_ms(trainer, PAUSE_MS);
	return TRY_AGAIN;
}

static int64_t answer_limit_ns(const struct trainer *trainer, uint32_t tries)
{
	int64_t left_ns = trainer->end_ns - wait_now_ns();
	int64_t limit_ns = (int64_t)trainer->options.answer_limit_ms
			   << (tries < 16 ? tries : 16);

	limit_ns *= NS_PER_MS;
	return limit_ns && limit_ns < left_ns ? limit_ns : left_ns;
}

static enum try_result try_address(struct trainer *trainer, uint32_t group,
				   const char *address, const char *body,
				   uint32_t tries)
{
	const struct text_list *keys = &trainer->options.keys;
	char header[KEY_HEADER_BYTES];
	char url[ADDRESS_BYTES + 8];
	struct http_call call;
	enum try_result result;

	http_call_init(&call);
	call.method = "POST";
	call.path = "/v1/completions";
	call.body = body;
	call.body_len = strlen(body);
	call.timeout_ns = answer_limit_ns(trainer, tries);
	if (keys->count) {
		snprintf(header, sizeof(header), "Authorization: Bearer %s",
			 keys->items[group % keys->count]);
		call.header = header;
	}
	snprintf(url, sizeof(url), "http://%s", address);
	if (call_once(url, &call, NULL) < 0) {
		count(trainer, &trainer->counts.reconnects);
		result = TRY_AGAIN;
	} else if (call.status == 200)
		result = take_answer(trainer, group, &call);
	else
		result = take_refusal(trainer, &call);
	http_call_finish(&call);
	return result;
}

void trainer_run_group(struct trainer *trainer, uint32_t group)
{
	struct address_list list = { .count = 0 };
	char *body = request_body(trainer, group);
	enum try_result result = TRY_AGAIN;
	uint32_t tries = 0;

	while (result == TRY_AGAIN && wait_now_ns() < trainer->end_ns) {
		if (refresh_addresses(trainer, &list, group) < 0) {
			pause_ms(trainer, PAUSE_MS);
			continue;
		}
		result = try_address(trainer, group, list.items[list.next++],
				     body, tries++);
	}
	free(body);
}
