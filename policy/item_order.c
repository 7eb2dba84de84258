#include "policy/item_order.h"

/* Without a hint, an item is expected to need this fraction of its maximum. */
#define UNHINTED_FRACTION 0.25
/*
 * An item past its estimate is expected to need this fraction of its tokens so
 * far in addition.
 */
#define OVERRUN_FRACTION 0.5

static int compare(double a, double b)
{
	return a < b ? -1 : a > b;
}

int item_order_compare(const struct item_rank *a, const struct item_rank *b)
{
	int order;

	if (a->is_required != b->is_required)
		return a->is_required ? -1 : 1;
	order = compare((double)a->step, (double)b->step);
	if (order)
		return order;
	order = compare(b->tokens_left, a->tokens_left);
	if (order)
		return order;
	order = compare(a->group_left, b->group_left);
	return order ? order : compare(a->number, b->number);
}

double item_expected_tokens(uint32_t hint, uint32_t max_tokens,
			    double tokens_done)
{
	double expected = hint ? hint : max_tokens * UNHINTED_FRACTION;

	if (max_tokens && expected > max_tokens)
		expected = max_tokens;
	if (tokens_done >= expected)
		expected = tokens_done * (1 + OVERRUN_FRACTION);
	if (max_tokens && expected > max_tokens)
		expected = max_tokens > tokens_done ? max_tokens : tokens_done;
	return expected;
}
