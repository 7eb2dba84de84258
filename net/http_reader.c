#include "net/http_reader.h"

#include <string.h>
#include <strings.h>

#include "base/alloc.h"

/* http_parser's content_length if the head has no length. */
#define NO_LENGTH UINT64_MAX

#define HTTP_STATUS_MIN 100
#define HTTP_STATUS_MAX 599

/*
 * Limits of framing after the head. A chunk of one byte takes five bytes of
 * framing; the rest leaves room for the extensions and trailers in use.
 */
#define MAX_FRAMING_PER_BODY_BYTE 16
#define FRAMING_ALLOWANCE_BYTES 16384

static struct http_reader *reader_of(http_parser *parser)
{
	return parser->data;
}

static int fail(struct http_reader *reader, enum http_reader_result failure)
{
	reader->failure = failure;
	return -1;
}

/* Counts bytes of the head; the separators of a field count as four. */
static int count_head(struct http_reader *reader, size_t len)
{
	reader->head_bytes += (uint32_t)len;
	if (reader->head_bytes > reader->max_head_bytes)
		return fail(reader, HTTP_READER_HEAD_TOO_LARGE);
	return 0;
}

static int on_url(http_parser *parser, const char *data, size_t len)
{
	struct http_reader *reader = reader_of(parser);

	if (count_head(reader, len))
		return -1;
	strbuf_add(&reader->head.text, data, len);
	return 0;
}

/* Adds the NUL behind the string that was added last. */
static void terminate_text(struct http_head *head)
{
	strbuf_add(&head->text, "", 1);
}

static int start_field(struct http_reader *reader)
{
	struct http_head *head = &reader->head;

	if (head->field_count == HTTP_HEAD_FIELDS)
		return fail(reader, HTTP_READER_HEAD_TOO_LARGE);
	terminate_text(head);
	head->fields[head->field_count].name = (uint32_t)head->text.len;
	head->fields[head->field_count].value = 0;
	head->field_count++;
	reader->in_value = 0;
	return count_head(reader, 4);
}

static int on_field(http_parser *parser, const char *data, size_t len)
{
	struct http_reader *reader = reader_of(parser);

	if (reader->head_complete) /* trailers are discarded */
		return 0;
	if ((reader->in_value || !reader->head.field_count) &&
	    start_field(reader))
		return -1;
	if (count_head(reader, len))
		return -1;
	strbuf_add(&reader->head.text, data, len);
	return 0;
}

static int on_value(http_parser *parser, const char *data, size_t len)
{
	struct http_reader *reader = reader_of(parser);
	struct http_head *head = &reader->head;

	if (reader->head_complete)
		return 0;
	if (!reader->in_value) {
		terminate_text(head);
		head->fields[head->field_count - 1].value =
			(uint32_t)head->text.len;
		reader->in_value = 1;
	}
	if (count_head(reader, len))
		return -1;
	if (memchr(data, '\0', len))
		return fail(reader, HTTP_READER_MALFORMED);
	strbuf_add(&head->text, data, len);
	return 0;
}

/* Gives fields without a value the empty string. */
static void terminate_fields(struct http_head *head)
{
	terminate_text(head);
	for (uint32_t i = 0; i < head->field_count; i++)
		if (!head->fields[i].value)
			head->fields[i].value = (uint32_t)head->text.len - 1;
}

/* http_parser accepts a space before the colon; other parsers do not. */
static int field_names_are_valid(const struct http_head *head)
{
	for (uint32_t i = 0; i < head->field_count; i++)
		if (strchr(http_head_name(head, i), ' '))
			return 0;
	return 1;
}

static int framing_is_unambiguous(const struct http_head *head)
{
	uint32_t lengths = http_head_count(head, "Content-Length");
	uint32_t codings = http_head_count(head, "Transfer-Encoding");
	const char *length = http_head_find(head, "Content-Length");
	const char *coding = http_head_find(head, "Transfer-Encoding");

	if (lengths + codings > 1)
		return 0;
	if (length && (!*length || length[strspn(length, "0123456789")]))
		return 0;
	return !coding || !strcasecmp(coding, "chunked");
}

/* http_parser accepts any number up to 999. */
static int status_is_valid(uint32_t status)
{
	return status >= HTTP_STATUS_MIN && status <= HTTP_STATUS_MAX;
}

static int on_headers_complete(http_parser *parser)
{
	struct http_reader *reader = reader_of(parser);

	terminate_fields(&reader->head);
	reader->head_complete = 1;
	if (reader->is_response)
		reader->head.status = (uint16_t)parser->status_code;
	else
		reader->head.method =
			http_method_str((enum http_method)parser->method);
	if (!field_names_are_valid(&reader->head) ||
	    !framing_is_unambiguous(&reader->head) ||
	    (reader->is_response && !status_is_valid(parser->status_code)) ||
	    (!reader->is_response && parser->method == HTTP_CONNECT))
		return fail(reader, HTTP_READER_MALFORMED);
	/* Upgrade is ignored: the message is read as any other. */
	parser->upgrade = 0;
	if (reader->vt->on_head(reader))
		return fail(reader, HTTP_READER_STOPPED);
	return reader->is_response && reader->no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *data, size_t len)
{
	struct http_reader *reader = reader_of(parser);

	reader->body_bytes += len;
	if (reader->vt->on_body(reader, data, len))
		return fail(reader, HTTP_READER_STOPPED);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct http_reader *reader = reader_of(parser);

	reader->keep_alive = http_should_keep_alive(parser);
	/* Leaves the bytes that follow to the next message. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void http_reader_init(struct http_reader *reader,
		      const struct http_reader_vtable *vt, int is_response,
		      uint32_t max_head_bytes)
{
	memset(reader, 0, sizeof(*reader));
	reader->vt = vt;
	reader->is_response = is_response;
	reader->max_head_bytes = max_head_bytes;
	http_head_init(&reader->head);
	http_reader_next(reader);
}

void http_reader_finish(struct http_reader *reader)
{
	http_head_finish(&reader->head);
}

void http_reader_next(struct http_reader *reader)
{
	http_parser_init(&reader->parser,
			 reader->is_response ? HTTP_RESPONSE : HTTP_REQUEST);
	reader->parser.data = reader;
	http_head_reset(&reader->head);
	reader->head_bytes = 0;
	reader->body_bytes = 0;
	reader->framing_bytes = 0;
	reader->in_value = 0;
	reader->began = 0;
	reader->head_complete = 0;
	reader->failure = HTTP_READER_MORE;
}

/* Whether the framing is out of proportion to the body. */
static int has_excess_framing(const struct http_reader *reader)
{
	return reader->framing_bytes >
	       FRAMING_ALLOWANCE_BYTES +
		       MAX_FRAMING_PER_BODY_BYTE * reader->body_bytes;
}

enum http_reader_result http_reader_feed(struct http_reader *reader,
					 const char *data, size_t len,
					 size_t *used)
{
	uint64_t old_body_bytes = reader->body_bytes;
	int in_head = !reader->head_complete;
	enum http_errno parser_error;

	*used = 0;
	if (!len)
		return HTTP_READER_MORE;
	reader->began = 1;
	*used = http_parser_execute(&reader->parser, &parser_settings, data,
				    len);
	parser_error = HTTP_PARSER_ERRNO(&reader->parser);
	if (parser_error == HPE_PAUSED)
		return HTTP_READER_END;
	if (!in_head)
		reader->framing_bytes +=
			*used - (reader->body_bytes - old_body_bytes);
	if (parser_error == HPE_OK)
		return has_excess_framing(reader) ? HTTP_READER_MALFORMED
						  : HTTP_READER_MORE;
	if (reader->failure != HTTP_READER_MORE)
		return reader->failure;
	if (parser_error == HPE_HEADER_OVERFLOW)
		return HTTP_READER_HEAD_TOO_LARGE;
	return HTTP_READER_MALFORMED;
}

enum http_reader_result http_reader_eof(struct http_reader *reader)
{
	if (!reader->began || !reader->head_complete)
		return HTTP_READER_MALFORMED;
	http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_PAUSED)
		return HTTP_READER_END;
	return HTTP_READER_MALFORMED;
}

int64_t http_reader_body_bytes(const struct http_reader *reader)
{
	uint64_t body_bytes = reader->parser.content_length;

	if (reader->parser.flags & F_CHUNKED || body_bytes == NO_LENGTH)
		return -1;
	return body_bytes > INT64_MAX ? INT64_MAX : (int64_t)body_bytes;
}
