#include "t/lib-hostile-crowd.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

static const size_t RECEIVED_MAX = 65536;
static const int64_t QUIET_MS = 500;
static const int64_t RUN_LIMIT_MS = 60000;
static const int64_t ANSWER_LIMIT_MS = 20000; // tells a hang

CrowdScript stopping(int clients, const std::string &first,
		     const std::string &repeat, size_t more_bytes,
		     size_t piece_bytes)
{
	return { clients,     first, repeat, first.size() + more_bytes,
		 piece_bytes, true };
}

std::string short_fields(int count)
{
	std::string out;

	while (count--)
		out += "a: b\r\n";
	return out;
}

CrowdClient::CrowdClient(const std::string &ip, uint16_t port,
			 const CrowdScript &script)
    : script_(script), fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
	struct sockaddr_in addr = {};

	addr.sin_family = AF_INET;
	addr.sin_port = htons(port);
	inet_pton(AF_INET, ip.c_str(), &addr.sin_addr);
	if (connect(fd_, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd_);
		fd_ = -1;
		return;
	}
	fcntl(fd_, F_SETFL, O_NONBLOCK);
}

CrowdClient::~CrowdClient()
{
	if (fd_ >= 0)
		close(fd_);
}

std::string CrowdClient::piece() const
{
	size_t len = std::min(script_.piece_bytes, script_.total_bytes - sent_);
	const std::string &repeat = script_.repeat;
	std::string out;

	if (sent_ < script_.first.size())
		out = script_.first.substr(sent_, len);
	else if (!repeat.empty())
		out = repeat.substr((sent_ - script_.first.size()) %
				    repeat.size());
	while (out.size() < len && !repeat.empty())
		out += repeat;
	out.resize(std::min(out.size(), len));
	return out;
}

bool CrowdClient::send_piece()
{
	std::string bytes = piece();
	ssize_t sent;

	if (bytes.empty())
		return false;
	sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	if (sent > 0)
		sent_ += (size_t)sent;
	else if (sent < 0 && errno != EAGAIN)
		sent_ = script_.total_bytes;
	return sent > 0;
}

bool CrowdClient::receive()
{
	char buffer[16384];
	ssize_t got = recv(fd_, buffer, sizeof(buffer), 0);

	if (got > 0 && received_.size() < RECEIVED_MAX)
		received_.append(buffer, (size_t)got);
	if (got == 0 || (got < 0 && errno != EAGAIN)) {
		close(fd_);
		fd_ = -1;
	}
	return got >= 0;
}

bool CrowdClient::step()
{
	bool moved;

	if (is_closed())
		return false;
	moved = send_piece();
	return (script_.reads && receive()) || moved;
}

Crowd::Crowd(TestReactor *loop, const std::string &ip, uint16_t port,
	     const CrowdScript &script)
    : loop_(loop)
{
	for (int i = 0; i < script.clients; i++)
		clients_.emplace_back(new CrowdClient(ip, port, script));
}

void Crowd::run(const std::function<void()> &each_turn)
{
	int64_t moved_ns = reactor_now_ns(&loop_->reactor);

	EXPECT_TRUE(loop_->run_until(
		[&] {
			int64_t now_ns = reactor_now_ns(&loop_->reactor);

			for (auto &client : clients_)
				if (client->step())
					moved_ns = now_ns;
			each_turn();
			return now_ns - moved_ns > QUIET_MS * NS_PER_MS;
		},
		RUN_LIMIT_MS));
}

size_t Crowd::open_clients() const
{
	size_t open = 0;

	for (const auto &client : clients_)
		open += !client->is_closed();
	return open;
}

std::string ask_once(TestReactor *loop, const std::string &ip, uint16_t port,
		     const std::string &request)
{
	CrowdClient client(
		ip, port,
		{ 1, request, "", request.size(), request.size(), true });

	loop->run_until(
		[&] {
			client.step();
			return client.is_closed() ||
			       http_is_whole(client.received());
		},
		ANSWER_LIMIT_MS);
	return http_is_whole(client.received()) ? client.received() : "";
}
