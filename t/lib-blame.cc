#include "t/lib-blame.h"

#include <algorithm>

static const int64_t step_ns = 100 * NS_PER_MS;
static const size_t max_running = 4;
static const uint64_t first_culprit = UINT64_C(1) << 40;
static const int data_centres = 4;
static const int servers_each = 6;

const struct blame_listener_vtable BlameWorld::vtable = { on_hint,
							  on_quarantine };

BlameWorld::BlameWorld(const Options &in_options)
    : options(in_options), daemons(static_cast<size_t>(in_options.daemons))
{
	rng_init(&rng, options.seed);
	for (Daemon &daemon : daemons) {
		daemon.listener.vt = &vtable;
		daemon.world = this;
		blame_init(&daemon.blame, &daemon.listener);
	}
	for (int i = 0; i < data_centres * servers_each; i++)
		servers.push_back({ "s" + std::to_string(i),
				    "dc" + std::to_string(i % data_centres),
				    0,
				    {},
				    -1 });
}

BlameWorld::~BlameWorld()
{
	for (Daemon &daemon : daemons)
		blame_finish(&daemon.blame);
}

bool BlameWorld::is_culprit(uint64_t fingerprint) const
{
	return fingerprint >= first_culprit;
}

void BlameWorld::on_hint(struct blame_listener *listener,
			 Currant__QuarantineHint *hint)
{
	Daemon *daemon = reinterpret_cast<Daemon *>(listener);
	BlameWorld *world = daemon->world;
	Hint stored = { static_cast<size_t>(daemon - world->daemons.data()),
			hint->fingerprint,
			hint->crashes,
			hint->quarantine_ms,
			{} };

	for (size_t i = 0; i < hint->n_crash_list; i++) {
		const Currant__Crash *crash = hint->crash_list[i];
		struct blame_crash copy = {};

		snprintf(copy.server, NAME_BYTES, "%s", crash->server);
		snprintf(copy.data_centre, NAME_BYTES, "%s",
			 crash->data_centre);
		copy.servers_there = crash->servers_there;
		copy.at_ns = world->now_ns - crash->age_ms * NS_PER_MS;
		stored.list.push_back(copy);
	}
	world->hints.push_back(stored);
}

void BlameWorld::on_quarantine(struct blame_listener *, uint64_t, int64_t)
{
}

void BlameWorld::deliver_hints()
{
	std::vector<Hint> arriving;

	arriving.swap(hints);
	for (Hint &stored : arriving) {
		std::vector<Currant__Crash> crashes(stored.list.size());
		std::vector<Currant__Crash *> list;
		Currant__QuarantineHint hint = CURRANT__QUARANTINE_HINT__INIT;

		for (size_t i = 0; i < crashes.size(); i++) {
			currant__crash__init(&crashes[i]);
			crashes[i].server = stored.list[i].server;
			crashes[i].data_centre = stored.list[i].data_centre;
			crashes[i].servers_there = stored.list[i].servers_there;
			crashes[i].age_ms = static_cast<uint32_t>(
				(now_ns - stored.list[i].at_ns) / NS_PER_MS);
			list.push_back(&crashes[i]);
		}
		hint.fingerprint = stored.fingerprint;
		hint.crashes = stored.crashes;
		hint.quarantine_ms = stored.quarantine_ms;
		hint.crash_list = list.data();
		hint.n_crash_list = list.size();
		for (size_t d = 0; d < daemons.size(); d++)
			if (d != stored.from)
				blame_on_hint(&daemons[d].blame, &hint, now_ns);
	}
}

/* Adds three harmless requests, and at random each culprit that is absent. */
void BlameWorld::submit()
{
	std::set<uint64_t> present;

	for (const Daemon &daemon : daemons)
		present.insert(daemon.waiting.begin(), daemon.waiting.end());
	for (const Server &server : servers)
		for (const Attempt &attempt : server.attempts)
			present.insert(attempt.fingerprint);
	for (uint64_t i = 0; i < 3; i++)
		daemons[rng_below(&rng, daemons.size())].waiting.push_back(
			next_harmless++);
	for (int i = 0; i < options.culprits; i++) {
		uint64_t culprit = first_culprit + static_cast<uint64_t>(i);

		if (!present.count(culprit) && rng_below(&rng, 10) == 0)
			daemons[rng_below(&rng, daemons.size())]
				.waiting.push_back(culprit);
	}
}

bool BlameWorld::place_suspect(size_t daemon, uint64_t fingerprint)
{
	std::vector<struct blame_place> places;
	std::vector<Server *> there;
	uint32_t chosen;

	for (Server &server : servers) {
		bool taken = server.reserved_for >= 0 &&
			     server.reserved_for != static_cast<int>(daemon);

		if (server.down)
			continue;
		for (const Attempt &attempt : server.attempts)
			taken |= blame_judge(&daemons[daemon].blame,
					     attempt.fingerprint,
					     now_ns) != BLAME_CLEAN;
		places.push_back(
			{ server.name.c_str(), server.data_centre.c_str(),
			  static_cast<uint32_t>(server.attempts.size()),
			  taken });
		there.push_back(&server);
	}
	switch (blame_place(&daemons[daemon].blame, fingerprint, places.data(),
			    static_cast<uint32_t>(places.size()), now_ns,
			    &chosen)) {
	case BLAME_RUN:
		there[chosen]->reserved_for = static_cast<int>(daemon);
		there[chosen]->attempts.push_back({ fingerprint, daemon, 5 });
		return true;
	case BLAME_DRAIN:
		there[chosen]->reserved_for = static_cast<int>(daemon);
		return false;
	default:
		return false;
	}
}

/* Returns whether the request left the queue. */
bool BlameWorld::dispatch_one(size_t daemon, uint64_t fingerprint)
{
	enum blame_verdict verdict = BLAME_CLEAN;

	if (options.blame)
		verdict = blame_judge(&daemons[daemon].blame, fingerprint,
				      now_ns);
	if (verdict == BLAME_HELD || verdict == BLAME_QUARANTINED) {
		if (!is_culprit(fingerprint))
			harmless_rejected++;
		else if (verdict == BLAME_QUARANTINED)
			culprits_rejected++;
		return verdict == BLAME_QUARANTINED;
	}
	if (verdict == BLAME_SUSPECT)
		return place_suspect(daemon, fingerprint);
	for (size_t tries = 0; tries < servers.size(); tries++) {
		Server &server = servers[rng_below(&rng, servers.size())];

		if (server.down || server.reserved_for >= 0 ||
		    server.attempts.size() >= max_running)
			continue;
		server.attempts.push_back(
			{ fingerprint, daemon,
			  1 + static_cast<int>(rng_below(&rng, 10)) });
		return true;
	}
	return false;
}

void BlameWorld::dispatch(size_t daemon)
{
	std::vector<uint64_t> waiting;

	waiting.swap(daemons[daemon].waiting);
	for (uint64_t fingerprint : waiting)
		if (!dispatch_one(daemon, fingerprint))
			daemons[daemon].waiting.push_back(fingerprint);
}

/* Reports the loss to each daemon, with its own requests on the server. */
void BlameWorld::lose(Server *server)
{
	std::vector<Attempt> attempts;

	attempts.swap(server->attempts);
	server->down = 30;
	server->reserved_for = -1;
	for (size_t d = 0; d < daemons.size(); d++) {
		std::vector<uint64_t> own;

		for (const Attempt &attempt : attempts)
			if (attempt.daemon == d)
				own.push_back(attempt.fingerprint);
		struct blame_loss loss = { server->name.c_str(),
					   server->data_centre.c_str(),
					   servers_each, own.data(),
					   static_cast<uint32_t>(own.size()) };
		if (options.blame)
			blame_on_loss(&daemons[d].blame, &loss, now_ns);
		for (uint64_t fingerprint : own)
			daemons[d].waiting.push_back(fingerprint);
	}
}

void BlameWorld::step_server(Server *server)
{
	if (server->down) {
		server->down--;
		return;
	}
	for (Attempt &attempt : server->attempts) {
		if (--attempt.left)
			continue;
		if (is_culprit(attempt.fingerprint)) {
			servers_crashed[attempt.fingerprint]++;
			lose(server);
			return;
		}
		if (options.blame)
			blame_on_success(&daemons[attempt.daemon].blame,
					 attempt.fingerprint, now_ns);
		harmless_done++;
	}
	server->attempts.erase(std::remove_if(server->attempts.begin(),
					      server->attempts.end(),
					      [](const Attempt &attempt) {
						      return attempt.left == 0;
					      }),
			       server->attempts.end());
	if (server->attempts.empty())
		server->reserved_for = -1;
}

void BlameWorld::evict()
{
	std::string evicted =
		"dc" + std::to_string(rng_below(&rng, data_centres));

	for (Server &server : servers)
		if (server.data_centre == evicted && !server.down)
			lose(&server);
}

void BlameWorld::run(int steps)
{
	for (int i = 0; i < steps; i++) {
		now_ns += step_ns;
		deliver_hints();
		submit();
		for (size_t d = 0; d < daemons.size(); d++)
			dispatch(d);
		if (options.evictions && i % 200 == 199)
			evict();
		for (Server &server : servers)
			step_server(&server);
		for (Daemon &daemon : daemons)
			blame_tick(&daemon.blame, now_ns);
	}
}
