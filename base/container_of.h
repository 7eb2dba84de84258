#ifndef BASE_CONTAINER_OF_H
#define BASE_CONTAINER_OF_H

#include <stddef.h>

/* The struct of that type whose member `pointer` points to. */
#define container_of(pointer, type, member)                                    \
	((type *)((char *)(pointer)-offsetof(type, member)))

#endif
