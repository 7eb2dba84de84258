#include "t/lib-gate.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "t/lib-listener.h"

static const int wake_ms = 1000;

static sockaddr_in address_of(const std::string &ip, int port)
{
	sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
	return address;
}

static int connect_to(const sockaddr_in &address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!connect(fd, (const sockaddr *)&address, sizeof(address)))
		return fd;
	::close(fd);
	return -1;
}

Gate::Gate(const std::string &target) : target_(target)
{
	// A queue of one, so that one connection fills it.
	listener_ = listen_on_loopback(0, &port_);
	if (pipe2(wake_, O_CLOEXEC | O_NONBLOCK))
		perror("pipe2");
	thread_ = std::thread([this] { serve(); });
}

Gate::~Gate()
{
	{
		std::lock_guard<std::mutex> hold(lock_);
		ended_ = true;
	}
	wake();
	thread_.join();
	for (int fd : { listener_, filler_, wake_[0], wake_[1] })
		if (fd >= 0)
			::close(fd);
}

std::string Gate::url() const
{
	return "http://127.0.0.1:" + std::to_string(port_);
}

void Gate::wake()
{
	if (write(wake_[1], "x", 1) < 0)
		perror("write");
}

void Gate::close()
{
	std::lock_guard<std::mutex> hold(lock_);

	accepting_ = false;
	filler_ = connect_to(address_of("127.0.0.1", port_));
}

void Gate::open()
{
	{
		std::lock_guard<std::mutex> hold(lock_);
		accepting_ = true;
		::close(filler_);
		filler_ = -1;
	}
	wake();
}

// A line of the kernel's table: "N: LOCAL REMOTE STATE ...", all hexadecimal.
bool Gate::has_waiting()
{
	std::ifstream table("/proc/net/tcp");
	std::string number, local, remote, state, rest;
	char port[8];

	snprintf(port, sizeof(port), ":%04X", port_);
	std::getline(table, rest);
	while (table >> number >> local >> remote >> state) {
		if (state == "02" && remote.find(port) != std::string::npos)
			return true;
		std::getline(table, rest);
	}
	return false;
}

void Gate::accept_one()
{
	std::lock_guard<std::mutex> hold(lock_);
	size_t colon = target_.find(':');
	Pair pair;

	if (!accepting_)
		return;
	pair.near = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
	if (pair.near < 0)
		return;
	pair.far = connect_to(address_of(target_.substr(0, colon),
					 atoi(target_.c_str() + colon + 1)));
	if (pair.far >= 0)
		pairs_.push_back(pair);
	else
		::close(pair.near);
}

// Returns whether the connection goes on.
static bool forward(int from, int to)
{
	char buf[16384];
	ssize_t got = read(from, buf, sizeof(buf));

	return got > 0 && send(to, buf, (size_t)got, MSG_NOSIGNAL) == got;
}

void Gate::serve()
{
	for (;;) {
		std::vector<pollfd> fds = { { wake_[0], POLLIN, 0 } };
		char byte;

		{
			std::lock_guard<std::mutex> hold(lock_);
			if (ended_)
				break;
			fds.push_back(
				{ accepting_ ? listener_ : -1, POLLIN, 0 });
		}
		for (const Pair &pair : pairs_) {
			fds.push_back({ pair.near, POLLIN, 0 });
			fds.push_back({ pair.far, POLLIN, 0 });
		}
		poll(fds.data(), fds.size(), wake_ms);
		while (read(wake_[0], &byte, 1) > 0)
			;
		for (size_t i = pairs_.size(); i-- > 0;) {
			Pair pair = pairs_[i];
			bool near = fds[2 + 2 * i].revents;
			bool far = fds[3 + 2 * i].revents;

			if ((!near || forward(pair.near, pair.far)) &&
			    (!far || forward(pair.far, pair.near)))
				continue;
			::close(pair.near);
			::close(pair.far);
			pairs_.erase(pairs_.begin() + (long)i);
		}
		if (fds[1].revents)
			accept_one();
	}
	for (const Pair &pair : pairs_) {
		::close(pair.near);
		::close(pair.far);
	}
}
