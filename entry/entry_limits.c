#include "entry/entry_limits.h"

/*
 * Request bodies, and all memory of callers' connections, may use the host's
 * memory divided by these; one body of the largest legal size must fit.
 */
#define BODY_MEMORY_DIVISOR 4
#define CALLER_MEMORY_DIVISOR 3
#define BODY_MEMORY_MAX_DIVISOR 2
#define SERVICE_MEMORY_DIVISOR 32
#define STATUS_MEMORY_DIVISOR 8
/* Submitted batches that are decoded and not stored yet. */
#define DRAFT_MEMORY_DIVISOR 2
/* File descriptors reserved for files, the store and backend servers. */
#define RESERVED_DESCRIPTORS 1000
/* Of these, the platform counts this many for files; a small host has fewer. */
#define FILE_DESCRIPTORS 200
#define FILE_DESCRIPTORS_DIVISOR 5
/* For the ports of readiness, addresses and metrics: few connections. */
#define SERVICE_PORTS 3
#define SERVICE_CONNECTIONS_MAX 256
#define SERVICE_CONNECTIONS_DIVISOR 20
#define SERVICE_IDLE_NS (10 * NS_PER_S)

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

struct net_limits entry_caller_limits(const struct entry_settings *settings,
				      const struct caller_limits *limits)
{
	uint32_t descriptors =
		settings->descriptors > 2 * RESERVED_DESCRIPTORS
			? settings->descriptors - RESERVED_DESCRIPTORS
			: settings->descriptors / 2;
	uint64_t memory_bytes = settings->memory_bytes;
	uint64_t held_bytes =
		max_u64(memory_bytes / BODY_MEMORY_DIVISOR,
			min_u64(limits->max_body_bytes,
				memory_bytes / BODY_MEMORY_MAX_DIVISOR));
	struct net_limits out = {
		.max_head_bytes = limits->max_head_bytes,
		.max_body_bytes = limits->max_body_bytes,
		.max_held_bytes = held_bytes,
		.max_memory_bytes = held_bytes -
				    memory_bytes / BODY_MEMORY_DIVISOR +
				    memory_bytes / CALLER_MEMORY_DIVISOR,
		.max_connections = descriptors,
		.head_timeout_ns = limits->head_timeout_ms * NS_PER_MS,
		.idle_timeout_ns = limits->idle_timeout_ms * NS_PER_MS,
	};

	return out;
}

static uint32_t service_connections(const struct entry_settings *settings)
{
	return (uint32_t)min_u64(SERVICE_CONNECTIONS_MAX,
				 settings->descriptors /
					 SERVICE_CONNECTIONS_DIVISOR);
}

struct net_limits entry_service_limits(const struct entry_settings *settings,
				       const struct net_limits *callers)
{
	struct net_limits out = {
		.max_head_bytes = 16384,
		.max_held_bytes = 65536,
		.max_memory_bytes =
			settings->memory_bytes / SERVICE_MEMORY_DIVISOR,
		.max_connections = service_connections(settings),
		.head_timeout_ns = callers->head_timeout_ns,
		.idle_timeout_ns = SERVICE_IDLE_NS,
	};

	return out;
}

struct net_limits entry_status_limits(const struct entry_settings *settings,
				      const struct net_limits *callers)
{
	struct net_limits out = entry_service_limits(settings, callers);

	out.max_memory_bytes = settings->memory_bytes / STATUS_MEMORY_DIVISOR;
	return out;
}

uint32_t entry_descriptors(const struct entry_settings *settings)
{
	uint32_t all = settings->descriptors;
	uint32_t files = (uint32_t)min_u64(FILE_DESCRIPTORS,
					   all / FILE_DESCRIPTORS_DIVISOR);

	return all - files - SERVICE_PORTS * service_connections(settings);
}

uint64_t entry_draft_bytes(const struct entry_settings *settings)
{
	return settings->memory_bytes / DRAFT_MEMORY_DIVISOR;
}
