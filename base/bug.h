#ifndef BASE_BUG_H
#define BASE_BUG_H

/*
 * Broken invariants. Everything that may happen at run time is an outcome
 * that a function returns; BUG() is for what the code itself rules out.
 */

/* Prints where and why, then aborts the process. */
#define BUG(...) bug_abort(__FILE__, __LINE__, __VA_ARGS__)

__attribute__((noreturn, format(printf, 3, 4))) void
bug_abort(const char *file, int line, const char *fmt, ...);

#endif
