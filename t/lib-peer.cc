#include "t/lib-peer.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

int connect_to(uint16_t port, const char *own_ip)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in own = {};
	struct sockaddr_in address = {};

	own.sin_family = address.sin_family = AF_INET;
	inet_pton(AF_INET, own_ip, &own.sin_addr);
	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	address.sin_port = htons(port);
	if (bind(fd, reinterpret_cast<sockaddr *>(&own), sizeof(own)) ||
	    connect(fd, reinterpret_cast<sockaddr *>(&address),
		    sizeof(address)))
		throw std::runtime_error("connect");
	return fd;
}

bool is_closed_by_peer(int fd)
{
	struct pollfd poll_fd = { fd, POLLIN, 0 };
	char byte;

	return poll(&poll_fd, 1, 10000) == 1 &&
	       recv(fd, &byte, 1, MSG_DONTWAIT) <= 0;
}

const struct clock_vtable AtomicClock::vtable = { AtomicClock::now, nullptr };

AtomicClock::AtomicClock(int64_t start_ns) : base{ &vtable }, now_ns(start_ns)
{
}

void AtomicClock::advance(int64_t by_ns)
{
	__atomic_add_fetch(&now_ns, by_ns, __ATOMIC_SEQ_CST);
}

int64_t AtomicClock::now(struct clock *clock)
{
	return __atomic_load_n(&reinterpret_cast<AtomicClock *>(clock)->now_ns,
			       __ATOMIC_SEQ_CST);
}

const struct peer_handler_vtable PeerNode::vtable = { PeerNode::take };

PeerNode::PeerNode(const std::string &own_name, struct clock *clock,
		   const char *own_ip, const struct tls_settings *tls)
    : name(own_name), ip(own_ip)
{
	struct peer_settings settings = {};
	struct error err = ERROR_INIT;

	snprintf(settings.name, sizeof(settings.name), "%s", name.c_str());
	snprintf(settings.listen_address, sizeof(settings.listen_address),
		 "%s:0", own_ip);
	settings.incarnation = 7;
	settings.seed = 42;
	if (tls)
		settings.tls = *tls;
	log = { nullptr, "peer" };
	counter_set_init(&counters);
	timeline_init(&timeline, name.c_str(), 16);
	if (peer_service_init(&service, &settings, &timeline, &counters, clock,
			      &log, &err))
		throw std::runtime_error(err.text);
	handler = { { &vtable }, this };
	peer_service_set_handler(&service, &handler.base);
	if (peer_service_start(&service, &err))
		throw std::runtime_error(err.text);
}

PeerNode::~PeerNode()
{
	peer_service_finish(&service);
	timeline_finish(&timeline);
	counter_set_finish(&counters);
}

void PeerNode::set_members(const std::vector<PeerNode *> &others, bool connect)
{
	std::vector<struct peer_member> members;

	for (PeerNode *other : others) {
		struct peer_member member = {};

		snprintf(member.name, sizeof(member.name), "%s",
			 other->name.c_str());
		snprintf(member.address, sizeof(member.address), "%s",
			 other->address().c_str());
		member.connect = connect;
		members.push_back(member);
	}
	peer_service_set_members(&service, members.data(),
				 static_cast<uint32_t>(members.size()));
}

std::string PeerNode::address() const
{
	return ip + ":" + std::to_string(peer_service_port(&service));
}

int64_t PeerNode::counter(const std::string &counter_name)
{
	return counter_value(counter_get(&counters, counter_name.c_str()));
}

void PeerNode::take(struct peer_handler *handler,
		    const Currant__PeerMessage *message)
{
	PeerNode *node = reinterpret_cast<Handler *>(handler)->node;
	std::string text = message->from;

	text += ":";
	text += message_kind_name(message_kind_of(message));
	if (message_kind_of(message) == MESSAGE_HEARTBEAT)
		text += ":" + std::string(message->heartbeat->data_centre);
	if (message_kind_of(message) == MESSAGE_KEY_DENIAL)
		text += ":" + std::string(message->key_denial->key_id);
	{
		std::lock_guard<std::mutex> guard(node->lock);
		node->texts.push_back(text);
	}
	if (node->on_message)
		node->on_message(message);
}

std::vector<std::string> PeerNode::received()
{
	std::lock_guard<std::mutex> guard(lock);
	return texts;
}

size_t PeerNode::received_count(const std::string &text)
{
	size_t count = 0;

	for (const std::string &one : received())
		count += one == text;
	return count;
}

static void fill_denial(Currant__PeerMessage *message,
			Currant__KeyDenial *denial, const std::string &key)
{
	currant__peer_message__init(message);
	currant__key_denial__init(denial);
	denial->key_id = const_cast<char *>(key.c_str());
	message->body_case = CURRANT__PEER_MESSAGE__BODY_KEY_DENIAL;
	message->key_denial = denial;
}

void PeerNode::send_denial(const std::string &to, const std::string &key)
{
	Currant__PeerMessage message;
	Currant__KeyDenial denial;

	fill_denial(&message, &denial, key);
	peer_service_send(&service, to.c_str(), &message, nullptr);
}

void PeerNode::broadcast_denial(const std::string &key)
{
	Currant__PeerMessage message;
	Currant__KeyDenial denial;

	fill_denial(&message, &denial, key);
	peer_service_broadcast(&service, &message);
}

void PeerNode::send_heartbeat(const std::string &to,
			      const std::string &data_centre)
{
	Currant__PeerMessage message = CURRANT__PEER_MESSAGE__INIT;
	Currant__Heartbeat heartbeat = CURRANT__HEARTBEAT__INIT;

	heartbeat.data_centre = const_cast<char *>(data_centre.c_str());
	message.body_case = CURRANT__PEER_MESSAGE__BODY_HEARTBEAT;
	message.heartbeat = &heartbeat;
	peer_service_send(&service, to.c_str(), &message, nullptr);
}
