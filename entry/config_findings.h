#ifndef ENTRY_CONFIG_FINDINGS_H
#define ENTRY_CONFIG_FINDINGS_H

#include <stdint.h>

/* What a check of a configuration found, one line of text each. */
enum finding_kind {
	FINDING_ERROR = 0, /* refused, or it can't work as written */
	FINDING_WARNING, /* it works, but hardly as meant */
	FINDING_CHANGED, /* differences from another version */
	FINDING_ADDED,
	FINDING_REMOVED,
	FINDING_KINDS,
};

struct config_finding {
	enum finding_kind kind;
	char *text;
};

struct config_findings {
	struct config_finding *list;
	uint32_t count;
	uint32_t alloc;
	uint32_t counts[FINDING_KINDS]; /* of each kind */
};

void config_findings_init(struct config_findings *findings);
void config_findings_finish(struct config_findings *findings);

__attribute__((format(printf, 3, 4))) void
config_findings_add(struct config_findings *findings, enum finding_kind kind,
		    const char *fmt, ...);

/* Returns "error", "warning", "changed", "added" or "removed". */
const char *finding_kind_name(enum finding_kind kind);

#endif
