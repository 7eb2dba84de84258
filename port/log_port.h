#ifndef PORT_LOG_PORT_H
#define PORT_LOG_PORT_H

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/*
 * The platform's append-only log behind a vtable. Entries have rising
 * offsets; old ones are dropped after a time. Calls block up to their limit
 * and may be made from several threads.
 */
struct log_entry {
	uint64_t offset;
	uint8_t *data;
	size_t len;
};

struct log_chunk {
	uint64_t first; /* oldest offset that is still kept */
	uint64_t head; /* offset that the next append will get */
	struct log_entry *entries;
	uint32_t entry_count;
};

struct log_port;

struct log_port_vtable {
	/*
	 * Appends one entry. Errors: ERROR_UNAVAILABLE (did not take
	 * effect), ERROR_UNKNOWN_OUTCOME (may have taken effect),
	 * ERROR_FULL (rate limited, did not take effect).
	 */
	int (*append)(struct log_port *port, const void *data, size_t len,
		      int64_t timeout_ns, uint64_t *offset, struct error *err);
	/*
	 * Reads up to `max` entries from offset `from`, waiting up to
	 * `wait_ns` for one to arrive. ERROR_NOT_FOUND with `out->first`
	 * set if `from` has been dropped.
	 */
	int (*read)(struct log_port *port, uint64_t from, uint32_t max,
		    int64_t wait_ns, struct log_chunk *out, struct error *err);
	void (*finish)(struct log_port *port);
};

struct log_port {
	const struct log_port_vtable *vt;
};

void log_chunk_finish(struct log_chunk *chunk);

#endif
