#ifndef BASE_HEX_H
#define BASE_HEX_H

#include <stdint.h>

/* Bytes as hexadecimal digits, two a byte, high one first. */

/* Writes 2 * `len` lower-case digits and a NUL. */
void hex_print(char *out, const uint8_t *data, uint32_t len);

/* Reads exactly 2 * `len` digits of either case; -1, `out` unchanged, else. */
int hex_read(const char *text, uint8_t *out, uint32_t len);

#endif
