#include "base/alloc.h"

#include <stdlib.h>
#include <string.h>

#include "base/bug.h"

static void *check(void *p, size_t size)
{
	if (!p && size)
		BUG("out of memory for %zu bytes", size);
	return p;
}

void *xmalloc(size_t size)
{
	return check(malloc(size), size);
}

void *xcalloc(size_t count, size_t size)
{
	return check(calloc(count, size), count * size);
}

void *xrealloc(void *old, size_t size)
{
	return check(realloc(old, size), size);
}

char *xstrdup(const char *text)
{
	return check(strdup(text), 1);
}

int copy_text(char *dst, size_t size, const char *src)
{
	size_t len = strlen(src);
	int fits = len < size;

	if (!fits)
		len = size - 1;
	memcpy(dst, src, len);
	dst[len] = '\0';
	return fits ? 0 : -1;
}
