#include "base/bug.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

void bug_abort(const char *file, int line, const char *fmt, ...)
{
	va_list ap;

	fprintf(stderr, "BUG: %s:%d: ", file, line);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
	abort();
}
