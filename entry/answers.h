#ifndef ENTRY_ANSWERS_H
#define ENTRY_ANSWERS_H

#include <stdint.h>

#include "net/net_server.h"

/*
 * Responses that this system generates itself. Errors are sent as
 * application/problem+json with a stable type, whether the request ran, and
 * after what time it may be retried.
 */
enum ran {
	RAN_NOT = 0, /* the request did not run and will not */
	RAN_UNKNOWN, /* the request may have run */
};

struct refusal {
	uint16_t status;
	const char *type; /* stable, such as "no_route" */
	const char *detail; /* one short sentence for readers */
	enum ran ran;
	int64_t retry_after_ns; /* negative: omitted */
	int close; /* close the connection */
};

/* Sent while this host cannot read whether keys were withdrawn. */
#define KEYS_UNCONFIRMED "keys_unconfirmed"
#define KEYS_UNCONFIRMED_DETAIL                                                \
	"this host can not read whether keys were withdrawn"
/* Retry, preferably at another host; this one may have read by then. */
#define KEYS_UNCONFIRMED_RETRY_NS (300 * NS_PER_MS)

/* Sent while a newer configuration than this host's is known to be in force. */
#define CONFIG_BEHIND "config_behind"
#define CONFIG_BEHIND_DETAIL                                                   \
	"this host has not read the newest configuration yet"
/* Retry, preferably at another host; this one may have read it by then. */
#define CONFIG_BEHIND_RETRY_NS (300 * NS_PER_MS)

/* Sent by a host that stops; its callers use another one at once. */
#define HOST_LEAVING "leaving"
#define HOST_LEAVING_DETAIL "this host is stopping; use another one"
#define HOST_LEAVING_RETRY_NS 0

/* Sends the refusal. The request must not be used after the call. */
void answer_refusal(struct net_request *request, const struct refusal *refusal);

/* Sends `text` as JSON. The request must not be used after the call. */
void answer_json_text(struct net_request *request, uint16_t status,
		      const char *text, size_t len);

#endif
