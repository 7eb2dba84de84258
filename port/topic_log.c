#include "port/topic_log.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/bug.h"

#define MAX_KEY_BYTES 255

const char *topic_outcome_name(enum topic_outcome outcome)
{
	static const char *const names[] = { "ok",	     "refused",
					     "conflict",     "fenced",
					     "bad_sequence", "forgotten",
					     "full",	     "unknown" };

	return names[outcome];
}

static void add_length(struct strbuf *out, size_t len)
{
	uint32_t length = htonl((uint32_t)len);

	strbuf_add(out, &length, sizeof(length));
}

void topic_add_record(struct strbuf *out, const void *data, size_t len)
{
	add_length(out, len);
	strbuf_add(out, data, len);
}

void topic_add_keyed(struct strbuf *out, const char *key, const void *value,
		     size_t len)
{
	size_t key_len = strlen(key);

	if (key_len > MAX_KEY_BYTES)
		BUG("key of %zu bytes", key_len);
	if (!value)
		len = 0;
	add_length(out, 1 + key_len + len);
	strbuf_addch(out, (char)key_len);
	strbuf_add(out, key, key_len);
	strbuf_add(out, value, len);
}

int topic_next_record(const struct strbuf *records, size_t *at,
		      const uint8_t **data, size_t *len)
{
	const uint8_t *bytes = (const uint8_t *)records->buf;
	size_t left = records->len - *at;
	uint32_t length;

	if (left < TOPIC_LENGTH_BYTES)
		return 0;
	memcpy(&length, bytes + *at, TOPIC_LENGTH_BYTES);
	length = ntohl(length);
	if (left - TOPIC_LENGTH_BYTES < length)
		return 0;
	*data = bytes + *at + TOPIC_LENGTH_BYTES;
	*len = length;
	*at += TOPIC_LENGTH_BYTES + length;
	return 1;
}

int topic_split_keyed(const uint8_t *data, size_t len, char *key,
		      size_t key_size, const uint8_t **value, size_t *value_len)
{
	size_t key_len;

	if (!len)
		return -1;
	key_len = data[0];
	if (1 + key_len > len || key_len >= key_size ||
	    memchr(data + 1, '\0', key_len))
		return -1;
	memcpy(key, data + 1, key_len);
	key[key_len] = '\0';
	*value = data + 1 + key_len;
	*value_len = len - 1 - key_len;
	return 0;
}
