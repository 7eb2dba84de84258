#include "base/hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t hash_bytes(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t hash_text(const char *text, uint64_t seed)
{
	return hash_bytes(text, strlen(text), seed);
}

uint64_t hash_rendezvous(uint64_t key, const char *node)
{
	return hash_text(node, key);
}
