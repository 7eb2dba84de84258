#include <math.h>
#include <stdlib.h>

#include "policy/server_count.h"

#include "base/alloc.h"
#include "base/backoff.h"
#include "base/clock.h"

#define DEFAULT_HEADROOM 1.05
#define DEFAULT_SCALE_DOWN_DELAY_NS (300 * NS_PER_S)
#define FIRST_BACKOFF_NS (120 * NS_PER_S)
#define MAX_BACKOFF_NS (3600 * NS_PER_S)
#define NO_DATA_CENTRE UINT32_MAX

enum server_class { SERVER_DEAR, SERVER_CHEAP };

struct server_plan {
	uint32_t dear;
	uint32_t cheap;
};

void server_count_policy_init(struct server_count_policy *policy)
{
	policy->headroom = DEFAULT_HEADROOM;
	policy->scale_down_delay_ns = DEFAULT_SCALE_DOWN_DELAY_NS;
	policy->first_backoff_ns = FIRST_BACKOFF_NS;
	policy->max_backoff_ns = MAX_BACKOFF_NS;
}

void server_place_evicted(const struct server_count_policy *policy,
			  struct server_place *place, int64_t now_ns)
{
	place->no_cheap_until_ns = now_ns + backoff_ns(policy->first_backoff_ns,
						       policy->max_backoff_ns,
						       place->evictions);
	place->evictions++;
	place->wanted_cheap = 0;
}

void server_place_steady(struct server_place *place)
{
	place->evictions = 0;
}

static uint32_t cents(const struct server_place *place,
		      const struct server_plan *plan)
{
	return plan->dear * place->dear_cents_per_hour +
	       plan->cheap * place->cheap_cents_per_hour;
}

static int may_add(const struct server_place *place,
		   const struct server_plan *plan, enum server_class class_,
		   int64_t now_ns)
{
	uint32_t price = class_ == SERVER_DEAR ? place->dear_cents_per_hour
					       : place->cheap_cents_per_hour;

	if (place->lost)
		return 0;
	if (class_ == SERVER_CHEAP && now_ns < place->no_cheap_until_ns)
		return 0;
	if (class_ == SERVER_DEAR ? plan->dear >= place->max_dear
				  : plan->cheap >= place->max_cheap)
		return 0;
	return !place->max_cents_per_hour ||
	       cents(place, plan) + price <= place->max_cents_per_hour;
}

/*
 * The data centre with the fewest servers of the class; of several, the
 * cheapest.
 */
static uint32_t find_data_centre(const struct server_place *places,
				 const struct server_plan *plans,
				 uint32_t count, enum server_class class_,
				 int64_t now_ns)
{
	uint32_t best = NO_DATA_CENTRE;
	uint64_t best_key = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t have = class_ == SERVER_DEAR ? plans[i].dear
						      : plans[i].cheap;
		uint32_t price = class_ == SERVER_DEAR
					 ? places[i].dear_cents_per_hour
					 : places[i].cheap_cents_per_hour;
		uint64_t key = (uint64_t)have << 32 | price;

		if (!may_add(&places[i], &plans[i], class_, now_ns))
			continue;
		if (best == NO_DATA_CENTRE || key < best_key) {
			best = i;
			best_key = key;
		}
	}
	return best;
}

static int add_one(const struct server_place *places, struct server_plan *plans,
		   uint32_t count, enum server_class class_, int64_t now_ns)
{
	uint32_t i = find_data_centre(places, plans, count, class_, now_ns);

	if (i == NO_DATA_CENTRE)
		return 0;
	if (class_ == SERVER_DEAR)
		plans[i].dear++;
	else
		plans[i].cheap++;
	return 1;
}

/* Dear servers that remain if the data centre with most of them is lost. */
static uint32_t dear_after_loss(const struct server_plan *plans, uint32_t count)
{
	uint32_t sum = 0;
	uint32_t max = 0;

	for (uint32_t i = 0; i < count; i++) {
		sum += plans[i].dear;
		if (plans[i].dear > max)
			max = plans[i].dear;
	}
	return count > 1 ? sum - max : sum;
}

static uint32_t dear_sum(const struct server_plan *plans, uint32_t count)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < count; i++)
		sum += plans[i].dear;
	return sum;
}

/* Returns the number of servers that could not be placed. */
static double plan_servers(double headroom, const struct server_demand *demand,
			   const struct server_place *places,
			   struct server_plan *plans, uint32_t count,
			   int64_t now_ns)
{
	double latency = ceil(demand->latency_servers * headroom);
	double batch = demand->batch_servers * headroom;
	double dear_min = demand->latency_servers * headroom +
			  batch * demand->dear_fraction;
	double total = demand->latency_servers * headroom + batch;
	double placed;

	while (dear_after_loss(plans, count) < latency &&
	       add_one(places, plans, count, SERVER_DEAR, now_ns))
		;
	while (dear_sum(plans, count) < dear_min &&
	       add_one(places, plans, count, SERVER_DEAR, now_ns))
		;
	/*
	 * The spare capacity for a lost data centre is used for batches until
	 * then.
	 */
	placed = dear_sum(plans, count);
	while (placed < total &&
	       (add_one(places, plans, count, SERVER_CHEAP, now_ns) ||
		add_one(places, plans, count, SERVER_DEAR, now_ns)))
		placed++;
	return placed < total ? total - placed : 0;
}

/* Servers that are needed, and the number to order if there are fewer. */
struct server_range {
	uint32_t min;
	uint32_t max;
};

/*
 * Hysteresis: scales up at once when there are fewer servers than needed, and
 * down after `hold_ns` of lower demand; a number in between is left unchanged,
 * so that noise orders no server.
 */
static uint32_t apply_hysteresis(uint32_t wanted, struct server_range range,
				 int64_t *lower_since_ns, int64_t hold_ns,
				 int64_t now_ns)
{
	if (wanted <= range.max) {
		*lower_since_ns = 0;
		return wanted < range.min ? range.max : wanted;
	}
	if (!*lower_since_ns)
		*lower_since_ns = now_ns;
	if (now_ns - *lower_since_ns < hold_ns)
		return wanted;
	*lower_since_ns = 0;
	return range.max;
}

/*
 * Servers retained only by the hysteresis are dropped first if they exceed the
 * budget.
 */
static void apply_budget(struct server_place *place,
			 const struct server_plan *plan)
{
	struct server_plan wanted;

	if (place->wanted_dear > place->max_dear)
		place->wanted_dear = place->max_dear;
	if (place->wanted_cheap > place->max_cheap)
		place->wanted_cheap = place->max_cheap;
	wanted.dear = place->wanted_dear;
	wanted.cheap = place->wanted_cheap;
	if (!place->max_cents_per_hour)
		return;
	while (wanted.cheap > plan->cheap &&
	       cents(place, &wanted) > place->max_cents_per_hour)
		wanted.cheap--;
	while (wanted.dear > plan->dear &&
	       cents(place, &wanted) > place->max_cents_per_hour)
		wanted.dear--;
	place->wanted_dear = wanted.dear;
	place->wanted_cheap = wanted.cheap;
}

double server_count_decide(const struct server_count_policy *policy,
			   const struct server_demand *demand,
			   struct server_place *places, uint32_t count,
			   int64_t now_ns)
{
	struct server_plan *min = xcalloc(count, sizeof(*min));
	struct server_plan *max = xcalloc(count, sizeof(*max));
	int64_t hold_ns = policy->scale_down_delay_ns + demand->boot_ns;
	double missing;

	plan_servers(1, demand, places, min, count, now_ns);
	missing = plan_servers(policy->headroom, demand, places, max, count,
			       now_ns);
	for (uint32_t i = 0; i < count; i++) {
		struct server_place *place = &places[i];
		struct server_range dear = { min[i].dear, max[i].dear };
		struct server_range cheap = { min[i].cheap, max[i].cheap };

		place->wanted_dear = apply_hysteresis(
			place->wanted_dear, dear, &place->dear_lower_since_ns,
			hold_ns, now_ns);
		place->wanted_cheap = apply_hysteresis(
			place->wanted_cheap, cheap,
			&place->cheap_lower_since_ns, hold_ns, now_ns);
		apply_budget(place, &max[i]);
	}
	free(min);
	free(max);
	return missing;
}
