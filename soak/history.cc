#include "soak/history.h"

#include <fstream>

History::History(struct reactor *reactor)
    : reactor_(reactor), began_ns_(reactor_now_ns(reactor))
{
}

int64_t History::now_ms() const
{
	return (reactor_now_ns(reactor_) - began_ns_) / NS_PER_MS;
}

void History::note(const std::string &line)
{
	lines_.push_back(std::to_string(now_ms()) + " " + line);
}

void History::violation(const std::string &line)
{
	violations.push_back(line);
	note("VIOLATION " + line);
}

void History::write(const std::string &path) const
{
	std::ofstream out(path);

	for (const std::string &line : lines_)
		out << line << "\n";
}
