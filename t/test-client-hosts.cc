// Contract of the host list port (docs/technical/host-list.txt).
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "t/lib-clock.h"
#include "t/lib-process.h"
#include "t/lib-raw-server.h"

extern "C" {
#include "base/alloc.h"
#include "base/clock.h"
#include "client/host_http.h"
}

static const char *const down = "{\"down\": true}";

static std::string host(const std::string &name, const std::string &rest)
{
	return "{\"name\": \"" + name + "\", \"data_centre\": \"voss\", " +
	       "\"region\": \"vestland\", \"address\": \"127.0.0.1:1\", " +
	       rest + "}";
}

TEST(HostContract, ReadsEachKindOfHost)
{
	static const struct {
		const char *name;
		const char *rest;
		enum host_role role;
		int leaving, cheap, checks_fencing;
	} cases[] = {
		{ "a", "\"role\": \"entry\", \"peer_address\": \"127.0.0.1:2\"",
		  HOST_ENTRY, 0, 0, 0 },
		{ "b",
		  "\"role\": \"engine\", \"pool\": \"p\", \"state\": \"live\", "
		  "\"class\": \"cheap\", \"checks_fencing\": true",
		  HOST_ENGINE, 0, 1, 1 },
		{ "c",
		  "\"role\": \"service\", \"pool\": \"p\", "
		  "\"state\": \"leaving\", \"class\": \"dear\"",
		  HOST_SERVICE, 1, 0, 0 },
	};
	static const char *const malformed[] = {
		"\"role\": \"moon\"",
		"\"role\": \"engine\"",
		"\"role\": \"entry\"",
	};
	Standin standin("hosts");
	struct host_http hosts;
	const struct host_list *list;

	host_http_init(&hosts, standin.url().c_str(), nullptr);
	for (const auto &c : cases)
		http_send("PUT", standin.address(),
			  std::string("/v1/hosts/") + c.name,
			  host(c.name, c.rest));
	for (size_t i = 0; i < ARRAY_SIZE(malformed); i++) {
		std::string name = "x" + std::to_string(i);

		http_send("PUT", standin.address(), "/v1/hosts/" + name,
			  host(name, malformed[i]));
	}
	ASSERT_EQ(HOST_LIST_CHANGED,
		  hosts.base.vt->fetch(&hosts.base, &list, nullptr));
	EXPECT_EQ(6u, list->generation);
	EXPECT_EQ(3u, list->skipped);
	ASSERT_EQ(3u, list->host_count);
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		const struct host *h =
			std::find_if(list->hosts, list->hosts + 3,
				     [&](const struct host &at) {
					     return !strcmp(at.name, c.name);
				     });

		ASSERT_NE(list->hosts + 3, h);
		EXPECT_EQ(c.role, h->role);
		EXPECT_EQ(c.leaving, h->leaving);
		EXPECT_EQ(c.cheap, h->cheap);
		EXPECT_EQ(c.checks_fencing, h->checks_fencing);
		EXPECT_STREQ("voss", h->data_centre);
	}
	hosts.base.vt->finish(&hosts.base);
}

TEST(HostContract, ShowsChangesLate)
{
	Standin standin("hosts", { "--lag-ms", "50" });
	int64_t put_ns = system_now_ns();

	http_send("PUT", standin.address(), "/v1/hosts/a",
		  host("a", "\"role\": \"entry\""));
	EXPECT_TRUE(standin.wait_until(10000, [&] {
		return http_get(standin.address(), "/v1/hosts")
			       .body.find("\"a\"") != std::string::npos;
	}));
	EXPECT_GE(system_now_ns() - put_ns, 50 * NS_PER_MS);
}

TEST(HostContract, FaultsAreTold)
{
	Standin standin("hosts");
	struct host_http hosts;
	const struct host_list *list;
	struct error err = ERROR_INIT;
	int pass;

	host_http_init(&hosts, standin.url().c_str(), nullptr);
	standin.faults(down);
	for (pass = 0; pass < 2; pass++) {
		EXPECT_EQ(-1, hosts.base.vt->fetch(&hosts.base, &list, &err));
		EXPECT_EQ(ERROR_UNAVAILABLE, err.code);
		standin.kill();
	}
	hosts.base.vt->finish(&hosts.base);
}

// What a port holds, and what a fetch says.
class HostClient
{
      public:
	explicit HostClient(const std::string &url)
	{
		host_http_init(&http_, url.c_str(), nullptr);
	}
	~HostClient()
	{
		http_.base.vt->finish(&http_.base);
	}
	// HOST_LIST_SAME, HOST_LIST_CHANGED or a negative error code.
	int fetch()
	{
		struct error err = ERROR_INIT;
		int news = http_.base.vt->fetch(&http_.base, &list_, &err);

		return news < 0 ? -(int)err.code : news;
	}
	// "name@address" in order of names, with a space between.
	std::string held() const
	{
		std::vector<std::string> hosts;
		std::string all;

		for (uint32_t i = 0; i < list_->host_count; i++)
			hosts.push_back(std::string(list_->hosts[i].name) +
					"@" + list_->hosts[i].address);
		std::sort(hosts.begin(), hosts.end());
		for (const auto &one : hosts)
			all += (all.empty() ? "" : " ") + one;
		return all;
	}
	const struct host_list &list() const
	{
		return *list_;
	}
	// Bytes of one more fetch, both ways.
	uint64_t cost()
	{
		uint64_t before = http_.traffic_bytes;

		fetch();
		return http_.traffic_bytes - before;
	}

      private:
	struct host_http http_;
	const struct host_list *list_ = nullptr;
};

static std::string engine(const std::string &name, const std::string &at)
{
	return "{\"name\": \"" + name + "\", \"data_centre\": \"voss\", " +
	       "\"region\": \"vestland\", \"address\": \"" + at +
	       "\", \"role\": \"engine\", \"pool\": \"p\"}";
}

static std::string whole(int generation, const std::string &hosts,
			 const std::string &tag)
{
	return raw_answer(200,
			  "{\"generation\": " + std::to_string(generation) +
				  ", \"hosts\": [" + hosts + "]}",
			  tag.empty() ? "" : "ETag: " + tag + "\r\n");
}

static std::string unchanged(const std::string &tag)
{
	return "HTTP/1.1 304 X\r\nConnection: close\r\n" +
	       (tag.empty() ? "" : "ETag: " + tag + "\r\n") + "\r\n";
}

static std::string delta(const std::string &base, const std::string &body,
			 const std::string &tag)
{
	return raw_answer(226, body,
			  (base.empty() ? "" : "Delta-Base: " + base + "\r\n") +
				  "IM: changes\r\nETag: " + tag + "\r\n");
}

// The entity tag that a request names, "" if none.
static std::string asked_tag(const std::string &request)
{
	static const std::string name = "If-None-Match: ";
	size_t at = request.find(name);

	if (at == std::string::npos)
		return "";
	at += name.size();
	return request.substr(at, request.find('\r', at) - at);
}

TEST(HostContract, KeepsTheListByItsEntityTag)
{
	struct step {
		std::string answer;
		int news; // or a negative error code
		uint64_t generation; // held afterwards
		std::string held;
		std::string asked; // the entity tag in the request
	};
	const std::string t4 = "\"4\"", t5 = "\"5\"", t6 = "\"6\"";
	const std::string w5 = engine("a", "1:1") + ", " + engine("b", "1:2");
	const std::string w6 = engine("a", "1:1");
	const std::string d6 = "{\"generation\": 6, \"hosts\": [" +
			       engine("b", "1:9") + ", " + engine("c", "1:3") +
			       "], \"removed\": [\"a\", \"z\"]}";
	const std::string malformed =
		"{\"generation\": 6, \"hosts\": [{\"name\": \"a\"}, 7], "
		"\"removed\": [7]}";
	const std::string ab = "a@1:1 b@1:2", bc = "b@1:9 c@1:3";
	const int same = HOST_LIST_SAME, changed = HOST_LIST_CHANGED;
	const int protocol = -ERROR_PROTOCOL, away = -ERROR_UNAVAILABLE;
	const struct {
		const char *name;
		std::vector<struct step> steps;
	} cases[] = {
		{ "unchanged",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { unchanged(t5), same, 5, ab, t5 },
		    { unchanged(""), same, 5, ab, t5 } } },
		{ "304 while no list is held",
		  { { unchanged(t5), protocol, 0, "", "" },
		    { whole(5, w5, t5), changed, 5, ab, "" } } },
		{ "304 for another tag",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { unchanged(t6), protocol, 5, ab, t5 },
		    { whole(6, w6, t6), changed, 6, "a@1:1", "" } } },
		{ "If-None-Match is ignored",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { whole(5, w5, t5), same, 5, ab, t5 },
		    { whole(6, w6, t6), changed, 6, "a@1:1", t5 } } },
		{ "no tags",
		  { { whole(5, w5, ""), changed, 5, ab, "" },
		    { whole(5, w5, ""), same, 5, ab, "" },
		    { whole(6, w6, ""), changed, 6, "a@1:1", "" } } },
		{ "the same tag for another list",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { whole(6, w6, t5), changed, 6, "a@1:1", t5 } } },
		{ "weak tag",
		  { { whole(5, w5, "W/" + t5), changed, 5, ab, "" },
		    { unchanged("W/" + t5), same, 5, ab, "W/" + t5 } } },
		{ "tag too long to be kept",
		  { { whole(5, w5, "\"" + std::string(200, 'x') + "\""),
		      changed, 5, ab, "" },
		    { whole(5, w5, t5), same, 5, ab, "" },
		    { unchanged(t5), same, 5, ab, t5 } } },
		{ "changes",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { delta(t5, d6, t6), changed, 6, bc, t5 },
		    { unchanged(t6), same, 6, bc, t6 } } },
		{ "changes, then the first list again",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { delta(t5, d6, t6), changed, 6, bc, t5 },
		    { whole(5, w5, t5), changed, 5, ab, t6 } } },
		{ "changes since another list",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { delta(t4, d6, t6), protocol, 5, ab, t5 },
		    { whole(6, w6, t6), changed, 6, "a@1:1", "" } } },
		{ "changes since no named list",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { delta("", d6, t6), protocol, 5, ab, t5 } } },
		{ "changes while no list is held",
		  { { delta(t5, d6, t6), protocol, 0, "", "" } } },
		{ "changes without those removed",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { delta(t5, "{\"hosts\": []}", t6), protocol, 5, ab, t5 },
		    { whole(5, w5, t5), same, 5, ab, "" } } },
		{ "changes that are malformed",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { delta(t5, malformed, t6), changed, 6, "b@1:2", t5 } } },
		{ "outage",
		  { { whole(5, w5, t5), changed, 5, ab, "" },
		    { raw_answer(503, "{}"), away, 5, ab, t5 },
		    { "HTTP/1.1 200", away, 5, ab, t5 },
		    { unchanged(t5), same, 5, ab, t5 } } },
		{ "goes back",
		  { { whole(6, w6, t6), changed, 6, "a@1:1", "" },
		    { whole(5, w5, t5), changed, 5, ab, t6 },
		    { whole(6, w6, t6), changed, 6, "a@1:1", t5 } } },
	};

	for (const auto &c : cases) {
		std::vector<std::string> answers;

		SCOPED_TRACE(c.name);
		for (const auto &step : c.steps)
			answers.push_back(step.answer);
		RawServer server(answers);
		HostClient client(server.url());
		for (size_t i = 0; i < c.steps.size(); i++) {
			SCOPED_TRACE(i);
			EXPECT_EQ(c.steps[i].news, client.fetch());
			EXPECT_EQ(c.steps[i].held, client.held());
			EXPECT_EQ(c.steps[i].generation,
				  client.list().generation);
			EXPECT_EQ(c.steps[i].asked,
				  asked_tag(server.requests().at(i)));
		}
	}
}

TEST(HostContract, CostsByWhatHasChanged)
{
	Standin standin("hosts");
	HostClient client(standin.url());
	uint64_t all_bytes, same_bytes, changed_bytes;

	for (int i = 0; i < 200; i++) {
		std::string name = "e" + std::to_string(i);

		http_send("PUT", standin.address(), "/v1/hosts/" + name,
			  engine(name, "127.0.0.1:1"));
	}
	all_bytes = client.cost();
	same_bytes = client.cost();
	http_send("DELETE", standin.address(), "/v1/hosts/e7", "");
	changed_bytes = client.cost();
	EXPECT_EQ(199u, client.list().host_count);
	EXPECT_GT(all_bytes, 20000u);
	EXPECT_LT(same_bytes, 300u);
	EXPECT_LT(changed_bytes, 600u);
}

// Seeds 1 to 3; the lists of a port that is fed changes and of one that reads
// all must be the same after each round.
TEST(HostContract, ChangesAddUpToTheWholeList)
{
	for (unsigned seed = 1; seed <= 3; seed++) {
		SCOPED_TRACE(seed);
		Standin standin("hosts");
		HostClient client(standin.url());
		std::mt19937 random(seed);

		for (int round = 0; round < 30; round++) {
			for (unsigned n = random() % 4; n; n--) {
				std::string name =
					"e" + std::to_string(random() % 8);
				std::string path = "/v1/hosts/" + name;
				std::string at = std::to_string(random());

				if (random() % 3)
					http_send("PUT", standin.address(),
						  path, engine(name, at));
				else
					http_send("DELETE", standin.address(),
						  path, "");
			}
			HostClient fresh(standin.url());

			ASSERT_LE(0, client.fetch());
			ASSERT_LE(0, fresh.fetch());
			ASSERT_EQ(fresh.held(), client.held());
			ASSERT_EQ(fresh.list().generation,
				  client.list().generation);
		}
	}
}

// Generations begin anew there; the tag of the former process must not pass
// for one of the new process.
TEST(HostContract, ARestartedListIsReadWhole)
{
	Standin standin("hosts");
	HostClient client(standin.url());

	http_send("PUT", standin.address(), "/v1/hosts/a", engine("a", "1:1"));
	EXPECT_EQ(HOST_LIST_CHANGED, client.fetch());
	standin.kill();
	EXPECT_EQ(-ERROR_UNAVAILABLE, client.fetch());
	EXPECT_EQ("a@1:1", client.held());
	ASSERT_TRUE(standin.restart());
	http_send("PUT", standin.address(), "/v1/hosts/b", engine("b", "1:2"));
	EXPECT_EQ(HOST_LIST_CHANGED, client.fetch());
	EXPECT_EQ("b@1:2", client.held());
	EXPECT_EQ(1u, client.list().generation);
}
