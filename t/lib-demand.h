#ifndef T_LIB_DEMAND_H
#define T_LIB_DEMAND_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "batch/batch_runner.h"
}

// Records the demands that a runner publishes.
class DemandLog
{
      public:
	struct Demand {
		std::string model, service;
		uint64_t min_version, named_version, tokens;
		uint32_t items;
		bool single_version;
	};

	// Becomes the listener of the runner, which it must outlive.
	explicit DemandLog(struct batch_runner *runner);

	std::map<std::string, uint64_t> named; // newest version of each model
	std::vector<Demand> seen;

      private:
	static uint64_t named_version(struct batch_demand_listener *listener,
				      const char *model);
	static void changed(struct batch_demand_listener *listener,
			    const struct batch_demand *demand);

	struct Base {
		struct batch_demand_listener listener;
		DemandLog *self;
	} base_;
};

#endif
