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

static struct named_version *find(const struct named_versions *versions,
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
	struct named_version *known = find(versions, model);

	if (known && known->version >= version)
		return 0;
	if (!known) {
		known = xcalloc(1, sizeof(*known));
		if (copy_text(known->model, sizeof(known->model), model)) {
			free(known);
			return 0;
		}
		known->next = versions->first;
		versions->first = known;
	}
	known->version = version;
	return 1;
}

uint64_t named_versions_get(const struct named_versions *versions,
			    const char *model)
{
	const struct named_version *known = find(versions, model);

	return known ? known->version : FIRST_VERSION;
}
