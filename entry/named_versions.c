#include "entry/named_versions.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

#define FIRST_VERSION 1

void named_versions_init(struct named_versions *versions)
{
	versions->first = NULL;
}

void named_versions_finish(struct named_versions *versions)
{
	struct named_version *version = versions->first;

	while (version) {
		struct named_version *next = version->next;

		free(version);
		version = next;
	}
}

static struct named_version *find_model(const struct named_versions *versions,
					const char *model)
{
	struct named_version *version = versions->first;

	while (version && strcmp(version->model, model))
		version = version->next;
	return version;
}

int named_versions_put(struct named_versions *versions, const char *model,
		       uint64_t version)
{
	struct named_version *recorded = find_model(versions, model);

	if (recorded && recorded->version >= version)
		return 0;
	if (!recorded) {
		recorded = xcalloc(1, sizeof(*recorded));
		if (copy_text(recorded->model, sizeof(recorded->model),
			      model)) {
			free(recorded);
			return 0;
		}
		recorded->next = versions->first;
		versions->first = recorded;
	}
	recorded->version = version;
	return 1;
}

uint64_t named_versions_get(const struct named_versions *versions,
			    const char *model)
{
	const struct named_version *recorded = find_model(versions, model);

	return recorded ? recorded->version : FIRST_VERSION;
}
