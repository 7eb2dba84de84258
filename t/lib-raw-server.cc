#include "t/lib-raw-server.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "t/lib-listener.h"

RawServer::RawServer(const std::string &answer)
    : RawServer(std::vector<std::string>{ answer })
{
}

RawServer::RawServer(const std::vector<std::string> &answers)
    : answers_(answers)
{
	listener_ = listen_on_loopback(16, &port_);
	thread_ = std::thread([this] { serve(); });
}

RawServer::~RawServer()
{
	shutdown(listener_, SHUT_RDWR);
	thread_.join();
	close(listener_);
}

std::string RawServer::url() const
{
	return "http://127.0.0.1:" + std::to_string(port_);
}

std::vector<std::string> RawServer::requests()
{
	std::lock_guard<std::mutex> guard(lock_);

	return requests_;
}

// Whether the head and as much body as it names have come.
static bool is_whole_request(const std::string &request)
{
	const std::string field = "\r\nContent-Length: ";
	size_t head = request.find("\r\n\r\n");
	size_t at = request.find(field);

	if (head == std::string::npos)
		return false;
	return at > head ||
	       request.size() >=
		       head + 4 + std::stoul(request.substr(at + field.size()));
}

static std::string read_request(int fd)
{
	std::string request;
	char bytes[65536];
	ssize_t len;

	while (!is_whole_request(request) &&
	       (len = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		request.append(bytes, len);
	return request;
}

void RawServer::serve()
{
	int fd;

	while ((fd = accept(listener_, nullptr, nullptr)) >= 0) {
		std::string request = read_request(fd);
		char rest[4096];

		if (!request.empty()) {
			size_t at;
			{
				std::lock_guard<std::mutex> guard(lock_);

				at = std::min(requests_.size(),
					      answers_.size() - 1);
				requests_.push_back(request);
			}
			send(fd, answers_[at].data(), answers_[at].size(),
			     MSG_NOSIGNAL);
		}
		shutdown(fd, SHUT_WR);
		// Read the rest, so that closing does not reset.
		while (recv(fd, rest, sizeof(rest), 0) > 0)
			;
		close(fd);
	}
}

std::string raw_answer(int status, const std::string &body,
		       const std::string &headers)
{
	return "HTTP/1.1 " + std::to_string(status) +
	       " X\r\nContent-Length: " + std::to_string(body.size()) +
	       "\r\nConnection: close\r\n" + headers + "\r\n" + body;
}
