#include "batch/batch_draft.h"

#include <stdlib.h>
#include <string.h>

void batch_draft_init(struct batch_draft *draft)
{
	memset(draft, 0, sizeof(*draft));
}

void batch_draft_finish(struct batch_draft *draft)
{
	for (uint32_t i = 0; i < draft->item_count; i++) {
		struct draft_item *item = &draft->items[i];

		free(item->id);
		free(item->path);
		free(item->group);
		free(item->model);
		strbuf_finish(&item->fields);
		strbuf_finish(&item->body);
		free(item->reward.id);
		free(item->reward.host);
		free(item->reward.path);
		strbuf_finish(&item->reward.body);
	}
	free(draft->items);
	free(draft->model);
	batch_draft_init(draft);
}
