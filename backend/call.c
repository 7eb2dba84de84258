#include "backend/call.h"

#include <string.h>

void backend_call_init(struct backend_call *call,
		       const struct backend_call_handler *handler)
{
	memset(call, 0, sizeof(*call));
	call->handler = handler;
	call->retry_after_s = -1;
	strbuf_init(&call->url);
	strbuf_init(&call->body);
}

void backend_call_finish(struct backend_call *call)
{
	strbuf_finish(&call->url);
	strbuf_finish(&call->body);
	curl_slist_free_all(call->headers);
	call->headers = NULL;
}

void backend_call_add_header(struct backend_call *call, const char *line)
{
	struct curl_slist *next = curl_slist_append(call->headers, line);

	if (next)
		call->headers = next;
}
