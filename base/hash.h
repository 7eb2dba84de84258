#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/* 64-bit hashes by xxHash; the same on every host, so that all agree. */
uint64_t hash_bytes(const void *data, size_t len, uint64_t seed);
uint64_t hash_text(const char *text, uint64_t seed);

/* Weight of `node` for `key` in rendezvous hashing; the highest one owns. */
uint64_t hash_rendezvous(uint64_t key, const char *node);

#endif
