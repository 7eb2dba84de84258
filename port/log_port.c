#include <stdlib.h>
#include <string.h>

#include "port/log_port.h"

void log_chunk_finish(struct log_chunk *chunk)
{
	uint32_t i;

	for (i = 0; i < chunk->entry_count; i++)
		free(chunk->entries[i].data);
	free(chunk->entries);
	memset(chunk, 0, sizeof(*chunk));
}
