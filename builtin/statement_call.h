#ifndef BUILTIN_STATEMENT_CALL_H
#define BUILTIN_STATEMENT_CALL_H

#include "builtin/client.h"

/* Sends one statement to a daemon and prints its answer. */
#define STATEMENT_ID_BYTES 64

struct statement_source {
	const char *name; /* file, or NULL */
	uint32_t line; /* from 1; 0: not from lines */
};

/*
 * Runs the statement under an id, which is random if `id` is NULL. Tables
 * and verdicts go to standard output, faults to standard error. Returns the
 * exit status.
 */
int statement_call_run(struct client *client, const char *text, const char *id,
		       const struct statement_source *source);

/* Prints a fault of a statement, with the text and a mark at `column`. */
void statement_complain(const struct statement_source *source, const char *text,
			uint32_t column, const char *why);

#endif
