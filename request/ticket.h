#ifndef REQUEST_TICKET_H
#define REQUEST_TICKET_H

#include <stddef.h>
#include <stdint.h>

#include "state/config.h"

/*
 * A ticket names the one run of one daemon that a request which may not be
 * repeated is bound to. It comes with the answer to "which address?" and
 * goes back in the header Currant-Ticket, unchanged on each resend. A daemon
 * runs such a request only under its own ticket; under another one it cannot
 * know whether the request ran. The generation rises with time, so that a
 * daemon can forget old requests: their tickets are no longer taken.
 */
#define TICKET_BYTES (NAME_BYTES + 48)
#define TICKET_GENERATION_NS (600 * INT64_C(1000000000))
/* Generations whose tickets are taken: the current one and the one before. */
#define TICKET_GENERATIONS_KEPT 2

struct ticket {
	char daemon[NAME_BYTES];
	uint64_t incarnation;
	uint64_t generation;
};

enum ticket_verdict {
	TICKET_OWN = 0, /* may run here */
	TICKET_EXPIRED, /* ours, too old: whether it ran is forgotten */
	TICKET_OTHER, /* of another daemon or another run */
	TICKET_MALFORMED,
};

void ticket_print(const struct ticket *ticket, char *out, size_t size);
int ticket_parse(const char *text, struct ticket *ticket);

/* Judges a presented ticket against the daemon's own current one. */
enum ticket_verdict ticket_judge(const struct ticket *own, const char *text);

#endif
