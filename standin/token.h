#ifndef STANDIN_TOKEN_H
#define STANDIN_TOKEN_H

#include <stdint.h>

#include "base/strbuf.h"

/* Text of a generation: a function of prompt, seed and choice alone. */
uint64_t token_seed(const char *prompt, uint64_t seed, uint32_t choice);
void token_add(struct strbuf *out, uint64_t token_seed, uint32_t index);

#endif
