#ifndef NET_HTTP_READER_H
#define NET_HTTP_READER_H

#include <http_parser.h>
#include <stddef.h>
#include <stdint.h>

#include "net/http_head.h"

/*
 * Reads the HTTP/1.1 messages of one connection (http_parser), one message
 * at a time. Framing that two readers could understand in two ways is an
 * error: repeated or non-numeric lengths, a length beside a transfer coding,
 * a coding but chunked. So is framing without end (chunk extensions, trailers)
 * beside little or no body.
 */
enum http_reader_result {
	HTTP_READER_MORE = 0, /* all was used, the message goes on */
	HTTP_READER_END, /* a message is whole; bytes may be left */
	HTTP_READER_MALFORMED,
	HTTP_READER_HEAD_TOO_LARGE,
	HTTP_READER_STOPPED, /* a callback asked for it */
};

struct http_reader;

/* Callbacks return 0 to go on, or -1 to stop reading. */
struct http_reader_vtable {
	int (*on_head)(struct http_reader *reader);
	int (*on_body)(struct http_reader *reader, const char *data,
		       size_t len);
};

struct http_reader {
	const struct http_reader_vtable *vt;
	http_parser parser;
	struct http_head head;
	uint32_t max_head_bytes;
	uint32_t head_bytes;
	int is_response;
	int no_body; /* responses: the request was a HEAD */
	int in_value; /* the last field bytes were a value's */
	uint64_t body_bytes; /* of the present message, so far */
	uint64_t framing_bytes; /* likewise: what is neither head nor body */
	int began; /* bytes of the present message were read */
	int head_done;
	int keep_alive; /* of the last whole message */
	enum http_reader_result failure;
};

void http_reader_init(struct http_reader *reader,
		      const struct http_reader_vtable *vt, int is_response,
		      uint32_t max_head_bytes);
void http_reader_finish(struct http_reader *reader);

/* Begins the next message; the head of the last one is gone. */
void http_reader_next(struct http_reader *reader);

/* Reads up to the end of the message; `*used` says how far it came. */
enum http_reader_result http_reader_feed(struct http_reader *reader,
					 const char *data, size_t len,
					 size_t *used);

/*
 * The other side has closed its half. HTTP_READER_END if that ends the
 * message as a whole one, HTTP_READER_MALFORMED if it cuts it.
 */
enum http_reader_result http_reader_eof(struct http_reader *reader);

/* Length of the body by the head; -1 if it is not known from it. */
int64_t http_reader_body_bytes(const struct http_reader *reader);

#endif
