#include "entry/answers.h"

#include "base/strbuf.h"
#include "platform/messages.h"

/*
 * The text may quote input of a caller, truncated within a UTF-8 sequence, so
 * any byte outside printable ASCII is replaced by "?".
 */
static void add_json_text(struct strbuf *out, const char *text)
{
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\')
			strbuf_addch(out, '\\');
		strbuf_addch(out, c < ' ' || c >= 0x7f ? '?' : *text);
	}
}

void answer_refusal(struct net_request *request, const struct refusal *refusal)
{
	struct net_answer answer = { .status = refusal->status,
				     .close = refusal->close };
	struct strbuf fields;
	struct strbuf body;

	strbuf_init(&fields);
	strbuf_init(&body);
	strbuf_addstr(&fields, "Content-Type: application/problem+json\r\n");
	if (refusal->retry_after_ns >= 0)
		platform_write_retry_after(&fields, refusal->retry_after_ns);
	strbuf_addf(&body, "{\"type\":\"%s\",\"status\":%u,\"detail\":\"",
		    refusal->type, refusal->status);
	add_json_text(&body, refusal->detail);
	strbuf_addf(&body, "\",\"ran\":\"%s\"}",
		    refusal->ran == RAN_NOT ? "not_run" : "unknown");
	answer.fields = fields.buf;
	answer.body = body.buf;
	answer.body_len = body.len;
	net_request_answer(request, &answer);
	strbuf_finish(&fields);
	strbuf_finish(&body);
}

void answer_json_text(struct net_request *request, uint16_t status,
		      const char *text, size_t len)
{
	struct net_answer answer = {
		.status = status,
		.fields = "Content-Type: application/json\r\n",
		.body = text,
		.body_len = len,
	};

	net_request_answer(request, &answer);
}
