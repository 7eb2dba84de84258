#ifndef ENTRY_ANSWERS_H
#define ENTRY_ANSWERS_H

#include <stdint.h>

#include "net/net_server.h"

/*
 * Answers of this system's own: application/problem+json with a stable type,
 * whether the request ran, and when to come back.
 */
enum ran {
	RAN_NOT = 0, /* it did not run and never will */
	RAN_UNKNOWN, /* it may have run */
};

struct refusal {
	uint16_t status;
	const char *type; /* stable, such as "no_route" */
	const char *detail; /* a short sentence */
	enum ran ran;
	int64_t retry_after_ns; /* negative: not said */
	int close; /* end the connection */
};

/* Of keys, where this host can't read whether they were withdrawn. */
#define KEYS_UNCONFIRMED "keys_unconfirmed"
#define KEYS_UNCONFIRMED_DETAIL                                                \
	"this host can not read whether keys were withdrawn"
/* Another host is better; this one may have read meanwhile. */
#define KEYS_UNCONFIRMED_RETRY_NS (300 * NS_PER_MS)

/* The request must not be used after it. */
void answer_refusal(struct net_request *request, const struct refusal *refusal);

void answer_json_text(struct net_request *request, uint16_t status,
		      const char *text, size_t len);

#endif
