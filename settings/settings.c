#include "settings/settings.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/strbuf.h"
#include "settings/check.h"
#include "settings/field.h"

#define FIELD_PATH_BYTES 128
#define HELD_BYTES 60
#define EXPECTED_BYTES_MAX 128
#define FILE_MAX_BYTES (1024 * 1024)
#define LOOPBACK_FREE_PORT "127.0.0.1:0"

/* The fields of one JSON object tree, and where their values go. */
struct reader {
	const struct field *fields;
	uint32_t count;
	void *base;
	const char *prefix; /* of paths in errors */
	struct error *err;
	struct settings *settings; /* NULL: no lists inside */
};

void settings_init(struct settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	copy_text(settings->batch.address, NAME_BYTES, LOOPBACK_FREE_PORT);
	settings->batch.threads = 256;
	copy_text(settings->latency.address, NAME_BYTES, LOOPBACK_FREE_PORT);
	settings->latency.threads = 32;
	copy_text(settings->operators.address, NAME_BYTES, LOOPBACK_FREE_PORT);
	settings->operators.threads = 8;
	copy_text(settings->peer_address, NAME_BYTES, LOOPBACK_FREE_PORT);
	settings->log_level = LOG_INFO;
	settings->max_body_bytes = 4 * 1024 * 1024;
	settings->max_queued = 1024;
	settings->heartbeat_ms = 500;
	settings->isolation_ms = 1500;
	settings->lease_ms = 10000;
	settings->usage_window_s = 60;
	settings->usage_flush_ms = 1000;
	settings->address_ttl_ms = 5000;
	settings->drain_ms = 60000;
}

/* Describes a value in an error, cut to a readable length. */
static void print_held(const json_t *value, struct strbuf *out)
{
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII |
					       JSON_COMPACT);

	if (!text)
		strbuf_addstr(out, "what cannot be shown");
	else if (strlen(text) <= HELD_BYTES)
		strbuf_addstr(out, text);
	else
		strbuf_addf(out, "%.*s...", HELD_BYTES, text);
	free(text);
}

static int refuse(struct reader *reader, const char *path, const char *expected,
		  const json_t *value)
{
	struct strbuf held;

	strbuf_init(&held);
	print_held(value, &held);
	error_set(reader->err, ERROR_INVALID,
		  "field '%s%s' must be %s, but holds %s", reader->prefix, path,
		  expected, held.buf);
	strbuf_finish(&held);
	return -1;
}

static int read_field(struct reader *reader, const struct field *field,
		      const json_t *value)
{
	struct strbuf expected;

	if (!field_store(field, value, reader->base))
		return 0;
	if (field->type == FIELD_REFUSED)
		return error_set(reader->err, ERROR_INVALID,
				 "field '%s%s' must be left out: %s",
				 reader->prefix, field->path, field->reason);
	strbuf_init(&expected);
	field_print_expected(field, &expected);
	refuse(reader, field->path, expected.buf, value);
	strbuf_finish(&expected);
	return -1;
}

static int has_fields_below(const struct reader *reader, const char *path)
{
	size_t len = strlen(path);

	for (uint32_t i = 0; i < reader->count; i++)
		if (!strncmp(reader->fields[i].path, path, len) &&
		    reader->fields[i].path[len] == '.')
			return 1;
	return 0;
}

static void add_known(struct strbuf *out, const char *name, size_t len,
		      const char *like)
{
	if (!like || *name == *like)
		strbuf_addf(out, "%s%.*s", out->len ? ", " : "", (int)len,
			    name);
}

/*
 * Names the fields and groups that stand directly below `parent`; only those
 * that begin like `like`, unless it is NULL.
 */
static void print_known(const struct reader *reader, const char *parent,
			const char *like, struct strbuf *out)
{
	size_t skip = *parent ? strlen(parent) + 1 : 0;
	const char *last = "";

	for (uint32_t i = 0; i < reader->count; i++) {
		const struct field *field = &reader->fields[i];
		const char *name = field->path + skip;
		size_t len;

		if (field->type == FIELD_REFUSED ||
		    (skip && (strncmp(field->path, parent, skip - 1) ||
			      field->path[skip - 1] != '.')))
			continue;
		len = strcspn(name, ".");
		if (!strncmp(name, last, len) && strcspn(last, ".") == len)
			continue;
		add_known(out, name, len, like);
		last = name;
	}
	if (!*parent && reader->settings)
		add_known(out, "operator_list", strlen("operator_list"), like);
}

/* The text of an error would cut a long list off, so it names a few. */
static void print_expected(const struct reader *reader, const char *parent,
			   const char *path, struct strbuf *out)
{
	const char *name = *parent ? path + strlen(parent) + 1 : path;

	print_known(reader, parent, NULL, out);
	if (out->len <= EXPECTED_BYTES_MAX)
		return;
	strbuf_reset(out);
	print_known(reader, parent, name, out);
	strbuf_addstr(out, out->len ? " or another field of docs/settings.md"
				    : "the fields of docs/settings.md");
}

static int refuse_unknown(struct reader *reader, const char *parent,
			  const char *path, const json_t *value)
{
	struct strbuf known, held;

	strbuf_init(&known);
	strbuf_init(&held);
	print_expected(reader, parent, path, &known);
	print_held(value, &held);
	error_set(reader->err, ERROR_INVALID,
		  "unknown field '%s%s' holds %s; expected one of %s",
		  reader->prefix, path, held.buf, known.buf);
	strbuf_finish(&held);
	strbuf_finish(&known);
	return -1;
}

static int read_operator_list(struct reader *reader, const json_t *list);

static int read_object(struct reader *reader, const char *parent,
		       json_t *object);

static int read_member(struct reader *reader, const char *parent,
		       const char *name, json_t *value)
{
	char path[FIELD_PATH_BYTES];

	snprintf(path, sizeof(path), "%s%s%s", parent, *parent ? "." : "",
		 name);
	if (strchr(name, '.'))
		return refuse_unknown(reader, parent, path, value);
	for (uint32_t i = 0; i < reader->count; i++)
		if (!strcmp(reader->fields[i].path, path))
			return read_field(reader, &reader->fields[i], value);
	if (reader->settings && !strcmp(path, "operator_list"))
		return read_operator_list(reader, value);
	if (!has_fields_below(reader, path))
		return refuse_unknown(reader, parent, path, value);
	if (!json_is_object(value))
		return refuse(reader, path, "an object", value);
	return read_object(reader, path, value);
}

static int read_object(struct reader *reader, const char *parent,
		       json_t *object)
{
	const char *name;
	json_t *value;

	json_object_foreach (object, name, value)
		if (read_member(reader, parent, name, value))
			return -1;
	return 0;
}

static int check_required(struct reader *reader)
{
	for (uint32_t i = 0; i < reader->count; i++) {
		const struct field *field = &reader->fields[i];
		struct strbuf expected;

		/* All required fields are texts; a text is never empty. */
		if (!field->required ||
		    ((const char *)reader->base)[field->offset])
			continue;
		strbuf_init(&expected);
		field_print_expected(field, &expected);
		error_set(reader->err, ERROR_INVALID,
			  "field '%s%s' is missing; expected %s",
			  reader->prefix, field->path, expected.buf);
		strbuf_finish(&expected);
		return -1;
	}
	return 0;
}

static int read_operator(struct settings *settings, json_t *entry,
			 struct error *err)
{
	char prefix[FIELD_PATH_BYTES];
	struct reader reader = { 0 };

	snprintf(prefix, sizeof(prefix), "operator_list[%u].",
		 settings->operator_count);
	reader.fields = operator_fields(&reader.count);
	reader.base = &settings->operator_list[settings->operator_count++];
	reader.prefix = prefix;
	reader.err = err;
	if (read_object(&reader, "", entry))
		return -1;
	for (uint32_t i = 0; i < reader.count; i++)
		if (reader.fields[i].required &&
		    !json_object_get(entry, reader.fields[i].path))
			return error_set(err, ERROR_INVALID,
					 "field '%s%s' is missing", prefix,
					 reader.fields[i].path);
	return 0;
}

static int read_operator_list(struct reader *reader, const json_t *list)
{
	char expected[FIELD_PATH_BYTES];

	snprintf(expected, sizeof(expected), "a list of at most %d operators",
		 SETTINGS_OPERATORS_MAX);
	if (!json_is_array(list) ||
	    json_array_size(list) > SETTINGS_OPERATORS_MAX)
		return refuse(reader, "operator_list", expected, list);
	for (uint32_t i = 0; i < json_array_size(list); i++) {
		json_t *entry = json_array_get(list, i);
		char path[FIELD_PATH_BYTES];

		snprintf(path, sizeof(path), "operator_list[%u]", i);
		if (!json_is_object(entry))
			return refuse(reader, path, "an object", entry);
		if (read_operator(reader->settings, entry, reader->err))
			return -1;
	}
	return 0;
}

static int read_root(struct settings *settings, json_t *root, struct error *err)
{
	struct reader reader = { 0 };

	reader.fields = settings_fields(&reader.count);
	reader.base = settings;
	reader.prefix = "";
	reader.err = err;
	reader.settings = settings;
	if (!json_is_object(root))
		return error_set(err, ERROR_INVALID,
				 "the file must hold one JSON object");
	if (read_object(&reader, "", root) || check_required(&reader))
		return -1;
	return settings_check(settings, err);
}

int settings_parse(struct settings *settings, const char *text, size_t len,
		   const char *origin, struct error *err)
{
	struct settings read;
	json_error_t where;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &where);
	int result;

	if (!root)
		return error_set(err, ERROR_INVALID,
				 "%s: line %d, column %d: %.160s", origin,
				 where.line, where.column, where.text);
	settings_init(&read);
	result = read_root(&read, root, err);
	json_decref(root);
	if (result)
		return error_prefix(err, "%s", origin);
	*settings = read;
	return 0;
}

int settings_read_file(struct settings *settings, const char *path,
		       struct error *err)
{
	FILE *file = fopen(path, "re");
	struct strbuf text;
	size_t len;
	int result;

	if (!file)
		return error_set(err, ERROR_IO, "cannot open %s: %m", path);
	strbuf_init(&text);
	strbuf_grow(&text, FILE_MAX_BYTES + 1);
	len = fread(text.buf, 1, FILE_MAX_BYTES + 1, file);
	if (ferror(file))
		result = error_set(err, ERROR_IO, "cannot read %s: %m", path);
	else if (len > FILE_MAX_BYTES)
		result = error_set(err, ERROR_INVALID,
				   "%s is larger than %d bytes", path,
				   FILE_MAX_BYTES);
	else
		result = settings_parse(settings, text.buf, len, path, err);
	strbuf_finish(&text);
	fclose(file);
	return result;
}
