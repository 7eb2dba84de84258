#include "net/http_head.h"

#include <string.h>
#include <strings.h>

#include "base/alloc.h"

static const char *const hop_fields[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
};

void http_head_init(struct http_head *head)
{
	strbuf_init(&head->text);
	http_head_reset(head);
}

void http_head_finish(struct http_head *head)
{
	strbuf_finish(&head->text);
}

void http_head_reset(struct http_head *head)
{
	strbuf_reset(&head->text);
	head->method = "";
	head->target = 0;
	head->status = 0;
	head->field_count = 0;
}

const char *http_head_target(const struct http_head *head)
{
	return head->text.buf + head->target;
}

const char *http_head_name(const struct http_head *head, uint32_t index)
{
	return head->text.buf + head->fields[index].name;
}

const char *http_head_value(const struct http_head *head, uint32_t index)
{
	return head->text.buf + head->fields[index].value;
}

const char *http_head_find(const struct http_head *head, const char *name)
{
	for (uint32_t i = 0; i < head->field_count; i++)
		if (!strcasecmp(http_head_name(head, i), name))
			return http_head_value(head, i);
	return NULL;
}

uint32_t http_head_count(const struct http_head *head, const char *name)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < head->field_count; i++)
		if (!strcasecmp(http_head_name(head, i), name))
			count++;
	return count;
}

/* Whether the comma-separated `list` contains `token`, ignoring case. */
static int has_token(const char *list, const char *token)
{
	size_t len = strlen(token);

	while (*list) {
		size_t item;

		list += strspn(list, " \t,");
		item = strcspn(list, " \t,");
		if (item == len && !strncasecmp(list, token, len))
			return 1;
		list += item;
	}
	return 0;
}

int http_name_is_hop_by_hop(const char *name)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(hop_fields); i++)
		if (!strcasecmp(name, hop_fields[i]))
			return 1;
	return 0;
}

int http_head_is_hop_by_hop(const struct http_head *head, uint32_t index)
{
	const char *name = http_head_name(head, index);

	if (http_name_is_hop_by_hop(name))
		return 1;
	for (uint32_t i = 0; i < head->field_count; i++)
		if (!strcasecmp(http_head_name(head, i), "Connection") &&
		    has_token(http_head_value(head, i), name))
			return 1;
	return 0;
}
