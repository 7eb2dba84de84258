#include "entry/config_findings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

static const char *const kind_names[FINDING_KINDS] = {
	[FINDING_ERROR] = "error",     [FINDING_WARNING] = "warning",
	[FINDING_CHANGED] = "changed", [FINDING_ADDED] = "added",
	[FINDING_REMOVED] = "removed",
};

void config_findings_init(struct config_findings *findings)
{
	memset(findings, 0, sizeof(*findings));
}

void config_findings_finish(struct config_findings *findings)
{
	for (uint32_t i = 0; i < findings->count; i++)
		free(findings->list[i].text);
	free(findings->list);
}

void config_findings_add(struct config_findings *findings,
			 enum finding_kind kind, const char *fmt, ...)
{
	struct config_finding *finding;
	va_list ap;
	int len;

	if (findings->count == findings->alloc) {
		findings->alloc = findings->alloc ? 2 * findings->alloc : 16;
		findings->list =
			xrealloc(findings->list,
				 findings->alloc * sizeof(*findings->list));
	}
	finding = &findings->list[findings->count++];
	findings->counts[kind]++;
	va_start(ap, fmt);
	len = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	finding->kind = kind;
	finding->text = xmalloc((size_t)len + 1);
	va_start(ap, fmt);
	vsnprintf(finding->text, (size_t)len + 1, fmt, ap);
	va_end(ap);
}

const char *finding_kind_name(enum finding_kind kind)
{
	return kind_names[kind];
}
