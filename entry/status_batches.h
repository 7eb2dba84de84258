#ifndef ENTRY_STATUS_BATCHES_H
#define ENTRY_STATUS_BATCHES_H

#include "entry/status_page.h"

/*
 * Fills the page of accepted batches that this daemon has read: a daemon reads
 * the partitions that it runs or that callers asked it about.
 */
void status_batches(const struct status_sources *sources, json_t *page,
		    uint64_t from);

/* Fills the page of one batch's items; -1 if this daemon has not read it. */
int status_items(const struct status_sources *sources, json_t *page,
		 const char *batch, uint64_t from);

#endif
