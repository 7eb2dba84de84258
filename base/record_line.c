#include "base/record_line.h"

#include <stdlib.h>
#include <string.h>

/* The value of a field and its length; NULL if there is none. */
static const char *find(const struct record_line *line, const char *key,
			size_t *len)
{
	size_t key_len = strlen(key);
	const char *at = line->text;

	while (at) {
		if (!strncmp(at, key, key_len) && at[key_len] == '=') {
			at += key_len + 1;
			*len = strcspn(at, " \n");
			return at;
		}
		at = strchr(at, ' ');
		if (at)
			at++;
	}
	return NULL;
}

int record_line_read(const char *line, struct record_line *out)
{
	const char *at = line;
	char *end;

	while (at && strncmp(at, "ts=", 3)) {
		at = strchr(at, ' ');
		if (at)
			at++;
	}
	if (!at)
		return -1;
	out->text = at;
	out->ts_ms = strtoll(at + 3, &end, 10);
	return end > at + 3 && *end == ' ' ? 0 : -1;
}

int record_line_field(const struct record_line *line, const char *key,
		      char *out, size_t size)
{
	size_t len;
	const char *value = find(line, key, &len);

	if (!value)
		return -1;
	if (len >= size)
		len = size - 1;
	memcpy(out, value, len);
	out[len] = '\0';
	return 0;
}

int record_line_is(const struct record_line *line, const char *key,
		   const char *value)
{
	size_t len;
	const char *found = find(line, key, &len);

	return found && strlen(value) == len && !strncmp(found, value, len);
}

int64_t record_line_int(const struct record_line *line, const char *key,
			int64_t otherwise)
{
	size_t len;
	const char *value = find(line, key, &len);
	char *end;
	int64_t number;

	if (!value)
		return otherwise;
	number = strtoll(value, &end, 10);
	return end == value ? otherwise : number;
}
