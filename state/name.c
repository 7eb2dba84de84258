#include "state/name.h"

#include "state/config.h"

int name_byte_is_valid(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	       (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

int name_is_valid(const char *name)
{
	uint32_t len = 0;

	for (; name[len]; len++)
		if (len + 1 >= NAME_BYTES || !name_byte_is_valid(name[len]))
			return 0;
	return len > 0;
}
