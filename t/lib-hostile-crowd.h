// Clients that stop half-way, send too much or don't read, on raw sockets.
#ifndef T_LIB_HOSTILE_CROWD_H
#define T_LIB_HOSTILE_CROWD_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "t/lib-reactor.h"

// What each client of a crowd sends: `first`, then `repeat` over and over.
struct CrowdScript {
	int clients;
	std::string first, repeat;
	size_t total_bytes; // then it stops and stays open
	size_t piece_bytes; // of one send()
	bool reads; // the answers
};

// Sends `first` and `more_bytes` of `repeat`, stays open and reads.
CrowdScript stopping(int clients, const std::string &first,
		     const std::string &repeat, size_t more_bytes,
		     size_t piece_bytes);

// So many short header fields.
std::string short_fields(int count);

class CrowdClient
{
      public:
	CrowdClient(const std::string &ip, uint16_t port,
		    const CrowdScript &script);
	~CrowdClient();
	CrowdClient(const CrowdClient &) = delete;
	CrowdClient &operator=(const CrowdClient &) = delete;

	bool step(); // whether it sent or received something
	bool is_closed() const
	{
		return fd_ < 0;
	}
	const std::string &received() const // its beginning
	{
		return received_;
	}

      private:
	std::string piece() const;
	bool send_piece();
	bool receive();

	CrowdScript script_;
	int fd_;
	size_t sent_ = 0;
	std::string received_;
};

class Crowd
{
      public:
	Crowd(TestReactor *loop, const std::string &ip, uint16_t port,
	      const CrowdScript &script);

	// Runs until no client can send or receive any more.
	void run(const std::function<void()> &each_turn);
	size_t open_clients() const;

      private:
	TestReactor *loop_;
	std::vector<std::unique_ptr<CrowdClient>> clients_;
};

// The answer to one request on a connection of its own; "": none came.
std::string ask_once(TestReactor *loop, const std::string &ip, uint16_t port,
		     const std::string &request);

#endif
