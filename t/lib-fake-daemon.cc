#include "t/lib-fake-daemon.h"

#include <cstring>

FakeDaemon::FakeDaemon()
{
	struct http_server_settings settings = {
		"127.0.0.1:0", 4, 65536, "fake", 0, 0, 0
	};
	struct error err = ERROR_INIT;

	memset(&server_, 0, sizeof(server_));
	counter_set_init(&counters_);
	if (http_server_start(&server_, &settings, handle, this, &counters_,
			      &err))
		abort();
	http_server_open(&server_);
}

FakeDaemon::~FakeDaemon()
{
	http_server_stop(&server_);
	counter_set_finish(&counters_);
}

std::string FakeDaemon::address() const
{
	return std::string(server_.ip) + ":" + std::to_string(server_.port);
}

void FakeDaemon::answer(int status, const std::string &body)
{
	std::lock_guard<std::mutex> guard(lock_);

	status_ = status;
	body_ = body;
}

std::vector<std::string> FakeDaemon::take_calls()
{
	std::lock_guard<std::mutex> guard(lock_);
	std::vector<std::string> calls;

	calls.swap(calls_);
	return calls;
}

void FakeDaemon::handle(void *arg, struct http_exchange *exchange)
{
	auto *daemon = static_cast<FakeDaemon *>(arg);
	std::lock_guard<std::mutex> guard(daemon->lock_);
	const char *token = http_exchange_header(exchange, "Authorization");

	daemon->calls_.push_back(
		std::string(exchange->method) + " " + exchange->path +
		(exchange->query ? std::string("?") + exchange->query : "") +
		" " + (token ? token : "-") + " " +
		std::string(exchange->body.buf, exchange->body.len));
	if (!daemon->status_) {
		http_exchange_begin_stream(exchange, "application/json");
		http_exchange_abort_stream(exchange);
		return;
	}
	http_exchange_send(exchange, daemon->status_, "application/json",
			   nullptr, daemon->body_.data(), daemon->body_.size());
}
