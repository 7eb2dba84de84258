// The poll of the host list: what it hands to whom, and when.
#include <gtest/gtest.h>

#include <memory>

#include "t/lib-process.h"
#include "t/lib-raw-server.h"

extern "C" {
#include "app/daemon.h"
#include "base/alloc.h"
}

static const int LIMIT_MS = 30000;

// The parts of a daemon that a poll needs.
class HostPoll : public testing::Test
{
      protected:
	HostPoll() : daemon_(new struct daemon())
	{
		system_clock_init(&daemon_->clock);
		counter_set_init(&daemon_->counters);
		logger_init(&daemon_->logger, stderr, LOG_WARNING, "test");
		daemon_->log_app = (struct log_part){ &daemon_->logger, "app" };
		timeline_init(&daemon_->timeline, "test", 16);
		server_table_init(&daemon_->servers, 1);
		daemon_->membership =
			membership_new("entry-0", 500 * NS_PER_MS);
	}
	~HostPoll() override
	{
		membership_free(daemon_->membership);
		server_table_finish(&daemon_->servers);
		timeline_finish(&daemon_->timeline);
		logger_finish(&daemon_->logger);
		counter_set_finish(&daemon_->counters);
	}
	void start(const std::string &url)
	{
		copy_text(daemon_->settings.hosts_url,
			  sizeof(daemon_->settings.hosts_url), url.c_str());
		ASSERT_EQ(0, host_poll_start(&daemon_->host_poll, daemon_.get(),
					     nullptr));
	}
	void stop()
	{
		host_poll_stop(&daemon_->host_poll);
	}
	// Names of the servers, those that are leaving with a "-" before.
	std::string servers()
	{
		std::string all;

		server_table_each(
			&daemon_->servers,
			[](void *arg, const struct server_pool *,
			   const struct server *server,
			   const struct server_view *view) {
				std::string &text =
					*static_cast<std::string *>(arg);

				text += text.empty() ? "" : " ";
				text += view->leaving ? "-" : "";
				text += server->name;
			},
			&all);
		return all;
	}

	std::unique_ptr<struct daemon> daemon_;
};

static std::string engine(const std::string &name, const std::string &state)
{
	return "{\"name\": \"" + name +
	       "\", \"data_centre\": \"voss\", \"region\": \"vestland\", "
	       "\"address\": \"127.0.0.1:9\", \"role\": \"engine\", "
	       "\"pool\": \"p\", \"state\": \"" +
	       state + "\"}";
}

static std::string whole(int generation, const std::string &hosts)
{
	std::string number = std::to_string(generation);

	return raw_answer(200,
			  "{\"generation\": " + number + ", \"hosts\": [" +
				  hosts + "]}",
			  "ETag: \"" + number + "\"\r\n");
}

static std::string unchanged(int generation)
{
	return "HTTP/1.1 304 X\r\nConnection: close\r\nETag: \"" +
	       std::to_string(generation) + "\"\r\n\r\n";
}

static std::string delta(int base, int generation, const std::string &body)
{
	return raw_answer(226,
			  "{\"generation\": " + std::to_string(generation) +
				  ", " + body + "}",
			  "Delta-Base: \"" + std::to_string(base) +
				  "\"\r\nETag: \"" +
				  std::to_string(generation) + "\"\r\n");
}

TEST_F(HostPoll, TakesListsThatAreNotOutdated)
{
	const std::string a = engine("a", "live"), b = engine("b", "live");
	const std::string leaving = engine("a", "leaving");
	const struct {
		const char *name;
		std::vector<std::string> answers; // the last one repeats
		const char *servers;
	} cases[] = {
		{ "whole and unchanged",
		  { whole(6, a + "," + b), unchanged(6) },
		  "a b" },
		{ "leaving by a change",
		  { whole(6, a + "," + b),
		    delta(6, 7,
			  "\"hosts\": [" + leaving + "], \"removed\": []"),
		    unchanged(7) },
		  "-a b" },
		{ "removed by a change",
		  { whole(6, a + "," + b),
		    delta(6, 7, "\"hosts\": [], \"removed\": [\"a\"]"),
		    unchanged(7) },
		  "b" },
		{ "goes back, as a lagging copy answers",
		  { whole(6, leaving + "," + b), whole(5, a + "," + b),
		    unchanged(5) },
		  "-a b" },
		{ "goes back and comes again by changes",
		  { whole(6, leaving + "," + b), whole(5, a + "," + b),
		    delta(5, 7, "\"hosts\": [" + a + "], \"removed\": [\"b\"]"),
		    unchanged(7) },
		  "a" },
		{ "goes back, validators ignored",
		  { whole(6, leaving + "," + b), whole(5, a + "," + b) },
		  "-a b" },
		{ "an outage keeps the list",
		  { whole(6, leaving + "," + b), raw_answer(503, "{}") },
		  "-a b" },
		{ "a 304 at the start gives no list", { unchanged(6) }, "" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		RawServer server(c.answers);

		server_table_finish(&daemon_->servers);
		server_table_init(&daemon_->servers, 1);
		membership_free(daemon_->membership);
		daemon_->membership =
			membership_new("entry-0", 500 * NS_PER_MS);
		start(server.url());
		// The next request comes when the answer before was handled.
		EXPECT_TRUE(wait_until(LIMIT_MS, [&] {
			return server.requests().size() > c.answers.size();
		}));
		EXPECT_EQ(c.servers, servers());
		EXPECT_EQ(c.servers[0] != '\0',
			  host_poll_has_list(&daemon_->host_poll) != 0);
		stop();
	}
}

// The list does not change again after the call has ended.
TEST_F(HostPoll, DropsARemovedServerOnceItsCallsHaveEnded)
{
	Standin standin("hosts");
	struct choice_request request = {};
	struct server_pick pick;

	http_send("PUT", standin.address(), "/v1/hosts/a", engine("a", "live"));
	start(standin.url());
	ASSERT_TRUE(
		standin.wait_until(LIMIT_MS, [&] { return servers() == "a"; }));
	ASSERT_EQ(0, server_table_pick_named(&daemon_->servers, "p", "a", 1,
					     clock_now_ns(&daemon_->clock),
					     &pick));
	http_send("DELETE", standin.address(), "/v1/hosts/a", "");
	EXPECT_TRUE(standin.wait_until(LIMIT_MS,
				       [&] { return servers() == "-a"; }));
	EXPECT_EQ(-1, server_table_pick(&daemon_->servers, "p", &request,
					clock_now_ns(&daemon_->clock), &pick));
	server_table_done(&daemon_->servers, "p", "a", 1, SERVER_ANSWERED, 1,
			  clock_now_ns(&daemon_->clock));
	EXPECT_TRUE(standin.wait_until(LIMIT_MS,
				       [&] { return servers().empty(); }));
	stop();
}
