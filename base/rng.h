#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

/* Seeded generator (splitmix64); the same seed gives the same numbers. */
struct rng {
	uint64_t state;
};

void rng_init(struct rng *rng, uint64_t seed);
uint64_t rng_next(struct rng *rng);

/* Uniform in 0 .. bound - 1; `bound` must not be 0. */
uint64_t rng_below(struct rng *rng, uint64_t bound);

/* Uniform in [0, 1). */
double rng_unit(struct rng *rng);

/* Fills `data` from the kernel's generator, for secrets and identities. */
void random_bytes(void *data, uint32_t len);

#endif
