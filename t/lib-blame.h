#ifndef T_LIB_BLAME_H
#define T_LIB_BLAME_H

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/rng.h"
#include "blame/blame.h"
}

/*
 * Simulates several daemons that send requests to backend servers in virtual
 * time. Some requests (culprits) crash each server that runs them; their
 * caller sends them again to any daemon. Hints between daemons arrive one step
 * later.
 */
class BlameWorld
{
      public:
	struct Options {
		uint64_t seed;
		int culprits;
		bool evictions; /* a whole data centre is lost at times */
		bool blame; /* false: no request ever becomes suspect */
		int daemons;
	};

	explicit BlameWorld(const Options &options);
	~BlameWorld();
	void run(int steps);

	/* Number of servers that each culprit has crashed. */
	std::map<uint64_t, int> servers_crashed;

	/* Times that a harmless request was held back or rejected. */
	int harmless_rejected = 0;
	int harmless_done = 0;
	int culprits_rejected = 0;

      private:
	struct Daemon {
		struct blame_listener listener; /* first */
		BlameWorld *world;
		struct blame blame;
		std::vector<uint64_t> waiting;
	};
	struct Attempt {
		uint64_t fingerprint;
		size_t daemon;
		int left; /* steps until it ends */
	};
	struct Server {
		std::string name, data_centre;
		int down; /* steps until it is available again */
		std::vector<Attempt> attempts;
		int reserved_for; /* daemon of that suspect, or -1 */
	};
	struct Hint {
		size_t from;
		uint64_t fingerprint;
		uint32_t crashes, quarantine_ms;
		std::vector<struct blame_crash> list;
	};

	static void on_hint(struct blame_listener *listener,
			    Currant__QuarantineHint *hint);
	static void on_quarantine(struct blame_listener *, uint64_t, int64_t);
	static const struct blame_listener_vtable vtable;

	bool is_culprit(uint64_t fingerprint) const;
	void deliver_hints();
	void submit();
	void dispatch(size_t daemon);
	bool dispatch_one(size_t daemon, uint64_t fingerprint);
	bool place_suspect(size_t daemon, uint64_t fingerprint);
	void lose(Server *server);
	void step_server(Server *server);
	void evict();

	Options options;
	struct rng rng;
	int64_t now_ns = NS_PER_S;
	uint64_t next_harmless = 1;
	std::vector<Daemon> daemons;
	std::vector<Server> servers;
	std::vector<Hint> hints;
};

#endif
