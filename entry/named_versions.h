#ifndef ENTRY_NAMED_VERSIONS_H
#define ENTRY_NAMED_VERSIONS_H

#include <stdint.h>

/* The newest weight version that the trainer of each model has named. */
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

/* Returns 1 if the version is newer than what was known. */
int named_versions_put(struct named_versions *versions, const char *model,
		       uint64_t version);

/* 1 if none was named: engines start with that. */
uint64_t named_versions_get(const struct named_versions *versions,
			    const char *model);

#endif
