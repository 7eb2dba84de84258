#ifndef BASE_STRBUF_H
#define BASE_STRBUF_H

#include <stddef.h>

/*
 * A byte buffer that grows. `buf` is always NUL-terminated, so that text in
 * it can be handed to functions that take C strings; `len` does not count
 * that NUL, and the bytes may contain others.
 */
struct strbuf {
	char *buf;
	size_t len;
	size_t alloc;
};

void strbuf_init(struct strbuf *sb);
void strbuf_finish(struct strbuf *sb);

/* Empties the buffer and keeps its memory. */
void strbuf_reset(struct strbuf *sb);

/* Removes the bytes behind the first `len`, of which there must be so many. */
void strbuf_truncate(struct strbuf *sb, size_t len);

/* Frees the memory beyond the bytes that the buffer holds. */
void strbuf_trim(struct strbuf *sb);
void strbuf_add(struct strbuf *sb, const void *data, size_t len);
void strbuf_addstr(struct strbuf *sb, const char *text);
void strbuf_addch(struct strbuf *sb, char c);
__attribute__((format(printf, 2, 3))) void strbuf_addf(struct strbuf *sb,
						       const char *fmt, ...);

/* Removes the first `len` bytes. */
void strbuf_consume(struct strbuf *sb, size_t len);

/* Makes room for `extra` more bytes, so that they can be written in place. */
void strbuf_grow(struct strbuf *sb, size_t extra);

/* Hands the memory to the caller, who frees it; the buffer becomes empty. */
char *strbuf_detach(struct strbuf *sb, size_t *len);

#endif
