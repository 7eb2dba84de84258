// Status pages for operators: contents, limits on rows, and the port.
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>

#include "lib-batches.h"

extern "C" {
#include "base/alloc.h"
#include "entry/status_port.h"
#include "entry/status_row.h"
}

namespace
{

class Status : public BatchStore
{
      protected:
	Status()
	{
		counter_set_init(&counters_);
		named_versions_init(&named_);
		memset(&settings_, 0, sizeof(settings_));
		copy_text(settings_.name, sizeof(settings_.name), "e1");
		copy_text(settings_.store, sizeof(settings_.store),
			  "127.0.0.1:7");
		duty_lease_init(&lease_, topics_.log(), &loop_.reactor.timers,
				"e1", 1, 3000, nullptr, &counters_);
		host_.reset(new BatchHost(&loop_, &topics_, "e1"));
		host_->configure(7);
		host_->wait_ready();
		sources_ = {};
		sources_.settings = &settings_;
		sources_.incarnation = 2;
		sources_.clock = &loop_.reactor.clock;
		sources_.config = host_->config();
		sources_.discovery = &host_->discovery;
		sources_.fleet = &host_->fleet;
		sources_.batches = &host_->set;
		sources_.runner = &host_->runner;
		sources_.lease = &lease_;
		sources_.named = &named_;
		sources_.topics[0] = { "duties", &lease_.follower };
		sources_.topic_count = 1;
	}

	~Status() override
	{
		json_decref(page_);
		host_.reset();
		duty_lease_finish(&lease_);
		named_versions_finish(&named_);
		counter_set_finish(&counters_);
	}

	// Returns the page, which is valid until the next call.
	const json_t *page(const std::string &path)
	{
		json_decref(page_);
		page_ = status_page_make(&sources_, ("/status" + path).c_str());
		return page_;
	}

	// Returns the row of the list whose field has this value, or NULL.
	static const json_t *row(const json_t *page, const char *list,
				 const char *field, const std::string &value)
	{
		size_t i;
		json_t *at;

		json_array_foreach (json_object_get(page, list), i, at)
			if (text(at, field) == value)
				return at;
		return nullptr;
	}

	static std::string text(const json_t *row, const char *field)
	{
		const json_t *value = json_object_get(row, field);

		return json_is_string(value) ? json_string_value(value) : "";
	}

	static int64_t number(const json_t *row, const char *field)
	{
		const json_t *value = json_object_get(row, field);

		return json_is_integer(value) ? json_integer_value(value) : -99;
	}

	static bool flag(const json_t *row, const char *field)
	{
		return json_is_true(json_object_get(row, field));
	}

	// Starts a batch on an engine whose streams stall after one event.
	void start_batch()
	{
		engine_.reset(
			new FakeServer(&loop_, "g1", [](const ServerSaw &) {
				ServerReply reply;

				reply.stream = true;
				reply.silent_after = 1;
				return reply;
			}));
		engine_->join(&host_->fleet, "s", "m", 3);
		ASSERT_EQ(202, host_->submit(submission_));
		ASSERT_TRUE(loop_.run_until(
			[this] { return engine_->running == 4; }));
	}

	struct counter_set counters_;
	struct named_versions named_;
	struct entry_settings settings_;
	struct duty_lease lease_;
	std::unique_ptr<FakeServer> engine_;
	std::unique_ptr<BatchHost> host_;
	struct status_sources sources_;
	Submission submission_;
	json_t *page_ = nullptr;
};

TEST_F(Status, TellsOfTheDaemonAndItsStore)
{
	const json_t *own = page("");
	const json_t *topic = row(own, "topics", "name", "duties");

	EXPECT_EQ("e1", text(own, "name"));
	EXPECT_EQ(7, number(own, "config_version"));
	EXPECT_EQ("127.0.0.1:7", text(own, "store_address"));
	EXPECT_EQ(0, number(own, "servers"));
	ASSERT_NE(nullptr, topic);
	EXPECT_FALSE(flag(topic, "listed"));
	EXPECT_EQ(-1, number(topic, "answer_age_ms"));
}

TEST_F(Status, FollowsABatchToTheEngineOfAnItem)
{
	start_batch();

	const json_t *batch = row(page("/batches"), "batches", "id", "batch1");

	ASSERT_NE(nullptr, batch);
	EXPECT_EQ("m", text(batch, "model"));
	EXPECT_EQ("e1", text(batch, "owner"));
	EXPECT_EQ(4, number(batch, "items"));
	EXPECT_EQ(4, number(batch, "open"));
	EXPECT_FALSE(flag(batch, "ended"));
	EXPECT_LE(0, number(batch, "age_ms"));

	const std::string partition =
		std::to_string(number(batch, "partition"));
	const json_t *item = row(page("/items?batch=batch1"), "items", "id",
				 submission_.item(0));

	ASSERT_NE(nullptr, item);
	EXPECT_EQ("open", text(item, "state"));
	EXPECT_EQ("running", text(item, "run"));
	EXPECT_EQ("g1", text(item, "engine"));
	EXPECT_EQ(1, number(item, "runs"));

	const json_t *engine = row(page("/engines"), "servers", "id", "g1");

	ASSERT_NE(nullptr, engine);
	EXPECT_EQ(4, number(engine, "items"));
	EXPECT_TRUE(flag(engine, "usable"));
	EXPECT_EQ("closed", text(engine, "circuit"));
	EXPECT_EQ(3, number(row(engine, "models", "name", "m"), "version"));

	const json_t *lease = row(page("/leases"), "partitions", "owner", "e1");

	ASSERT_NE(nullptr, lease);
	EXPECT_EQ(partition, std::to_string(number(lease, "partition")));
	EXPECT_TRUE(flag(lease, "here"));
	EXPECT_EQ(1, number(lease, "batches"));
}

TEST_F(Status, ShowsAResultWithItsVersions)
{
	FakeServer engine(&loop_, "g1", [](const ServerSaw &) {
		ServerReply reply;

		reply.stream = true;
		reply.version = 5;
		return reply;
	});
	ReadAnswer answer;

	engine.join(&host_->fleet, "s", "m", 5);
	ASSERT_EQ(202, host_->submit(submission_));
	ASSERT_TRUE(host_->read_all(submission_, &answer));

	const json_t *item = row(page("/items?batch=batch1"), "items", "id",
				 answer.results[2].id);
	const json_t *versions = json_object_get(item, "versions");

	ASSERT_NE(nullptr, item);
	EXPECT_EQ("complete", text(item, "state"));
	EXPECT_EQ(2, number(item, "position"));
	ASSERT_EQ(1u, json_array_size(versions));
	EXPECT_EQ(5, json_integer_value(json_array_get(versions, 0)));
}

TEST_F(Status, ShowsTheConfigurationWithoutKeys)
{
	const json_t *config = page("/config");
	char *dump = json_dumps(config, JSON_COMPACT);

	EXPECT_EQ(7, number(config, "config_version"));
	EXPECT_EQ("batch",
		  text(row(config, "routes", "path_prefix", "/b/"), "kind"));
	ASSERT_NE(nullptr, row(config, "services", "name", "s"));
	for (const char *team : { "red", "blue" })
		EXPECT_EQ(1, number(row(config, "teams", "name", team), "keys"))
			<< team;
	for (const char *key : { "k1", "k2" })
		EXPECT_EQ(std::string::npos, std::string(dump).find(key))
			<< dump;
	free(dump);
}

TEST_F(Status, ShowsHosts)
{
	const json_t *host = row(page("/hosts"), "hosts", "name", "e1");

	ASSERT_NE(nullptr, host);
	EXPECT_TRUE(flag(host, "alive"));
	EXPECT_TRUE(flag(host, "ready"));
	EXPECT_LE(0, number(host, "heard_age_ms"));
}

TEST_F(Status, AnswersOnlyWhatThereIs)
{
	static const struct {
		const char *target;
		bool is_page, is_there;
	} cases[] = {
		{ "/status", true, true },
		{ "/status?from=0", true, true },
		{ "/status/batches", true, true },
		{ "/status/batches?from=18446744073709551615", true, true },
		{ "/status/items?batch=batch1&from=2", true, true },
		{ "/status/items", true, false },
		{ "/status/items?batch=other", true, false },
		{ "/status/batches?from=", true, false },
		{ "/status/batches?from=-1", true, false },
		{ "/status/batches?from=1x", true, false },
		{ "/status/batches?by=team", true, false },
		{ "/status/batches/", true, false },
		{ "/status/batch", true, false },
		{ "/status/", true, false },
		{ "/statuses", false, false },
		{ "/", false, false },
	};

	start_batch();
	for (const auto &c : cases) {
		SCOPED_TRACE(c.target);
		EXPECT_EQ(c.is_page, is_status_target(c.target) != 0);
		if (!c.is_page)
			continue;

		json_t *made = status_page_make(&sources_, c.target);

		EXPECT_EQ(c.is_there, made != nullptr);
		json_decref(made);
	}
}

TEST_F(Status, PagesThroughItems)
{
	start_batch();
	for (int from = 0; from <= 5; from++) {
		const json_t *items = page("/items?batch=batch1&from=" +
					   std::to_string(from));
		size_t left = from < 4 ? 4 - from : 0;

		EXPECT_EQ(4, number(items, "total"));
		EXPECT_EQ(left,
			  json_array_size(json_object_get(items, "items")));
	}
}

TEST(StatusRows, HoldNoMoreThanTheirBound)
{
	struct status_rows rows;
	json_t *page = json_object();
	uint32_t kept = 0;

	status_rows_begin(&rows, 10);
	for (int i = 0; i < STATUS_ROWS_MAX + 50; i++)
		kept += status_rows_add(&rows) != nullptr;
	status_rows_end(&rows, page, "rows");
	EXPECT_EQ(static_cast<uint32_t>(STATUS_ROWS_MAX), kept);
	EXPECT_EQ(STATUS_ROWS_MAX + 50,
		  json_integer_value(json_object_get(page, "total")));
	json_decref(page);
}

// Names are read from the store, which other processes write to.
TEST(StatusRows, TakeTextsThatAreNoUtf8)
{
	json_t *row = json_object();

	status_put_text(row, "name", "e\xff");
	EXPECT_STREQ("?", json_string_value(json_object_get(row, "name")));
	json_decref(row);
}

TEST_F(Status, PortAnswersOperators)
{
	static const struct {
		const char *request;
		int status;
		const char *part;
	} cases[] = {
		{ "GET /status", 200, "\"config_version\":7" },
		{ "GET /status/leases", 200, "\"duty_holder\":\"\"" },
		{ "GET /status/nothing", 404, "no_such_page" },
		{ "POST /status", 404, "no_such_page" },
		{ "GET /metrics", 200, "" },
		{ "GET /v1/ready", 404, "no_such_page" },
		{ "GET /else", 404, "no_such_page" },
	};
	struct net_limits limits = test_limits();
	struct status_port port;
	struct net_server server;
	struct error err = ERROR_INIT;

	status_port_init(&port, &sources_, &counters_);
	ASSERT_EQ(0, net_server_init(&server, &loop_.reactor, "127.0.0.1:0",
				     &limits, &port.handler, &err))
		<< err.text;
	for (const auto &c : cases) {
		SCOPED_TRACE(c.request);
		std::string answer =
			http_ask(&loop_, net_server_port(&server),
				 std::string(c.request) + " HTTP/1.1\r\n"
							  "Host: e1\r\n\r\n");

		EXPECT_EQ(c.status, http_status(answer));
		EXPECT_NE(std::string::npos, answer.find(c.part)) << answer;
	}
	net_server_finish(&server);
}

} // namespace
