#ifndef NET_HTTP_READER_H
#define NET_HTTP_READER_H

#include <http_parser.h>
#include <stddef.h>
#include <stdint.h>

#include "net/http_head.h"

/*
 * Parses the HTTP/1.1 messages of one connection with http_parser, one
 * message at a time. Rejects framing that two parsers could interpret
 * differently: repeated or non-numeric lengths, a length together with a
 * transfer coding, any coding other than chunked. Also rejects framing (chunk
 * extensions, trailers) that is out of proportion to the body, and responses
 * whose status is not from 100 to 599.
 */
enum http_reader_result {
	HTTP_READER_MORE = 0, /* input used up, message incomplete */
	HTTP_READER_END, /* message complete; input may remain */
	HTTP_READER_MALFORMED,
	HTTP_READER_HEAD_TOO_LARGE,
	HTTP_READER_STOPPED, /* a callback returned -1 */
};

struct http_reader;

/* Callbacks return 0 to continue, or -1 to stop reading. */
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
	int no_body; /* responses: the request's method was HEAD */
	int in_value; /* the last bytes of a field were of its value */
	uint64_t body_bytes; /* of the current message, so far */
	uint64_t framing_bytes; /* likewise: neither head nor body */
	int began; /* bytes of the current message were read */
	int head_complete;
	int keep_alive; /* after the last complete message */
	enum http_reader_result failure; /* HTTP_READER_MORE: none */
};

void http_reader_init(struct http_reader *reader,
		      const struct http_reader_vtable *vt, int is_response,
		      uint32_t max_head_bytes);
void http_reader_finish(struct http_reader *reader);

/* Starts the next message and discards the head of the last one. */
void http_reader_next(struct http_reader *reader);

/* Reads up to the end of the message; sets `*used` to the bytes read. */
enum http_reader_result http_reader_feed(struct http_reader *reader,
					 const char *data, size_t len,
					 size_t *used);

/*
 * Handles the end of the peer's stream. HTTP_READER_END if it completes the
 * message, HTTP_READER_MALFORMED if it truncates it.
 */
enum http_reader_result http_reader_eof(struct http_reader *reader);

/*
 * Length of the body according to the head; -1 if the head does not give it.
 * For use in on_head().
 */
int64_t http_reader_body_bytes(const struct http_reader *reader);

#endif
