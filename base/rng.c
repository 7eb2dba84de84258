#include "base/rng.h"

#include <sys/random.h>

#include "base/bug.h"

void rng_init(struct rng *rng, uint64_t seed)
{
	rng->state = seed;
}

uint64_t rng_next(struct rng *rng)
{
	uint64_t z = (rng->state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

uint64_t rng_below(struct rng *rng, uint64_t bound)
{
	return (uint64_t)(((unsigned __int128)rng_next(rng) * bound) >> 64);
}

double rng_unit(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) * 0x1.0p-53;
}

void random_bytes(void *data, uint32_t len)
{
	if (getrandom(data, len, 0) != (ssize_t)len)
		BUG("getrandom of %u bytes failed", len);
}
