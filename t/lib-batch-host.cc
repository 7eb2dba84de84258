#include "lib-batch-host.h"

#include <gtest/gtest.h>
#include <jansson.h>

static const char config_template[] =
	R"({"version":%llu,"routes":[%s
 {"name":"plain","host":"h","path_prefix":"/i/","type":"idempotent",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"service":"s"}%s],
 "services":[{"name":"r"},{"name":"r2"},{"name":"s"%s,"engine":{"slots":4,"kv_capacity":100000,"stride":2,
  "models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":4000,"max_body_bytes":1000000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"red","api_keys":["k1"]},
  {"name":"blue","api_keys":["k2"]}%s]})";

static const char route_template[] =
	R"({"name":"batch","host":"h","path_prefix":"/b/","type":"rollout",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"due_ms":2000,
  "retention_s":30,"sticky":true,"resumable":true,"service":"s"%s},)";

std::string Submission::item(int number) const
{
	return (item_prefix.empty() ? id : item_prefix) + "-" +
	       std::to_string(number);
}

std::string Submission::reward(int number) const
{
	return item(number) + "-reward";
}

std::string Submission::body() const
{
	std::string out =
		"{\"step\":" + std::to_string(step) + ",\"model\":\"" + model +
		"\",\"min_version\":" + std::to_string(min_version) +
		",\"target_groups\":" + std::to_string(groups) + ",\"items\":[";

	for (int i = 0; i < items(); i++) {
		std::string group = (item_prefix.empty() ? id : item_prefix) +
				    "g" + std::to_string(i / group_size);

		out += std::string(i ? "," : "") + "{\"id\":\"" + item(i) +
		       "\",\"path\":\"" + path + "x\",\"headers\":{" +
		       "\"X-Model\":\"" + item_model +
		       "\",\"X-Token-Count\":\"10,400\"," +
		       (length_hint
				? "\"X-Length-Hint\":\"" +
					  std::to_string(length_hint) + "\","
				: "") +
		       "\"X-Prompt-Prefix\":\"ab:10\"},\"body\":\"Ym9keQ==\"," +
		       "\"tokens\":50,\"group\":\"" + group + "\"" +
		       (scorer.empty()
				? ""
				: ",\"scorer\":{\"id\":\"" + reward(i) +
					  "\",\"host\":\"h\",\"path\":\"" +
					  scorer +
					  "\",\"body\":\"c2NvcmU=\"}") +
		       "}";
	}
	return out + "]}";
}

std::string fake_text(const std::string &item, int events)
{
	std::string out;

	for (int i = 1; i <= events; i++)
		out += (i > 1 ? "\n" : "") + item + "." + std::to_string(i);
	return out;
}

BatchHost::BatchHost(TestReactor *loop, FakeTopics *topics,
		     const std::string &name, uint64_t incarnation,
		     uint32_t cpu_milli)
    : loop_(loop), name_(name)
{
	struct net_pool_settings pool = test_pool_settings();
	struct net_limits limits = test_limits();
	struct error err = ERROR_INIT;
	struct entry_host own = {};
	struct reactor *reactor = &loop->reactor;
	std::string writer = name + "-" + std::to_string(incarnation);

	limits.max_body_bytes = limits.max_held_bytes = 10000000;
	limits.idle_timeout_ns = 30 * NS_PER_S;
	counter_set_init(&counters);
	net_pool_init(&pool_, reactor, &pool);
	fleet_init(&fleet);
	config_holder_init(&config_, nullptr);
	snprintf(own.name, sizeof(own.name), "%s", name.c_str());
	own.incarnation = incarnation;
	own.cpu_milli = cpu_milli;
	discovery_init(&discovery, topics->log(), &reactor->timers, &own,
		       nullptr, &counters);
	batch_set_init(&set, topics->log(), &reactor->timers, writer.c_str(),
		       &counters);
	batch_api_init(&api, reactor, &set, topics->log(), &config_, nullptr,
		       &counters, name_.c_str(), incarnation);
	batch_runner_init(&runner, reactor, &pool_, &fleet, &config_,
			  topics->log(), nullptr, &counters, "dc", incarnation);
	partition_claimer_init(&keeper, reactor, &set, &runner, &discovery,
			       nullptr);
	forwarder_init(&forwarder_, reactor, &pool_, &fleet, &config_, nullptr,
		       &counters, "dc", 1);
	caller_port_init(&port_, &config_, &forwarder_, &api.port, nullptr,
			 &counters);
	if (net_server_init(&server_, reactor, "127.0.0.1:0", &limits,
			    &port_.handler, &err))
		ADD_FAILURE() << err.text;
	discovery_start(&discovery);
}

BatchHost::~BatchHost()
{
	forwarder_finish(&forwarder_);
	batch_api_finish(&api);
	batch_runner_finish(&runner);
	partition_claimer_finish(&keeper);
	batch_set_finish(&set);
	net_server_finish(&server_);
	discovery_finish(&discovery);
	net_pool_finish(&pool_);
	fleet_finish(&fleet);
	config_holder_finish(&config_);
	counter_set_finish(&counters);
}

void BatchHost::configure(uint64_t version, const std::string &extra,
			  bool with_route, const std::string &reward_service)
{
	struct error err = ERROR_INIT;
	std::string rewards;
	char route[1000] = "";
	char text[3000];
	struct entry_config *config;

	if (with_route)
		snprintf(route, sizeof(route), route_template, extra.c_str());
	if (!reward_service.empty())
		rewards = ",{\"name\":\"score\",\"host\":\"h\","
			  "\"path_prefix\":\"/score/\",\"type\":\"idempotent\","
			  "\"timeout_ms\":900,\"goal_ms\":50,"
			  "\"max_attempts\":3,\"service\":\"" +
			  reward_service + "\"}";
	snprintf(text, sizeof(text), config_template,
		 (unsigned long long)version, route, rewards.c_str(),
		 service_fields.c_str(), more_teams.c_str());
	config = platform_config_decode(text, strlen(text), &err);
	ASSERT_NE(nullptr, config) << err.text;
	config_holder_apply(&config_, config, 0);
	batch_runner_wake(&runner);
}

void BatchHost::confirm_config()
{
	config_holder_confirm(&config_, reactor_now_ns(&loop_->reactor));
}

void BatchHost::wait_ready()
{
	ASSERT_TRUE(loop_->run_until(
		[&] { return discovery_is_listed(&discovery) != 0; }));
	discovery_set_ready(&discovery, 1);
	ASSERT_TRUE(loop_->run_until([&] {
		const struct entry_host *host =
			host_table_find(&discovery.hosts, name_.c_str());

		return host && host->ready;
	}));
}

void BatchHost::leave()
{
	discovery_set_leaving(&discovery);
	partition_claimer_release_all(&keeper);
	ASSERT_TRUE(loop_->run_until(
		[&] { return partition_claimer_is_idle(&keeper) != 0; }));
}

std::string BatchHost::send_request(const std::string &bytes)
{
	return http_ask(loop_, net_server_port(&server_), bytes);
}

int BatchHost::submit(const Submission &submission)
{
	std::string body = submission.body();

	return http_status(send_request(
		"POST " + submission.path + " HTTP/1.1\r\nHost: h\r\n" +
		"Api-Key: " + submission.key + "\r\nX-Attempt-Id: " +
		submission.id + "\r\nX-Deadline-Ms: 2000\r\n" +
		"Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
		body));
}

static void parse_results(const std::string &text, ReadAnswer *out)
{
	json_t *root = json_loadb(text.data(), text.size(), 0, nullptr);
	json_t *result;
	size_t at;

	ASSERT_NE(nullptr, root) << text;
	out->total =
		(uint64_t)json_integer_value(json_object_get(root, "total"));
	out->next = (uint64_t)json_integer_value(
		json_object_get(root, "next_token"));
	json_array_foreach (json_object_get(root, "results"), at, result) {
		json_t *version;
		size_t v;
		ReadResult one;

		one.id = json_string_value(json_object_get(result, "id"));
		one.state = json_string_value(json_object_get(result, "state"));
		one.text = json_string_value(json_object_get(result, "text"));
		if (json_object_get(result, "score"))
			one.score = json_string_value(
				json_object_get(result, "score"));
		json_array_foreach (json_object_get(result, "versions"), v,
				    version)
			one.versions.push_back(
				(uint64_t)json_integer_value(version));
		out->results.push_back(one);
	}
	json_decref(root);
}

ReadAnswer BatchHost::read(const std::string &batch, uint64_t after, bool wait)
{
	ReadAnswer out;
	std::string answer = send_request(
		"GET /v1/lots/" + batch + "?after=" + std::to_string(after) +
		" HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n" +
		(wait ? "X-Wait-Ms: 1000\r\n" : "") + "\r\n");

	out.status = http_status(answer);
	out.bytes = answer.size() - (answer.find("\r\n\r\n") + 4);
	if (out.status == 200)
		parse_results(answer.substr(answer.find("\r\n\r\n") + 4), &out);
	return out;
}

int BatchHost::end(const std::string &batch, const std::string &key)
{
	return http_status(send_request(
		"DELETE /v1/lots/" + batch +
		" HTTP/1.1\r\nHost: h\r\nApi-Key: " + key + "\r\n\r\n"));
}

int BatchHost::body(const std::string &batch, const std::string &item,
		    std::string *out)
{
	std::string answer =
		send_request("GET /v1/items/" + batch + "?id=" + item +
			     " HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n\r\n");

	*out = answer.substr(answer.find("\r\n\r\n") + 4);
	return http_status(answer);
}

bool BatchHost::read_all(const Submission &submission, ReadAnswer *out,
			 int64_t limit_ms)
{
	int64_t end_ns = reactor_now_ns(&loop_->reactor) + limit_ms * NS_PER_MS;

	do {
		*out = read(submission.id);
		if (out->results.size() == (size_t)submission.items())
			return true;
		loop_->run_for(5);
	} while (reactor_now_ns(&loop_->reactor) < end_ns);
	return false;
}
