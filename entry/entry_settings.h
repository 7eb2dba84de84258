#ifndef ENTRY_ENTRY_SETTINGS_H
#define ENTRY_ENTRY_SETTINGS_H

#include <stdint.h>

/*
 * What an entry daemon is told at its start: who and where it is, where the
 * platform is, and the bounds that the platform's owner sets. Times are those
 * of the platform's rules; what this program chooses by itself stands as a
 * constant where it is used.
 */
#define ENTRY_NAME_BYTES 64
#define ENTRY_ADDRESS_BYTES 32

struct entry_settings {
	char name[ENTRY_NAME_BYTES];
	char data_centre[ENTRY_NAME_BYTES];
	char region[ENTRY_NAME_BYTES];
	int first_start; /* the whole system starts for the first time */

	/* ip:port to listen on; "": not served. */
	char callers[ENTRY_ADDRESS_BYTES];
	char ready[ENTRY_ADDRESS_BYTES];
	char addresses[ENTRY_ADDRESS_BYTES]; /* which hosts to call */
	char metrics[ENTRY_ADDRESS_BYTES];

	/* The platform's store. */
	char store[ENTRY_ADDRESS_BYTES];
	uint32_t store_partitions; /* of each topic */
	uint32_t store_record_bytes;
	uint32_t store_append_bytes;
	uint32_t store_writes_per_s; /* of all daemons together */
	uint32_t store_reads_per_s;
	uint32_t store_retention_s;

	/* The platform's orders and usage reports. */
	char duties[ENTRY_ADDRESS_BYTES]; /* "": none */
	int reports_usage;
	int orders_servers;
	uint32_t duty_calls_per_s; /* of all daemons together */

	/* This host. */
	double cpu_share; /* of a core */
	uint32_t cores;
	uint64_t memory_bytes;
	uint32_t descriptors;

	/* Bounds. */
	uint32_t heartbeat_ms; /* of backend servers, to the store */
	uint32_t grace_ms; /* from SIGTERM to SIGKILL */
	uint32_t lease_ms; /* holders of a duty don't take turns within it */
	uint32_t usage_window_s;
	uint32_t usage_late_s; /* from a window's end to its report */
	uint32_t address_ttl_max_ms; /* callers keep an answer no longer */
	uint32_t results_keep_ms; /* results of a batch can be read so long */
	uint32_t settle_ms; /* until all daemons know of a batch */
	uint32_t cancel_ms; /* until an ended batch's items stop */
	/* A withdrawn key may be taken so long by a cut-off host; 0: no bound
	 */
	uint32_t key_expiry_ms;
	uint32_t ack_ms; /* until a caller gives up an order of its own */
};

#endif
