// Clients that we don't control, against the product's own daemon as a
// process. Guards against a crowd that takes all threads of a port, or whose
// bodies and what they are parsed to take more memory than a host has.
#include <gtest/gtest.h>

#include "t/lib-hostile-crowd.h"
#include "t/lib-rig.h"

namespace
{

const int MEMORY_MB = 128; // that a daemon may take (CONTRIBUTING.md)
const size_t MAX_FDS = 300;
const size_t MAX_BODY = 4000000;
const int CLIENTS = 120;

// Other fields are the defaults; the port of operators has 8 threads.
const char *const SETTINGS = R"(,"max_body_bytes":4000000,
 "batch":{"threads":64},"latency":{"threads":16})";

enum Port { BATCH, LATENCY, OPERATORS };

struct Place {
	const char *name;
	Port port;
	const char *path;
};

const Place PLACES[] = {
	{ "Completions", BATCH, "/v1/completions" },
	{ "Echo", LATENCY, "/echo" },
	{ "Unrouted", BATCH, "/none/x" },
	{ "Addresses", LATENCY, "/v1/addresses?class=batch" },
	{ "Ready", OPERATORS, "/health/ready" },
	{ "Acknowledge", BATCH, "/v1/acknowledge" },
};

std::string head(const std::string &method, const std::string &path)
{
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\n";
}

std::string body_head(const std::string &path, size_t length)
{
	return head("POST", path) +
	       "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string chunk_head(const std::string &path)
{
	return head("POST", path) + "Transfer-Encoding: chunked\r\n\r\n";
}

const std::string X(1000, 'x');
const std::string CHUNK = "3e8\r\n" + X + "\r\n";

struct Kind {
	const char *name;
	CrowdScript (*script)(const std::string &path);
};

const Kind KINDS[] = {
	{ "BodiesInOnePiece",
	  [](const std::string &path) {
		  return stopping(CLIENTS, body_head(path, MAX_BODY), X,
				  MAX_BODY - 1, MAX_BODY);
	  } },
	{ "BodiesInPieces",
	  [](const std::string &path) {
		  return stopping(CLIENTS, body_head(path, MAX_BODY), X,
				  MAX_BODY - 1, 4000);
	  } },
	{ "BodiesInChunks",
	  [](const std::string &path) {
		  return stopping(CLIENTS, chunk_head(path), CHUNK,
				  MAX_BODY - 10, 65536);
	  } },
	{ "WholeBodies",
	  [](const std::string &path) {
		  return stopping(CLIENTS, body_head(path, MAX_BODY), X,
				  MAX_BODY, 65536);
	  } },
	{ "BodiesOfManyValues",
	  [](const std::string &path) {
		  std::string body = "{\"model\":\"rollout\",\"x\":[";

		  while (body.size() < MAX_BODY - 10)
			  body += "[],";
		  body += "0]}";
		  return stopping(8, body_head(path, body.size()) + body, "", 0,
				  65536);
	  } },
	{ "BodiesOverTheLimit",
	  [](const std::string &path) {
		  return stopping(CLIENTS, body_head(path, 100 * MAX_BODY), X,
				  3 * MAX_BODY, 65536);
	  } },
	{ "ChunksOverTheLimit",
	  [](const std::string &path) {
		  return stopping(CLIENTS, chunk_head(path), CHUNK,
				  3 * MAX_BODY, 65536);
	  } },
	{ "Silence",
	  [](const std::string &) { return stopping(400, "", "", 0, 1); } },
	{ "HeadsThatStop",
	  [](const std::string &path) {
		  return stopping(400, head("GET", path) + short_fields(90), "",
				  0, 65536);
	  } },
	{ "HeadsOfManyFields",
	  [](const std::string &path) {
		  return stopping(CLIENTS, "",
				  head("GET", path) + short_fields(2000) +
					  "\r\n",
				  60000, 65536);
	  } },
	{ "RequestsAheadUnread",
	  [](const std::string &path) {
		  return CrowdScript{
			  CLIENTS, "",	  head("GET", path) + "\r\n",
			  2000000, 65536, false
		  };
	  } },
};

struct HostileCase {
	const char *kind, *place;
};

void PrintTo(const HostileCase &c, std::ostream *out)
{
	*out << c.kind << " at " << c.place;
}

std::vector<HostileCase> hostile_cases()
{
	std::vector<HostileCase> out;

	for (const char *kind :
	     { "BodiesInOnePiece", "BodiesInPieces", "BodiesInChunks" })
		for (const char *place :
		     { "Completions", "Echo", "Unrouted", "Ready" })
			out.push_back({ kind, place });
	for (const char *kind : { "Silence", "HeadsThatStop" })
		for (const char *place : { "Completions", "Echo", "Ready" })
			out.push_back({ kind, place });
	for (const char *kind : { "WholeBodies", "BodiesOverTheLimit",
				  "ChunksOverTheLimit", "HeadsOfManyFields" })
		for (const char *place : { "Completions", "Ready" })
			out.push_back({ kind, place });
	for (const char *place :
	     { "Completions", "Unrouted", "Addresses", "Ready" })
		out.push_back({ "RequestsAheadUnread", place });
	for (const char *place : { "Completions", "Acknowledge" })
		out.push_back({ "BodiesOfManyValues", place });
	return out;
}

template <typename T, size_t n>
const T &named(const T (&list)[n], const std::string &name)
{
	for (const T &one : list)
		if (name == one.name)
			return one;
	abort();
}

class HostileCurrantd : public ::testing::TestWithParam<HostileCase>
{
      protected:
	HostileCurrantd()
	    : rig_({ 1, SETTINGS }), service_("service"),
	      engine_("engine", { "--name", "engine-1", "--token-us", "0" })
	{
	}

	void SetUp() override
	{
		ASSERT_TRUE(rig_.start()) << rig_.daemon_log(0);
		ASSERT_TRUE(rig_.apply(
			{ "create team red",
			  "create route rollout pool scenario-lm",
			  "create route echo kind service pool echoes "
			  "path /echo class latency open true" }));
		key_ = "Authorization: Bearer " + rig_.grant("k1", "red") +
		       "\r\n";
		rig_.put_backend("engine-1", "engine", "scenario-lm",
				 engine_.address());
		rig_.put_backend("echo-1", "service", "echoes",
				 service_.address());
		ASSERT_TRUE(rig_.wait_server("engine-1"));
		ASSERT_TRUE(rig_.wait_server("echo-1"));
	}

	uint16_t port(Port port)
	{
		const RigDaemon &daemon = *rig_.daemons[0];
		const std::string &address = port == BATCH ? daemon.batch
					     : port == LATENCY
						     ? daemon.latency
						     : daemon.operators;

		return (uint16_t)std::stoi(
			address.substr(address.find(':') + 1));
	}

	void sample()
	{
		most_fds_ = std::max(most_fds_, daemon().open_files());
	}

	Process &daemon()
	{
		return rig_.daemons[0]->process;
	}

	// One ordinary request at each port, and readiness.
	void expect_serving()
	{
		std::string body = R"({"model":"rollout","prompt":")" +
				   std::string(100000, 'z') +
				   R"(","max_tokens":4})";
		const struct {
			const char *name;
			Port port;
			std::string request;
		} asked[] = {
			{ "ready", OPERATORS,
			  head("GET", "/health/ready") + "\r\n" },
			{ "echo", LATENCY, body_head("/echo", 2) + "ok" },
			{ "completion", BATCH,
			  head("POST", "/v1/completions") + key_ +
				  "Content-Length: " +
				  std::to_string(body.size()) + "\r\n\r\n" +
				  body },
		};

		for (const auto &one : asked)
			EXPECT_EQ(200, http_status(ask_once(&loop_, "127.0.0.1",
							    port(one.port),
							    one.request)))
				<< one.name;
	}

	TestReactor loop_;
	Rig rig_;
	Standin service_, engine_;
	std::string key_;
	size_t most_fds_ = 0;
};

TEST_P(HostileCurrantd, IsLeftServing)
{
	const Place &place = named(PLACES, GetParam().place);
	Crowd crowd(&loop_, "127.0.0.1", port(place.port),
		    named(KINDS, GetParam().kind).script(place.path));

	crowd.run([&] { sample(); });
	ASSERT_TRUE(daemon().running()) << rig_.daemon_log(0);
	expect_serving();
	sample();
	EXPECT_TRUE(daemon().running()) << rig_.daemon_log(0);
	EXPECT_LE(most_fds_, MAX_FDS);
	if (MEMORY_IS_OWN) {
		EXPECT_LE(daemon().peak_kb(), MEMORY_MB * 1024);
	}
	printf("peak %lld kB, %zu descriptors\n", (long long)daemon().peak_kb(),
	       most_fds_);
}

INSTANTIATE_TEST_SUITE_P(All, HostileCurrantd,
			 ::testing::ValuesIn(hostile_cases()),
			 [](const ::testing::TestParamInfo<HostileCase> &info) {
				 return std::string(info.param.kind) +
					info.param.place;
			 });

} // namespace
