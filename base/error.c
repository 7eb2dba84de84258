#include "base/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

int error_set(struct error *err, enum error_code code, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return -1;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return -1;
}

int error_prefix(struct error *err, const char *fmt, ...)
{
	char old[ERROR_TEXT_MAX];
	size_t used;
	va_list ap;

	if (!err)
		return -1;
	memcpy(old, err->text, sizeof(old));
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	used = strlen(err->text);
	snprintf(err->text + used, sizeof(err->text) - used, ": %s", old);
	return -1;
}

const char *error_code_name(enum error_code code)
{
	static const char *const names[] = {
		[ERROR_NONE] = "none",
		[ERROR_INVALID] = "invalid",
		[ERROR_NOT_FOUND] = "not_found",
		[ERROR_CONFLICT] = "conflict",
		[ERROR_DENIED] = "denied",
		[ERROR_FULL] = "full",
		[ERROR_TIMEOUT] = "timeout",
		[ERROR_UNAVAILABLE] = "unavailable",
		[ERROR_IO] = "io",
		[ERROR_PROTOCOL] = "protocol",
		[ERROR_UNKNOWN_OUTCOME] = "unknown_outcome",
	};

	if ((unsigned)code >= sizeof(names) / sizeof(names[0]))
		return "none";
	return names[code];
}
