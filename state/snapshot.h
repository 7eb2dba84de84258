#ifndef STATE_SNAPSHOT_H
#define STATE_SNAPSHOT_H

#include "base/strbuf.h"
#include "state/state.h"

/*
 * Snapshots of the derived state. Any daemon may append one, cut into
 * parts, before retention drops the entries that it stands for. The first
 * complete one of a position counts; a repeat changes nothing.
 */
#define SNAPSHOT_PARTS_MAX 4096
#define SNAPSHOT_ASSEMBLIES_MAX 4

/* Packs the whole state; the caller frees `*data`. */
void state_pack(const struct state *state, uint8_t **data, size_t *len);

/* Makes the state that was packed; NULL if the bytes are no snapshot. */
struct state *state_unpack(const uint8_t *data, size_t len, struct error *err);

/* Position that a snapshot of this state stands for. */
uint64_t snapshot_position(const struct state *state);

/* A snapshot whose parts are arriving. */
struct snapshot_assembly {
	char writer[NAME_BYTES];
	uint64_t incarnation;
	uint64_t taken_at; /* 0: free */
	uint32_t parts;
	uint32_t next_part;
	uint64_t last_offset; /* entry of the newest part */
	struct strbuf data;
};

/* Follows the snapshots in the log. */
struct snapshot_watch {
	int keep_data;
	struct snapshot_assembly assemblies[SNAPSHOT_ASSEMBLIES_MAX];
	uint64_t newest_taken_at; /* of the newest complete one; 0: none */
	struct strbuf newest_data; /* if `keep_data` */
};

void snapshot_watch_init(struct snapshot_watch *watch, int keep_data);
void snapshot_watch_finish(struct snapshot_watch *watch);

/*
 * Takes a part that stands in the entry at `offset`. Returns 1 if it
 * completes a snapshot newer than those before.
 */
int snapshot_watch_part(struct snapshot_watch *watch,
			const Currant__Record *record, uint64_t offset);

/* The same for every part in an entry; other records are passed over. */
int snapshot_watch_entry(struct snapshot_watch *watch, uint64_t offset,
			 const void *data, size_t len);

/* Whether another snapshot is under way since `offset`. */
int snapshot_watch_busy(const struct snapshot_watch *watch, uint64_t offset);

#endif
