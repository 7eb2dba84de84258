// The written history of one run of the soak.
#ifndef SOAK_HISTORY_H
#define SOAK_HISTORY_H

#include <string>
#include <vector>

extern "C" {
#include "net/reactor.h"
}

// What happened in one run, in order, and which promises were broken.
class History
{
      public:
	explicit History(struct reactor *reactor);

	int64_t now_ms() const;
	void note(const std::string &line);
	void violation(const std::string &line);
	void write(const std::string &path) const;

	std::vector<std::string> violations;

      private:
	struct reactor *reactor_;
	int64_t began_ns_;
	std::vector<std::string> lines_;
};

#endif
