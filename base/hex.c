#include "base/hex.h"

#include <string.h>

static const char digits[] = "0123456789abcdef";

void hex_print(char *out, const uint8_t *data, uint32_t len)
{
	for (uint32_t i = 0; i < len; i++) {
		*out++ = digits[data[i] >> 4];
		*out++ = digits[data[i] & 15];
	}
	*out = '\0';
}

static uint8_t digit_value(char c)
{
	if (c >= '0' && c <= '9')
		return (uint8_t)(c - '0');
	return (uint8_t)((c | 0x20) - 'a' + 10);
}

int hex_read(const char *text, uint8_t *out, uint32_t len)
{
	if (strlen(text) != (size_t)2 * len ||
	    strspn(text, "0123456789abcdefABCDEF") != (size_t)2 * len)
		return -1;
	for (uint32_t i = 0; i < len; i++)
		out[i] = (uint8_t)(digit_value(text[2 * i]) << 4 |
				   digit_value(text[2 * i + 1]));
	return 0;
}
