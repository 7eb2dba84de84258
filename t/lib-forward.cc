#include "t/lib-forward.h"

extern "C" {
#include "platform/config_decode.h"
}

static const char config_text[] = R"({"version":1,"routes":[
 {"name":"idem","host":"h","path_prefix":"/i/","type":"idempotent",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"service":"s"},
 {"name":"once","host":"h","path_prefix":"/o/","type":"non_idempotent",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"service":"s"},
 {"name":"stream","host":"h","path_prefix":"/s/","type":"stream",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"service":"s"},
 {"name":"resume","host":"h","path_prefix":"/r/","type":"stream",
  "resumable":true,"timeout_ms":900,"goal_ms":300,"max_attempts":3,
  "service":"s"},
 {"name":"open","host":"h","path_prefix":"/p/","type":"idempotent",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"service":"s",
  "public":true}],
 "services":[{"name":"s"}],
 "limits":{"max_header_bytes":4000,"max_body_bytes":100000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"red","api_keys":["k1"]}]})";

static void count_run(struct attempt_counter *base, const char *team, int64_t)
{
	((CountedRuns *)base)->teams.push_back(team);
}

static void reject_submit(struct batch_port *, struct net_request *request,
			  const struct caller_request *,
			  const struct entry_route *, const struct entry_team *)
{
	net_request_abort(request);
}

static void reject_call(struct batch_port *, struct net_request *request,
			const struct caller_request *,
			const struct caller_call *, const struct entry_team *)
{
	net_request_abort(request);
}

static const struct batch_port_vtable rejecting_batch_port = { reject_submit,
							       reject_call };

void Forward::SetUp()
{
	struct net_pool_settings pool = test_pool_settings();
	struct net_limits limits = test_limits();
	struct error err = ERROR_INIT;

	limits.max_body_bytes = limits.max_held_bytes = 1000000;
	limits.idle_timeout_ns = 5 * NS_PER_S;
	counter_set_init(&counters_);
	net_pool_init(&pool_, &loop_.reactor, &pool);
	fleet_init(&fleet_);
	config_holder_init(&config_, nullptr);
	forwarder_init(&forwarder_, &loop_.reactor, &pool_, &fleet_, &config_,
		       nullptr, &counters_, "dc", 1);
	runs_.base.add = count_run;
	forwarder_.team_attempts = &runs_.base;
	batches_.vt = &rejecting_batch_port;
	caller_port_init(&port_, &config_, &forwarder_, &batches_, nullptr,
			 &counters_);
	ASSERT_EQ(0, net_server_init(&server_, &loop_.reactor, "127.0.0.1:0",
				     &limits, &port_.handler, &err));
}

void Forward::TearDown()
{
	forwarder_finish(&forwarder_);
	net_server_finish(&server_);
	net_pool_finish(&pool_);
	servers_.clear();
	fleet_finish(&fleet_);
	config_holder_finish(&config_);
	counter_set_finish(&counters_);
}

void Forward::expire_keys(uint32_t bound_ms, int64_t confirmed_ms_ago)
{
	key_trust_set_bound(&config_.trust, bound_ms);
	config_.trust.confirmed_ns = clock_now_ns(&loop_.reactor.clock) -
				     confirmed_ms_ago * NS_PER_MS;
}

void Forward::configure()
{
	struct error err = ERROR_INIT;
	struct entry_config *config =
		platform_config_decode(config_text, strlen(config_text), &err);

	ASSERT_NE(nullptr, config) << err.text;
	config_holder_apply(&config_, config, 0);
}

FakeServer *Forward::add(const std::string &id,
			 const FakeServer::Behaviour &behaviour)
{
	servers_.emplace_back(new FakeServer(&loop_, id, behaviour));
	servers_.back()->join(&fleet_, "s");
	return servers_.back().get();
}

FakeServer *Forward::add(const std::string &id, const ServerReply &reply)
{
	return add(id, [reply](const ServerSaw &) { return reply; });
}

std::string Forward::request(const std::string &path, const std::string &fields)
{
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" +
	       "X-Attempt-Id: id1\r\nX-Deadline-Ms: 800\r\n" + fields +
	       "Content-Length: 4\r\n\r\nbody";
}

std::string Forward::ask(const std::string &bytes)
{
	return http_ask(&loop_, net_server_port(&server_), bytes);
}

int Forward::status(const std::string &answer)
{
	return http_status(answer);
}

int64_t Forward::received()
{
	int64_t count = 0;

	for (auto &server : servers_)
		count += (int64_t)server->seen.size();
	return count;
}

void Forward::remove_servers()
{
	servers_.clear();
	fleet_finish(&fleet_);
	fleet_init(&fleet_);
}
