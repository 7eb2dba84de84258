#ifndef ENTRY_ENTRY_LIMITS_H
#define ENTRY_ENTRY_LIMITS_H

#include "entry/entry_config.h"
#include "entry/entry_settings.h"
#include "net/net_server.h"

/* What clients may use of a host, derived from the host's settings. */

struct net_limits entry_caller_limits(const struct entry_settings *settings,
				      const struct caller_limits *limits);

/* Of the ports of readiness and addresses. */
struct net_limits entry_service_limits(const struct entry_settings *settings,
				       const struct net_limits *callers);
/* Of the status port, whose pages may be large. */
struct net_limits entry_status_limits(const struct entry_settings *settings,
				      const struct net_limits *callers);

/* Sockets of callers, backend servers and the store. */
uint32_t entry_descriptors(const struct entry_settings *settings);

/* Memory of submissions that are decoded and not stored yet. */
uint64_t entry_draft_bytes(const struct entry_settings *settings);

#endif
