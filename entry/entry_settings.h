#ifndef ENTRY_ENTRY_SETTINGS_H
#define ENTRY_ENTRY_SETTINGS_H

#include <stdint.h>

/*
 * Settings of an entry daemon: its name and location, the addresses of the
 * platform, and the limits that the platform's owner sets. Times are those of
 * the platform's rules; values chosen by this program are constants where they
 * are used.
 */
#define ENTRY_NAME_BYTES 64
#define ENTRY_ADDRESS_BYTES 32

struct entry_settings {
	char name[ENTRY_NAME_BYTES];
	char data_centre[ENTRY_NAME_BYTES];
	char region[ENTRY_NAME_BYTES];
	int first_start; /* first start of the whole system */

	/* Addresses (ip:port) to listen on; "": do not listen. */
	char callers[ENTRY_ADDRESS_BYTES];
	char ready[ENTRY_ADDRESS_BYTES];
	char addresses[ENTRY_ADDRESS_BYTES]; /* answers which hosts to call */
	char metrics[ENTRY_ADDRESS_BYTES];

	/* The platform's store. */
	char store[ENTRY_ADDRESS_BYTES];
	uint32_t store_partitions; /* of each topic */
	uint32_t store_record_bytes;
	uint32_t store_append_bytes;
	uint32_t store_writes_per_s; /* of all daemons together */
	uint32_t store_reads_per_s;
	uint32_t store_retention_s;

	/* The platform's calls for server orders and usage reports. */
	char duties[ENTRY_ADDRESS_BYTES]; /* "": none */
	int reports_usage;
	int orders_servers;
	uint32_t duty_calls_per_s; /* of all daemons together */

	/* This host. */
	double cpu_share; /* fraction of a core */
	uint32_t cores;
	uint64_t memory_bytes;
	uint32_t descriptors;

	/* Limits. */
	uint32_t heartbeat_ms; /* backend servers' heartbeat interval */
	uint32_t grace_ms; /* from SIGTERM to SIGKILL */
	uint32_t lease_ms; /* the holder of a duty does not change within it */
	uint32_t usage_window_s;
	uint32_t usage_late_s; /* max time from a window's end to its report */
	uint32_t address_ttl_max_ms; /* max TTL of an answer with addresses */
	uint32_t results_keep_ms; /* a batch's results are readable so long */
	uint32_t settle_ms; /* until all daemons have read of a batch */
	uint32_t cancel_ms; /* until an ended batch's items stop */
	/*
	 * Max time for which a host that is cut off from the store accepts a
	 * withdrawn key; 0: unlimited.
	 */
	uint32_t key_expiry_ms;
	uint32_t ack_ms; /* after it a caller abandons an order of its own */
};

#endif
