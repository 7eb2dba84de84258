#include "state/snapshot.h"

#include <string.h>

#include "base/alloc.h"

void snapshot_watch_init(struct snapshot_watch *watch, int keep_data)
{
	memset(watch, 0, sizeof(*watch));
	watch->keep_data = keep_data;
	strbuf_init(&watch->newest_data);
	for (uint32_t i = 0; i < SNAPSHOT_ASSEMBLIES_MAX; i++)
		strbuf_init(&watch->assemblies[i].data);
}

void snapshot_watch_finish(struct snapshot_watch *watch)
{
	strbuf_finish(&watch->newest_data);
	for (uint32_t i = 0; i < SNAPSHOT_ASSEMBLIES_MAX; i++)
		strbuf_finish(&watch->assemblies[i].data);
}

static struct snapshot_assembly *find(struct snapshot_watch *watch,
				      const Currant__Record *record)
{
	for (uint32_t i = 0; i < SNAPSHOT_ASSEMBLIES_MAX; i++) {
		struct snapshot_assembly *assembly = &watch->assemblies[i];

		if (assembly->taken_at == record->snapshot_part->taken_at &&
		    assembly->incarnation == record->origin->incarnation &&
		    !strcmp(assembly->writer, record->origin->writer))
			return assembly;
	}
	return NULL;
}

/* Takes a free place, or that of the snapshot that stalled longest. */
static struct snapshot_assembly *begin(struct snapshot_watch *watch,
				       const Currant__Record *record)
{
	struct snapshot_assembly *assembly = &watch->assemblies[0];

	for (uint32_t i = 1; i < SNAPSHOT_ASSEMBLIES_MAX; i++) {
		struct snapshot_assembly *other = &watch->assemblies[i];

		if (!assembly->taken_at)
			break;
		if (!other->taken_at ||
		    other->last_offset < assembly->last_offset)
			assembly = other;
	}
	copy_text(assembly->writer, sizeof(assembly->writer),
		  record->origin->writer);
	assembly->incarnation = record->origin->incarnation;
	assembly->taken_at = record->snapshot_part->taken_at;
	assembly->parts = record->snapshot_part->parts;
	assembly->next_part = 0;
	strbuf_reset(&assembly->data);
	return assembly;
}

static int complete(struct snapshot_watch *watch,
		    struct snapshot_assembly *assembly)
{
	int newer = assembly->taken_at > watch->newest_taken_at;

	if (newer) {
		struct strbuf old = watch->newest_data;

		watch->newest_taken_at = assembly->taken_at;
		watch->newest_data = assembly->data;
		assembly->data = old;
	}
	strbuf_reset(&assembly->data);
	assembly->taken_at = 0;
	return newer;
}

static int valid_part(const Currant__Record *record)
{
	const Currant__SnapshotPart *part = record->snapshot_part;

	return record->origin && record->origin->writer[0] &&
	       strlen(record->origin->writer) < NAME_BYTES && part->taken_at &&
	       part->part < part->parts && part->parts <= SNAPSHOT_PARTS_MAX;
}

int snapshot_watch_part(struct snapshot_watch *watch,
			const Currant__Record *record, uint64_t offset)
{
	const Currant__SnapshotPart *part = record->snapshot_part;
	struct snapshot_assembly *assembly;

	if (!valid_part(record) || part->taken_at <= watch->newest_taken_at)
		return 0;
	assembly = find(watch, record);
	if (!assembly && part->part == 0)
		assembly = begin(watch, record);
	/* A writer's parts stand in order; a repeat comes with a lower one. */
	if (!assembly || part->part != assembly->next_part)
		return 0;
	assembly->next_part++;
	assembly->last_offset = offset;
	if (watch->keep_data)
		strbuf_add(&assembly->data, part->data.data, part->data.len);
	if (assembly->next_part < assembly->parts)
		return 0;
	return complete(watch, assembly);
}

int snapshot_watch_entry(struct snapshot_watch *watch, uint64_t offset,
			 const void *data, size_t len)
{
	Currant__RecordBatch *batch =
		currant__record_batch__unpack(NULL, len, data);
	int completed = 0;

	if (!batch)
		return 0;
	for (size_t i = 0; i < batch->n_records; i++)
		if (batch->records[i]->body_case ==
		    CURRANT__RECORD__BODY_SNAPSHOT_PART)
			completed |= snapshot_watch_part(
				watch, batch->records[i], offset);
	currant__record_batch__free_unpacked(batch, NULL);
	return completed;
}

int snapshot_watch_busy(const struct snapshot_watch *watch, uint64_t offset)
{
	for (uint32_t i = 0; i < SNAPSHOT_ASSEMBLIES_MAX; i++)
		if (watch->assemblies[i].taken_at &&
		    watch->assemblies[i].last_offset >= offset)
			return 1;
	return 0;
}
