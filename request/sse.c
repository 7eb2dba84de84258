#include "request/sse.h"

#include <string.h>

#define DATA_FIELD "data:"

void sse_parser_init(struct sse_parser *parser)
{
	strbuf_init(&parser->pending);
}

void sse_parser_finish(struct sse_parser *parser)
{
	strbuf_finish(&parser->pending);
}

void sse_parser_reset(struct sse_parser *parser)
{
	strbuf_reset(&parser->pending);
}

static int take_line(const char *line, size_t len,
		     int (*fn)(void *arg, const char *text, size_t len),
		     void *arg)
{
	size_t skip = strlen(DATA_FIELD);

	if (len && line[len - 1] == '\r')
		len--;
	if (len < skip || memcmp(line, DATA_FIELD, skip))
		return 0;
	if (len > skip && line[skip] == ' ')
		skip++;
	return fn(arg, line + skip, len - skip);
}

static int take_pending(struct sse_parser *parser, const char *data, size_t len,
			int (*fn)(void *arg, const char *text, size_t len),
			void *arg)
{
	int result;

	if (!parser->pending.len)
		return take_line(data, len, fn, arg);
	strbuf_add(&parser->pending, data, len);
	result = take_line(parser->pending.buf, parser->pending.len, fn, arg);
	strbuf_reset(&parser->pending);
	return result;
}

int sse_parser_feed(struct sse_parser *parser, const char *data, size_t len,
		    int (*fn)(void *arg, const char *text, size_t len),
		    void *arg)
{
	while (len) {
		const char *end = memchr(data, '\n', len);
		size_t line_len = end ? (size_t)(end - data) : len;

		if (parser->pending.len + line_len > SSE_LINE_MAX_BYTES)
			return -1;
		if (!end) {
			strbuf_add(&parser->pending, data, len);
			return 0;
		}
		if (take_pending(parser, data, line_len, fn, arg))
			return -1;
		data += line_len + 1;
		len -= line_len + 1;
	}
	return 0;
}
