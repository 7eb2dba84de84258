// The engine stand-in: what tests of the daemons rely on.
#include <gtest/gtest.h>

#include <jansson.h>

#include <memory>
#include <mutex>
#include <thread>

#include "t/lib-process.h"

struct JsonFree {
	void operator()(json_t *json) const
	{
		json_decref(json);
	}
};
typedef std::unique_ptr<json_t, JsonFree> Json;

static Json parse(const std::string &text)
{
	return Json(json_loads(text.c_str(), 0, nullptr));
}

static std::string request(const std::string &id, int tokens,
			   const std::string &more = "")
{
	return "{\"model\": \"scenario-lm\", \"prompt\": \"a b\", "
	       "\"request_id\": \"" +
	       id + "\", \"max_tokens\": " + std::to_string(tokens) + more +
	       "}";
}

class Engine : public Standin
{
      public:
	explicit Engine(const std::vector<std::string> &flags = {})
	    : Standin("engine", flags)
	{
	}
	HttpAnswer complete(const std::string &body)
	{
		return http_post(address(), "/v1/completions", body);
	}
	HttpAnswer order(const std::string &body)
	{
		return http_post(address(), "/v1/orders", body);
	}
	json_int_t load(const char *field)
	{
		Json json = parse(http_get(address(), "/v1/load").body);

		return json_integer_value(json_object_get(json.get(), field));
	}
	std::string served(const char *id)
	{
		Json json = parse(http_get(address(), "/standin/served").body);
		char *text = json_dumps(json_object_get(json.get(), id), 0);
		std::string result = text ? text : "";

		free(text);
		return result;
	}
};

static std::string spans(const HttpAnswer &answer)
{
	Json json = parse(answer.body);
	json_t *choice =
		json_array_get(json_object_get(json.get(), "choices"), 0);
	char *text = json_dumps(json_object_get(choice, "weight_versions"), 0);
	std::string result = text ? text : "";

	free(text);
	return result;
}

TEST(Engine, NamesBothVersionsWhenWeightsChangeInMidGeneration)
{
	Engine engine({ "--token-us", "1000" });
	HttpAnswer answer;

	std::thread caller(
		[&] { answer = engine.complete(request("r", 400)); });
	EXPECT_TRUE(engine.wait_until(
		10000, [&] { return engine.load("generated") > 0; }));
	EXPECT_EQ(202, engine.order("{\"epoch\": 1, \"order\": "
				    "\"load_version\", \"version\": 2}")
			       .status);
	caller.join();
	EXPECT_EQ(200, answer.status);
	EXPECT_NE(std::string::npos, spans(answer).find("\"version\": 1"));
	EXPECT_NE(std::string::npos, spans(answer).find("\"version\": 2"));
	EXPECT_EQ(spans(answer), engine.served("r"));
}

TEST(Engine, UrgentRequestsGoFirstAndCancelEndsOnes)
{
	Engine engine({ "--token-us", "1000", "--capacity", "1" });
	std::vector<std::string> order;
	std::vector<std::thread> callers;
	std::mutex lock;
	int64_t waiting = 0;

	auto start = [&](const std::string &id, int tokens, int priority) {
		callers.emplace_back([&, id, tokens, priority] {
			engine.complete(request(
				id, tokens,
				", \"priority\": " + std::to_string(priority)));
			std::lock_guard<std::mutex> guard(lock);
			order.push_back(id);
		});
	};
	start("long", 100000, 0);
	EXPECT_TRUE(engine.wait_until(
		10000, [&] { return engine.load("running") == 1; }));
	for (const char *id : { "batch", "urgent" }) {
		// Long enough that callers hear of the ends in their order.
		start(id, 300, id[0] == 'u' ? -1 : 1);
		waiting++;
		EXPECT_TRUE(engine.wait_until(10000, [&] {
			return engine.load("waiting") == waiting;
		}));
	}
	http_post(engine.address(), "/v1/cancel", "{\"request_id\": \"long\"}");
	for (std::thread &caller : callers)
		caller.join();
	EXPECT_EQ((std::vector<std::string>{ "long", "urgent", "batch" }),
		  order);
}

TEST(Engine, OrdersAndFencing)
{
	static const struct {
		const char *checks;
		int old_order;
		json_int_t version;
	} cases[] = { { "1", 409, 5 }, { "0", 202, 4 } };

	for (const auto &c : cases) {
		SCOPED_TRACE(c.checks);
		Engine engine({ "--checks-fencing", c.checks });
		auto load = [&](int epoch, int version) {
			return engine
				.order("{\"order\": \"load_version\", "
				       "\"epoch\": " +
				       std::to_string(epoch) +
				       ", \"version\": " +
				       std::to_string(version) + "}")
				.status;
		};

		engine.faults("{\"fail_swaps\": 1}");
		EXPECT_EQ(500, load(3, 5));
		EXPECT_EQ(1, engine.load("weight_version"));
		EXPECT_EQ(202, load(3, 5));
		EXPECT_EQ(c.old_order, load(2, 4));
		EXPECT_EQ(c.version, engine.load("weight_version"));
		EXPECT_EQ(202, engine.order("{\"order\": \"drain\", "
					    "\"epoch\": 3}")
				       .status);
		EXPECT_EQ(503, engine.complete(request("r", 1)).status);
	}
}

TEST(Engine, FetchesWeightsAsOftenAsTheStoreAllows)
{
	Standin weights("weights", { "--fetches-per-s", "1" });
	Engine engine({ "--weights-url", weights.url() });
	std::string pool = "/v1/pools/scenario-lm/versions";

	http_post(weights.address(), pool, "{\"version\": 7}");
	EXPECT_EQ(200, http_get(weights.address(), pool + "/7").status);
	EXPECT_EQ(202, engine.order("{\"order\": \"load_version\", "
				    "\"version\": 7}")
			       .status);
	EXPECT_EQ(7, engine.load("weight_version"));
	EXPECT_EQ(500, engine.order("{\"order\": \"load_version\", "
				    "\"version\": 8}")
			       .status);
	EXPECT_EQ(7, engine.load("weight_version"));
}

TEST(Engine, FaultsOfGenerations)
{
	Engine engine;

	engine.faults("{\"wrong_id\": 1}");
	EXPECT_NE(std::string::npos,
		  engine.complete(request("r1", 4)).body.find("\"other-r1\""));
	engine.faults("{\"cut_streams\": 2}");
	EXPECT_EQ(0, engine.complete(request("r2", 4)).status);
	EXPECT_EQ(
		0,
		engine.complete(request("r3", 4, ", \"stream\": true")).status);
	EXPECT_EQ("[{\"version\": 1, \"tokens\": 2}]", engine.served("r3"));
	EXPECT_EQ(200, engine.complete(request("r4", 4)).status);
	engine.faults("{\"crash_on\": \"a b\"}");
	EXPECT_EQ(0, engine.complete(request("r5", 4)).status);
	EXPECT_EQ(70, engine.wait(10000));
}
