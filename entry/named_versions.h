#ifndef ENTRY_NAMED_VERSIONS_H
#define ENTRY_NAMED_VERSIONS_H

#include <stdint.h>

/* The newest weight version that the trainer of each model announced. */
#define NAMED_MODEL_BYTES 64

struct named_version {
	char model[NAMED_MODEL_BYTES];
	uint64_t version;
	struct named_version *next;
};

struct named_versions {
	struct named_version *first;
};

void named_versions_init(struct named_versions *versions);
void named_versions_finish(struct named_versions *versions);

/*
 * Records the version; returns 1 if it is newer than the one recorded. Returns
 * 0 also for a model name that is too long.
 */
int named_versions_put(struct named_versions *versions, const char *model,
		       uint64_t version);

/* Returns 1 if none was announced: engines start with version 1. */
uint64_t named_versions_get(const struct named_versions *versions,
			    const char *model);

#endif
