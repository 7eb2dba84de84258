#ifndef REQUEST_SSE_H
#define REQUEST_SSE_H

#include <stddef.h>

#include "base/strbuf.h"

/*
 * Splits a stream of server-sent events into the text of its data lines.
 * Only single-line data fields are used by the completion form.
 */
#define SSE_LINE_MAX_BYTES (256 * 1024)

struct sse_parser {
	struct strbuf pending; /* start of a line that is not whole yet */
};

void sse_parser_init(struct sse_parser *parser);
void sse_parser_finish(struct sse_parser *parser);
void sse_parser_reset(struct sse_parser *parser);

/*
 * Calls `fn` with the text of each whole data line in `data`. Returns -1 if
 * a line is over the bound or `fn` returned -1.
 */
int sse_parser_feed(struct sse_parser *parser, const char *data, size_t len,
		    int (*fn)(void *arg, const char *text, size_t len),
		    void *arg);

#endif
