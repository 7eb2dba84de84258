#ifndef POLICY_NEED_AGE_H
#define POLICY_NEED_AGE_H

#include <stdint.h>

/*
 * How long ago a need was reported whose record is read now. Load pattern: all
 * hosts are restarted while one model of several is trained. The newest record
 * of each model is still listed, also of those whose trainers ended long ago;
 * counted as reported now, they would take engines from the trained one. Pure
 * function.
 *
 * `reported_ms` is the wall clock of the host that wrote the record, 0 if it
 * wrote none. The clocks of two hosts may differ, so the age is at most
 * `unread_ns`: the time since the reader had last read all records.
 */
int64_t need_age_ns(int64_t reported_ms, int64_t wall_ms, int64_t unread_ns);

#endif
