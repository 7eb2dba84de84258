// Bad input gets a clear 4xx, loses nothing, and the daemon goes on serving.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/lib-rig.h"

static const size_t body_limit = 4096;
// The server gives up on a request that does not come on after 20 s.
static const int slow_limit_ms = 30000;

enum ending { KEEP_OPEN, HALF_CLOSE };

// Sends bytes as they are and reads until the server closes, or until an
// answer with a body stands.
static std::string raw(const std::string &address, const std::string &bytes,
		       enum ending ending)
{
	size_t colon = address.find(':');
	struct sockaddr_in to = {};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int64_t limit_ms = steady_now_ms() + slow_limit_ms;
	std::string out;
	char buffer[8192];
	ssize_t got = 1;

	to.sin_family = AF_INET;
	to.sin_port = htons((uint16_t)std::stoi(address.substr(colon + 1)));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to))) {
		close(fd);
		return "no connection";
	}
	for (size_t at = 0; at < bytes.size();) {
		ssize_t sent = send(fd, bytes.data() + at, bytes.size() - at,
				    MSG_NOSIGNAL);
		if (sent <= 0)
			break;
		at += (size_t)sent;
	}
	if (ending == HALF_CLOSE)
		shutdown(fd, SHUT_WR);
	while (got > 0 && steady_now_ms() < limit_ms) {
		struct pollfd pfd = { fd, POLLIN, 0 };

		if (poll(&pfd, 1, (int)(limit_ms - steady_now_ms())) <= 0)
			break;
		got = recv(fd, buffer, sizeof(buffer), 0);
		if (got > 0)
			out.append(buffer, (size_t)got);
		if (out.find("\r\n\r\n") != std::string::npos &&
		    out.find("}") != std::string::npos)
			break;
	}
	close(fd);
	return out;
}

static std::string post(const std::string &body, const std::string &headers,
			const std::string &path = "/v1/completions")
{
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

class ProofBadInput : public ::testing::Test
{
      protected:
	ProofBadInput()
	    : rig({ 1, ",\"max_body_bytes\":4096" }), service("service"),
	      engine("engine", { "--name", "engine-1", "--token-us", "0" })
	{
	}

	void SetUp() override
	{
		ASSERT_TRUE(rig.start()) << rig.daemon_log(0);
		const std::vector<std::string> changes = {
			"create team red",
			"create route rollout pool scenario-lm",
			"create route echo kind service pool echoes path /echo "
			"open true",
		};
		ASSERT_TRUE(rig.apply(changes));
		secret = rig.grant("k1", "red");
		rig.put_backend("engine-1", "engine", "scenario-lm",
				engine.address());
		rig.put_backend("echo-1", "service", "echoes",
				service.address());
		ASSERT_TRUE(rig.wait_server("engine-1"));
		ASSERT_TRUE(rig.wait_server("echo-1"));
		key = "Authorization: Bearer " + secret + "\r\n";
	}

	Reply good()
	{
		Ask call;

		call.method = "POST";
		call.address = rig.daemons[0]->batch;
		call.path = "/v1/completions";
		call.body = "{\"model\":\"rollout\",\"prompt\":\"a\","
			    "\"max_tokens\":4}";
		call.headers = { "Authorization: Bearer " + secret };
		return ask(call);
	}

	// How often a backend server was called, by the servers' own count.
	uint64_t ran()
	{
		return json_number_field(
			       http_get(service.address(), "/standin/total")
				       .body,
			       "total") +
		       json_number_field(
			       http_get(engine.address(), "/v1/load").body,
			       "generated");
	}

	void refuse(const char *name, const std::string &bytes, int status,
		    const char *type, enum ending ending = KEEP_OPEN)
	{
		uint64_t before = ran();
		std::string got = raw(rig.daemons[0]->batch, bytes, ending);
		std::string line = "HTTP/1.1 " + std::to_string(status) + " ";

		EXPECT_EQ(0u, got.find(line)) << name << ": " << got;
		EXPECT_NE(std::string::npos, got.find(type))
			<< name << ": " << got;
		EXPECT_EQ(before, ran()) << name;
		ASSERT_TRUE(rig.daemons[0]->process.running()) << name;
		EXPECT_EQ(200, good().status) << name;
	}

	Rig rig;
	Standin service;
	Standin engine;
	std::string secret;
	std::string key;
};

static std::string model(const std::string &rest)
{
	return "{\"model\":\"rollout\"," + rest + "}";
}

TEST_F(ProofBadInput, EachIsRefusedAndServingGoesOn)
{
	const std::string fine = model("\"prompt\":\"a\",\"max_tokens\":4");
	const std::string long_text(9000, 'x');
	const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n";
	const struct {
		const char *name;
		std::string bytes;
		int status;
		const char *type;
		enum ending ending;
	} cases[] = {
		{ "malformed JSON", post("{\"model\":", key), 400,
		  "malformed_request", KEEP_OPEN },
		{ "no object", post("[1]", key), 400, "malformed_request",
		  KEEP_OPEN },
		{ "empty body", post("", key), 400, "malformed_request",
		  KEEP_OPEN },
		{ "wrong type", post(model("\"prompt\":7"), key), 400,
		  "malformed_request", KEEP_OPEN },
		{ "absurd n",
		  post(model("\"prompt\":\"a\",\"n\":1000000000"), key), 400,
		  "malformed_request", KEEP_OPEN },
		{ "n of 0", post(model("\"prompt\":\"a\",\"n\":0"), key), 400,
		  "malformed_request", KEEP_OPEN },
		{ "negative n", post(model("\"prompt\":\"a\",\"n\":-1"), key),
		  400, "malformed_request", KEEP_OPEN },
		{ "huge n",
		  post(model("\"prompt\":\"a\",\"n\":99999999999999999999"),
		       key),
		  400, "malformed_request", KEEP_OPEN },
		{ "absurd max_tokens",
		  post(model("\"prompt\":\"a\",\"max_tokens\":1000000000"),
		       key),
		  400, "malformed_request", KEEP_OPEN },
		{ "invalid UTF-8", post(model("\"prompt\":\"\xff\xfe\""), key),
		  400, "malformed_request", KEEP_OPEN },
		{ "deep nesting", post(std::string(4000, '['), key), 400,
		  "malformed_request", KEEP_OPEN },
		{ "body over the limit",
		  post(std::string(body_limit + 1, ' '), key), 413,
		  "body_too_large", KEEP_OPEN },
		{ "declared body over the limit",
		  head + key + "Content-Length: 99999999999\r\n\r\n", 413,
		  "body_too_large", KEEP_OPEN },
		{ "unknown model",
		  post("{\"model\":\"other\",\"prompt\":\"a\"}", key), 404,
		  "unknown_route", KEEP_OPEN },
		{ "unknown path", post("{}", key, "/nowhere"), 404,
		  "unknown_route", KEEP_OPEN },
		{ "path outside",
		  post("{}", key, "/echo/../v1/completions/../../x"), 404,
		  "unknown_route", KEEP_OPEN },
		{ "no key", post(fine, ""), 401, "key_missing", KEEP_OPEN },
		{ "wrong key", post(fine, "Authorization: Bearer cr_k1_00\r\n"),
		  401, "key_invalid", KEEP_OPEN },
		{ "key of another form",
		  post(fine, "Authorization: Basic eDp5\r\n"), 401, "key_",
		  KEEP_OPEN },
		{ "wrong method",
		  "GET /v1/completions HTTP/1.1\r\nHost: h\r\n" + key + "\r\n",
		  405, "method_not_allowed", KEEP_OPEN },
		{ "two lengths",
		  head + key +
			  "Content-Length: " + std::to_string(fine.size()) +
			  "\r\nContent-Length: 2\r\n\r\n" + fine,
		  400, "malformed_request", KEEP_OPEN },
		{ "length and chunks",
		  head + key +
			  "Content-Length: 4\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		  400, "malformed_request", KEEP_OPEN },
		{ "length that is no number",
		  head + key + "Content-Length: 1x\r\n\r\n{}", 400,
		  "malformed_request", KEEP_OPEN },
		{ "two encodings",
		  head + key +
			  "Transfer-Encoding: identity\r\n"
			  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		  400, "malformed_request", KEEP_OPEN },
		{ "half-closed in the body",
		  head + key + "Content-Length: 500\r\n\r\n{", 408,
		  "body_incomplete", HALF_CLOSE },
	};

	for (const auto &c : cases)
		refuse(c.name, c.bytes, c.status, c.type, c.ending);
}

// What the HTTP library refuses by itself is a problem like the others.
TEST_F(ProofBadInput, BrokenHeadsAreRefused)
{
	const struct {
		const char *name;
		std::string bytes;
		int lowest;
		int highest;
	} cases[] = {
		{ "over-long header",
		  "GET /echo/a HTTP/1.1\r\nHost: h\r\nX: " +
			  std::string(40000, 'x') + "\r\n\r\n",
		  400, 499 },
		{ "no HTTP", "hello\r\n\r\n", 400, 499 },
		{ "unknown encoding",
		  "POST /echo/a HTTP/1.1\r\nHost: h\r\n"
		  "Transfer-Encoding: xchunked\r\n\r\n",
		  400, 499 },
		{ "negative length",
		  "POST /echo/a HTTP/1.1\r\nHost: h\r\n"
		  "Content-Length: -5\r\n\r\n",
		  400, 499 },
	};

	for (const auto &c : cases) {
		uint64_t before = ran();
		std::string got =
			raw(rig.daemons[0]->batch, c.bytes, KEEP_OPEN);
		int status = got.compare(0, 7, "HTTP/1.") == 0
				     ? atoi(got.c_str() + 9)
				     : 0;

		EXPECT_GE(status, c.lowest) << c.name << ": " << got;
		EXPECT_LE(status, c.highest) << c.name << ": " << got;
		EXPECT_NE(std::string::npos,
			  got.find("application/problem+json"))
			<< c.name << ": " << got;
		EXPECT_EQ(before, ran()) << c.name;
		EXPECT_EQ(200, good().status) << c.name;
	}
}

TEST_F(ProofBadInput, SlowSenderIsCutOff)
{
	int64_t begin_ms = steady_now_ms();

	refuse("slow body",
	       "POST /v1/completions HTTP/1.1\r\nHost: h\r\n" + key +
		       "Content-Length: 500\r\n\r\n{\"model\":",
	       408, "body_incomplete");
	int64_t took_ms = steady_now_ms() - begin_ms;
	printf("slow sender refused after %d ms\n", (int)took_ms);
	EXPECT_LT(took_ms, slow_limit_ms);
}

// A long query reaches the service whole.
TEST_F(ProofBadInput, LongQueryIsNotCutShort)
{
	std::string query = "q=" + std::string(3000, 'q') + "end";
	Ask call;

	call.address = rig.daemons[0]->batch;
	call.path = "/echo/a?" + query;
	Reply reply = ask(call);
	EXPECT_EQ(200, reply.status) << reply.body;
	EXPECT_EQ(query, json_text_field(reply.body, "query"));
}

// The check can fail: good input sent the same raw way is not refused, and
// is seen by the backend servers.
TEST_F(ProofBadInput, GoodInputPasses)
{
	uint64_t before = ran();
	std::string got =
		raw(rig.daemons[0]->batch,
		    post(model("\"prompt\":\"a\",\"max_tokens\":4"), key),
		    KEEP_OPEN);

	EXPECT_EQ(0u, got.find("HTTP/1.1 200 ")) << got;
	EXPECT_GT(ran(), before);
}
