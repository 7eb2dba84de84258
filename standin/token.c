#include "standin/token.h"
#include "base/alloc.h"
#include "base/hash.h"

static const char *const words[] = {
	" road",   " ice",   " frost", " salt",	 " snow", " bridge",
	" slope",  " night", " rain",  " wind",	 " lane", " county",
	" plough", " truck", " verse", " rhyme",
};

uint64_t token_seed(const char *prompt, uint64_t seed, uint32_t choice)
{
	return hash_text(prompt, seed * 1000 + choice);
}

void token_add(struct strbuf *out, uint64_t token_seed, uint32_t index)
{
	uint64_t mixed = (token_seed + index) * UINT64_C(0x9e3779b97f4a7c15);

	strbuf_addstr(out, words[(mixed >> 40) % ARRAY_SIZE(words)]);
}
