#ifndef T_LIB_CLOCK_H
#define T_LIB_CLOCK_H

#include <cstdint>

// The time that system_clock_init() gives, by which daemons decide.
int64_t system_now_ns();

// Time for the durations that a test measures.
int64_t steady_now_ms();

#endif
