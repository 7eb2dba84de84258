#include <stdio.h>

#include "peer/peer_internal.h"

static struct counter *kind_counter(struct counter_set *set, const char *name,
				    const char *direction,
				    enum message_kind kind)
{
	char full[COUNTER_NAME_MAX];

	snprintf(full, sizeof(full), "%s{direction=\"%s\",kind=\"%s\"}", name,
		 direction, message_kind_name(kind));
	return counter_get(set, full);
}

static struct counter *refused_counter(struct counter_set *set,
				       const char *reason)
{
	char full[COUNTER_NAME_MAX];

	snprintf(full, sizeof(full),
		 "peer_connections_refused_total{reason=\"%s\"}", reason);
	return counter_get(set, full);
}

void peer_counters_init(struct peer_counters *c, struct counter_set *set)
{
	for (int i = 0; i < MESSAGE_KINDS; i++) {
		enum message_kind kind = (enum message_kind)i;

		c->bytes_out[i] =
			kind_counter(set, "peer_bytes_total", "out", kind);
		c->bytes_in[i] =
			kind_counter(set, "peer_bytes_total", "in", kind);
		c->messages_out[i] =
			kind_counter(set, "peer_messages_total", "out", kind);
		c->messages_in[i] =
			kind_counter(set, "peer_messages_total", "in", kind);
	}
	c->dropped = counter_get(set, "peer_messages_dropped_total");
	c->reconnects = counter_get(set, "peer_reconnects_total");
	c->refused_stranger = refused_counter(set, "stranger");
	c->refused_frame = refused_counter(set, "frame");
	c->refused_timeout = refused_counter(set, "timeout");
	c->refused_tls = refused_counter(set, "tls");
	c->refused_full = refused_counter(set, "full");
}
