#ifndef BASE_ALLOC_H
#define BASE_ALLOC_H

#include <stddef.h>

/*
 * Allocation that cannot fail: a process without memory stops, because no
 * caller could do better. Every queue and table has its own bound, so input
 * alone cannot lead here. Memory is freed with free().
 */
void *xmalloc(size_t size);
void *xcalloc(size_t count, size_t size);
void *xrealloc(void *old, size_t size);
char *xstrdup(const char *text);

/* Copies text into a fixed array; returns -1 if it did not fit. */
int copy_text(char *dst, size_t size, const char *src);

#define ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

#endif
