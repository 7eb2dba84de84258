#include "lib-reactor.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

TestReactor::TestReactor()
{
	struct error err = ERROR_INIT;

	if (reactor_init(&reactor, &err))
		ADD_FAILURE() << err.text;
}

TestReactor::~TestReactor()
{
	reactor_finish(&reactor);
}

bool TestReactor::run_until(const std::function<bool()> &condition,
			    int64_t limit_ms)
{
	int64_t end_ns = reactor_now_ns(&reactor) + limit_ms * NS_PER_MS;

	while (!condition()) {
		if (reactor_now_ns(&reactor) > end_ns)
			return false;
		reactor_run_once(&reactor, 2 * NS_PER_MS);
	}
	return true;
}

void TestReactor::run_for(int64_t ms)
{
	int64_t end_ns = reactor_now_ns(&reactor) + ms * NS_PER_MS;

	run_until([&] { return reactor_now_ns(&reactor) >= end_ns; }, ms + 1);
}

RawCaller::RawCaller(uint16_t port) : closed_(false), reset_(false)
{
	struct sockaddr_in addr = {};

	addr.sin_family = AF_INET;
	addr.sin_port = htons(port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd_ = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(fd_, (struct sockaddr *)&addr, sizeof(addr)))
		ADD_FAILURE() << "connect to port " << port;
	fcntl(fd_, F_SETFL, O_NONBLOCK);
}

RawCaller::~RawCaller()
{
	close();
}

void RawCaller::send(const std::string &bytes)
{
	::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void RawCaller::close()
{
	if (fd_ >= 0)
		::close(fd_);
	fd_ = -1;
}

void RawCaller::shutdown_sending()
{
	shutdown(fd_, SHUT_WR);
}

void RawCaller::read_all()
{
	char buffer[65536];
	ssize_t got;

	if (fd_ < 0)
		return;
	while ((got = read(fd_, buffer, sizeof(buffer))) > 0)
		received_.append(buffer, (size_t)got);
	if (got == 0)
		closed_ = true;
	else if (errno == ECONNRESET)
		closed_ = reset_ = true;
}

const std::string &RawCaller::received()
{
	read_all();
	return received_;
}

bool RawCaller::is_closed()
{
	read_all();
	return closed_;
}

bool RawCaller::was_reset()
{
	read_all();
	return reset_;
}

bool http_is_whole(const std::string &text)
{
	size_t end = text.find("\r\n\r\n");
	size_t length = text.find("Content-Length: ");

	if (end == std::string::npos)
		return false;
	if (length != std::string::npos && length < end)
		return text.size() >=
		       end + 4 + strtoul(&text[length + 16], nullptr, 10);
	return text.find("\r\n0\r\n\r\n") != std::string::npos;
}

int http_status(const std::string &answer)
{
	return answer.size() > 12 ? atoi(&answer[9]) : 0;
}

std::string http_ask(TestReactor *loop, uint16_t port, const std::string &bytes)
{
	RawCaller caller(port);

	caller.send(bytes);
	EXPECT_TRUE(loop->run_until([&] {
		return http_is_whole(caller.received()) || caller.is_closed();
	}));
	return caller.received();
}

struct net_limits test_limits()
{
	struct net_limits limits = {};

	limits.max_head_bytes = 4096;
	limits.max_body_bytes = 20000;
	limits.max_held_bytes = 40000;
	limits.max_connections = 50;
	limits.head_timeout_ns = 100 * NS_PER_MS;
	limits.idle_timeout_ns = 200 * NS_PER_MS;
	return limits;
}

struct net_pool_settings test_pool_settings()
{
	struct net_pool_settings settings = {};

	settings.connect_timeout_ns = 300 * NS_PER_MS;
	settings.idle_max_ns = 5 * NS_PER_S;
	settings.user_timeout_ms = 1000;
	settings.max_head_bytes = 16384;
	return settings;
}
