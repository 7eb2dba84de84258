#include "request/ticket.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void ticket_print(const struct ticket *ticket, char *out, size_t size)
{
	snprintf(out, size, "%s:%016" PRIx64 ":%" PRIu64, ticket->daemon,
		 ticket->incarnation, ticket->generation);
}

static int parse_number(const char *text, int base, char end, uint64_t *out)
{
	char *stop;

	errno = 0;
	*out = strtoull(text, &stop, base);
	if (errno || stop == text || *stop != end || *text == '-')
		return -1;
	return 0;
}

int ticket_parse(const char *text, struct ticket *ticket)
{
	const char *first = strchr(text, ':');
	const char *second = first ? strchr(first + 1, ':') : NULL;
	size_t len;

	if (!second)
		return -1;
	len = (size_t)(first - text);
	if (!len || len >= sizeof(ticket->daemon))
		return -1;
	memcpy(ticket->daemon, text, len);
	ticket->daemon[len] = '\0';
	if (parse_number(first + 1, 16, ':', &ticket->incarnation))
		return -1;
	return parse_number(second + 1, 10, '\0', &ticket->generation);
}

enum ticket_verdict ticket_judge(const struct ticket *own, const char *text)
{
	struct ticket presented;

	if (ticket_parse(text, &presented))
		return TICKET_MALFORMED;
	if (strcmp(presented.daemon, own->daemon) ||
	    presented.incarnation != own->incarnation)
		return TICKET_OTHER;
	if (presented.generation > own->generation)
		return TICKET_MALFORMED;
	if (own->generation - presented.generation >= TICKET_GENERATIONS_KEPT)
		return TICKET_EXPIRED;
	return TICKET_OWN;
}
