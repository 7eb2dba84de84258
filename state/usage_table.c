#include "state/usage_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "state/usage_figure.h"

void usage_table_init(struct usage_table *table)
{
	memset(table, 0, sizeof(*table));
	table->windows = xcalloc(USAGE_WINDOWS_MAX, sizeof(*table->windows));
	table->carries = xcalloc(USAGE_PARTITIONS_MAX, sizeof(*table->carries));
}

void usage_table_finish(struct usage_table *table)
{
	for (uint32_t i = 0; i < table->window_count; i++)
		free(table->windows[i].figures);
	for (uint32_t i = 0; i < table->carry_count; i++)
		free(table->carries[i].figures);
	free(table->windows);
	free(table->carries);
}

struct usage_window *usage_table_find(const struct usage_table *table,
				      const char *partition, uint64_t start_s)
{
	for (uint32_t i = table->window_count; i-- > 0;) {
		struct usage_window *window = &table->windows[i];

		if (window->start_s == start_s &&
		    !strcmp(window->partition, partition))
			return window;
	}
	return NULL;
}

struct usage_carry *usage_table_find_carry(const struct usage_table *table,
					   const char *partition)
{
	for (uint32_t i = 0; i < table->carry_count; i++)
		if (!strcmp(table->carries[i].partition, partition))
			return &table->carries[i];
	return NULL;
}

struct usage_window *usage_table_add_window(struct usage_table *table,
					    const char *partition,
					    uint64_t start_s)
{
	struct usage_window *window;

	if (table->window_count == USAGE_WINDOWS_MAX)
		return NULL;
	window = &table->windows[table->window_count++];
	memset(window, 0, sizeof(*window));
	copy_text(window->partition, sizeof(window->partition), partition);
	window->start_s = start_s;
	return window;
}

struct usage_carry *usage_table_add_carry(struct usage_table *table,
					  const char *partition)
{
	struct usage_carry *carry;

	if (table->carry_count == USAGE_PARTITIONS_MAX)
		return NULL;
	carry = &table->carries[table->carry_count++];
	memset(carry, 0, sizeof(*carry));
	copy_text(carry->partition, sizeof(carry->partition), partition);
	return carry;
}

void usage_table_merge(struct usage_table *table, struct usage_figure **figures,
		       uint32_t *count, const struct usage_figure *from)
{
	for (uint32_t i = 0; i < *count; i++) {
		if (!usage_figure_same(&(*figures)[i], from))
			continue;
		usage_figure_add(&(*figures)[i], from);
		return;
	}
	*figures = xrealloc(*figures, (*count + 1) * sizeof(**figures));
	(*figures)[(*count)++] = *from;
	table->figure_total++;
}

/* Forgets the reported window that was closed first; -1 if there is none. */
static int forget_oldest(struct usage_table *table)
{
	struct usage_window *oldest = NULL;
	uint32_t at;

	for (uint32_t i = 0; i < table->window_count; i++) {
		struct usage_window *window = &table->windows[i];

		if (window->acknowledged &&
		    (!oldest ||
		     window->close_position < oldest->close_position))
			oldest = window;
	}
	if (!oldest)
		return -1;
	table->figure_total -= oldest->figure_count;
	free(oldest->figures);
	at = (uint32_t)(oldest - table->windows);
	table->window_count--;
	memmove(oldest, oldest + 1,
		(table->window_count - at) * sizeof(*oldest));
	return 0;
}

static int make_room(struct usage_table *table, size_t figures,
		     struct error *err)
{
	while (table->figure_total + figures > USAGE_FIGURES_MAX ||
	       table->window_count == USAGE_WINDOWS_MAX)
		if (forget_oldest(table))
			return error_set(err, ERROR_FULL,
					 "%u usage figures wait for reports",
					 table->figure_total);
	return 0;
}

static int check_partition(const char *partition, struct error *err)
{
	if (partition[0] && strlen(partition) < NAME_BYTES)
		return 0;
	return error_set(err, ERROR_INVALID,
			 "a usage partition needs a name of 1 to %d bytes",
			 NAME_BYTES - 1);
}

static int check_sums(const Currant__UsagePartial *partial, struct error *err)
{
	if (check_partition(partial->partition, err))
		return -1;
	for (size_t i = 0; i < partial->n_sums; i++) {
		const Currant__UsageSum *sum = partial->sums[i];

		if (strlen(sum->team) >= NAME_BYTES ||
		    strlen(sum->route) >= NAME_BYTES ||
		    strlen(sum->data_centre) >= NAME_BYTES ||
		    strlen(sum->backend_class) >= 16)
			return error_set(err, ERROR_INVALID,
					 "usage sum %zu has a long name", i);
	}
	return 0;
}

static struct usage_carry *carry_of(struct usage_table *table,
				    const char *partition, struct error *err)
{
	struct usage_carry *carry = usage_table_find_carry(table, partition);

	if (!carry)
		carry = usage_table_add_carry(table, partition);
	if (!carry)
		error_set(err, ERROR_FULL, "there are %d usage partitions",
			  USAGE_PARTITIONS_MAX);
	return carry;
}

int usage_table_partial(struct usage_table *table,
			const Currant__UsagePartial *partial, struct error *err)
{
	struct usage_figure **figures;
	struct usage_carry *carry;
	uint32_t *count;
	int late;

	if (check_sums(partial, err) || make_room(table, partial->n_sums, err))
		return -1;
	carry = carry_of(table, partial->partition, err);
	if (!carry)
		return -1;
	late = carry->has_closed &&
	       partial->window_start_s <= carry->newest_closed_s;
	if (late) {
		figures = &carry->figures;
		count = &carry->figure_count;
	} else {
		struct usage_window *window = usage_table_find(
			table, partial->partition, partial->window_start_s);

		if (!window)
			window = usage_table_add_window(
				table, partial->partition,
				partial->window_start_s);
		figures = &window->figures;
		count = &window->figure_count;
	}
	for (size_t i = 0; i < partial->n_sums; i++) {
		struct usage_figure figure;

		usage_figure_from_sum(&figure, partial->sums[i], late);
		usage_table_merge(table, figures, count, &figure);
	}
	return 0;
}

static int check_lease(const Currant__UsageClose *close,
		       const struct lease *lease, const Currant__Origin *origin,
		       struct error *err)
{
	if (lease && lease->holder_incarnation == origin->incarnation &&
	    !strcmp(lease->holder, origin->writer) &&
	    close->lease_position >= lease->epoch_position &&
	    close->lease_position <= lease->position)
		return 0;
	return error_set(err, ERROR_CONFLICT,
			 "'%.64s' does not hold the lease of partition '%.64s'",
			 origin->writer, close->partition);
}

/* Windows of a partition close in order, each of them once. */
static int check_order(const struct usage_table *table,
		       const struct usage_carry *carry, uint64_t start_s,
		       struct error *err)
{
	if (carry->has_closed && start_s <= carry->newest_closed_s)
		return error_set(err, ERROR_CONFLICT,
				 "a window of partition '%s' is closed already",
				 carry->partition);
	for (uint32_t i = 0; i < table->window_count; i++) {
		const struct usage_window *window = &table->windows[i];

		if (!window->closed && window->start_s < start_s &&
		    !strcmp(window->partition, carry->partition))
			return error_set(err, ERROR_CONFLICT,
					 "an earlier window of '%s' is open",
					 carry->partition);
	}
	return 0;
}

static void take_carry(struct usage_table *table, struct usage_carry *carry,
		       struct usage_window *window)
{
	for (uint32_t i = 0; i < carry->figure_count; i++)
		usage_table_merge(table, &window->figures,
				  &window->figure_count, &carry->figures[i]);
	table->figure_total -= carry->figure_count;
	free(carry->figures);
	carry->figures = NULL;
	carry->figure_count = 0;
}

int usage_table_close(struct usage_table *table,
		      const Currant__UsageClose *close,
		      const struct lease *lease, const Currant__Origin *origin,
		      uint64_t position, struct error *err)
{
	struct usage_window *window;
	struct usage_carry *carry;

	if (check_partition(close->partition, err) ||
	    check_lease(close, lease, origin, err))
		return -1;
	carry = carry_of(table, close->partition, err);
	if (!carry || check_order(table, carry, close->window_start_s, err))
		return -1;
	window = usage_table_find(table, close->partition,
				  close->window_start_s);
	if (!window) {
		if (make_room(table, 0, err))
			return -1;
		window = usage_table_add_window(table, close->partition,
						close->window_start_s);
	}
	take_carry(table, carry, window);
	window->closed = 1;
	window->close_position = position;
	carry->has_closed = 1;
	carry->newest_closed_s = close->window_start_s;
	return 0;
}

int usage_table_acknowledge(struct usage_table *table,
			    const Currant__UsageAcknowledged *acknowledged,
			    struct error *err)
{
	struct usage_window *window = usage_table_find(
		table, acknowledged->partition, acknowledged->window_start_s);

	if (!window || !window->closed)
		return error_set(err, ERROR_NOT_FOUND,
				 "no closed window of partition '%.64s'",
				 acknowledged->partition);
	window->acknowledged = 1;
	return 0;
}
