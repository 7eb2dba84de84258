#include "entry/cold_senders.h"

#include <string.h>

#include "base/alloc.h"

void cold_senders_init(struct cold_senders *senders, struct cold_limits *limits,
		       const struct config_holder *config,
		       const struct discovery *discovery,
		       struct batch_set *batches)
{
	senders->limits = limits;
	senders->config = config;
	senders->discovery = discovery;
	senders->batches = batches;
}

/* Bit set of the partitions that hold the batches of the service's models. */
static uint64_t partitions_of(const struct cold_senders *senders,
			      const struct entry_service *service)
{
	struct batch_set *set = senders->batches;
	uint64_t partitions = 0;

	for (uint32_t i = 0; i < service->model_count; i++) {
		const struct batch_partition *partition =
			batch_set_choose_partition(set, service->models[i], "");
		uint64_t number = (uint64_t)(partition - set->partitions);

		partitions |= UINT64_C(1) << number % HOST_PARTITIONS_MAX;
	}
	return partitions ? partitions : ~UINT64_C(0);
}

static int takes_single_requests(const struct entry_config *config,
				 const char *service)
{
	for (uint32_t i = 0; i < config->route_count; i++) {
		const struct entry_route *route = &config->routes[i];

		if (route->kind == REQUEST_BATCH)
			continue;
		for (uint32_t t = 0; t < route->target_count; t++)
			if (!strcmp(route->targets[t].service, service))
				return 1;
	}
	return 0;
}

static void update_service(struct cold_senders *senders,
			   const struct entry_service *service)
{
	const struct discovery *discovery = senders->discovery;
	uint64_t partitions = partitions_of(senders, service);
	int takes_single =
		takes_single_requests(senders->config->current, service->name);
	struct cold_sender *list =
		xcalloc(discovery->hosts.count + 1, sizeof(*list));
	uint32_t count = 0;

	for (const struct entry_host *h = discovery->hosts.first; h;
	     h = h->next) {
		int runs_items = (h->partitions & partitions) != 0;

		if (!discovery_is_alive(discovery, h) ||
		    (!runs_items && !takes_single))
			continue;
		copy_text(list[count].name, sizeof(list[count].name), h->name);
		list[count++].runs_items = runs_items;
	}
	cold_limits_set(senders->limits, service->name, service->cold_per_s,
			service->cold_ms * NS_PER_MS, list, count);
}

/* No server can name a service whose name is longer than an entry's. */
static int has_rate(const struct entry_service *service)
{
	return service->cold_per_s > 0 &&
	       strlen(service->name) < SERVER_ID_BYTES;
}

static int has_limit(const void *arg, const char *name)
{
	const struct entry_service *service = entry_config_service(arg, name);

	return service && has_rate(service);
}

void cold_senders_update(struct cold_senders *senders)
{
	const struct entry_config *config = senders->config->current;

	if (!config)
		return;
	cold_limits_keep(senders->limits, has_limit, config);
	for (uint32_t i = 0; i < config->service_count; i++)
		if (has_rate(&config->services[i]))
			update_service(senders, &config->services[i]);
}
