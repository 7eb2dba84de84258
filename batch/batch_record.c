#include "batch/batch_record.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* What a part takes beside its items, at most. */
#define PART_OVERHEAD_BYTES 4096
/* What protobuf adds to the texts of an item, at most. */
#define ITEM_OVERHEAD_BYTES (64 + REQUEST_PARTS_MAX * 16)

void batch_record_add(struct strbuf *out,
		      const Currant__Topic__BatchRecord *record)
{
	struct strbuf packed;

	strbuf_init(&packed);
	strbuf_grow(&packed,
		    currant__topic__batch_record__get_packed_size(record));
	packed.len = currant__topic__batch_record__pack(record,
							(uint8_t *)packed.buf);
	topic_add_record(out, packed.buf, packed.len);
	strbuf_finish(&packed);
}

static size_t item_bytes(const struct draft_item *item)
{
	return strlen(item->id) + strlen(item->path) + item->fields.len +
	       item->body.len + strlen(item->group) + strlen(item->model) +
	       ITEM_OVERHEAD_BYTES;
}

/* How many items from `first` on fit into one record; 0: not even one. */
static uint32_t items_that_fit(const struct batch_draft *draft, uint32_t first,
			       uint32_t max_bytes)
{
	size_t bytes = PART_OVERHEAD_BYTES;
	uint32_t at = first;

	while (at < draft->item_count) {
		bytes += item_bytes(&draft->items[at]);
		if (bytes > max_bytes)
			break;
		at++;
	}
	return at - first;
}

/* Parts of the prompt, as arrays that the message points to. */
struct item_parts {
	uint64_t ids[REQUEST_PARTS_MAX];
	uint32_t tokens[REQUEST_PARTS_MAX];
};

static void fill_item(Currant__Topic__BatchItem *out,
		      const struct draft_item *item, struct item_parts *parts)
{
	currant__topic__batch_item__init(out);
	out->id = item->id;
	out->path = item->path;
	out->fields = item->fields.buf;
	out->body.data = (uint8_t *)item->body.buf;
	out->body.len = item->body.len;
	out->group = item->group;
	out->model = item->model;
	out->prompt_tokens = item->prompt_tokens;
	out->max_output_tokens = item->max_output_tokens;
	out->length_hint = item->length_hint;
	for (uint32_t i = 0; i < item->part_count; i++) {
		parts->ids[i] = item->parts[i].id;
		parts->tokens[i] = item->parts[i].tokens;
	}
	out->n_part_ids = item->part_count;
	out->part_ids = parts->ids;
	out->n_part_tokens = item->part_count;
	out->part_tokens = parts->tokens;
}

static void fill_part(Currant__Topic__BatchPart *part,
		      const struct batch_draft *draft,
		      const struct batch_acceptance *acceptance)
{
	currant__topic__batch_part__init(part);
	part->batch = (char *)acceptance->batch;
	part->writer = acceptance->writer;
	part->total_items = draft->item_count;
	part->accepted_ms = acceptance->accepted_ms;
	part->team = (char *)acceptance->team;
	part->host = (char *)acceptance->host;
	part->path = (char *)acceptance->path;
	part->model = draft->model;
	part->step = draft->step;
	part->min_version = draft->min_version;
	part->target_groups = draft->target_groups;
	part->due_ms = acceptance->due_ms;
	part->retention_ms = acceptance->retention_ms;
	part->max_attempts = acceptance->max_attempts;
	part->single_version = acceptance->single_version;
}

/* Packs `count` items from `first` on into one record. */
static void add_part(struct strbuf *out, Currant__Topic__BatchPart *part,
		     const struct batch_draft *draft, uint32_t first,
		     uint32_t count)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__BatchItem *items = xcalloc(count, sizeof(*items));
	Currant__Topic__BatchItem **list = xcalloc(count, sizeof(void *));
	struct item_parts *parts = xcalloc(count, sizeof(*parts));

	for (uint32_t i = 0; i < count; i++) {
		fill_item(&items[i], &draft->items[first + i], &parts[i]);
		list[i] = &items[i];
	}
	part->first_item = first;
	part->items = list;
	part->n_items = count;
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_PART;
	record.part = part;
	batch_record_add(out, &record);
	free(parts);
	free(list);
	free(items);
}

/* How many records the submission takes; 0 if an item does not fit. */
static uint32_t count_parts(const struct batch_draft *draft, uint32_t max_bytes)
{
	uint32_t parts = 0;

	for (uint32_t first = 0; first < draft->item_count; parts++) {
		uint32_t count = items_that_fit(draft, first, max_bytes);

		if (!count)
			return 0;
		first += count;
	}
	return parts;
}

int batch_record_add_submission(struct strbuf *out,
				const struct batch_draft *draft,
				const struct batch_acceptance *acceptance,
				uint32_t max_record_bytes,
				uint32_t *record_count)
{
	Currant__Topic__BatchPart part;
	uint32_t first = 0;

	fill_part(&part, draft, acceptance);
	part.count = count_parts(draft, max_record_bytes);
	if (!part.count)
		return -1;
	*record_count = part.count;
	for (part.index = 0; part.index < part.count; part.index++) {
		uint32_t count = items_that_fit(draft, first, max_record_bytes);

		add_part(out, &part, draft, first, count);
		first += count;
	}
	return 0;
}
