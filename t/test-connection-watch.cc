// Clients that hold the threads of a port, or the memory for its bodies, with
// time limits too long to help. Guards against a port that refuses callers
// until those limits pass, and against closing a request that is served.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "t/lib-hostile-crowd.h"

extern "C" {
#include "base/counter.h"
#include "http/server.h"
}

static const uint32_t THREADS = 8;
static const uint32_t ADMITTED = 7;
static const int CLIENTS = 40;
static const size_t MAX_BODY = 1000000;
static const uint32_t TIME_LIMIT_MS = 60000;
static const int64_t LIMIT_MS = 20000;

static std::string post(const std::string &path, size_t length)
{
	return "POST " + path +
	       " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	       "Content-Length: " +
	       std::to_string(length) + "\r\n\r\n";
}

class ConnectionWatch : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct http_server_settings settings = {};
		struct error err = ERROR_INIT;

		counter_set_init(&counters);
		settings.address = "127.0.0.1:0";
		settings.threads = THREADS;
		settings.max_body_bytes = MAX_BODY;
		settings.label = "test";
		settings.header_timeout_ms = TIME_LIMIT_MS;
		settings.body_timeout_ms = TIME_LIMIT_MS;
		settings.max_bodies_bytes = 3 * MAX_BODY;
		ASSERT_EQ(0, http_server_start(&server, &settings, handle, this,
					       &counters, &err))
			<< err.text;
		http_server_open(&server);
	}

	void TearDown() override
	{
		is_held = false;
		http_server_stop(&server);
		EXPECT_EQ(0u, server.watch.busy);
		EXPECT_EQ(0u, server.watch.held_bytes);
		EXPECT_EQ(0u, server.watch.leaving_bytes);
		counter_set_finish(&counters);
	}

	// Holds requests to /held until the test lets them go.
	static void handle(void *arg, struct http_exchange *exchange)
	{
		auto *self = static_cast<ConnectionWatch *>(arg);
		std::string body = "ok";

		if (!strcmp(exchange->path, "/large"))
			body.resize(20000000, 'x');
		while (!strcmp(exchange->path, "/held") && self->is_held)
			std::this_thread::yield();
		pthread_mutex_lock(&self->server.watch.lock);
		self->displaced_while_served += exchange->watched->displaced;
		pthread_mutex_unlock(&self->server.watch.lock);
		http_exchange_send(exchange, 200, "text/plain", nullptr,
				   body.data(), body.size());
	}

	int ask(const std::string &request)
	{
		return http_status(
			ask_once(&loop, "127.0.0.1", server.port, request));
	}

	// Starts so many clients, until their requests run.
	void start_clients(uint32_t count, const std::string &request)
	{
		for (uint32_t i = 0; i < count; i++)
			clients.emplace_back(new CrowdClient(
				"127.0.0.1", server.port,
				{ 1, request, "", request.size(),
				  request.size(), true }));
		ASSERT_TRUE(loop.run_until(
			[&] {
				for (auto &one : clients)
					one->step();
				return http_server_running(&server) == count;
			},
			LIMIT_MS));
	}

	// Waits for so many such answers; returns how many came.
	size_t count_answers(size_t wanted, const std::string &begin)
	{
		size_t count = 0;

		loop.run_until(
			[&] {
				count = 0;
				for (auto &one : clients) {
					one->step();
					count += !one->received().compare(
						0, begin.size(), begin);
				}
				return count >= wanted;
			},
			LIMIT_MS);
		return count;
	}

	TestReactor loop;
	std::vector<std::unique_ptr<CrowdClient>> clients;
	struct counter_set counters;
	struct http_server server = {};
	std::atomic<bool> is_held{ true };
	int displaced_while_served = 0; // guarded by the watch's lock
};

TEST_F(ConnectionWatch, ClientsThatStopGiveWayToCallers)
{
	const struct {
		const char *name;
		std::string sent;
		bool reads;
	} cases[] = {
		{ "silence", "", true },
		{ "half a head", "POST / HTTP/1.1\r\nHost: h\r\nX: ", true },
		{ "half a body", post("/", 10) + "12345", true },
		{ "an answer that is not read", post("/large", 0), false },
	};

	for (const auto &c : cases) {
		Crowd crowd(
			&loop, "127.0.0.1", server.port,
			{ CLIENTS, c.sent, "", c.sent.size(), 1000, c.reads });

		crowd.run([] {});
		EXPECT_EQ(200, ask(post("/", 2) + "ok")) << c.name;
	}
}

TEST_F(ConnectionWatch, RequestsThatAreServedStay)
{
	start_clients(ADMITTED, post("/held", 0));

	Crowd crowd(&loop, "127.0.0.1", server.port,
		    { CLIENTS, "", "", 0, 1, true });

	crowd.run([] {});
	is_held = false;
	EXPECT_EQ(ADMITTED, count_answers(ADMITTED, "HTTP/1.1 200 "));
	EXPECT_EQ(0, displaced_while_served);
}

TEST_F(ConnectionWatch, ABodyWithoutRoomIsRefused)
{
	std::string body(MAX_BODY, 'x');

	start_clients(3, post("/held", MAX_BODY) + body);
	loop.run_for(500);
	EXPECT_EQ(503, ask(post("/", MAX_BODY) + body));
	is_held = false;
	EXPECT_EQ(3u, count_answers(3, "HTTP/1.1 200 "));
	EXPECT_EQ(0, displaced_while_served);
	EXPECT_EQ(200, ask(post("/", MAX_BODY) + body));
}

TEST_F(ConnectionWatch, TheBodyThatLagsGivesItsRoomToOthers)
{
	start_clients(3, post("/", MAX_BODY) + std::string(900000, 'x'));
	loop.run_for(500); // they lag
	EXPECT_EQ(200, ask(post("/", MAX_BODY) + std::string(MAX_BODY, 'x')));
	EXPECT_EQ(1u, count_answers(1, "HTTP/1.1 503 "));
	for (auto &one : clients) {
		if (one->received().empty())
			continue;
		for (const char *part :
		     { "Retry-After: ", "overloaded", "not_run" })
			EXPECT_NE(std::string::npos, one->received().find(part))
				<< one->received();
	}
}

// Control: bodies that add up to more than the limit, but one after another.
TEST_F(ConnectionWatch, RoomIsGivenBack)
{
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(200, ask(post("/", MAX_BODY) +
				   std::string(MAX_BODY, 'x')));
}
