#include "batch/active_item.h"

#include <string.h>

void item_text_init(struct item_text *output)
{
	memset(output, 0, sizeof(*output));
	strbuf_init(&output->text);
	output->last_event = -1;
}

void item_text_finish(struct item_text *output)
{
	strbuf_finish(&output->text);
}

void item_text_reset(struct item_text *output)
{
	strbuf_reset(&output->text);
	output->last_event = -1;
	output->version_count = 0;
	output->complete = 0;
}

void item_text_copy(struct item_text *to, const struct item_text *from)
{
	item_text_reset(to);
	strbuf_add(&to->text, from->text.buf, from->text.len);
	to->last_event = from->last_event;
	memcpy(to->versions, from->versions, sizeof(to->versions));
	to->version_count = from->version_count;
	to->complete = from->complete;
}

static int has_version(const struct item_text *output, uint64_t version)
{
	for (uint32_t i = 0; i < output->version_count; i++)
		if (output->versions[i] == version)
			return 1;
	return 0;
}

int item_text_add(struct item_text *output, int64_t event, const char *data,
		  size_t len, uint64_t version)
{
	if (!has_version(output, version)) {
		if (output->version_count == ITEM_VERSIONS_MAX)
			return -1;
		output->versions[output->version_count++] = version;
	}
	if (output->last_event >= 0)
		strbuf_addch(&output->text, '\n');
	strbuf_add(&output->text, data, len);
	output->last_event = event;
	return 0;
}

int item_text_versions_allowed(const struct item_text *output,
			       uint64_t min_version, int single_version)
{
	if (single_version && output->version_count > 1)
		return 0;
	for (uint32_t i = 0; i < output->version_count; i++)
		if (output->versions[i] < min_version)
			return 0;
	return 1;
}

const char *active_item_id(const struct active_item *item)
{
	return item->owner->batch->items[item->number].id;
}

static void adjust_state_count(const struct active_item *item, uint32_t by)
{
	struct active_batch *batch = item->owner;

	if (item->state == ACTIVE_ITEM_WAITING)
		batch->waiting += by;
	else if (item->state == ACTIVE_ITEM_SCORING)
		batch->scoring += by;
}

void active_item_set_state(struct active_item *item,
			   enum active_item_state state)
{
	adjust_state_count(item, (uint32_t)-1);
	item->state = state;
	adjust_state_count(item, 1);
}
