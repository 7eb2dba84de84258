#ifndef STATE_USAGE_TABLE_H
#define STATE_USAGE_TABLE_H

#include "state/state.h"

/*
 * Usage windows as the log orders them. The windows of a partition close in
 * order of their start; the first valid close fixes the figures. A partial
 * sum of a window that was closed before is carried to the next close of
 * its partition and billed there as late, so that it is billed once.
 */
#define USAGE_WINDOWS_MAX 4096
#define USAGE_FIGURES_MAX 65536
#define USAGE_PARTITIONS_MAX 256

struct usage_table {
	struct usage_window *windows;
	uint32_t window_count;
	struct usage_carry *carries;
	uint32_t carry_count;
	uint32_t figure_total;
};

void usage_table_init(struct usage_table *table);
void usage_table_finish(struct usage_table *table);

struct usage_window *usage_table_find(const struct usage_table *table,
				      const char *partition, uint64_t start_s);
struct usage_carry *usage_table_find_carry(const struct usage_table *table,
					   const char *partition);

/* Add empty ones; NULL if the table is full. */
struct usage_window *usage_table_add_window(struct usage_table *table,
					    const char *partition,
					    uint64_t start_s);
struct usage_carry *usage_table_add_carry(struct usage_table *table,
					  const char *partition);

/*
 * Adds `from` to the figure of the same team, route, data centre and class
 * in the list, or as a new one. Bounds are the caller's matter.
 */
void usage_table_merge(struct usage_table *table, struct usage_figure **figures,
		       uint32_t *count, const struct usage_figure *from);

/*
 * Apply one record. Return 0 if it is accepted, else -1 with the reason; a
 * refused record alters nothing. `lease` is the lease of the partition or
 * NULL.
 */
int usage_table_partial(struct usage_table *table,
			const Currant__UsagePartial *partial,
			struct error *err);
int usage_table_close(struct usage_table *table,
		      const Currant__UsageClose *close,
		      const struct lease *lease, const Currant__Origin *origin,
		      uint64_t position, struct error *err);
int usage_table_acknowledge(struct usage_table *table,
			    const Currant__UsageAcknowledged *acknowledged,
			    struct error *err);

#endif
