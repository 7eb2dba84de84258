#include "batch/batch.h"

#include <stdlib.h>
#include <string.h>

int batch_is_done(const struct batch *batch)
{
	return batch->ended || batch->listed_count == batch->item_count;
}

void batch_item_note_progress(struct batch_item *item,
			      Currant__Topic__BatchRecord *progress)
{
	if (item->progress)
		currant__topic__batch_record__free_unpacked(item->progress,
							    NULL);
	item->progress = progress;
}

void batch_drop_specs(struct batch *batch)
{
	for (uint32_t i = 0; i < batch->item_count; i++) {
		batch->items[i].spec = NULL;
		batch_item_note_progress(&batch->items[i], NULL);
	}
	for (uint32_t i = 0; i < batch->message_count; i++)
		currant__topic__batch_record__free_unpacked(batch->messages[i],
							    NULL);
	free(batch->messages);
	batch->messages = NULL;
	batch->message_count = 0;
}

struct batch_item *batch_find_item(struct batch *batch, const char *id)
{
	for (uint32_t i = 0; i < batch->item_count; i++)
		if (!strcmp(batch->items[i].id, id))
			return &batch->items[i];
	return NULL;
}

void batch_result_free(struct batch_result *result)
{
	if (!result)
		return;
	free(result->text);
	free(result->versions);
	free(result);
}

void batch_free(struct batch *batch)
{
	batch_drop_specs(batch);
	for (uint32_t i = 0; i < batch->item_count; i++) {
		free(batch->items[i].id);
		batch_result_free(batch->items[i].result);
	}
	free(batch->items);
	free(batch->listed);
	free(batch->id);
	free(batch->team);
	free(batch->host);
	free(batch->path);
	free(batch->model);
	free(batch);
}
