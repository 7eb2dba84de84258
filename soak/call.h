// What the callers and the trainers share about a running call.
#ifndef SOAK_CALL_H
#define SOAK_CALL_H

#include "soak/callers.h"

extern "C" {
#include "net/net_client.h"
}

/* Beyond these a host counts as in touch again, and settled. */
static const int64_t CONTACT_MS = 3000;
static const int64_t SETTLE_MS = 1000;
static const int64_t CANCEL_MS = 3000;
static const int64_t EVENT_MS = 15; // between events of an item's run
static const int64_t DRAIN_MS = 500; // the platform allows 2000 and more

// One call of a caller or a trainer that is running.
struct Callers::Call {
	struct net_call net;
	Callers *self;
	std::string what; // single, submit, read, end
	std::string id;
	int daemon;
	std::string address, head, body, answer;
	int status = 0;
	bool stamped = false; // by an engine
	size_t from = 0; // of a read
	int64_t sent_ms;
	struct timer timer = {};
};

#endif
