#include "settings/field.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hex.h"
#include "base/logger.h"
#include "state/config.h"
#include "state/name.h"

#define PORT_DIGITS_MAX 5

static int port_is_valid(const char *text)
{
	size_t len = strlen(text);

	if (!len || len > PORT_DIGITS_MAX || strspn(text, "0123456789") != len)
		return 0;
	return strtoul(text, NULL, 10) <= UINT16_MAX;
}

/* IPv4 only: the packaged CivetWeb has no IPv6. */
static int address_is_valid(const char *text)
{
	struct in_addr binary;
	char host[INET_ADDRSTRLEN];
	const char *colon = strchr(text, ':');
	size_t len = colon ? (size_t)(colon - text) : 0;

	if (!len || len >= sizeof(host) || !port_is_valid(colon + 1))
		return 0;
	memcpy(host, text, len);
	host[len] = '\0';
	return inet_pton(AF_INET, host, &binary) == 1;
}

static int has_only_visible_ascii(const char *text)
{
	for (; *text; text++)
		if (*text <= ' ' || *text > '~')
			return 0;
	return 1;
}

static int url_is_valid(const char *text)
{
	const char *host;

	if (!strncmp(text, "http://", strlen("http://")))
		host = text + strlen("http://");
	else if (!strncmp(text, "https://", strlen("https://")))
		host = text + strlen("https://");
	else
		return 0;
	return *host && *host != '/' && *host != ':' &&
	       has_only_visible_ascii(host);
}

static int store_text(const struct field *field, const char *text, char *out)
{
	int valid = *text != '\0';

	switch (field->type) {
	case FIELD_NAME:
		valid = name_is_valid(text);
		break;
	case FIELD_ADDRESS:
		valid = address_is_valid(text);
		break;
	case FIELD_URL:
		valid = url_is_valid(text);
		break;
	default:
		break;
	}
	if (!valid || strlen(text) >= field->size)
		return -1;
	return copy_text(out, field->size, text);
}

static int store_uint(const struct field *field, const json_t *value,
		      uint32_t *out)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < field->min ||
	    number > field->max)
		return -1;
	*out = (uint32_t)number;
	return 0;
}

int field_store(const struct field *field, const json_t *value, void *base)
{
	void *out = (char *)base + field->offset;

	switch (field->type) {
	case FIELD_REFUSED:
		return -1;
	case FIELD_UINT:
		return store_uint(field, value, out);
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			return -1;
		*(int *)out = json_is_true(value);
		return 0;
	default:
		break;
	}
	if (!json_is_string(value))
		return -1;
	if (field->type == FIELD_SHA256)
		return hex_read(json_string_value(value), out, KEY_HASH_BYTES);
	if (field->type == FIELD_LOG_LEVEL)
		return log_level_parse(json_string_value(value), out);
	return store_text(field, json_string_value(value), out);
}

void field_print_expected(const struct field *field, struct strbuf *out)
{
	switch (field->type) {
	case FIELD_NAME:
		strbuf_addstr(out, NAME_EXPECTED);
		break;
	case FIELD_ADDRESS:
		strbuf_addstr(out, "an IPv4 address as \"ip:port\"");
		break;
	case FIELD_URL:
		strbuf_addf(out, "an http or https URL under %u bytes",
			    field->size);
		break;
	case FIELD_FILE:
		strbuf_addf(out, "a file's path under %u bytes", field->size);
		break;
	case FIELD_UINT:
		strbuf_addf(out, "a whole number from %u to %u", field->min,
			    field->max);
		break;
	case FIELD_BOOL:
		strbuf_addstr(out, "true or false");
		break;
	case FIELD_SHA256:
		strbuf_addstr(out, "64 hexadecimal digits");
		break;
	case FIELD_LOG_LEVEL:
		strbuf_addstr(out, "debug, info, warning or error");
		break;
	case FIELD_REFUSED:
		strbuf_addstr(out, "left out");
		break;
	}
}
