#define _GNU_SOURCE
#include "batch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_LIMIT_MS 5000

const char *batch_key = BATCH_KEY;

static void write_fields(char *out, size_t size, const char *more)
{
	snprintf(out, size, "Host: " BATCH_HOST "\r\nApi-Key: %s\r\n%s",
		 batch_key, more);
}

void batch_item_id(const struct batch_shape *shape, int item, char *out,
		   size_t size)
{
	snprintf(out, size, "%si%03d",
		 shape->item_ids ? shape->item_ids : shape->id, item);
}

static json_t *make_item(const struct batch_shape *shape, int number)
{
	char *body = base64(shape->id, strlen(shape->id));
	json_t *item;
	char path[256];
	char group[64];
	char parts[96];
	char count[32];
	char id[64];
	int max_tokens = shape->max_tokens ? shape->max_tokens : 60;

	batch_item_id(shape, number, id, sizeof(id));
	snprintf(path, sizeof(path), "%sx%03d", shape->path, number);
	snprintf(group, sizeof(group), "%sg%d", shape->id,
		 number / shape->group_size);
	snprintf(parts, sizeof(parts), "9c2e%02x:255,5d07%03x:16",
		 number / shape->group_size, number);
	snprintf(count, sizeof(count), "271,%d", max_tokens);
	item = json_pack("{s:s, s:s, s:{s:s, s:s, s:s}, s:s, s:i}", "id", id,
			 "path", path, "headers", "X-Model", shape->item_model,
			 "X-Token-Count", count, "X-Prompt-Prefix", parts,
			 "body", body, "tokens", 271 + max_tokens);
	if (shape->model)
		json_object_set_new(item, "group", json_string(group));
	free(body);
	return item;
}

int batch_submit(const char *front, const struct batch_shape *shape)
{
	json_t *root = json_object();
	json_t *items = json_array();
	struct message answer;
	char fields[512];
	char more[256];
	char path[256];
	char *body;
	int status;

	if (shape->model) {
		json_object_set_new(root, "step", json_integer(shape->step));
		json_object_set_new(root, "model", json_string(shape->model));
		json_object_set_new(root, "min_version",
				    json_integer(shape->min_version
							 ? shape->min_version
							 : 1));
		json_object_set_new(
			root, "target_groups",
			json_integer(shape->items / shape->group_size));
	}
	for (int i = 0; i < shape->items; i++)
		json_array_append_new(items, make_item(shape, i));
	json_object_set_new(root, "items", items);
	body = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	snprintf(more, sizeof(more),
		 "X-Attempt-Id: %s\r\nContent-Type: application/json\r\n",
		 shape->id);
	write_fields(fields, sizeof(fields), more);
	snprintf(path, sizeof(path), "%s%s", shape->path, shape->id);
	call_once(front, "POST", path, fields, body, strlen(body),
		  CALL_LIMIT_MS, &answer);
	status = answer.status;
	note("requester: submits %s with %d items to %s: %d", shape->id,
	     shape->items, front, status);
	message_free(&answer);
	free(body);
	return status;
}

json_t *batch_read(const char *front, const char *id, int after, int wait_ms,
		   int *status)
{
	struct message answer;
	json_t *body = NULL;
	char fields[256];
	char more[64] = "";
	char path[256];

	if (wait_ms)
		snprintf(more, sizeof(more), "X-Wait-Ms: %d\r\n", wait_ms);
	write_fields(fields, sizeof(fields), more);
	snprintf(path, sizeof(path), "/v1/lots/%s?after=%d", id, after);
	call_once(front, "GET", path, fields, NULL, 0, CALL_LIMIT_MS, &answer);
	*status = answer.status;
	if (answer.status == 200)
		body = json_loadb(answer.body, answer.body_len, 0, NULL);
	message_free(&answer);
	return body;
}

int batch_end(const char *front, const char *id)
{
	struct message answer;
	char fields[256];
	char path[256];
	int status;

	write_fields(fields, sizeof(fields), "");
	snprintf(path, sizeof(path), "/v1/lots/%s", id);
	call_once(front, "DELETE", path, fields, NULL, 0, CALL_LIMIT_MS,
		  &answer);
	status = answer.status;
	message_free(&answer);
	return status;
}

void item_fields(const char *id, int version, char *out, size_t size)
{
	snprintf(out, size,
		 "Content-Type: text/event-stream\r\nX-Attempt-Id: %s\r\n"
		 "X-Response-Stamp: 3e1b.%s\r\nX-Weight-Versions: %d\r\n",
		 id, id, version);
}

int item_event(struct channel *channel, int event, const void *data, size_t len)
{
	char *out = malloc(len + 64);
	int head_len = sprintf(out, "id: %d\ndata: ", event);
	int result;

	memcpy(out + head_len, data, len);
	memcpy(out + head_len + len, "\n\n", 2);
	result = channel_chunk(channel, out, (size_t)head_len + len + 2);
	free(out);
	return result;
}

int item_last_event(const struct message *request)
{
	char text[32];

	return message_field(request, "Last-Event-Id", text, sizeof(text))
		       ? atoi(text)
		       : 0;
}
