#include "lib-demand.h"

DemandLog::DemandLog(struct batch_runner *runner)
{
	static const struct batch_demand_listener_vtable vtable = {
		named_version, changed
	};

	base_.listener.vt = &vtable;
	base_.self = this;
	runner->demand_listener = &base_.listener;
}

uint64_t DemandLog::named_version(struct batch_demand_listener *listener,
				  const char *model)
{
	return ((Base *)listener)->self->named[model];
}

void DemandLog::changed(struct batch_demand_listener *listener,
			const struct batch_demand *demand)
{
	((Base *)listener)
		->self->seen.push_back(
			{ demand->model, demand->service, demand->min_version,
			  demand->named_version, demand->tokens, demand->items,
			  demand->single_version != 0 });
}
