#ifndef APP_RUN_TABLE_H
#define APP_RUN_TABLE_H

#include <stdint.h>

#include "backend/server_table.h"
#include "state/config.h"

/*
 * Which request runs on which backend server, by fingerprint, and what was
 * lost there a moment ago. Bounded; the owner excludes other threads.
 */
#define RUNS_MAX 8192
#define PROVEN_MAX 4096
#define NO_RUN UINT32_MAX

enum run_state { RUN_FREE = 0, RUN_ACTIVE, RUN_LOST };

struct backend_run {
	enum run_state state;
	uint64_t fingerprint;
	char server[NAME_BYTES];
	int alone; /* a suspect that keeps the server to itself */
	int counted; /* the loss of its server was taken into account */
	int64_t lost_ns;
	uint32_t next_free;
};

struct run_table {
	struct backend_run *runs;
	uint32_t count; /* slots that were ever used */
	uint32_t first_free;
	uint64_t proven[PROVEN_MAX]; /* fingerprints of runs that ended well */
};

void run_table_init(struct run_table *table);
void run_table_finish(struct run_table *table);

/* Returns the slot, or NO_RUN if the table is full. */
uint32_t run_table_begin(struct run_table *table, uint64_t fingerprint,
			 const char *server, int alone);

/* The run ended well, or was cancelled, or never began. */
void run_table_end(struct run_table *table, uint32_t slot, int well);

/* The run was lost; it is remembered until run_table_expire(). */
void run_table_lose(struct run_table *table, uint32_t slot, int64_t now_ns);

/* An active run of the same request, or NULL. */
const struct backend_run *run_table_find(const struct run_table *table,
					 uint64_t fingerprint);

/* Whether a suspect runs on the server. */
int run_table_has_suspect(const struct run_table *table, const char *server);

/* Whether a run of this request ended well lately. */
int run_table_is_proven(const struct run_table *table, uint64_t fingerprint);

/* Takes out what ran on a server that is gone; returns how many. */
uint32_t run_table_take_lost(struct run_table *table, const char *server,
			     uint64_t *fingerprints, uint32_t max);

/* Whether a run was lost and it is not known yet whether its server lives. */
int run_table_has_lost(const struct run_table *table, uint64_t fingerprint);

/* Forgets the lost runs of a server that turned out to live. */
void run_table_clear_lost(struct run_table *table, const char *server);

/* Forgets lost runs whose server turned out to live. */
void run_table_expire(struct run_table *table, int64_t before_ns);

#endif
