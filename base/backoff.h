#ifndef BASE_BACKOFF_H
#define BASE_BACKOFF_H

#include <stdint.h>

/*
 * The pause before a try: `first_ns`, doubled `repeats` times, at most
 * `max_ns`.
 */
int64_t backoff_ns(int64_t first_ns, int64_t max_ns, uint32_t repeats);

#endif
