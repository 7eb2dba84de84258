#include "base/strbuf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/bug.h"

#define STRBUF_FIRST_BYTES 64

/* What an empty buffer points to, so that `buf` is always a string. */
static char strbuf_empty[1];

void strbuf_init(struct strbuf *sb)
{
	sb->buf = strbuf_empty;
	sb->len = 0;
	sb->alloc = 0;
}

void strbuf_finish(struct strbuf *sb)
{
	if (sb->alloc)
		free(sb->buf);
	strbuf_init(sb);
}

void strbuf_reset(struct strbuf *sb)
{
	sb->len = 0;
	if (sb->alloc)
		sb->buf[0] = '\0';
}

void strbuf_truncate(struct strbuf *sb, size_t len)
{
	if (len > sb->len)
		BUG("truncating a buffer of %zu bytes to %zu", sb->len, len);
	sb->len = len;
	if (sb->alloc)
		sb->buf[len] = '\0';
}

void strbuf_trim(struct strbuf *sb)
{
	if (!sb->alloc)
		return;
	sb->alloc = sb->len + 1;
	sb->buf = xrealloc(sb->buf, sb->alloc);
}

void strbuf_grow(struct strbuf *sb, size_t extra)
{
	size_t need = sb->len + extra + 1;
	size_t alloc = sb->alloc ? sb->alloc : STRBUF_FIRST_BYTES;

	if (need <= sb->alloc)
		return;
	while (alloc < need)
		alloc *= 2;
	sb->buf = xrealloc(sb->alloc ? sb->buf : NULL, alloc);
	sb->alloc = alloc;
	sb->buf[sb->len] = '\0';
}

void strbuf_add(struct strbuf *sb, const void *data, size_t len)
{
	if (!len)
		return;
	strbuf_grow(sb, len);
	memcpy(sb->buf + sb->len, data, len);
	sb->len += len;
	sb->buf[sb->len] = '\0';
}

void strbuf_addstr(struct strbuf *sb, const char *text)
{
	strbuf_add(sb, text, strlen(text));
}

void strbuf_addch(struct strbuf *sb, char c)
{
	strbuf_add(sb, &c, 1);
}

void strbuf_addf(struct strbuf *sb, const char *fmt, ...)
{
	va_list ap;
	int len;

	va_start(ap, fmt);
	len = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (len < 0)
		BUG("format '%s' is broken", fmt);
	strbuf_grow(sb, (size_t)len);
	va_start(ap, fmt);
	vsnprintf(sb->buf + sb->len, (size_t)len + 1, fmt, ap);
	va_end(ap);
	sb->len += (size_t)len;
}

void strbuf_consume(struct strbuf *sb, size_t len)
{
	if (len > sb->len)
		BUG("consuming %zu of %zu bytes", len, sb->len);
	if (!len)
		return;
	memmove(sb->buf, sb->buf + len, sb->len - len);
	sb->len -= len;
	sb->buf[sb->len] = '\0';
}

char *strbuf_detach(struct strbuf *sb, size_t *len)
{
	char *result;

	strbuf_grow(sb, 0);
	result = sb->buf;
	if (len)
		*len = sb->len;
	strbuf_init(sb);
	return result;
}
