#include "batch/batch_record.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "store/topic_message.h"

/* Upper bound of a text record's size beyond its texts. */
#define TEXT_OVERHEAD_BYTES 64
/* Upper bound of a chunk record's size beyond its items. */
#define CHUNK_OVERHEAD_BYTES 4096
/* Upper bound of the protobuf encoding overhead of an item. */
#define ITEM_OVERHEAD_BYTES (64 + REQUEST_PARTS_MAX * 16)
/* Upper bound of the protobuf encoding overhead of a reward call. */
#define REWARD_OVERHEAD_BYTES 32

uint32_t batch_record_max_text_bytes(const struct topic_log *log,
				     const char *batch)
{
	uint32_t max_bytes = log->max_record_bytes;
	size_t overhead =
		strlen(batch) + BATCH_SCORE_MAX_BYTES + TEXT_OVERHEAD_BYTES;

	return max_bytes / 2 > overhead ? max_bytes - (uint32_t)overhead
					: max_bytes / 2;
}

void batch_record_add_text(struct strbuf *out, const char *batch, uint32_t item,
			   const void *text, size_t len, const char *score)
{
	Currant__Topic__TextRecord record = CURRANT__TOPIC__TEXT_RECORD__INIT;
	Currant__Topic__ItemText message = CURRANT__TOPIC__ITEM_TEXT__INIT;

	message.batch = (char *)batch;
	message.item = item;
	message.text.data = (uint8_t *)text;
	message.text.len = len;
	message.score = (char *)score;
	record.kind_case = CURRANT__TOPIC__TEXT_RECORD__KIND_TEXT;
	record.text = &message;
	topic_add_message(out, &record.base);
}

static size_t reward_bytes(const struct draft_reward *reward)
{
	if (!reward->id)
		return 0;
	return strlen(reward->id) + strlen(reward->host) +
	       strlen(reward->path) + reward->body.len + REWARD_OVERHEAD_BYTES;
}

static size_t item_bytes(const struct draft_item *item)
{
	return strlen(item->id) + strlen(item->path) + item->fields.len +
	       item->body.len + strlen(item->group) + strlen(item->model) +
	       reward_bytes(&item->reward) + ITEM_OVERHEAD_BYTES;
}

/* Number of items, starting at `first`, that fit into one record. */
static uint32_t items_that_fit(const struct batch_draft *draft, uint32_t first,
			       uint32_t max_bytes)
{
	size_t bytes = CHUNK_OVERHEAD_BYTES;
	uint32_t next = first;

	while (next < draft->item_count) {
		bytes += item_bytes(&draft->items[next]);
		if (bytes > max_bytes)
			break;
		next++;
	}
	return next - first;
}

/* Storage that the protobuf message of an item points to. */
struct item_arrays {
	uint64_t ids[REQUEST_PARTS_MAX];
	uint32_t tokens[REQUEST_PARTS_MAX];
	Currant__Topic__RewardRequest reward;
};

static void fill_reward(Currant__Topic__BatchItem *out,
			const struct draft_reward *reward,
			Currant__Topic__RewardRequest *message)
{
	if (!reward->id)
		return;
	currant__topic__reward_request__init(message);
	message->id = reward->id;
	message->host = reward->host;
	message->path = reward->path;
	message->body.data = (uint8_t *)reward->body.buf;
	message->body.len = reward->body.len;
	out->reward = message;
}

static void fill_item(Currant__Topic__BatchItem *out,
		      const struct draft_item *item, struct item_arrays *arrays)
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
		arrays->ids[i] = item->parts[i].id;
		arrays->tokens[i] = item->parts[i].tokens;
	}
	out->n_part_ids = item->part_count;
	out->part_ids = arrays->ids;
	out->n_part_tokens = item->part_count;
	out->part_tokens = arrays->tokens;
	fill_reward(out, &item->reward, &arrays->reward);
}

/* Appends one record with `count` items, starting at `first`. */
static void add_chunk(struct strbuf *out, const char *batch,
		      const struct batch_draft *draft, uint32_t first,
		      uint32_t count)
{
	Currant__Topic__TextRecord record = CURRANT__TOPIC__TEXT_RECORD__INIT;
	Currant__Topic__BatchItems chunk = CURRANT__TOPIC__BATCH_ITEMS__INIT;
	Currant__Topic__BatchItem *items = xcalloc(count, sizeof(*items));
	Currant__Topic__BatchItem **list = xcalloc(count, sizeof(void *));
	struct item_arrays *arrays = xcalloc(count, sizeof(*arrays));

	for (uint32_t i = 0; i < count; i++) {
		fill_item(&items[i], &draft->items[first + i], &arrays[i]);
		list[i] = &items[i];
	}
	chunk.batch = (char *)batch;
	chunk.first_item = first;
	chunk.items = list;
	chunk.n_items = count;
	record.kind_case = CURRANT__TOPIC__TEXT_RECORD__KIND_ITEMS;
	record.items = &chunk;
	topic_add_message(out, &record.base);
	free(arrays);
	free(list);
	free(items);
}

int batch_record_add_items(struct strbuf *out, const char *batch,
			   const struct batch_draft *draft,
			   const struct topic_log *log, uint32_t *next_item,
			   uint32_t *record_count)
{
	*record_count = 0;
	while (*next_item < draft->item_count) {
		uint32_t count = items_that_fit(draft, *next_item,
						log->max_record_bytes);
		size_t len = out->len;

		if (!count)
			return -1;
		add_chunk(out, batch, draft, *next_item, count);
		if (*record_count && out->len > log->max_append_bytes) {
			strbuf_truncate(out, len);
			break;
		}
		*next_item += count;
		(*record_count)++;
	}
	return 0;
}

static void fill_accepted(Currant__Topic__BatchAccepted *accepted,
			  const struct batch_draft *draft,
			  const struct batch_acceptance *acceptance)
{
	currant__topic__batch_accepted__init(accepted);
	accepted->batch = (char *)acceptance->batch;
	accepted->accepted_ms = acceptance->accepted_ms;
	accepted->team = (char *)acceptance->team;
	accepted->host = (char *)acceptance->host;
	accepted->path = (char *)acceptance->path;
	accepted->model = draft->model;
	accepted->step = draft->step;
	accepted->min_version = draft->min_version;
	accepted->target_groups = draft->target_groups;
	accepted->due_ms = acceptance->due_ms;
	accepted->retention_ms = acceptance->retention_ms;
	accepted->max_attempts = acceptance->max_attempts;
	accepted->single_version = acceptance->single_version;
	accepted->config_version = acceptance->config_version;
	accepted->items_offset = acceptance->items.offset;
	accepted->items_records = acceptance->items.records;
	accepted->items_runs = acceptance->items.runs;
	accepted->n_items_runs = acceptance->items.run_values;
	accepted->by_host = (char *)acceptance->by_host;
	accepted->by_incarnation = acceptance->by_incarnation;
}

int batch_record_add_accepted(struct strbuf *out,
			      const struct batch_draft *draft,
			      const struct batch_acceptance *acceptance,
			      uint32_t max_record_bytes)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__BatchAccepted accepted;
	char **ids = xcalloc(draft->item_count, sizeof(char *));
	int fits;

	fill_accepted(&accepted, draft, acceptance);
	for (uint32_t i = 0; i < draft->item_count; i++)
		ids[i] = draft->items[i].id;
	accepted.items = ids;
	accepted.n_items = draft->item_count;
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_ACCEPTED;
	record.accepted = &accepted;
	fits = currant__topic__batch_record__get_packed_size(&record) <=
	       max_record_bytes;
	if (fits)
		topic_add_message(out, &record.base);
	free(ids);
	return fits ? 0 : -1;
}
