#ifndef ENTRY_STATUS_ENGINES_H
#define ENTRY_STATUS_ENGINES_H

#include "entry/status_page.h"

/* Fills the page of the backend servers in this daemon's fleet. */
void status_engines(const struct status_sources *sources, json_t *page,
		    uint64_t from);

#endif
