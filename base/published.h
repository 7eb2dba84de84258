#ifndef BASE_PUBLISHED_H
#define BASE_PUBLISHED_H

/*
 * A value that many threads read without a lock while one replaces it
 * (read-copy-update by liburcu). Readers hold the value only between
 * published_read_begin() and published_read_end() and must not block there.
 * Threads need no registration.
 */
struct published {
	void *current;
};

void published_init(struct published *p, void *first);

const void *published_read_begin(struct published *p);
void published_read_end(struct published *p);

/*
 * Replaces the value and waits until no reader holds the old one, which it
 * returns to be freed. Writers exclude one another by a lock of their own.
 */
void *published_swap(struct published *p, void *next);

#endif
