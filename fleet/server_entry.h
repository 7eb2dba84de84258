#ifndef FLEET_SERVER_ENTRY_H
#define FLEET_SERVER_ENTRY_H

#include <stdint.h>

/*
 * What a backend server says of itself in the platform's store. A server that
 * starts anew mostly takes a new id; where it keeps its id, `born_ms` tells.
 */
#define SERVER_ID_BYTES 64
#define SERVER_ADDRESS_BYTES 32

struct server_model {
	char name[SERVER_ID_BYTES];
	uint64_t version; /* of its weights */
};

struct server_entry {
	char id[SERVER_ID_BYTES];
	char service[SERVER_ID_BYTES];
	char address[SERVER_ADDRESS_BYTES]; /* ip:port */
	char data_centre[SERVER_ID_BYTES];
	uint32_t slots; /* requests that it runs side by side */
	int leaving; /* takes no new work */
	int cheap; /* may be taken away at short notice */
	int64_t leaves_ms; /* until it is taken away; -1: not known */
	uint32_t cold_left_ms; /* how long it stays slow after its start */
	int64_t born_ms; /* wall clock of its start; 0: not known */
	uint64_t beat; /* rises with each report */
	struct server_model *models; /* engines */
	uint32_t model_count;
};

void server_entry_init(struct server_entry *entry);
void server_entry_finish(struct server_entry *entry);

/* Version of a model's weights; 0 if the server does not have the model. */
uint64_t server_entry_version(const struct server_entry *entry,
			      const char *model);

#endif
