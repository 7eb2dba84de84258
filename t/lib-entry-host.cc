#include "t/lib-entry-host.h"

#include "t/lib-members.h"

#include <cstring>
#include <stdexcept>

const struct peer_handler_vtable EntryHost::handler_vtable = { on_message };
const struct heartbeat_source_vtable EntryHost::source_vtable = { fill };
const struct peer_outbox_vtable EntryHost::outbox_vtable = { send, broadcast,
							     set_members };

EntryHost::EntryHost(const std::string &own_name,
		     const std::string &own_data_centre, uint16_t port,
		     uint64_t incarnation)
    : name(own_name), data_centre(own_data_centre)
{
	struct peer_settings settings = {};
	struct log_part log = { nullptr, "peer" };
	struct error err = ERROR_INIT;

	snprintf(settings.name, NAME_BYTES, "%s", name.c_str());
	snprintf(settings.listen_address, NAME_BYTES, "127.0.0.1:%u", port);
	settings.incarnation = incarnation;
	settings.seed = incarnation;
	system_clock_init(&clock);
	counter_set_init(&counters);
	timer_service_init(&timers, &clock);
	if (peer_service_init(&peers, &settings, nullptr, &counters, &clock,
			      &log, &err))
		throw std::runtime_error(err.text);
	handler = { { &handler_vtable }, this };
	source = { { &source_vtable }, this };
	outbox = { { &outbox_vtable }, this };
	peer_service_set_handler(&peers, &handler.base);
	membership = membership_new(name.c_str(), heartbeat_ns);
	membership_set_own(membership, data_centre.c_str(), "vestland");
	denial_spread_init(&denials, &outbox.base, nullptr);
	heartbeat_sender_init(&sender, membership, &outbox.base, &source.base);
}

EntryHost::~EntryHost()
{
	heartbeat_sender_finish(&sender);
	timer_service_finish(&timers);
	peer_service_finish(&peers);
	denial_spread_finish(&denials);
	membership_free(membership);
	counter_set_finish(&counters);
}

void EntryHost::start(const std::vector<struct host> &list)
{
	set_list(list);
	peer_service_start(&peers, nullptr);
	timer_service_start(&timers);
	heartbeat_sender_start(&sender, &timers, heartbeat_ns);
}

void EntryHost::set_list(const std::vector<struct host> &hosts)
{
	struct host_list list = {};

	list.generation = 1;
	list.hosts = const_cast<struct host *>(hosts.data());
	list.host_count = static_cast<uint32_t>(hosts.size());
	membership_set_list(membership, &list, clock_now_ns(&clock));
}

struct host EntryHost::listed() const
{
	struct host host = {};

	snprintf(host.name, NAME_BYTES, "%s", name.c_str());
	snprintf(host.data_centre, NAME_BYTES, "%s", data_centre.c_str());
	snprintf(host.peer_address, NAME_BYTES, "127.0.0.1:%u", port());
	return host;
}

bool EntryHost::is_set(const bool *flag) const
{
	return __atomic_load_n(flag, __ATOMIC_ACQUIRE);
}

void EntryHost::on_message(struct peer_handler *handler,
			   const Currant__PeerMessage *message)
{
	EntryHost *host = reinterpret_cast<Handler *>(handler)->host;
	int64_t now_ns = clock_now_ns(&host->clock);

	if (host->is_set(&host->cut))
		return;
	if (message->body_case == CURRANT__PEER_MESSAGE__BODY_KEY_DENIAL)
		denial_spread_on_message(&host->denials, message->key_denial,
					 now_ns);
	if (message->body_case != CURRANT__PEER_MESSAGE__BODY_HEARTBEAT)
		return;
	membership_on_heartbeat(host->membership, message->from,
				message->incarnation, message->heartbeat,
				now_ns);
	if (host->is_set(&host->sends_on))
		denial_spread_on_heartbeat(&host->denials, message->from,
					   message->heartbeat, now_ns);
}

void EntryHost::fill(struct heartbeat_source *source,
		     Currant__Heartbeat *heartbeat)
{
	EntryHost *host = reinterpret_cast<Source *>(source)->host;

	heartbeat->data_centre = const_cast<char *>(host->data_centre.c_str());
	heartbeat->denial_digest = denial_set_digest(&host->denials.set);
	heartbeat->request_capacity = 10;
}

int EntryHost::send(struct peer_outbox *outbox, const char *to,
		    Currant__PeerMessage *message, struct error *err)
{
	EntryHost *host = reinterpret_cast<Outbox *>(outbox)->host;

	if (host->is_set(&host->cut))
		return -1;
	return peer_service_send(&host->peers, to, message, err);
}

uint32_t EntryHost::broadcast(struct peer_outbox *outbox,
			      Currant__PeerMessage *message)
{
	EntryHost *host = reinterpret_cast<Outbox *>(outbox)->host;

	if (host->is_set(&host->cut) || !host->is_set(&host->sends_on))
		return 0;
	return peer_service_broadcast(&host->peers, message);
}

void EntryHost::set_members(struct peer_outbox *outbox,
			    const struct peer_member *members, uint32_t count)
{
	EntryHost *host = reinterpret_cast<Outbox *>(outbox)->host;

	peer_service_set_members(&host->peers, members, count);
}

void EntryHost::deny(const std::string &key, const std::string &command)
{
	denial_spread_deny(&denials, key.c_str(), command.c_str(), nullptr, 0,
			   clock_now_ns(&clock), nullptr);
}

bool EntryHost::denies(const std::string &key)
{
	return denial_set_contains(&denials.set, key.c_str());
}

enum isolation EntryHost::isolation()
{
	struct isolation_input input = { -1,
					 membership_last_seen_ns(membership),
					 {} };
	int64_t now_ns = clock_now_ns(&clock);

	membership_reach(membership, now_ns, &input.reach);
	return isolation_evaluate(&input, isolation_ns, now_ns);
}

enum member_state EntryHost::state_of(const std::string &other)
{
	return member_of(membership, other).state;
}

uint64_t EntryHost::incarnation_of(const std::string &other)
{
	return member_of(membership, other).incarnation;
}

uint32_t EntryHost::count_in(enum member_state state)
{
	return members_in(membership, state);
}

uint64_t EntryHost::beats()
{
	uint64_t beats;

	pthread_mutex_lock(&sender.lock);
	beats = sender.beats;
	pthread_mutex_unlock(&sender.lock);
	return beats;
}

uint16_t EntryHost::port() const
{
	return peer_service_port(&peers);
}

std::vector<struct host>
list_of(const std::vector<std::unique_ptr<EntryHost>> &hosts)
{
	std::vector<struct host> list;

	for (const auto &host : hosts)
		list.push_back(host->listed());
	return list;
}

std::vector<std::unique_ptr<EntryHost>> start_hosts(int count, int data_centres)
{
	std::vector<std::unique_ptr<EntryHost>> hosts;

	for (int i = 0; i < count; i++)
		hosts.push_back(std::make_unique<EntryHost>(
			"e" + std::to_string(i),
			"dc" + std::to_string(i % data_centres), 0,
			static_cast<uint64_t>(i) + 1));
	for (auto &host : hosts)
		host->start(list_of(hosts));
	return hosts;
}

bool all_hosts_connected(const std::vector<std::unique_ptr<EntryHost>> &hosts)
{
	for (const auto &host : hosts)
		if (host->isolation() != ISOLATION_LOG_DOWN ||
		    host->count_in(MEMBER_SUSPECT) ||
		    host->count_in(MEMBER_GONE))
			return false;
	return true;
}
