#ifndef T_LIB_FAKE_ENGINE_H
#define T_LIB_FAKE_ENGINE_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lib-reactor.h"

extern "C" {
#include "fleet/fleet.h"
}

// One request that reached a fake server.
struct ServerSaw {
	std::string method, target, id, team, body, last_event, instance, key;
	std::string deadline, version;
	int64_t at_ns;
};

// What a fake server does with a request.
struct ServerReply {
	int status = 200;
	bool not_run = false;
	bool other_instance = false; // another server has the address now
	bool no_receipt = false;
	std::string receipt; // "": the server's id
	std::string wrong_id; // the answer names another request
	std::string body = "ok"; // of a plain answer
	bool before = false; // an answer to another request comes first
	int delay_ms = 0;
	bool hang = false; // no answer
	bool leaving = false; // the answer says so
	bool cut = false; // the connection ends without an answer
	bool garbled = false; // bytes that are no answer

	// A stream of events, numbered from 1.
	bool stream = false;
	bool starts_over = false; // whatever event it is to go on behind
	int events = 3;
	int event_bytes = 0; // further ones of each event's data
	bool no_data = false; // of the events
	int interval_ms = 1;
	int cut_after = -1; // events; then the connection ends
	int torn_after = -1; // likewise, in the middle of the next event
	int silent_after = -1; // events; then nothing comes
	int skip = -1; // an event that is left out
	uint64_t version = 1;
	int new_version_at = -1; // event from which on it is version + 1
	int spoiled_at = -1; // event whose data begins with `spoiled`
	std::string spoiled;
};

// A stream of so many events; an answer with this status.
ServerReply stream_reply(int events, int interval_ms = 1, uint64_t version = 1);
ServerReply status_reply(int code, bool not_run = false);
// The connection ends without an answer; it stays open, and none comes.
ServerReply cut_reply();
ServerReply hang_reply();

// A backend server that speaks the platform's form, on a test's reactor.
class FakeServer
{
      public:
	using Behaviour = std::function<ServerReply(const ServerSaw &)>;

	FakeServer(TestReactor *loop, const std::string &id,
		   const Behaviour &behaviour);
	~FakeServer();

	std::string address() const;
	const std::string &id() const
	{
		return id_;
	}

	// Puts the server's entry into a fleet.
	void join(struct fleet *fleet, const std::string &service,
		  const std::string &model = "", uint64_t version = 1,
		  bool leaving = false, uint32_t slots = 4);

	Behaviour behaviour;
	std::vector<ServerSaw> seen;
	int running = 0;
	int abandoned = 0; // the caller left
	int most_running = 0;

      private:
	struct Run;
	struct Handler;

	static void on_request(struct net_handler *handler,
			       struct net_request *request);
	static void on_gone(struct net_request_owner *owner);
	static void on_timer(void *arg, int64_t now_ns);
	void start(struct net_request *request);
	void answer(Run *run);
	void next_event(Run *run);
	void end(Run *run);

	TestReactor *loop_;
	std::string id_;
	struct HandlerBase {
		struct net_handler base;
		FakeServer *self;
	} handler_;
	struct net_server server_;
	std::vector<Run *> runs_;
	uint64_t offset_ = 0;
};

// Puts an entry of a server, which may have one model, into a fleet.
void put_server(struct fleet *fleet, uint64_t offset, const std::string &id,
		const std::string &address, const std::string &service,
		const std::string &model = "", uint64_t version = 1,
		bool leaving = false, uint32_t slots = 4);

// The host as the only one that sends to cold servers, for cold_limits_set().
struct cold_sender *sole_sender(const char *host);

// Puts entries of servers into a fleet that nobody has started.
void put_absent_servers(struct fleet *fleet, int count,
			const std::string &service, const std::string &model,
			bool leaving);

#endif
