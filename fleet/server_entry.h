#ifndef FLEET_SERVER_ENTRY_H
#define FLEET_SERVER_ENTRY_H

#include <stdint.h>

/*
 * Entry that a backend server writes about itself to the platform's store. A
 * restarted server usually takes a new id; if it keeps its id, its new start
 * time identifies the restart.
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
	uint32_t slots; /* requests that it runs concurrently */
	int leaving; /* accepts no new requests */
	int cheap; /* preemptible */
	int64_t leaves_ms; /* until it is preempted; -1: unknown */
	uint32_t cold_left_ms; /* remaining warm-up time, as of its report */
	int64_t read_ns; /* when this daemon read it */
	int64_t started_ms; /* wall clock of its start; 0: unknown */
	uint64_t report_count; /* increases with each report */
	struct server_model *models; /* of model engines; owned */
	uint32_t model_count;
};

void server_entry_init(struct server_entry *entry);
void server_entry_finish(struct server_entry *entry);

/* Version of a model's weights; 0 if the server does not serve the model. */
uint64_t server_entry_version(const struct server_entry *entry,
			      const char *model);

#endif
