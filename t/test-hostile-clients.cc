// Clients that we don't control, against the daemon of an entry host as a
// process. Guards against a crowd that makes the daemon run out of memory or
// descriptors, hang, or refuse ordinary callers: bodies, heads and answers
// that stop half-way pile up unless something bounds them all together.
#include <gtest/gtest.h>

#include "t/lib-small-daemon.h"

namespace
{

std::string chunk_head(const std::string &path)
{
	return head("POST", path) + "Transfer-Encoding: chunked\r\n\r\n";
}

// The body that these repeated parts make, as one request.
std::string parts_request(const std::string &path, const std::string &before,
			  const std::string &part, const std::string &after)
{
	std::string body = before;

	while (body.size() + part.size() + after.size() <= MAX_BODY)
		body += part;
	body.pop_back(); // the last comma
	body += after;
	return body_head(path, body.size()) + body;
}

struct Kind {
	const char *name;
	std::function<CrowdScript(const std::string &path)> script;
};

const std::vector<Kind> &kinds()
{
	static const std::string x(1000, 'x');
	static const std::vector<Kind> list = {
		{ "BodiesInOnePiece",
		  [](const std::string &path) {
			  return stopping(120, body_head(path, MAX_BODY), x,
					  MAX_BODY - 1, MAX_BODY);
		  } },
		{ "BodiesInPieces",
		  [](const std::string &path) {
			  return stopping(120, body_head(path, MAX_BODY), x,
					  MAX_BODY - 1, 4000);
		  } },
		{ "BodiesInChunks",
		  [](const std::string &path) {
			  return stopping(120, chunk_head(path),
					  "3e8\r\n" + x + "\r\n", MAX_BODY - 10,
					  65536);
		  } },
		{ "BodiesInTinyChunks",
		  [](const std::string &path) {
			  return stopping(120, chunk_head(path), "1\r\nx\r\n",
					  MAX_BODY - 1, 65536);
		  } },
		{ "BodiesThatWait",
		  [](const std::string &path) {
			  return stopping(
				  120,
				  head("POST", path) +
					  "Expect: 100-continue\r\n"
					  "Content-Length: 1000000\r\n\r\n",
				  "", 0, 65536);
		  } },
		{ "WholeBodies",
		  [](const std::string &path) {
			  return stopping(120, body_head(path, MAX_BODY), x,
					  MAX_BODY, 65536);
		  } },
		{ "BodiesOverTheLimit",
		  [](const std::string &path) {
			  return stopping(120, body_head(path, 100 * MAX_BODY),
					  x, 3 * MAX_BODY, 65536);
		  } },
		{ "ChunksOverTheLimit",
		  [](const std::string &path) {
			  return stopping(120, chunk_head(path),
					  "3e8\r\n" + x + "\r\n", 3 * MAX_BODY,
					  65536);
		  } },
		{ "Silence",
		  [](const std::string &) {
			  return stopping(400, "", "", 0, 1);
		  } },
		{ "HeadsThatStop",
		  [](const std::string &path) {
			  return stopping(400,
					  head("GET", path) + short_fields(90),
					  "", 0, 65536);
		  } },
		{ "HeadsOfManyFields",
		  [](const std::string &path) {
			  return stopping(140, "",
					  head("GET", path) + short_fields(90) +
						  "\r\n",
					  60000, 65536);
		  } },
		{ "RequestsAheadUnread",
		  [](const std::string &path) {
			  return CrowdScript{
				  40,	   "",	  head("GET", path) + "\r\n",
				  2000000, 65536, false
			  };
		  } },
		{ "AnswersUnread",
		  [](const std::string &path) {
			  return CrowdScript{
				  140,	"",   head("GET", path) + "\r\n",
				  1000, 1000, false
			  };
		  } },
		{ "BatchOfEmptyItems",
		  [](const std::string &path) {
			  std::string all = parts_request(path, "{\"items\":[",
							  "{},", "]}");

			  return stopping(4, all, "", 0, 65536);
		  } },
		{ "BatchOfTinyMembers",
		  [](const std::string &path) {
			  std::string many, member;

			  for (int i = 0; many.size() < 900000; i++)
				  many += "\"" + std::to_string(i) + "\":0,";
			  many += "\"a\":0}}";
			  many = "{\"items\":[],\"x\":{" + many;
			  return stopping(4,
					  body_head(path, many.size()) + many,
					  "", 0, 65536);
		  } },
		{ "BatchOfSmallItems",
		  [](const std::string &path) {
			  std::string many;

			  for (int i = 0; many.size() < 950000; i++)
				  many += ",{\"id\":\"" + std::to_string(i) +
					  "\",\"path\":\"/b/x\"}";
			  many = "{\"items\":[" + many.substr(1) + "]}";
			  return stopping(8,
					  body_head(path, many.size()) + many,
					  "", 0, 65536);
		  } },
	};

	return list;
}

// Where a crowd goes. Requests to /w/ get no answer; /l/ gives a large one.
struct Place {
	const char *name;
	uint16_t port;
	const char *path;
};

const Place PLACES[] = {
	{ "Routed", EntryProcess::CALLERS, "/i/x" },
	{ "Waiting", EntryProcess::CALLERS, "/w/x" },
	{ "Large", EntryProcess::CALLERS, "/l/x" },
	{ "Stream", EntryProcess::CALLERS, "/s/x" },
	{ "Unrouted", EntryProcess::CALLERS, "/none/x" },
	{ "Batch", EntryProcess::CALLERS, "/b/x" },
	{ "Ready", EntryProcess::READY, "/v1/ready" },
	{ "Address", EntryProcess::ADDRESSES,
	  "/v1/resolve?name=h&region=r&zone=z" },
	{ "Metrics", EntryProcess::METRICS, "/metrics" },
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
	     { "BodiesInOnePiece", "BodiesInPieces", "BodiesInChunks",
	       "BodiesInTinyChunks", "HeadsThatStop" })
		for (const char *place :
		     { "Routed", "Unrouted", "Batch", "Ready", "Address" })
			out.push_back({ kind, place });
	for (const char *kind : { "BodiesOverTheLimit", "ChunksOverTheLimit",
				  "HeadsOfManyFields", "Silence" })
		for (const char *place : { "Routed", "Ready" })
			out.push_back({ kind, place });
	for (const char *place : { "Routed", "Waiting", "Large", "Unrouted",
				   "Ready", "Address", "Metrics" })
		out.push_back({ "RequestsAheadUnread", place });
	for (const char *place : { "Large", "Stream", "Waiting" })
		out.push_back({ "AnswersUnread", place });
	out.push_back({ "BodiesThatWait", "Routed" });
	for (const char *place : { "Routed", "Unrouted", "Batch" })
		out.push_back({ "WholeBodies", place });
	for (const char *kind :
	     { "BatchOfEmptyItems", "BatchOfTinyMembers", "BatchOfSmallItems" })
		out.push_back({ kind, "Batch" });
	return out;
}

class HostileClients : public ::testing::TestWithParam<HostileCase>
{
};

const Kind &kind_named(const std::string &name)
{
	for (const Kind &kind : kinds())
		if (name == kind.name)
			return kind;
	abort();
}

const Place &place_named(const std::string &name)
{
	for (const Place &place : PLACES)
		if (name == place.name)
			return place;
	abort();
}

TEST_P(HostileClients, LeaveTheDaemonServing)
{
	const Place &place = place_named(GetParam().place);
	SmallDaemon daemon;
	size_t most_fds = 0;
	auto sample = [&] {
		most_fds = std::max(most_fds, daemon.process.open_files());
	};

	ASSERT_TRUE(daemon.start_and_wait()) << daemon.last_lines();

	Crowd crowd(&daemon.loop, daemon.ip, place.port,
		    kind_named(GetParam().kind).script(place.path));

	crowd.run(sample);
	ASSERT_TRUE(daemon.process.running()) << daemon.last_lines();

	std::string body(900000, 'z');
	std::string ready = ask_once(&daemon.loop, daemon.ip, daemon.READY,
				     head("GET", "/v1/ready") + "\r\n");
	std::string address =
		ask_once(&daemon.loop, daemon.ip, daemon.ADDRESSES,
			 head("GET", place_named("Address").path) + "\r\n");
	std::string served = ask_once(&daemon.loop, daemon.ip, daemon.CALLERS,
				      body_head("/i/o", body.size()) + body);
	// Needs a timer of the daemon; a starved loop runs none.
	std::string ended =
		ask_once(&daemon.loop, daemon.ip, daemon.CALLERS,
			 head("GET", "/w/o") + "X-Deadline-Ms: 100\r\n\r\n");

	EXPECT_EQ(200, http_status(ready));
	EXPECT_EQ(200, http_status(address));
	EXPECT_EQ(200, http_status(served)) << served;
	EXPECT_EQ(504, http_status(ended)) << ended;
	sample();
	EXPECT_TRUE(daemon.process.running()) << daemon.last_lines();
	EXPECT_LE(most_fds, (size_t)MAX_FDS);
	if (MEMORY_IS_OWN) {
		EXPECT_LE(daemon.process.peak_kb(), MEMORY_MB * 1024);
	}
	RecordProperty("peak_kb", std::to_string(daemon.process.peak_kb()));
	RecordProperty("fds", std::to_string(most_fds));
}

INSTANTIATE_TEST_SUITE_P(All, HostileClients,
			 ::testing::ValuesIn(hostile_cases()),
			 [](const ::testing::TestParamInfo<HostileCase> &info) {
				 return std::string(info.param.kind) +
					info.param.place;
			 });

} // namespace
