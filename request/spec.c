#include "request/spec.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"
#include "request/json_body.h"

#define MAX_TOKENS_LIMIT (1 << 20)
#define DEFAULT_MAX_TOKENS 256
#define PREFIX_HASH_BYTES 256
#define BYTES_PER_TOKEN 4

/* Sampling parameters that are handed on as they are. */
static const char *const passed_on[] = {
	"temperature",
	"top_p",
	"top_k",
	"seed",
	"stop",
	"logprobs",
	"presence_penalty",
	"frequency_penalty",
};

static int read_uint(const json_t *object, const char *name, uint64_t min,
		     uint64_t max, uint64_t *out, struct error *err)
{
	const json_t *value = json_object_get(object, name);

	if (!value)
		return 0;
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    (uint64_t)json_integer_value(value) < min ||
	    (uint64_t)json_integer_value(value) > max)
		return error_set(err, ERROR_INVALID,
				 "field '%s' must be a whole number from %llu "
				 "to %llu",
				 name, (unsigned long long)min,
				 (unsigned long long)max);
	*out = (uint64_t)json_integer_value(value);
	return 1;
}

static int read_name(const json_t *object, const char *name, char *out,
		     struct error *err)
{
	const char *text = json_string_value(json_object_get(object, name));

	if (!text || !*text || copy_text(out, NAME_BYTES, text))
		return error_set(err, ERROR_INVALID,
				 "field '%s' must be a name of 1 to %d bytes",
				 name, NAME_BYTES - 1);
	return 0;
}

static int read_trainer_fields(struct completion_spec *spec,
			       const json_t *object, struct error *err)
{
	uint64_t value = 0;
	int got;

	if (!object)
		return 0;
	if (!json_is_object(object))
		return error_set(err, ERROR_INVALID,
				 "field 'currant' must be an object");
	got = read_uint(object, "max_staleness", 0, UINT32_MAX, &value, err);
	if (got < 0)
		return -1;
	spec->has_staleness = got;
	spec->max_staleness = (uint32_t)value;
	if (!json_object_get(object, "trainer"))
		return 0;
	if (read_name(object, "trainer", spec->trainer, err))
		return -1;
	if (read_uint(object, "step", 0, INT64_MAX, &spec->step, err) != 1 ||
	    read_uint(object, "group", 0, INT64_MAX, &spec->group, err) != 1)
		return err->code
			       ? -1
			       : error_set(err, ERROR_INVALID,
					   "fields 'currant.step' and "
					   "'currant.group' must stand beside "
					   "'currant.trainer'");
	spec->has_group = 1;
	return 0;
}

static int check_messages(const json_t *messages, struct error *err)
{
	size_t i;
	json_t *message;

	if (!json_is_array(messages) || !json_array_size(messages))
		return error_set(err, ERROR_INVALID,
				 "field 'messages' must be an array that is "
				 "not empty");
	json_array_foreach (messages, i, message) {
		if (json_is_string(json_object_get(message, "role")) &&
		    json_is_string(json_object_get(message, "content")))
			continue;
		return error_set(err, ERROR_INVALID,
				 "field 'messages[%zu]' must hold the strings "
				 "'role' and 'content'",
				 i);
	}
	return 0;
}

static int read_prompt(struct completion_spec *spec, const json_t *root,
		       struct error *err)
{
	const char *name = spec->chat ? "messages" : "prompt";
	json_t *prompt = json_object_get(root, name);

	if (spec->chat && check_messages(prompt, err))
		return -1;
	if (!spec->chat && !json_is_string(prompt))
		return error_set(err, ERROR_INVALID,
				 "field 'prompt' must be a string");
	spec->prompt = json_incref(prompt);
	return 0;
}

static void hash_prompt(struct completion_spec *spec)
{
	char *dump = NULL;
	const char *text = json_string_value(spec->prompt);
	size_t len;
	size_t head;

	if (!text)
		text = dump = json_dumps(spec->prompt, JSON_COMPACT);
	len = strlen(text);
	head = len < PREFIX_HASH_BYTES ? len : PREFIX_HASH_BYTES;
	spec->prefix = hash_bytes(text, head, 0);
	spec->fingerprint = hash_bytes(text, len, hash_text(spec->model, 0));
	spec->prompt_tokens = (uint32_t)(len / BYTES_PER_TOKEN + 1);
	free(dump);
}

static void copy_sampling(struct completion_spec *spec, const json_t *root)
{
	spec->sampling = json_object();
	for (uint32_t i = 0; i < ARRAY_SIZE(passed_on); i++) {
		json_t *value = json_object_get(root, passed_on[i]);

		if (value)
			json_object_set(spec->sampling, passed_on[i], value);
	}
}

static int read_root(struct completion_spec *spec, const json_t *root,
		     struct error *err)
{
	const json_t *stream = json_object_get(root, "stream");
	uint64_t n = 1;
	uint64_t max_tokens = DEFAULT_MAX_TOKENS;

	if (!json_is_object(root))
		return error_set(err, ERROR_INVALID,
				 "the body must be a JSON object");
	if (read_name(root, "model", spec->model, err))
		return -1;
	if (stream && !json_is_boolean(stream))
		return error_set(err, ERROR_INVALID,
				 "field 'stream' must be true or false");
	spec->stream = json_is_true(stream);
	if (read_uint(root, "n", 1, SAMPLES_MAX, &n, err) < 0 ||
	    read_uint(root, "max_tokens", 1, MAX_TOKENS_LIMIT, &max_tokens,
		      err) < 0)
		return -1;
	spec->n = (uint32_t)n;
	spec->max_tokens = (uint32_t)max_tokens;
	if (read_prompt(spec, root, err))
		return -1;
	copy_sampling(spec, root);
	return read_trainer_fields(spec, json_object_get(root, "currant"), err);
}

int completion_spec_parse(struct completion_spec *spec, const char *body,
			  size_t len, int chat, struct error *err)
{
	json_error_t json_error;
	json_t *root;
	int result;

	memset(spec, 0, sizeof(*spec));
	spec->chat = chat;
	root = json_body_parse(body, len, &json_error);
	if (!root)
		return error_set(err, ERROR_INVALID, "line %d, column %d: %s",
				 json_error.line, json_error.column,
				 json_error.text);
	result = read_root(spec, root, err);
	json_decref(root);
	if (!result)
		hash_prompt(spec);
	else
		completion_spec_finish(spec);
	return result;
}

void completion_spec_finish(struct completion_spec *spec)
{
	json_decref(spec->prompt);
	json_decref(spec->sampling);
	spec->prompt = NULL;
	spec->sampling = NULL;
}

static void set_prompt(json_t *body, const struct completion_spec *spec,
		       const char *done_text)
{
	if (spec->chat) {
		json_object_set(body, "messages", spec->prompt);
		return;
	}
	if (!*done_text) {
		json_object_set(body, "prompt", spec->prompt);
		return;
	}
	json_object_set_new(body, "prompt",
			    json_sprintf("%s%s",
					 json_string_value(spec->prompt),
					 done_text));
}

json_t *completion_spec_backend_body(const struct completion_spec *spec,
				     const char *backend_request_id,
				     const char *done_text,
				     uint32_t tokens_left, int stream,
				     int priority)
{
	json_t *body = json_deep_copy(spec->sampling);

	set_prompt(body, spec, done_text);
	json_object_set_new(body, "max_tokens", json_integer(tokens_left));
	json_object_set_new(body, "n", json_integer(1));
	json_object_set_new(body, "stream", json_boolean(stream));
	json_object_set_new(body, "priority", json_integer(priority));
	json_object_set_new(body, "request_id",
			    json_string(backend_request_id));
	return body;
}
